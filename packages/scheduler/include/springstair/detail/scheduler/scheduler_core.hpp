#pragma once

#include <springstair/detail/scheduler/availability_counts.hpp>
#include <springstair/detail/scheduler/closure_tracker.hpp>
#include <springstair/detail/scheduler/crash_suspicion.hpp>
#include <springstair/detail/scheduler/end_proof.hpp>
#include <springstair/detail/scheduler/fault_detector.hpp>
#include <springstair/detail/scheduler/infeasible_queries.hpp>
#include <springstair/detail/scheduler/interference_model.hpp>
#include <springstair/detail/scheduler/job_order.hpp>
#include <springstair/detail/scheduler/job_record.hpp>
#include <springstair/detail/scheduler/placement.hpp>
#include <springstair/detail/scheduler/ticket_cache.hpp>
#include <springstair/detail/scheduler/wait_report.hpp>
#include <springstair/detail/scheduler/worker_ledger.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Timings and bounds of a holder.
struct scheduler_options
{
    placement_options placement;
    order_options order;
    suspicion_options suspicion;
    closing_options closing;
    fault_detector_options failures;
    /// How long a worker's lease may last on one answer to its guard. Above
    /// a guard's restart and a frozen VM; below the platform's most.
    duration lease_grant = std::chrono::seconds(4);
    /// No permit ends later than this after the office was last verified. A
    /// successor waits as long for workers it cannot reach. Above the longest
    /// outage of the store that tasks should survive, plus a permit.
    duration lease_horizon = std::chrono::seconds(10);
    /// A state that can still change is shown from memory for so long after
    /// the office was last verified. A holder that was paused or cut off for
    /// longer may have a successor that showed a later state, and callers
    /// would see the job go back. The lease of the office, 2 s, less the time
    /// between its renewals.
    duration max_read_age = std::chrono::milliseconds(1500);
    /// A worker's clock may run slower by this share of a lease (platform).
    double clock_drift = 0.02;
    /// Delays of messages and timers, on top of a lease.
    duration lease_slack = std::chrono::milliseconds(300);
    /// Least time between two writes: bounds the calls to the store.
    duration min_commit_interval = std::chrono::milliseconds(20);
    /// Ends that nothing waits for are written with others of their job: each
    /// write carries the whole record. Their workers hear that they may forget
    /// them so much later. Writes took 43 ms of processor time a second at 160
    /// workers and 440 starts a second without it, 20 ms with it.
    duration end_batch_delay = std::chrono::milliseconds(60);
    /// Jobs a write: each takes a condition and a put of the store's 32
    /// entries, and the office's own condition one.
    std::size_t jobs_per_commit = 15;
    /// A start or stop that shows no effect is repeated after so long: two
    /// reports of a guard.
    duration order_retry_interval = std::chrono::milliseconds(1000);
    /// A refused task is tried again after so long; the ledger was wrong and
    /// a report corrects it in the meantime.
    duration refused_backoff = std::chrono::milliseconds(300);
    /// Without a change of jobs or room, waiting tasks are looked through so
    /// often: figures of workers and clocks move slowly beside it.
    duration placement_interval = std::chrono::milliseconds(100);
    /// How long a worker that fails what it starts gets nothing at first;
    /// doubled each time until it is sound, up to the most.
    duration min_ejection = std::chrono::seconds(2);
    duration max_ejection = std::chrono::seconds(10);
    /// A run whose progress stands still for so long is moved elsewhere.
    duration stuck_after = std::chrono::milliseconds(2000);
    /// The same for a run that fills, which may rightly be starved longer.
    duration stuck_fill_after = std::chrono::milliseconds(5000);
    /// Before a worker leaves, runs are stopped when this little remains.
    duration leave_margin = std::chrono::milliseconds(1500);
    /// Figures of a worker are learnt from so often: each is an average of
    /// the half second before.
    duration sample_interval = std::chrono::milliseconds(450);
    /// A fill of a job that has nothing running waits no longer than this for
    /// a worker whose serving tasks bear it; half of what the platform allows.
    duration max_interference_wait = std::chrono::milliseconds(1500);
    /// Lasting jobs that come within this time of one another are placed
    /// together, the largest tasks first. With the workers kept free it took
    /// what the largest tenth of them is without workers to a third (mean of
    /// 10 played days of 62 workers); a lasting job runs for a minute or more.
    duration lasting_batch_window = std::chrono::milliseconds(100);
    /// A lasting job waits no longer than this for others.
    duration max_lasting_batch_wait = std::chrono::milliseconds(300);
    /// Workers that are kept free at once for tasks that wait. A search of
    /// all workers for each; more would slow a pass at thousands of them.
    std::size_t max_reservations = 32;
    /// The same as a share of all workers: the others stay with the work that
    /// passes, which starts within two seconds.
    double reserved_share = 0.1;
    /// A fill that is slowed below this pace, in percent, moves to a worker
    /// that bears it, if it can be resumed there.
    std::int64_t relocate_below_pace = 50;
    /// It does not return for so long: what slowed it there, a load that
    /// swings over some ten seconds, is hardly gone before.
    duration return_backoff = std::chrono::milliseconds(4000);
    /// A step that only some workers may run, all full of lasting runs, waits
    /// for so long before one of those moves; half of what the platform allows.
    duration max_blocked_time = std::chrono::milliseconds(1500);
    /// How often a way is looked for, for one step, and at how many workers:
    /// each is a search of all workers.
    duration preemption_interval = std::chrono::milliseconds(500);
    std::size_t max_preemption_searches = 16;
    /// Runs that move at one report: figures follow only half a second later.
    std::size_t max_relocations_per_report = 3;
    /// A task that waits longer than this has its reason logged: waits below
    /// are the turns of reports and passes.
    duration wait_log_threshold = std::chrono::milliseconds(500);
    /// How often lasting tasks are looked at: guards report twice a second.
    duration availability_sample_interval = std::chrono::seconds(1);
    /// The wait of a step, and the service of a lasting job, are told so
    /// often at most: a line a second for each five that are not served.
    duration min_log_interval = std::chrono::seconds(5);
    /// Harm below this is not worth telling a guard.
    double min_reported_interference = 0.8;
};

