#pragma once

#include <springstair/detail/scheduler/interference_model.hpp>
#include <springstair/detail/scheduler/job_record.hpp>
#include <springstair/detail/scheduler/worker_ledger.hpp>

#include <map>
#include <string>

namespace springstair
{

/// @brief All workers of a holder, by their guard's name.
using worker_map = std::map<std::string, worker_record>;

/// @brief Bounds of the choice of a worker.
struct placement_options
{
    /// A worker without a report for so long gets nothing new: two reports
    /// that guards send twice a second, and some delay.
    duration report_age = std::chrono::milliseconds(1300);
    /// Share of their reserved processors that serving tasks use in the mean
    /// (0.42 on both sites); tasks that fill take what is left. Counted at
    /// their busiest (0.6), a third of that stood idle; at 0.3, fills only
    /// slow each other.
    double serving_use = 0.45;
    /// Headroom (target by tail) that a serving task must keep, by the learnt
    /// harm, for a fill to be placed beside it: the load moves meanwhile.
    double min_headroom = 1.3;
    /// No fill begins where its image is slowed below this pace, in percent:
    /// it would stand still there, hold memory and move again. With
    /// scheduler_options::return_backoff it buys heavy work 0.04 of its worth
    /// (mean of 40 played days).
    std::int64_t min_pace = 50;
    /// Headroom without fills where no figure is known yet: the middle of
    /// both sites' figures.
    double default_headroom = 2.0;
    /// Score taken off a worker that has serving tasks of the same image:
    /// the fewer images serve there, the more images may fill.
    double same_image_bonus = 0.4;
    /// Score added for each other image that serves there.
    double other_image_penalty = 0.1;
    /// Score added to a suspect's worker for each run there that is not
    /// proven, and to any other task's for each suspect there: more than a
    /// difference in room.
    double unproven_penalty = 1;
    /// Score added for work away from its data, which takes longer there.
    double far_penalty = 0.5;
};

/// @brief One task in search of a worker.
struct placement_query
{
    const job_step& step;
    const std::string& service;
    const std::string& group; ///< step_group() of the task
    const std::set<std::string>& avoided;
    const interference_model& harm;
    time_point now;
    /// The guard of a worker that it has just left; null if there is none.
    const std::string* departed = nullptr;
    /// It has waited too long for a worker that bears it: the least harmful
    /// one that has room takes it, and the guard there slows it.
    bool ignore_interference = false;
    /// A suspect: it goes where fewest others are unproven, so that a crash
    /// tells most.
    bool isolated = false;
    /// A suspect that runs apart: workers may be kept for it. Else null.
    const task_name* suspect = nullptr;
    /// By incarnation, if only workers with one may run it; else null.
    const ticket_map* tickets = nullptr;
};

/// @brief Whether a worker may be given new runs at all.
bool takes_runs(const worker_record& at, const std::string& service,
                time_point now, const placement_options& options);

/// @brief Whether a worker may run a task at all, room aside.
bool may_run(const worker_record& at, const placement_query& query,
             const placement_options& options);

/// @brief Whether a worker has a label; the empty one is had by all.
bool has_label(const worker_record& at, const std::string& label);

/// @brief Whether a worker may take one more task of the query's step.
bool is_below_step_bound(const worker_record& at, const placement_query& query);

/// @brief Whether a worker can take a task now.
bool can_take(const worker_record& at, const placement_query& query,
              const placement_options& options);

/// @brief The best worker for a task, or null if none can take it now.
/// Workers that the task should avoid, or has just left, are taken only if
/// no other can.
worker_record* choose_worker(worker_map& workers, const placement_query& query,
                             const placement_options& options);

/// @brief The worker to keep free for a task that no worker can take now:
/// of those that will have room once shorter runs have ended, the one that
/// has most room already. Null if there is none, or all of them are claimed.
worker_record* choose_reservation(worker_map& workers,
                                  const placement_query& query,
                                  const placement_options& options);

} // namespace springstair
