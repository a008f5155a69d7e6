#pragma once

#include <springstair/detail/guard/interference.hpp>
#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief Timings of a guard's calls to its worker.
struct run_reconciler_options
{
    /// Longest lease that the worker accepts (platform setting).
    duration max_lease = std::chrono::seconds(6);
    /// Lease requested with each poll, within the leader's lease grant. A
    /// worker that dies silently delays its tasks by this time, and a
    /// restarting guard must be back within it.
    duration lease = std::chrono::milliseconds(3000);
    /// A worker that has not answered for this time gets no lease extension and
    /// no starts. Two poll waits plus some delay.
    duration unresponsive_after = std::chrono::milliseconds(1200);
    /// Share by which the worker's clock may run slow (platform).
    double clock_drift = 0.02;
    /// Allowance for message and timer delays, on top of a lease.
    duration lease_slack = std::chrono::milliseconds(150);
    /// A start that reaches the worker later than this has no effect. Bounds
    /// late execution of orders; above the time of any regular answer.
    duration start_limit = std::chrono::milliseconds(2000);
    /// Delay before an order that was late, failed or got no answer is sent
    /// again.
    duration retry_after = std::chrono::milliseconds(100);
    /// Number of unanswered starts after which a run is refused.
    std::int64_t max_unanswered = 4;
    /// Maximum time that the worker needs to stop a run (platform setting).
    duration stop_time = std::chrono::milliseconds(400);
    /// Maximum number of ends that the worker lists in one answer, oldest first
    /// (platform). A list of this length may be incomplete.
    std::size_t max_ends_listed = 500;
    /// Maximum size of the checkpoints of running tasks in one report. They
    /// take turns: the executor also lists a run's checkpoint with its end.
    std::size_t max_reported_checkpoint_bytes = std::size_t{256} << 10U;
    /// Maximum time that the worker waits for an end before it answers a poll.
    /// Determines the age of reported data and the interval between lease
    /// extensions.
    duration poll_wait = std::chrono::milliseconds(500);
    /// Delay after an unanswered poll.
    duration poll_retry = std::chrono::milliseconds(100);
    /// Delay between polls while ends await acknowledgement: about the time of
    /// a store write and a report.
    duration unacknowledged_pause = std::chrono::milliseconds(30);
    /// Interval between reports that list what runs; the figures in the lists
    /// cover half a second. With the lists also in each report of an end,
    /// reports took 62 ms of the leader's processor time per second and 1.26 MB
    /// per second, at 160 workers and 440 starts per second; without them, 30
    /// ms and 0.86 MB.
    duration full_report_interval = std::chrono::milliseconds(400);
    /// Time for which a past incarnation is reported again after the first
    /// report that a leader received: above the time in which a new leader
    /// collects reports from its guards.
    duration repeat_past_for = std::chrono::seconds(6);
    /// Time for which a refused or ended run is remembered. A start order sent
    /// before the leader received that report is valid at most for the lease
    /// grant on the previous report, 4 s.
    duration remember_refusals = std::chrono::milliseconds(5000);
    /// Maximum number of past incarnations to report. Reached when no leader
    /// receives a guard's reports for a minute while its executor crashes every
    /// few seconds.
    std::size_t max_past_incarnations = 16;
    interference_options interference;
};

/// @brief Result of an order, or of a poll, at the executor.
enum class order_result : std::uint8_t
{
    accepted,
    fenced, ///< the executor has seen a higher fence
    stale,  ///< this or a newer run has ended or was stopped there
    late,   ///< its deadline had passed
    no_room,
    no_ticket,
    rejected,   ///< malformed; a retry will not help
    unhealthy,  ///< the executor accepts nothing; no effect
    other_life, ///< another executor is at the address
    unanswered  ///< outcome unknown; it may still take effect
};

/// @brief Name of a result, for the log.
std::string_view to_string(order_result value) noexcept;

/// @brief Answer to a poll: the executor's clock and its lists of runs.
struct executor_snapshot
{
    std::int64_t clock_ms = 0;
    std::int64_t born_ms = 0; ///< start of the answering executor; 0: unknown
    std::vector<running_task> running;
    std::vector<ended_task> ended;

    bool operator==(const executor_snapshot&) const = default;
};

