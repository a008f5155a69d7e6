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

/// @brief Timings of a guard's dealings with its worker.
struct run_reconciler_options
{
    /// Longest lease that the worker takes (platform setting).
    duration max_lease = std::chrono::seconds(6);
    /// Lease that is asked for with each look, within the holder's permit: a
    /// worker that dies silently holds its tasks up for so long, and a guard
    /// that restarts has so long to return.
    duration lease = std::chrono::milliseconds(3000);
    /// A worker that has not answered for so long gets no longer lease and
    /// no starts: two looks, and some delay.
    duration silence = std::chrono::milliseconds(1200);
    /// The worker's clock may run slower by this share (platform).
    double clock_drift = 0.02;
    /// Delays of messages and timers, on top of a lease.
    duration lease_slack = std::chrono::milliseconds(150);
    /// A start that reaches the worker later than this does nothing. Bounds
    /// orders that are carried out late; above any answer in time.
    duration start_limit = std::chrono::milliseconds(2000);
    /// Pause before an order without an answer is sent again.
    duration retry_after = std::chrono::milliseconds(100);
    /// Unanswered starts of one run before it is given back.
    std::int64_t max_unanswered = 4;
    /// Longest time that the worker takes to stop a run (platform setting).
    duration stop_time = std::chrono::milliseconds(400);
    /// Ends that the worker lists in one answer at most, the oldest first
    /// (platform). A list as long as this may leave some out.
    std::size_t max_ends_listed = 500;
    /// How long the worker may wait for an end before it answers a look.
    /// Sets the age of what reports say and how often leases are extended.
    duration poll_wait = std::chrono::milliseconds(500);
    /// Pause after a look that got no answer.
    duration poll_retry = std::chrono::milliseconds(100);
    /// Pause between looks while ends wait for their acknowledgement: about
    /// a write to the store and a report's way.
    duration unacknowledged_pause = std::chrono::milliseconds(30);
    /// A holder hears so often what runs. The figures of what runs are those
    /// of half a second. With the lists in each report of an end, too, reports
    /// took 62 ms of the holder's processor time a second at 160 workers and
    /// 440 starts a second, and 1.26 MB; without, 30 ms and 0.86 MB.
    duration full_report_interval = std::chrono::milliseconds(400);
    /// What went with a former life is told for so long after a holder has
    /// first heard it: above the time that a new one needs to hear its guards.
    duration repeat_past_for = std::chrono::seconds(6);
    /// A run that was given back, or has ended, is remembered for so long. An
    /// order for it that was made before the holder heard so holds no longer
    /// than the permit on the last report before, 4 s.
    duration remember_refusals = std::chrono::milliseconds(5000);
    /// Former lives that are told of at most: a guard that no holder hears
    /// for a minute, while its executor crashes every few seconds.
    std::size_t max_past_incarnations = 16;
    interference_options interference_controller;
};

/// @brief Whether and why the worker took an order.
enum class order_result : std::uint8_t
{
    accepted,
    fenced, ///< a newer holder's order has been seen there
    stale,  ///< this run or a newer one has ended or was stopped there
    late,   ///< its time limit had passed
    no_room,
    no_ticket,
    rejected,   ///< it cannot be read; it never will be
    unhealthy,  ///< nothing was done
    other_life, ///< another executor is there
    unanswered  ///< it may be done now, later or never
};

/// @brief The name of a result, for the log.
std::string_view to_string(order_result value) noexcept;

/// @brief The worker's lists and its clock.
struct executor_snapshot
{
    std::int64_t clock_ms = 0;
    std::int64_t born_ms = 0; ///< of who answered; 0: not told
    std::vector<running_task> running;
    std::vector<ended_task> ended;

    bool operator==(const executor_snapshot&) const = default;
};

// What a guard has its worker do. Each call names the life that is meant, of
// which the executor compares the id alone. Once an executor has taken a call
// of one fence, it takes none of a lower one: see run_reconciler::fence().

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

/// @brief Let a run work at a share of its speed, in percent.
struct throttle_run
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t percent = 100;
    std::int64_t fence = 0;
    executor_incarnation executor;
};

/// @brief Extend the lease, acknowledge ends and ask for both lists.
struct poll_executor
{
    std::optional<std::int64_t> deadline_ms;
    std::int64_t acknowledged = 0;
    /// With an acknowledgement: it may reach only who was there at that time,
    /// when the newest look that this life has answered was sent.
    std::optional<time_point> connected_before;
    std::int64_t wait_ms = 0;
    std::int64_t fence = 0;
    executor_incarnation executor;
};

/// @brief One thing to do.
using executor_action =
    std::variant<start_run, stop_run, throttle_run, poll_executor>;