/// @brief One job's record to be written.
struct progress_write
{
    std::string job;
    std::string text;
    std::int64_t expected_revision = 0; ///< of the stored record; 0: none
    std::int64_t change = 0;
    job_state state = job_state::pending;

    bool operator==(const progress_write&) const = default;
};

/// @brief Records to be written in one transaction.
using commit_batch = std::vector<progress_write>;

/// @brief A decision, for the log.
struct decision
{
    event_id id;
    std::vector<event_field> fields;
};

/// @brief A job that reached its last state, for the metrics.
struct finished_job
{
    std::string queue;
    job_state state = job_state::succeeded;
    duration age{0};      ///< since it was accepted
    duration to_start{0}; ///< from then to its first start
};

/// @brief Orders for one guard and where it takes them.
struct addressed_orders
{
    std::string guard;
    std::string address;
    guard_orders orders;
};

/// @brief Figures of a holder, for the metrics.
struct scheduler_figures
{
    std::int64_t starts = 0;
    std::int64_t refused = 0;
    std::int64_t lost = 0;
    std::int64_t failed_runs = 0;
    std::int64_t jobs_open = 0;
    std::int64_t workers = 0;
    availability_counts lasting; ///< at the newest sample
    /// Of it, the tenth of the lasting jobs that reserves most processors.
    availability_counts largest_lasting;
    std::int64_t closed_data_centres = 0;
    std::int64_t runs_in_closed = 0; ///< that may still be at work there
};

/// @brief All jobs and workers of one holder, and every decision on them.
///
/// Effects of a change (a start, an acknowledged end, a state shown to
/// callers) are released only once the store has the change.
class scheduler_core
{
public:
    explicit scheduler_core(scheduler_options options = {});