// Calls from a guard to its executor. Each names the intended incarnation; the
// executor compares only its id. Once an executor has accepted a call with one
// fence, it rejects calls with a lower one: see run_reconciler::fence().

/// @brief Start a run. @a deadline_ms is on the worker's clock.
struct start_run
{
    start_order order;
    std::int64_t deadline_ms = 0;
    std::int64_t fence = 0;
    executor_incarnation executor;
};

/// @brief Stop a run.
struct stop_run
{
    stop_order order;
    std::int64_t fence = 0;
    executor_incarnation executor;
};

/// @brief Throttle a run to a percentage of its full speed.
struct throttle_run
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t percent = 100;
    std::int64_t fence = 0;
    executor_incarnation executor;
};

/// @brief Extend the lease, acknowledge ends and request both lists of runs.
struct poll_executor
{
    /// End of the lease on the worker's clock; empty: no extension.
    std::optional<std::int64_t> deadline_ms;
    std::int64_t acknowledged = 0; ///< newest acknowledged end; 0: none
    /// Set with an acknowledgement: the call may only use a connection opened
    /// before this time, which is when the newest poll answered by this
    /// incarnation was sent. This keeps the acknowledgement from the next
    /// incarnation.
    std::optional<time_point> connected_before;
    /// Maximum time to wait for an end; 0: answer at once.
    std::int64_t wait_ms = 0;
    std::int64_t fence = 0;
    executor_incarnation executor;
};

/// @brief One call to make.
using executor_action =
    std::variant<start_run, stop_run, throttle_run, poll_executor>;

/// @brief Makes the runs of one worker match the leader's orders.
///
/// It takes no scheduling decisions: it repeats orders until their outcome is
/// certain, extends the lease as far as the lease grant allows, and reports.
class run_reconciler
{
public:
    /// @param incarnation unique id of this guard process
    /// @param started_at when the process started; without it, its uptime is
    /// reported as unknown
    explicit run_reconciler(run_reconciler_options options = {},
                            std::string incarnation = {},
                            std::optional<time_point> started_at = {});

    /// @brief Handles a time for which the process did not run. Call it before
    /// anything that happened afterwards.
    ///
    /// The VM may have been suspended, and the executor's steady clock with it:
    /// for all that the guard knows, leases last longer by this time.
    void on_pause(duration length);
    /// @brief Handles a heartbeat of the executor.
    void on_worker(const worker_description& description, std::int64_t clock_ms,
                   time_point now);
    /// @brief Handles the executor's notice that it is shutting down.
    void on_leave(const executor_incarnation& executor);
    /// @brief Handles orders of a leader.
    /// @return false if they are from an older leader or for another
    /// incarnation of the executor
    bool on_orders(const guard_orders& orders, time_point now);
    /// @brief Handles the answer to a report.
    /// @param sent when the report was sent
    void on_answer(const report_answer& answer, const worker_report& report,
                   time_point sent, time_point now);
    /// @brief Handles the result of a start.
    void on_started(const start_run& start, order_result result,
                    time_point now);
    /// @brief Handles the result of a stop.
    void on_stopped(const stop_run& stop, order_result result, time_point now);
    /// @brief Handles the result of a throttle call.
    void on_paced(const throttle_run& throttle, order_result result);
    /// @brief Handles the result of a poll.
    /// @param polled the incarnation that was polled
    /// @param snapshot empty if the poll got no answer
    void on_polled(const executor_incarnation& polled, order_result result,
                   const std::optional<executor_snapshot>& snapshot,
                   time_point sent, time_point now);

    /// @brief Returns the calls to make now.
    std::vector<executor_action> due(time_point now);
    [[nodiscard]] const std::string& incarnation() const noexcept
    {
        return incarnation_;
    }
    /// @brief The current report, without the guard's own name and address.
    [[nodiscard]] worker_report report(time_point now) const;
    /// @brief Whether there is something new to report since the last call;
    /// clears the flag.
    bool take_report_due() noexcept;