/// @brief Keeps the runs of one worker as the holder of its jobs orders.
///
/// It decides nothing about jobs: it repeats orders until their effect is
/// certain, extends the lease as far as the holder permits, and reports.
class run_reconciler
{
public:
    /// @param incarnation of the guard's process; differs from all others'
    explicit run_reconciler(run_reconciler_options options = {},
                            std::string incarnation = {});

    /// @brief The executor beside this guard said who it is.
    void on_worker(const worker_description& what, std::int64_t clock_ms,
                   time_point now);
    /// @brief The executor said that it ends.
    void on_leave(const executor_incarnation& executor);
    /// @brief Orders came. @return false if they are of an older holder or
    /// for another incarnation
    bool on_orders(const guard_orders& orders, time_point now);
    /// @brief A report was answered. @param sent when it was sent
    void on_answer(const report_answer& answer, const worker_report& report,
                   time_point sent, time_point now);
    /// @brief A start ended.
    void on_started(const start_run& what, order_result result, time_point now);
    /// @brief A stop ended.
    void on_stopped(const stop_run& what, order_result result, time_point now);
    /// @brief A pace ended.
    void on_paced(const throttle_run& what, order_result result);
    /// @brief A look ended. @param asked the life that was meant
    /// @param look nothing if it got no answer
    void on_polled(const executor_incarnation& asked, order_result result,
                   const std::optional<executor_snapshot>& look,
                   time_point sent, time_point now);

    /// @brief What to do now.
    std::vector<executor_action> due(time_point now);
    [[nodiscard]] const std::string& incarnation() const noexcept
    {
        return incarnation_;
    }
    /// @brief The present report, without the guard's own name and address.
    [[nodiscard]] worker_report report(time_point now) const;
    /// @brief Whether something is new since the last call; clears it.
    bool take_report_due() noexcept;

    [[nodiscard]] std::int64_t epoch() const noexcept
    {
        return epoch_;
    }
    /// @brief What orders calls to the executor: by the holder's epoch, then
    /// the guard's processes, then the executor's lives that a process has met.
    ///
    /// A call that was meant for a former life of the same id can be carried
    /// out late by the next one. It would extend the lease there by the longest
    /// one, or begin a run. Once the next life has answered a call of its own
    /// fence, it does nothing for those of before.
    [[nodiscard]] std::int64_t fence() const noexcept;
    /// @brief Fences of one epoch; those of the next epoch follow.
    static constexpr std::int64_t fences_an_epoch = std::int64_t{1} << 24;
    [[nodiscard]] time_point lease_granted_until() const noexcept
    {
        return permit_until_;
    }
    [[nodiscard]] const worker_description& worker() const noexcept
    {
        return worker_;
    }
    /// @brief Changes of the fills' pace since the last call, for the log.
    std::vector<pace_change> take_pace_changes()
    {
        return interference_.take_changes();
    }
    /// @brief Whether ends are listed that the holder has not acknowledged.
    [[nodiscard]] bool has_ends() const noexcept
    {
        return !ended_.empty();
    }

private:
    enum class stage : std::uint8_t
    {
        starting, ///< until the worker confirms the start
        running,
        stopping, ///< until the worker confirms the stop
        stopped   ///< until a later look shows that it is gone
    };

    struct tracked_run
    {
        start_order order;
        stage at = stage::starting;
        std::int64_t start_until_ms = 0; ///< see guard_orders; 0: no bound
        bool call_open = false;
        /// A copy of its start may be at the worker of which no answer will
        /// tell: it can begin, or has, whatever another copy is answered.
        bool in_doubt = false;
        std::int64_t unanswered = 0;
        time_point next_call{};
        /// When a start was sent that the worker, which had answered just
        /// before, may have taken; one that has been gone for longer than a
        /// look takes cannot have.
        std::optional<time_point> start_sent;
        std::optional<time_point> begun; ///< it has, or may have, since then
        bool start_confirmed = false;    ///< the worker said so
        time_point listed{};             ///< by the newest look that shows it
        time_point confirmed{};  ///< when the present stage was confirmed
        std::string refusal;     ///< why it is given back once it is gone
        std::int64_t pace = 100; ///< percent that the worker has taken
        bool pace_open = false;
    };

    /// A run that surely never begins, and when the worker made that sure.
    struct past_refusal
    {
        refused_run what;
        time_point at{};
    };

    /// The newest run of a task that is over here, and when that was last seen.
    struct ended_run
    {
        std::int64_t run = 0;
        time_point at{};
    };

    /// A life that is over, and when a holder first heard of it.
    struct reported_incarnation
    {
        past_incarnation what;
        std::optional<time_point> told;
    };