    /// @brief Begins an office. @param epoch grows with each office
    void begin_term(std::int64_t epoch, time_point now);
    /// @brief Adds a job that an earlier holder kept, before begin().
    void adopt(job what, const std::optional<job_progress>& kept,
               std::int64_t revision, time_point now, std::int64_t unix_ms);
    /// @brief Begins with the harms that an earlier holder knew.
    void adopt_interference(const std::vector<pair_interference>& harms)
    {
        interference_model_.adopt(harms);
    }
    /// @brief What is known of harms, for a successor.
    [[nodiscard]] std::vector<pair_interference> known_interference() const
    {
        return interference_model_.known();
    }
    /// @brief All kept jobs are adopted: workers may report.
    void begin(time_point now);

    /// @brief A newer table is in force. Older ones are ignored.
    void set_table(const queue_table& table);
    /// @brief What an operator has closed, as newly heard from the store.
    void set_closed(const closed_data_centres& known, time_point now);
    /// @brief A job was accepted. Known jobs are ignored.
    void accept(job what, time_point now);
    /// @brief A job was cancelled, and the store has it.
    void cancel(const std::string& id, time_point now);

    /// @brief A guard reports. @param verified when the office was last known
    /// to be this holder's, by a store call sent then
    report_answer report(const worker_report& from, time_point now,
                         time_point verified);

    /// @brief Time passes. @param unix_ms time of day since 1970
    void tick(time_point now, std::int64_t unix_ms);

    /// @brief What to write next; none while one is under way or it is too
    /// soon. The caller answers with committed(), and calls tick() before, so
    /// that the write carries what could be placed.
    std::optional<commit_batch> next_commit(time_point now);
    /// @brief The store has the batch. @param revision of its items
    void committed(const commit_batch& batch, std::int64_t revision,
                   time_point now);

    /// @brief What to ask the advice service next; nothing while a question
    /// is out. The caller answers with advised().
    std::optional<advice_query> next_question(time_point now)
    {
        return advice_.next_question(now);
    }
    /// @brief What came of the question; nothing if it got no answer.
    void advised(const std::optional<advice_answer>& answer, time_point now);

    /// @brief Orders that became due.
    std::vector<addressed_orders> take_orders();
    /// @brief Decisions since the last call.
    std::vector<decision> take_decisions();

    /// @brief Jobs that ended since the last call.
    std::vector<finished_job> take_finished();

    /// @brief What callers may be shown of a job; nothing if unknown, or if
    /// another holder may know better by now.
    /// @param verified when the office was last known to be this holder's
    [[nodiscard]] std::optional<job_state>
    shown(const std::string& id, time_point now, time_point verified) const;
    /// @brief Jobs of a queue of which no task has begun.
    [[nodiscard]] std::int64_t waiting(const std::string& queue) const;
    /// @brief The present epoch.
    [[nodiscard]] std::int64_t epoch() const noexcept
    {
        return epoch_;
    }
    [[nodiscard]] const worker_map& workers() const noexcept
    {
        return workers_;
    }
    [[nodiscard]] const job_record* find(const std::string& id) const;
    [[nodiscard]] scheduler_figures figures() const;

private:
    // Writing (scheduler_writing.cpp).

    // Ends of a job's runs at one worker that the store may not have yet.
    struct uncommitted_end
    {
        std::int64_t change = 0; ///< of the job, with the newest of them
        resources room;          ///< that they free
    };

    [[nodiscard]] bool may_write(time_point now) const noexcept;
    [[nodiscard]] bool is_due(const job_record& of, time_point now) const;
    std::set<std::string> jobs_to_write(time_point now);
    [[nodiscard]] bool is_kept(const std::string& job,
                               std::int64_t change) const;
    void note_freed(const std::string& guard, const job_record& of,
                    const job_step& step);
    const std::map<std::string, uncommitted_end>&
    find_uncommitted_ends(const std::string& guard);
    const std::map<std::string, uncommitted_end>&
    ends_needed(const worker_record& at, const job_step& step);
    void use_room(job_record& of, const job_step& step,
                  const worker_record& at);
    std::set<std::string> written_with(const std::string& id);
    bool can_be_written(const std::string& id, const job_step& step,
                        const std::vector<worker_record*>& chosen);

