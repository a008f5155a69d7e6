// Which runs leave their worker for another one.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// Fills that stand in the way here may be welcome elsewhere. Only runs that
// lose nothing by a stop move.
void scheduler_core::move_slowed(worker_record& at, const worker_report& from,
                                 guard_orders& out, time_point now)
{
    std::size_t moves = 0;
    for (const auto& [image, pace] : from.paces)
    {
        if (pace >= options_.move_below)
        {
            continue;
        }
        for (const task_name& name : at.held)
        {
            job_record& of = *job_of(name.job);
            const job_step& step = of.step_at(name.at);
            task_run& run = *of.find(name.at)->run;
            const queue_row* const queue = table_.queue(of.what().queue);
            const bool may_move =
                step.fills && step.checkpoints && step.image == image &&
                run.seen && !run.stopping && queue != nullptr && !queue->advice;
            if (!may_move || moves >= options_.most_moves)
            {
                continue;
            }
            const std::string group = step_group(name.job, name.at);
            const std::set<std::string> here{at.guard};
            const worker_record* const other =
                choose_worker(workers_,
                              {.step = step,
                               .service = queue->service,
                               .group = group,
                               .avoided = here,
                               .harm = harm_,
                               .now = now},
                              options_.placement);
            if (other == nullptr || other == &at)
            {
                break; // its siblings find none either
            }
            ++moves;
            run.stopping = true;
            out.stops.push_back({.task = name.text(), .run = run.number});
            note(event_id::run_moved, {{"task", name.text()},
                                       {"run", std::to_string(run.number)},
                                       {"guard", at.guard},
                                       {"pace", std::to_string(pace)}});
        }
    }
}

// A worker that leaves takes down what runs there: what lasts moves at once,
// the rest when little time remains.
void scheduler_core::leave_in_time(worker_record& at, guard_orders& out,
                                   time_point /*now*/)
{
    if (!at.what.draining || at.what.leaves_ms == 0)
    {
        return;
    }
    const bool late =
        std::chrono::milliseconds(at.what.leaves_ms) < options_.leave_margin;
    for (const task_name& name : at.held)
    {
        job_record& of = *job_of(name.job);
        task_run& run = *of.find(name.at)->run;
        if (run.seen && !run.stopping && (late || of.step_at(name.at).lasting))
        {
            run.stopping = true;
            out.stops.push_back({.task = name.text(), .run = run.number});
        }
    }
}

} // namespace springstair