    /// An executor of another life, until its address has told who is there.
    struct unconfirmed_incarnation
    {
        worker_description what; ///< without a life: there is none
        std::int64_t clock_ms = 0;
        time_point heard{};
        bool asking = false;
        time_point next_ask{};
    };

    void on_unconfirmed_heartbeat(const worker_description& what,
                                  std::int64_t clock_ms, time_point now);
    void begin_incarnation(const executor_incarnation& next, time_point now);
    void carry_uncertain_starts(time_point now);
    void on_unconfirmed_polled(order_result result,
                               const std::optional<executor_snapshot>& look,
                               time_point now);
    void switch_incarnation(const executor_incarnation& who, time_point now);
    void drop_surviving_runs();
    void poll_unconfirmed(time_point now, std::vector<executor_action>& out);
    void refuse(const std::string& task, tracked_run& run,
                const std::string& reason, time_point now);
    void settle(time_point sent, time_point now);
    void note_health(order_result result);
    void remember_incarnation(time_point now);
    void remember_run(const std::string& task, const tracked_run& run);
    void forget_reported_incarnations(const worker_report& report,
                                      time_point now);
    void list_runs(worker_report& out) const;
    void act_on_run(const std::string& task, tracked_run& run, time_point now,
                    std::vector<executor_action>& out);
    void act_on_worker(time_point now, std::vector<executor_action>& out);
    void refuse_unstarted(time_point now);
    void take_stop(const stop_order& order, time_point now);
    void stop_superseded(std::vector<executor_action>& out);
    void report_refusal(refused_run what, time_point now);
    [[nodiscard]] bool was_refused(const start_order& order);
    [[nodiscard]] bool has_ended(const start_order& order) const;
    void record_ended(const std::string& task, std::int64_t run,
                      time_point now);
    void give_back(const std::vector<std::string>& tasks, const char* why,
                   time_point now);
    [[nodiscard]] static bool is_void(std::int64_t until_ms, time_point now);
    void act_on_pace(const std::string& task, tracked_run& run,
                     std::vector<executor_action>& out);
    [[nodiscard]] std::int64_t worker_clock(time_point now) const;
    [[nodiscard]] static std::int64_t vm_clock_ms(time_point now);
    [[nodiscard]] bool is_silent(time_point now) const;
    std::int64_t lease_to(duration left, time_point now);
    void expect_longest_lease(time_point from);
    [[nodiscard]] bool may_lease(time_point now) const;
    [[nodiscard]] std::int64_t lease_left(time_point now) const;
    [[nodiscard]] bool is_running(const std::string& task,
                                  std::int64_t run) const;
    [[nodiscard]] bool is_ended(const std::string& task,
                                std::int64_t run) const;

    run_reconciler_options options_;
    std::string incarnation_;
    worker_description worker_;
    unconfirmed_incarnation unconfirmed_;
    std::set<executor_incarnation> ended_incarnations_; ///< surely over
    std::int64_t incarnation_count_ = 0; ///< that this process has met
    std::vector<reported_incarnation> former_;
    past_incarnation over_; ///< what surely went with the present life
    guard_admission admission_;
    std::int64_t clock_ms_ = 0; ///< the worker's clock at clock_at_
    time_point clock_at_{};
    bool knows_clock_ = false; ///< that of the present life
    std::int64_t epoch_ = 0;
    bool closed_ = false; ///< the data centre, by the newest orders
    time_point permit_until_{};
    time_point answered_{};     ///< when the worker last answered or spoke
    time_point leased_until_{}; ///< no lease asked for lasts longer
    std::int64_t acknowledged_ = 0;
    std::map<std::string, tracked_run> runs_;
    bool polled_ = false;
    time_point polled_at_{};   ///< when its lists came last
    bool poll_failed_ = false; ///< the newest one; the next is to tell more
    std::optional<time_point> failing_since_; ///< of looks that all failed
    time_point vouched_at_{};                 ///< see poll_executor
    bool poll_open_ = false;
    time_point next_look_{};
    std::vector<running_task> running_;
    std::vector<ended_task> ended_;
    /// Of runs that the worker shows beside newer ones that are kept.
    std::vector<stop_order> superseded_stops_;
    std::vector<refused_run> refused_; ///< not told to a holder yet
    std::map<std::string, past_refusal> past_refusals_; ///< newest, by task
    std::map<std::string, ended_run> ended_runs_;       ///< by task
    interference_controller interference_;
    time_point full_reported_at_{}; ///< when the holder last heard what runs
    /// The worker's newest answer was that it does nothing, or nobody takes
    /// calls at its address.
    bool unhealthy_ = false;
    bool report_due_ = false;
};

} // namespace springstair