    [[nodiscard]] std::int64_t epoch() const noexcept
    {
        return epoch_;
    }
    /// @brief Fencing number of calls to the executor. It grows with the
    /// leader's epoch, then with the guard process, then with the executor
    /// incarnations that this process has seen.
    ///
    /// A call meant for a past incarnation with the same id can reach the next
    /// one late. There it would extend the lease by up to the maximum, or begin
    /// a run. Once the next incarnation has answered a call with its own fence,
    /// it rejects earlier calls.
    [[nodiscard]] std::int64_t fence() const noexcept;
    /// @brief Number of fences per epoch; those of the next epoch follow.
    static constexpr std::int64_t fences_per_epoch = std::int64_t{1} << 24;
    [[nodiscard]] time_point lease_granted_until() const noexcept
    {
        return lease_granted_until_;
    }
    [[nodiscard]] const worker_description& worker() const noexcept
    {
        return worker_;
    }
    /// @brief Returns and clears the pace changes since the last call, for the
    /// log.
    std::vector<pace_change> take_pace_changes()
    {
        return interference_.take_changes();
    }
    /// @brief Whether ends are listed that the leader has not acknowledged.
    [[nodiscard]] bool has_ends() const noexcept
    {
        return !ended_.empty();
    }

private:
    enum class run_stage : std::uint8_t
    {
        starting, ///< until the worker confirms the start
        running,
        stopping, ///< until the worker confirms the stop
        stopped   ///< until a later poll does not list it
    };

    struct tracked_run
    {
        start_order order;
        run_stage stage = run_stage::starting;
        std::int64_t start_until_ms = 0; ///< see guard_orders; 0: no limit
        bool call_in_flight = false;
        /// A start without an answer may be at the worker. The run may have
        /// begun or may still begin, whatever later copies of the start are
        /// answered.
        bool in_doubt = false;
        std::int64_t unanswered = 0;
        time_point unanswered_at{}; ///< when the newest start got no answer
        time_point next_call{};
        /// When a start was sent that the worker may have accepted. Set only if
        /// the worker had answered shortly before: one that has been
        /// unresponsive for longer than a poll takes cannot have accepted it.
        std::optional<time_point> start_sent;
        /// Since when it has run or may have run.
        std::optional<time_point> begun;
        bool start_confirmed = false; ///< by the worker
        time_point listed{};          ///< newest poll that shows it
        time_point confirmed{};       ///< when the current stage was confirmed
        std::string refusal;          ///< reason to report once it has stopped
        std::int64_t pace = 100;      ///< percent accepted by the worker
        bool pace_in_flight = false;
    };

    using run_map = std::map<std::string, tracked_run>; ///< by task

    /// A run that certainly never begins, and when that became certain.
    struct past_refusal
    {
        refused_run refused;
        time_point refused_at{};
    };

    /// The newest run of a task that has ended here, and when its end was last
    /// seen.
    struct ended_run
    {
        std::int64_t run = 0;
        time_point seen_at{};
    };

    /// A past incarnation, and when a leader first acknowledged a report of it.
    struct reported_incarnation
    {
        past_incarnation incarnation;
        std::optional<time_point> reported_at;
    };

    /// An executor with another incarnation in its heartbeat, until a poll of
    /// its address confirms which one is there.
    struct unconfirmed_incarnation
    {
        worker_description description; ///< executor empty: none to confirm
        std::int64_t clock_ms = 0;
        time_point received_at{};
        bool polling = false;
        time_point next_poll{};
    };