    // Placing (scheduler_placing.cpp).
    // A placement is ordered once it is written, so a pass before the next
    // write gains nothing: with one for each report, placing took 219 ms of
    // processor time a second at 160 workers and 440 starts a second, with one
    // for each write 37 ms (bench/office).
    void place_if_due(time_point now, std::int64_t unix_ms);
    void place(time_point now, std::int64_t unix_ms);
    bool place_job(job_record& of, time_point now, std::int64_t unix_ms);
    bool place_step(job_record& of, const queue_row& queue, std::int64_t round,
                    std::int64_t step, time_point now);
    bool place_gang(job_record& of, const queue_row& queue, std::int64_t round,
                    std::int64_t step, time_point now);
    std::vector<worker_record*> gang_workers(job_record& of,
                                             const queue_row& queue,
                                             const task_position& first,
                                             const ticket_map* tickets,
                                             time_point now);
    void log_gang_wait(job_record& of, const queue_row& queue,
                       const task_position& first, const ticket_map* tickets,
                       time_point now);
    ticket_map tickets_for(const job_step& step, const std::string& group,
                           const queue_row& queue, time_point now);
    void record_placement(job_record& of, job_task& task, worker_record& at,
                          std::int64_t number, const ticket_map& tickets,
                          time_point now);

    [[nodiscard]] bool is_batching(const job_record& of, const job_step& step,
                                   time_point now) const;
    bool place_isolated(placement_query query, job_record& of, job_task& task,
                        const ticket_map& tickets);
    worker_record* isolation_worker(const placement_query& query,
                                    time_point ready_since);
    bool is_isolation_valid(const worker_record& at, time_point now);
    void reserve_workers(const placement_query& query, std::int64_t tasks);
    void begin_pass();

    // Closed data centres (scheduler_closing.cpp).
    void log_closure(const std::string& data_centre, time_point now);
    bool may_start(time_point now);
    [[nodiscard]] std::int64_t starts_until_ms(const worker_record& at) const;
    [[nodiscard]] std::int64_t runs_in(const std::string& data_centre) const;

    // What is told of waits and service (scheduler_sight.cpp).
    void log_wait(const placement_query& query, const job_record& of,
                  const job_task& first,
                  std::optional<wait_cause> known = std::nullopt);
    void watch_service(time_point now);
    void sample_jobs();
    void log_service();

    // Reports (scheduler_reports.cpp).
    worker_record& worker_of(const worker_report& from, time_point now);
    bool is_admitted(worker_record& at, const worker_report& from,
                     report_answer& answer);
    [[nodiscard]] static bool lists_running(const worker_report& from,
                                            const std::string& task,
                                            std::int64_t run);
    static bool lists_end(const worker_report& from, const std::string& task,
                          std::int64_t run);
    [[nodiscard]] static bool report_shows(const worker_report& from,
                                           const refused_run& refusal);
    void note_ends(worker_record& at, const worker_report& from,
                   time_point now);
    void note_refusals(worker_record& at, const worker_report& from,
                       time_point now);
    void note_running(worker_record& at, const worker_report& from,
                      guard_orders& out, time_point now);
    void note_unwanted(const worker_record& at, const running_task& row,
                       const job_task* task);
    void stop_unwanted_starts(const worker_record& at,
                              const worker_report& from, guard_orders& out);
    void note_progress(worker_record& at, task_run& run, const job_step& step,
                       const running_task& row, time_point now);
    void log_missing_run(const worker_record& at, const worker_report& from,
                         task_run& run, const std::string& task);
    void repeat_missing(worker_record& at, const worker_report& from,
                        guard_orders& out, time_point now);
    void relocate_slowed(worker_record& at, const worker_report& from,
                         guard_orders& out, time_point now);
    bool may_move(const task_name& name, const std::string& image);
    bool is_welcome_elsewhere(const task_name& name, const worker_record& at,
                              time_point now);
    void relocate(const task_name& name, const worker_record& at,
                  std::int64_t pace, guard_orders& out, time_point now);
    void preempt_lasting(const placement_query& query, const job_record& of,
                         const job_task& task);
    resources room_after_stops(const worker_record& at);
    bool is_preemptible(const task_name& name);
    void drain_leaving_worker(worker_record& at, guard_orders& out,
                              time_point now);
    void learn_interference(worker_record& at, const worker_report& from,
                            time_point now);
    [[nodiscard]] std::vector<pair_interference>
    interference_at(const worker_record& at) const;
    std::int64_t acknowledge(worker_record& at);
    [[nodiscard]] start_order order_for(const job_record& of,
                                        const job_task& task) const;

