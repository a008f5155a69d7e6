#pragma once

#include <springstair/detail/scheduler/availability_counts.hpp>
#include <springstair/detail/scheduler/closure_tracker.hpp>
#include <springstair/detail/scheduler/crash_suspicion.hpp>
#include <springstair/detail/scheduler/disruption_budget.hpp>
#include <springstair/detail/scheduler/end_proof.hpp>
#include <springstair/detail/scheduler/fault_detector.hpp>
#include <springstair/detail/scheduler/held_ends.hpp>
#include <springstair/detail/scheduler/infeasible_queries.hpp>
#include <springstair/detail/scheduler/interference_model.hpp>
#include <springstair/detail/scheduler/job_forecast.hpp>
#include <springstair/detail/scheduler/job_memory.hpp>
#include <springstair/detail/scheduler/job_order.hpp>
#include <springstair/detail/scheduler/job_record.hpp>
#include <springstair/detail/scheduler/placement.hpp>
#include <springstair/detail/scheduler/run_time_model.hpp>
#include <springstair/detail/scheduler/scheduler_options.hpp>
#include <springstair/detail/scheduler/start_queue.hpp>
#include <springstair/detail/scheduler/ticket_cache.hpp>
#include <springstair/detail/scheduler/urgent_room.hpp>
#include <springstair/detail/scheduler/wait_report.hpp>
#include <springstair/detail/scheduler/worker_ledger.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace springstair
{

/// @brief What a record to be written contains.
enum class record_kind : std::uint8_t
{
    progress, ///< of a job that the leader has loaded
    ends      ///< of runs of a job that it holds
};

/// @brief A job's record to be written.
struct progress_write
{
    record_kind kind = record_kind::progress;
    std::string job;
    /// Number of a record of ends: unique among those of the term.
    std::int64_t number = 0;
    std::string text;
    std::int64_t expected_revision = 0; ///< of the stored record; 0: none
    std::int64_t change = 0; ///< newest change of the job that text contains
    job_state state = job_state::pending;

    bool operator==(const progress_write&) const = default;
};

/// @brief Records to be written in one transaction.
using commit_batch = std::vector<progress_write>;

/// @brief A decision to be logged.
struct decision
{
    event_id id;
    std::vector<event_field> fields;
};

/// @brief A job that reached its final state, for the metrics.
struct finished_job
{
    std::string queue;
    job_state state = job_state::succeeded;
    duration age{0}; ///< since its acceptance
    /// From its acceptance to its first placement; without one, to its end.
    duration to_start{0};
};

/// @brief Orders for one guard, and the address to send them to.
struct addressed_orders
{
    std::string guard;
    std::string address;
    guard_orders orders;
};

/// @brief Figures of the scheduler, for the metrics. starts (runs placed),
/// refused, lost and failed_runs count runs since the start of the term.
struct scheduler_figures
{
    std::int64_t starts = 0;
    std::int64_t refused = 0;
    std::int64_t lost = 0;
    std::int64_t failed_runs = 0;
    /// Long-running runs that yielded to urgent tasks, in this term.
    std::int64_t yields = 0;
    /// Urgent runs placed on capacity reserved for another task, in this term.
    std::int64_t urgent_on_reserved = 0;
    /// Jobs that could not meet their objective any more, by their forecast.
    std::int64_t jobs_deferred = 0;
    std::int64_t jobs_open = 0;
    std::int64_t workers = 0;
    availability_counts lasting; ///< at the newest sample
    /// The same for the tenth of the long-running jobs that reserve most
    /// processors.
    availability_counts largest_lasting;
    std::int64_t closed_data_centres = 0;
    std::int64_t runs_in_closed = 0; ///< that may still be running there
    // Deliberate stops of long-running runs since the start of the term.
    std::int64_t disruptions_granted = 0;
    std::int64_t disruptions_held = 0;       ///< runs whose stop had to wait
    std::int64_t disruption_emergencies = 0; ///< stops beyond the budget
};

/// @brief All jobs and workers, and every decision about them.
///
/// Effects of a change (a start, an acknowledged end, a state shown to callers)
/// are released only after the change is committed.
class scheduler_core
{
public:
    explicit scheduler_core(scheduler_options options = {});

    /// @brief Starts a term. @param epoch increases with each term
    void begin_term(std::int64_t epoch, time_point now);
    /// @brief Adds a job stored by a previous leader, before begin().
    /// @param ends that leaders stored which held the job
    void adopt(job definition, const std::optional<job_progress>& saved,
               std::int64_t revision, time_point now, std::int64_t unix_ms,
               const std::vector<ended_task>& ends = {});
    /// @brief Holds a job, which cannot be loaded: its runs are stopped, and
    /// their ends are stored for the leader that loads it.
    void hold(const std::string& id)
    {
        held_ends_.hold(id);
    }
    /// @brief Starts from the interference that a previous leader learnt.
    void adopt_interference(const std::vector<pair_interference>& harms)
    {
        interference_model_.adopt(harms);
    }
    /// @brief The learnt interference, for a successor.
    [[nodiscard]] std::vector<pair_interference> known_interference() const
    {
        return interference_model_.known();
    }
    /// @brief All stored jobs are adopted: workers may report.
    void begin(time_point now);

    /// @brief Uses a newer table. Older ones are ignored.
    void set_table(const queue_table& table);
    /// @brief Updates the closed data centres, as read from the store.
    void set_closed(const closed_data_centres& known, time_point now);
    /// @brief Adds an accepted job. Known jobs are ignored.
    void accept(job definition, time_point now);
    /// @brief Cancels a job whose cancellation is committed.
    void cancel(const std::string& id, time_point now);

    /// @brief Handles a guard's report. @param verified when leadership was
    /// last known to be held, by a store call sent then
    report_answer report(const worker_report& report, time_point now,
                         time_point verified);

    /// @brief Handles the passing of time: expired leases, then a placement
    /// pass if one is due. @param unix_ms time of day since 1970
    void tick(time_point now, std::int64_t unix_ms);

    /// @brief The next records to write; nothing while a write is in flight or
    /// the interval since the last one is too short. The caller reports
    /// completion with committed(), and calls tick() first, so that the write
    /// includes all possible placements.
    std::optional<commit_batch> next_commit(time_point now);
    /// @brief The batch is committed. @param revision of the written items
    void committed(const commit_batch& batch, std::int64_t revision,
                   time_point now);

    /// @brief The store rejects the batch, and would reject it again. Its
    /// records are then written one by one, and those that are rejected again
    /// wait for scheduler_options::rejected_backoff, without others.
    void rejected(const commit_batch& batch, time_point now);

    /// @brief The next query to the advice service; nothing while one is in
    /// flight. The caller reports its result with advised().
    std::optional<advice_query> next_query(time_point now)
    {
        return tickets_.next_query(now);
    }
    /// @brief Handles the answer to the query; nothing if there was none.
    void advised(const std::optional<advice_answer>& answer, time_point now);

    /// @brief Returns and clears the orders that are due. Those for guards that
    /// have not reported in this term are dropped.
    std::vector<addressed_orders> take_orders();
    /// @brief Returns and clears the decisions made since the last call.
    std::vector<decision> take_decisions();

    /// @brief Returns and clears the list of jobs that ended since the last
    /// call.
    std::vector<finished_job> take_finished();

    /// @brief The state of a job that callers may see; nothing if the job is
    /// unknown, or if a successor may know a later state.
    /// @param verified_at when leadership was last known to be held
    [[nodiscard]] std::optional<job_state>
    shown(const std::string& id, time_point now, time_point verified_at) const;
    /// @brief Number of jobs of a queue of which no task has begun.
    [[nodiscard]] std::int64_t waiting(const std::string& queue) const;
    /// @brief Whether waiting() may count jobs that have begun: a previous
    /// leader placed tasks of theirs on workers whose guards have not reported
    /// yet. False once scheduler_options::first_report_wait has passed.
    [[nodiscard]] bool awaits_first_reports(const std::string& queue,
                                            time_point now) const;
    /// @brief The epoch of the present term.
    [[nodiscard]] std::int64_t epoch() const noexcept
    {
        return epoch_;
    }
    [[nodiscard]] const worker_map& workers() const noexcept
    {
        return workers_;
    }
    [[nodiscard]] const job_record* find(const std::string& id) const;
    /// @brief Records that a job of an earlier term has ended: it is never
    /// accepted again.
    void adopt_ended(const std::string& id);
    /// @brief Whether a job was accepted in this term or an earlier one.
    [[nodiscard]] bool knows(const std::string& id) const
    {
        return jobs_.contains(id) || forgotten_.contains(id);
    }
    /// @brief Bytes that are counted for all jobs; see
    /// job_record::memory_bytes().
    [[nodiscard]] const job_bytes& held_bytes() const noexcept
    {
        return held_bytes_;
    }
    [[nodiscard]] scheduler_figures figures() const;

private:
    // Writing (scheduler_writing.cpp).

    // Ends of a job's runs at one worker that may not be committed yet.
    struct uncommitted_end
    {
        std::int64_t change = 0; ///< of the job, with the newest of them
        resources freed;         ///< that they free
    };

    [[nodiscard]] bool may_write(time_point now) const noexcept;
    [[nodiscard]] bool is_due(const job_record& record, time_point now) const;
    std::optional<commit_batch> next_held_ends(time_point now);
    std::optional<commit_batch> next_progress(time_point now);
    static bool is_set_aside(job_record& record, time_point now);
    std::set<std::string> jobs_to_write(time_point now);
    [[nodiscard]] bool is_committed(const std::string& job,
                                    std::int64_t change) const;
    void record_freed(const std::string& guard, const job_record& record,
                      const job_step& step);
    const std::map<std::string, uncommitted_end>&
    find_uncommitted_ends(const std::string& guard);
    const std::map<std::string, uncommitted_end>&
    ends_needed(const worker_record& worker, const job_step& step);
    void record_required_changes(job_record& record, const job_step& step,
                                 const worker_record& worker);
    std::set<std::string> required_records(const std::string& id);
    progress_write write_of(job_record& record, time_point now);
    bool fits_one_commit(const std::string& id, const job_step& step,
                         const std::vector<worker_record*>& chosen);

    // Placement (scheduler_placing.cpp).
    //
    // A placement is ordered only after it is written, so passes between two
    // writes gain nothing. At 160 workers and 440 starts per second, placement
    // took 219 ms of processor time per second with a pass per report, 37 ms
    // with a pass per write (bench/office).
    void place_if_due(time_point now, std::int64_t unix_ms);
    void place(time_point now, std::int64_t unix_ms);
    job_rank rank(job_record& record, time_point now);
    void log_deferral(job_record& record, const job_forecast& known,
                      time_point now);
    bool place_job(job_record& record, time_point now, std::int64_t unix_ms);
    bool place_step(job_record& record, const queue_row& queue,
                    std::int64_t round, std::int64_t step, time_point now);
    ticket_map tickets_for(const job_step& step, const std::string& group,
                           const queue_row& queue, time_point now);
    void record_placement(job_record& record, job_task& task,
                          worker_record& worker, std::int64_t number,
                          const ticket_map& tickets, time_point now);

    [[nodiscard]] bool is_batching(const job_record& record,
                                   const job_step& step, time_point now) const;
    bool place_isolated(placement_query query, job_record& record,
                        job_task& task, const ticket_map& tickets);
    worker_record* isolation_worker(const placement_query& query,
                                    time_point ready_since);
    bool is_isolation_valid(const worker_record& worker, time_point now);
    void reserve_workers(const placement_query& query, std::int64_t tasks,
                         std::optional<time_point> firmly_from);
    void begin_pass();

    // Gangs (scheduler_gangs.cpp).
    bool place_gang(job_record& record, const queue_row& queue,
                    std::int64_t round, std::int64_t step, time_point now);
    std::vector<worker_record*> gang_workers(job_record& record,
                                             const queue_row& queue,
                                             const task_position& first,
                                             const ticket_map* tickets,
                                             time_point now);
    void log_gang_wait(job_record& record, const queue_row& queue,
                       const task_position& first, const ticket_map* tickets,
                       time_point now);

    // Capacity for urgent tasks (scheduler_urgent.cpp).

    // A long-running run that may yield, and the urgent tasks that it serves.
    struct yield_choice
    {
        worker_record* worker = nullptr;
        task_name name;
        std::int64_t served = 0;
        std::int64_t cpu_millis = 0; ///< that the run reserves
    };

    void update_urgent_holds(worker_record& worker);
    void record_urgent_wait(const placement_query& query,
                            const job_record& record, const queue_row& queue,
                            task_position position);
    void record_short_run(const job_record& record, worker_record& worker,
                          const task_name& name, time_point now);
    [[nodiscard]] std::vector<expected_capacity>
    capacity_of_yields(time_point now) const;
    void yield_to_urgent(time_point now);
    bool yield_for(const yield_request& request, time_point now);
    std::vector<worker_record*> yield_workers(const placement_query& query,
                                              const resources& demand);
    void improve_yield(worker_record& worker, const placement_query& query,
                       const yield_request& request, yield_choice& best);
    void yield_run(const yield_choice& choice, const yield_request& request,
                   time_point now);

    // Closed data centres (scheduler_closing.cpp).
    void log_closure(const std::string& data_centre, time_point now);
    bool may_start(time_point now);
    [[nodiscard]] std::int64_t
    starts_until_ms(const worker_record& worker) const;
    [[nodiscard]] std::int64_t runs_in(const std::string& data_centre) const;

    // Log of waits and availability (scheduler_diagnostics.cpp).
    void log_wait(const placement_query& query, const job_record& record,
                  const job_task& task,
                  std::optional<wait_cause> known_cause = std::nullopt);
    void sample_availability_if_due(time_point now);
    void sample_jobs();
    void log_service();

    // Reports (scheduler_reports.cpp), relocation and preemption
    // (scheduler_moves.cpp), interference (scheduler_learning.cpp).
    worker_record& worker_of(const worker_report& report, time_point now);
    bool is_admitted(worker_record& worker, const worker_report& report,
                     report_answer& answer);
    [[nodiscard]] static bool lists_running(const worker_report& report,
                                            const std::string& task,
                                            std::int64_t run);
    static bool lists_end(const worker_report& report, const std::string& task,
                          std::int64_t run);
    [[nodiscard]] static bool
    report_contradicts_refusal(const worker_report& report,
                               const refused_run& refusal);
    void apply_ends(worker_record& worker, const worker_report& report,
                    time_point now);
    void note_uncommitted(worker_record& worker, const ended_task& end,
                          const job_record* record);
    void apply_refusals(worker_record& worker, const worker_report& report,
                        time_point now);
    void process_running(worker_record& worker, const worker_report& report,
                         guard_orders& out, time_point now);
    void record_absent_runs(const worker_record& worker,
                            const worker_report& report, time_point now);
    void log_orphan(const worker_record& worker, const running_task& running,
                    const job_task* task);
    void stop_unwanted_starts(const worker_record& worker,
                              const worker_report& report, guard_orders& out);
    void update_progress(worker_record& worker, task_run& run,
                         const job_step& step, const running_task& running,
                         time_point now);
    void log_missing_run(const worker_record& worker,
                         const worker_report& report, task_run& run,
                         const std::string& task);
    void repeat_missing(worker_record& worker, const worker_report& report,
                        guard_orders& out, time_point now);
    void relocate_slowed(worker_record& worker, const worker_report& report,
                         guard_orders& out, time_point now);
    bool is_relocatable(const task_name& name, const std::string& image);
    bool has_other_worker(const task_name& name, const worker_record& worker,
                          time_point now);
    void relocate(const task_name& name, const worker_record& worker,
                  std::int64_t pace, guard_orders& out, time_point now);
    void preempt_lasting(const placement_query& query, const job_record& record,
                         const job_task& task);
    resources capacity_after_stops(const worker_record& worker);
    bool is_preemptible(const task_name& name);
    bool can_be_preempted(const task_name& name);
    void drain_leaving_worker(worker_record& worker, guard_orders& out,
                              time_point now);

    // Deliberate stops of long-running runs (scheduler_disruption.cpp).
    disruption_budget budget_of(const task_name& name, time_point now);
    bool has_budget(const task_name& name);
    bool may_disrupt(const task_name& name, stop_reason reason, time_point now);
    void note_held_stop(const task_name& name, stop_reason reason,
                        time_point now);
    void disrupt_in_emergency(const task_name& name, stop_reason reason,
                              time_point now);
    void log_disruption(event_id id, const task_name& name, stop_reason reason,
                        time_point now);
    bool may_stop_stuck(const task_name& name, duration waited, time_point now);
    void note_held_preemption(const std::vector<worker_record*>& blocked,
                              time_point now);
    void drain_within_budget(std::vector<task_name> names, bool is_due,
                             guard_orders& out, time_point now);

    void learn_interference(worker_record& worker, const worker_report& report,
                            time_point now);
    [[nodiscard]] std::vector<pair_interference>
    interference_at(const worker_record& worker) const;
    std::int64_t acknowledge(worker_record& worker);

    // Start orders (scheduler_orders.cpp).
    [[nodiscard]] start_order order_for(const job_record& record,
                                        const job_task& task) const;
    void count_unconfirmed(time_point now);
    bool count_start(worker_record& worker, task_run& run,
                     const start_order& order);
    void confirm_start(worker_record& worker, task_run& run);
    job_task* unsent_task(const worker_record& worker, const task_name& name);
    void send_starts(worker_record& worker, time_point now);
    bool send_start(worker_record& worker, job_record& record, job_task& task,
                    time_point now);

    // Leases (scheduler_leases.cpp).
    [[nodiscard]] duration longest_lease(duration grant) const;
    [[nodiscard]] bool has_no_lease(const worker_report& report) const;
    [[nodiscard]] static bool extends_known_lease(const worker_record& worker,
                                                  const worker_report& report,
                                                  bool knows_incarnation);
    [[nodiscard]] bool is_end_given_up(const worker_record& worker,
                                       const ended_task& end);
    void check_lease_must_expire(worker_record& worker,
                                 const worker_report& report,
                                 bool knows_incarnation);
    void allow_for_pause(worker_record& worker, const worker_report& report);
    void extend_lease(worker_record& worker, const worker_report& report,
                      duration lease_grant, time_point now) const;
    [[nodiscard]] duration lease_grant_for(const worker_report& report,
                                           time_point now,
                                           time_point verified_at) const;

    // Lost runs (scheduler_losses.cpp).

    // Runs of a past incarnation of an executor, by a report about the next
    // one.
    struct runs_after_restart
    {
        std::set<task_name> lost;    ///< ended with it, or never begin
        std::set<task_name> adopted; ///< listed by the next incarnation
        /// Their start may reach the next incarnation.
        std::set<task_name> in_doubt;
    };

    void on_executor_restart(worker_record& worker, const worker_report& report,
                             time_point now);
    runs_after_restart after_restart(const std::set<task_name>& runs,
                                     const worker_report& report);
    void follow_restart(worker_record& worker, const runs_after_restart& runs,
                        const executor_incarnation& next, time_point now);
    void rebind_run(const task_name& name, const executor_incarnation& executor,
                    time_point now);
    void adopt_inherited(worker_record& worker, const worker_report& report,
                         time_point now);
    void lose_inherited(const std::string& guard, time_point now);
    void adopt_run(worker_record& worker, const task_name& name,
                   time_point now);
    void lose_lapsed(worker_record& worker, const worker_report& report,
                     time_point now);
    void lose_worker(worker_record& worker, const std::set<task_name>& runs,
                     const end_proof& proof, time_point now);
    void lose_runs(const std::set<task_name>& lost, const end_proof& proof,
                   time_point now);

    // Tasks that crash executors (scheduler_crashes.cpp).

    // Evidence of one crash against a task.
    struct crash_count
    {
        std::int64_t run = 0;
        std::int64_t added = 0;        ///< to its suspicion
        bool is_only_unproven = false; ///< everything else there was proven
        bool is_confirmed = false;     ///< the run had certainly begun
        bool is_gang = false;          ///< members of a gang are not isolated
    };

    // Counts of the runs that were not proven when their executor crashed.
    struct unproven_neighbours
    {
        std::int64_t unproven = 0;
        std::int64_t suspects = 0; ///< those that belong to suspects
    };

    void judge_crashes(worker_record& worker, const worker_report& report,
                       time_point now);
    void judge_crash(worker_record& worker, const past_incarnation& past,
                     time_point now);
    unproven_neighbours unproven_neighbours_in(const past_incarnation& past);
    static time_point end_of(const past_incarnation& past,
                             const worker_record& worker,
                             const worker_report& report, time_point now);
    [[nodiscard]] bool is_rack_failure(const worker_record& worker,
                                       time_point now) const;
    void suspect(const worker_record& worker, const task_name& name,
                 const crash_count& count, crash_scope scope, time_point now);
    void
    raise_unwitnessed_suspicion(const worker_record& worker,
                                const std::map<task_name, std::int64_t>& runs,
                                time_point now);
    std::map<task_name, std::int64_t>
    unwitnessed_runs(const runs_after_restart& runs,
                     const worker_report& report);
    std::map<task_name, std::int64_t>
    likely_causes(const worker_record& worker);
    std::map<task_name, std::int64_t>
    unreported_causes(const worker_record& worker, const worker_report& report);
    [[nodiscard]] static bool is_loss_counted(const job_record& record,
                                              const job_task& task,
                                              std::int64_t run);
    [[nodiscard]] static duration observed_run_time(const task_run& run);
    static void register_suspect(worker_record& worker, const job_task& task,
                                 const task_name& name);
    void clear_suspicion_if_proven(worker_record& worker, job_task& task,
                                   const task_name& name);

    // Ends (scheduler_ends.cpp).
    void close_run(job_record& record, job_task& task, const end_proof& proof,
                   time_point now);
    void apply_end(job_record& record, job_task& task, run_end outcome,
                   const std::string& checkpoint, time_point now);
    void apply_stored_ends(job_record& record,
                           const std::vector<ended_task>& ends, time_point now);
    void close_gang(job_record& record, const task_position& position,
                    run_end outcome, time_point now);
    void count_failure(job_record& record, job_task& task, const task_run& run,
                       time_point now);
    static bool is_evidence_of_fault(const worker_record& worker,
                                     const job_record& record,
                                     const task_run& run, run_end outcome);
    void update_fault_score(worker_record& worker, const job_record& record,
                            const task_run& run, run_end outcome,
                            time_point now);
    void finish(job_record& record, job_state state, time_point now,
                std::vector<event_field> fields);
    void fail(job_record& record, const job_task& task, time_point now,
              std::vector<event_field> fields);
    void finish_if_done(job_record& record, time_point now);
    void forget_advice(const job_record& record);
    void stop_all(job_record& record);
    static void order_stop(task_run& run, const std::string& task,
                           guard_orders& out);
    void mark_changed(job_record& record, time_point now);
    void log_decision(event_id id, std::vector<event_field> fields);

    void release_ended(time_point now);
    void forget_ended(time_point now);
    void release_record(job_record& record, time_point now);
    job_record* job_of(const std::string& id);
    [[nodiscard]] const queue_row* queue_of(const job& definition) const;
    // A task by its name in reports; null pointers if there is none.
    struct known_task
    {
        job_record* record = nullptr;
        job_task* task = nullptr;
    };
    known_task find_task(const std::string& name);
    [[nodiscard]] static bool is_current_run(const job_task* task,
                                             std::int64_t run,
                                             const worker_record& worker);

    scheduler_options options_;
    queue_table table_;
    closure_tracker closures_;
    fault_detector fault_detector_;
    /// No starts are allowed: the list of closed data centres is stale.
    bool starts_withheld_ = false;
    std::int64_t epoch_ = 0;
    bool is_ready_ = false;
    time_point term_started_at_{};
    std::map<std::string, std::unique_ptr<job_record>> jobs_;
    job_bytes held_bytes_; ///< by the records of jobs_
    /// Jobs that have ended, by the time at which that was committed.
    std::deque<std::pair<time_point, std::string>> ended_;
    /// Those without tasks, by the time at which these were dropped.
    std::deque<std::pair<time_point, std::string>> released_;
    std::unordered_set<std::string> forgotten_; ///< ended jobs without a record
    /// Jobs that may have tasks to place.
    std::set<std::string> placeable_jobs_;
    std::vector<std::string> dirty_; ///< jobs to write, oldest change first
    std::set<std::string> dirty_ids_;
    held_ends held_ends_;
    std::int64_t ends_records_ = 0;  ///< of held jobs, written in this term
    bool ends_written_last_ = false; ///< the newest write was one of them
    time_point next_held_ends_at_{}; ///< earliest, once the store rejected one
    /// By the guard of the worker whose capacity they free, and by job.
    std::map<std::string, std::map<std::string, uncommitted_end>>
        freed_by_guard_;
    bool committing_ = false;
    time_point last_commit_{};
    worker_map workers_;
    interference_model interference_model_;
    run_time_model run_times_;
    ticket_cache tickets_;
    /// Of the present placement pass.
    infeasible_queries infeasible_queries_;
    urgent_room urgent_room_;
    /// When the newest long-running job was accepted.
    time_point last_lasting_{};
    time_point next_preemption_at_{}; ///< earliest next preemption attempt
    std::size_t reservations_ = 0;    ///< workers that this pass reserves
    /// Workers that answer and are isolated with a suspect or reserved for one.
    std::size_t isolated_workers_ = 0;
    /// Jobs or free capacity changed since the last pass.
    bool may_place_ = true;
    time_point last_pass_{};
    std::int64_t next_due_ms_ = 0; ///< Unix time of the next round
    /// Runs placed by a previous leader, by guard, until that guard reports.
    std::map<std::string, std::set<task_name>> inherited_runs_;
    std::map<std::string, guard_orders> outbox_;
    std::map<std::string, start_queue> unsent_starts_; ///< by guard
    /// Of start orders whose run no report has shown, to workers that report;
    /// see worker_record.
    std::int64_t unconfirmed_bytes_ = 0;
    std::vector<decision> decisions_;
    std::vector<finished_job> finished_;
    wait_log wait_log_;
    wait_log held_stop_log_; ///< of stops that wait for the disruption budget
    /// Of long-running jobs, by job id, since the last log line.
    std::map<std::string, availability_counts> availability_;
    time_point next_sample_{};
    time_point next_service_log_{};
    std::int64_t accepted_jobs_ = 0;
    scheduler_figures counts_;
};

} // namespace springstair