    void on_unconfirmed_heartbeat(const worker_description& description,
                                  std::int64_t clock_ms, time_point now);
    void begin_incarnation(const executor_incarnation& next, time_point now);
    void carry_uncertain_starts(time_point now);
    void on_unconfirmed_polled(order_result result,
                               const std::optional<executor_snapshot>& snapshot,
                               time_point now);
    void switch_incarnation(const executor_incarnation& who, time_point now);
    void drop_surviving_runs();
    void poll_unconfirmed(time_point now, std::vector<executor_action>& out);
    void refuse(const std::string& task, tracked_run& run,
                const std::string& reason, time_point now);
    void reconcile_runs(time_point sent, time_point now);
    void update_health(order_result result);
    void remember_incarnation(time_point now);
    void remember_run(const std::string& task, const tracked_run& run);
    void forget_reported_incarnations(const worker_report& report,
                                      time_point now);
    void list_runs(worker_report& out) const;
    [[nodiscard]] std::vector<running_task> reported_running() const;
    void act_on_run(const std::string& task, tracked_run& run, time_point now,
                    std::vector<executor_action>& out);
    [[nodiscard]] bool may_start(const tracked_run& run, time_point now) const;
    void act_on_worker(time_point now, std::vector<executor_action>& out);
    void refuse_unstarted(time_point now);
    void share_texts(run_map::iterator run);
    void apply_stop(const stop_order& order, time_point now);
    void stop_superseded(std::vector<executor_action>& out);
    void report_refusal(refused_run refused, time_point now);
    [[nodiscard]] bool was_refused(const start_order& order);
    [[nodiscard]] bool has_ended(const start_order& order) const;
    void record_ended(const std::string& task, std::int64_t run,
                      time_point now);
    void refuse_all(const std::vector<std::string>& tasks, const char* reason,
                    time_point now);
    [[nodiscard]] static bool is_expired(std::int64_t until_ms, time_point now);
    void act_on_pace(const std::string& task, tracked_run& run,
                     std::vector<executor_action>& out);
    [[nodiscard]] std::int64_t worker_clock(time_point now) const;
    [[nodiscard]] static std::int64_t vm_clock_ms(time_point now);
    [[nodiscard]] bool is_unresponsive(time_point now) const;
    std::int64_t lease_deadline(duration left, time_point now);
    void assume_max_lease(time_point since);
    [[nodiscard]] bool can_grant_lease(time_point now) const;
    [[nodiscard]] std::int64_t lease_left(time_point now) const;
    [[nodiscard]] std::int64_t uptime_ms(time_point now) const;
    [[nodiscard]] bool is_running(const std::string& task,
                                  std::int64_t run) const;
    [[nodiscard]] bool is_ended(const std::string& task,
                                std::int64_t run) const;

    run_reconciler_options options_;
    std::string incarnation_; ///< of this guard process
    std::optional<time_point> started_at_;
    duration paused_{0}; ///< total time for which the process did not run
    worker_description worker_;
    unconfirmed_incarnation unconfirmed_;
    std::set<executor_incarnation> ended_incarnations_; ///< certainly ended
    std::int64_t incarnation_count_ = 0; ///< seen by this process
    std::vector<reported_incarnation> past_incarnations_;
    /// Runs that are certainly lost with the current incarnation.
    past_incarnation ending_incarnation_;
    guard_admission admission_;
    std::int64_t clock_ms_ = 0; ///< the worker's clock at clock_at_
    time_point clock_at_{};     ///< later by the pauses since the reading
    bool clock_known_ = false;  ///< of the current incarnation
    std::int64_t epoch_ = 0;
    bool closed_ = false; ///< data centre closed, per the newest orders
    time_point lease_granted_until_{};
    time_point last_answer_at_{};   ///< last answer or heartbeat of the worker
    time_point max_lease_end_{};    ///< no requested lease ends later
    std::int64_t acknowledged_ = 0; ///< number of the newest acknowledged end
    run_map runs_;
    bool polled_ = false;      ///< the current incarnation has answered a poll
    time_point polled_at_{};   ///< when its lists were last received
    bool poll_failed_ = false; ///< the newest poll; the next does not wait
    /// Start of the current series of failed polls.
    std::optional<time_point> failing_since_;
    time_point connected_before_{}; ///< see poll_executor
    bool poll_in_flight_ = false;
    time_point next_poll_{};
    std::vector<running_task> running_;
    std::size_t checkpoint_turn_ = 0; ///< rows whose checkpoint was reported
    std::vector<ended_task> ended_;
    /// Stops for older runs that the worker lists together with a newer tracked
    /// run.
    std::vector<stop_order> superseded_stops_;
    std::vector<refused_run> refused_; ///< not yet received by a leader
    std::map<std::string, past_refusal> past_refusals_; ///< newest, by task
    std::map<std::string, ended_run> ended_runs_;       ///< by task
    interference_controller interference_;
    /// Send time of the newest report with lists that the leader has received.
    time_point full_reported_at_{};
    /// The newest answer of the worker was that it accepts nothing, or nothing
    /// accepts connections at its address.
    bool unhealthy_ = false;
    bool report_due_ = false;
};

} // namespace springstair