    // Leases (scheduler_leases.cpp).
    [[nodiscard]] bool is_end_given_up(const worker_record& at,
                                       const ended_task& end);
    void check_lease_must_expire(worker_record& at, const worker_report& from,
                                 bool knows_incarnation);
    void extend_lease(worker_record& at, const worker_report& from,
                      duration lease_grant, time_point now) const;
    [[nodiscard]] duration lease_grant_for(const worker_report& from,
                                           time_point now,
                                           time_point verified) const;

    // Lost runs (scheduler_losses.cpp).

    // What one crash says of a task.
    struct crash_count
    {
        std::int64_t run = 0;
        std::int64_t added = 0; ///< to its suspicion
        bool is_sole = false;   ///< everything else there had proved itself
        bool is_sure = false;   ///< the run had surely begun
        bool is_gang = false;   ///< its members are not run apart
    };

    // What had not proved itself where an executor crashed.
    struct unproven_neighbours
    {
        std::int64_t unproven = 0;
        std::int64_t suspects = 0; ///< of them
    };

    // Runs of an executor's former life, by what a look at the next one shows.
    struct runs_after_restart
    {
        std::set<task_name> over;  ///< they died with the life, or never began
        std::set<task_name> taken; ///< by the next life; it lists them
        std::set<task_name> open;  ///< their start may reach the next life
    };

    void on_executor_restart(worker_record& at, const worker_report& from,
                             time_point now);
    runs_after_restart after_restart(const std::set<task_name>& runs,
                                     const worker_report& from);
    void follow_restart(worker_record& at, const runs_after_restart& runs,
                        const executor_incarnation& next, time_point now);
    void rebind_run(const task_name& name, const executor_incarnation& executor,
                    time_point now);
    [[nodiscard]] static bool is_judged(const job_record& of,
                                        const job_task& task, std::int64_t run);
    std::map<task_name, std::int64_t> unproven_runs(const worker_record& at);
    void suspect_unwitnessed(const worker_record& at,
                             const std::map<task_name, std::int64_t>& runs,
                             time_point now);
    std::map<task_name, std::int64_t>
    unwitnessed_runs(const runs_after_restart& runs, const worker_report& from);
    void adopt_inherited(worker_record& at, const worker_report& from,
                         time_point now);
    void adopt_run(worker_record& at, const task_name& name, time_point now);
    static void watch_suspect(worker_record& at, const job_task& task,
                              const task_name& name);
    void lose_lapsed(worker_record& at, const worker_report& from,
                     time_point now);
    void lose_worker(worker_record& at, const std::set<task_name>& runs,
                     const end_proof& over, time_point now);
    void lose_runs(const std::set<task_name>& lost, const end_proof& over,
                   time_point now);
    [[nodiscard]] static duration shown_at_work(const task_run& run);
    void judge_crashes(worker_record& at, const worker_report& from,
                       time_point now);
    void judge_crash(worker_record& at, const past_incarnation& over,
                     time_point now);
    unproven_neighbours unproven_neighbours_in(const past_incarnation& over);
    static time_point end_of(const past_incarnation& over,
                             const worker_record& at, const worker_report& from,
                             time_point now);
    [[nodiscard]] bool went_with_its_rack(const worker_record& at,
                                          time_point now) const;
    void suspect(const worker_record& at, const task_name& name,
                 const crash_count& count, crash_scope scope, time_point now);
    void note_soundness(worker_record& at, job_task& task,
                        const task_name& name);

