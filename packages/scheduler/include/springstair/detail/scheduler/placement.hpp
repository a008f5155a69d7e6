#pragma once

#include <springstair/detail/scheduler/interference_model.hpp>
#include <springstair/detail/scheduler/job_record.hpp>
#include <springstair/detail/scheduler/worker_ledger.hpp>

#include <map>
#include <optional>
#include <string>

namespace springstair
{

/// @brief All workers of the leader, by the name of their guard.
using worker_map = std::map<std::string, worker_record>;

/// @brief Bounds of the choice of a worker.
struct placement_options
{
    /// A worker whose last report is older than this receives no new runs: the
    /// time of two reports, which guards send twice per second, and some delay.
    duration report_age = std::chrono::milliseconds(1300);
    /// Mean share of their reserved processors that latency-critical tasks use
    /// (0.42 on both sites); best-effort tasks get the rest. With their peak
    /// use (0.6), a third of that remained idle; with 0.3, best-effort tasks
    /// only slowed each other.
    double serving_use = 0.45;
    /// Minimum headroom, by the learnt interference, that a latency-critical
    /// task must keep for a best-effort run to be placed beside it. Leaves a
    /// margin for changes of load.
    double min_headroom = 1.3;
    /// No best-effort run starts where its image is throttled below this pace,
    /// in percent: it would make no progress, hold memory and be relocated
    /// again. With scheduler_options::return_backoff it gains heavy best-effort
    /// work 0.04 of its value (mean of 40 simulated days).
    std::int64_t min_pace = 50;
    /// Assumed headroom without best-effort work where no sample exists: the
    /// middle of the samples of both sites.
    double default_headroom = 2.0;
    /// Score subtracted for a worker with latency-critical tasks of the same
    /// image: the fewer images such tasks have there, the more best-effort
    /// images are tolerated.
    double same_image_bonus = 0.4;
    /// Score added for each other image of latency-critical tasks there.
    double other_image_penalty = 0.1;
    /// Score added per unproven run when placing a suspect, and per suspect
    /// when placing any other task. Exceeds any difference in free capacity.
    double unproven_penalty = 1;
    /// Score added if the task's data is in another rack: it runs longer there.
    double far_penalty = 0.5;
};

/// @brief Search for a worker for one task.
struct placement_query
{
    const job_step& step;
    const std::string& service;
    const std::string& group; ///< step_group() of the task
    const std::set<std::string>& avoided;
    const interference_model& interference;
    time_point now;
    /// The guard of the worker that the task has just left; null if none.
    const std::string* departed = nullptr;
    /// The task has waited too long for a worker that tolerates it:
    /// interference is ignored, and the guard there throttles the run.
    bool ignore_interference = false;
    /// The task is a suspect: it is placed where the fewest runs are unproven,
    /// so that a crash is the strongest evidence.
    bool is_suspect = false;
    /// The task, if it must be isolated: workers may be reserved for it. Else
    /// null.
    const task_name* isolated_task = nullptr;
    /// Tickets by incarnation, if the step needs one; else null.
    const ticket_map* tickets = nullptr;
    /// Expected run time of an urgent task that may use reserved and held
    /// capacity; nothing for any other task.
    std::optional<duration> urgent_run_time = std::nullopt;
    /// A long-running task that has waited so long that capacity held for
    /// urgent tasks is no longer kept from it.
    bool ignores_holds = false;
};

/// @brief Whether a worker accepts new runs at all.
bool accepts_runs(const worker_record& worker, const std::string& service,
                  time_point now, const placement_options& options);

/// @brief Whether a worker may run a task, regardless of its free capacity.
bool may_run(const worker_record& worker, const placement_query& query,
             const placement_options& options);

/// @brief Whether a worker has a label; all have the empty one.
bool has_label(const worker_record& worker, const std::string& label);

/// @brief Whether a worker may run one more task of the query's step.
bool is_below_step_bound(const worker_record& worker,
                         const placement_query& query);

/// @brief Whether no suspect has the worker reserved but the query's own task.
bool is_open_to(const worker_record& worker, const placement_query& query);

/// @brief Whether a worker can run one more best-effort task: it has processors
/// left over, and its latency-critical tasks tolerate it.
bool has_fill_capacity(const worker_record& worker,
                       const placement_query& query,
                       const placement_options& options);

/// @brief Whether a worker can run a task now.
bool can_take(const worker_record& worker, const placement_query& query,
              const placement_options& options);

/// @brief The best worker for a task, or null if none can run it now. Workers
/// that the task should avoid, or has just left, are chosen only if no other
/// can.
worker_record* choose_worker(worker_map& workers, const placement_query& query,
                             const placement_options& options);

/// @brief The worker to reserve for a task that no worker can run now: among
/// those with enough capacity once shorter runs have ended, the one with most
/// free processors. Null if there is none or all are reserved.
worker_record* choose_reservation(worker_map& workers,
                                  const placement_query& query,
                                  const placement_options& options);

} // namespace springstair