    // Ends (scheduler_ends.cpp).
    void close_run(job_record& of, job_task& task, const end_proof& over,
                   time_point now);
    void close_gang(job_record& of, const task_position& at, run_end how,
                    time_point now);
    void count_failure(job_record& of, job_task& task, const task_run& run,
                       time_point now);
    static bool is_evidence_of_fault(const worker_record& at,
                                     const job_record& of, const task_run& run,
                                     run_end how);
    void update_fault_score(worker_record& at, const job_record& of,
                            const task_run& run, run_end how, time_point now);
    void finish(job_record& of, job_state state, time_point now,
                std::vector<event_field> why);
    void fail(job_record& of, const job_task& task, time_point now,
              std::vector<event_field> why);
    void finish_if_done(job_record& of, time_point now);
    void forget_advice(const job_record& of);
    void stop_all(job_record& of);
    static void order_stop(task_run& run, const std::string& task,
                           guard_orders& out);
    void mark_changed(job_record& of, time_point now);
    void log_decision(event_id id, std::vector<event_field> fields);

    job_record* job_of(const std::string& id);
    // A task by its name, as guards write it; nulls if there is none.
    struct known_task
    {
        job_record* of = nullptr;
        job_task* task = nullptr;
    };
    known_task known(const std::string& name);
    [[nodiscard]] static bool is_current_run(const job_task* task,
                                             std::int64_t run,
                                             const worker_record& at);

    scheduler_options options_;
    queue_table table_;
    closure_tracker data_centres_;
    fault_detector failures_;
    bool withheld_ = false; ///< starts, for want of news of data centres
    std::int64_t epoch_ = 0;
    bool begun_ = false;
    time_point term_started_at_{};
    std::map<std::string, std::unique_ptr<job_record>> jobs_;
    /// Jobs that may have tasks to place.
    std::set<std::string> placeable_jobs_;
    std::vector<std::string> dirty_; ///< jobs to write, oldest change first
    std::set<std::string> is_dirty_;
    /// By the guard of the worker whose room they free, and by their job.
    std::map<std::string, std::map<std::string, uncommitted_end>> freed_;
    bool committing_ = false;
    time_point last_commit_{};
    worker_map workers_;
    interference_model interference_model_;
    ticket_cache advice_;
    /// Of this pass over the waiting tasks.
    infeasible_queries infeasible_queries_;
    time_point last_lasting_{};       ///< when the newest lasting job came
    time_point next_preemption_at_{}; ///< when lasting runs may give way again
    std::size_t reservations_ = 0;    ///< workers that this pass keeps free
    /// Workers up that are closed for suspects.
    std::size_t isolated_workers_ = 0;
    bool may_place_ = true; ///< jobs or room changed since the last pass
    time_point last_pass_{};
    std::int64_t next_due_ms_ = 0; ///< time of day of the next round
    /// Runs that an earlier holder placed, by guard, until it reports.
    std::map<std::string, std::set<task_name>> inherited_runs_;
    std::map<std::string, guard_orders> outbox_;
    std::vector<decision> decisions_;
    std::vector<finished_job> finished_;
    wait_log waits_;
    /// Of lasting jobs, by their id, since it was last told.
    std::map<std::string, availability_counts> service_;
    time_point next_sample_{};
    time_point next_service_log_{};
    std::int64_t accepted_jobs_ = 0;
    scheduler_figures counts_;
};

} // namespace springstair
