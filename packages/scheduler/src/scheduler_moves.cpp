// Relocation and preemption: runs that leave their worker for another one.

#include <springstair/scheduler.hpp>

namespace springstair
{

// Relocates best-effort runs that are throttled here and may be tolerated
// elsewhere. Only runs that lose no work by a stop are relocated.
void scheduler_core::relocate_slowed(worker_record& worker,
                                     const worker_report& report,
                                     guard_orders& out, time_point now)
{
    std::size_t relocated = 0;
    // Runs of one step ask for the same workers, so one search covers them.
    std::set<std::string> without_other_worker;
    for (const auto& [image, pace] : report.paces)
    {
        if (pace >= options_.relocate_below_pace)
        {
            continue;
        }
        for (const task_name& name : worker.assigned_tasks)
        {
            if (relocated >= options_.max_relocations_per_report)
            {
                return;
            }
            if (!is_relocatable(name, image))
            {
                continue;
            }
            const std::string group = step_group(name.job, name.position);
            if (without_other_worker.contains(group))
            {
                continue;
            }
            if (!has_other_worker(name, worker, now))
            {
                without_other_worker.insert(group);
                continue;
            }
            if (!may_disrupt(name, stop_reason::relocation, now))
            {
                continue;
            }
            ++relocated;
            relocate(name, worker, pace, out, now);
        }
    }
}

bool scheduler_core::is_relocatable(const task_name& name,
                                    const std::string& image)
{
    job_record& record = *job_of(name.job);
    const job_step& step = record.step_at(name.position);
    const task_run& run = *record.find(name.position)->run;
    const queue_row* const queue = queue_of(record.definition());
    return step.fills && step.checkpoints && step.image == image && run.seen &&
           !run.stopping && queue != nullptr && !queue->advice;
}

bool scheduler_core::has_other_worker(const task_name& name,
                                      const worker_record& worker,
                                      time_point now)
{
    const job_record& record = *job_of(name.job);
    const std::string group = step_group(name.job, name.position);
    const std::set<std::string> current_guard{worker.guard};
    const worker_record* const other =
        choose_worker(workers_,
                      {.step = record.step_at(name.position),
                       .service = queue_of(record.definition())->service,
                       .group = group,
                       .avoided = current_guard,
                       .interference = interference_model_,
                       .now = now},
                      options_.placement);
    return other != nullptr && other != &worker;
}

void scheduler_core::relocate(const task_name& name,
                              const worker_record& worker, std::int64_t pace,
                              guard_orders& out, time_point now)
{
    job_task& task = *job_of(name.job)->find(name.position);
    order_stop(*task.run, name.text(), out);
    task.departed = departed_worker{.guard = worker.guard,
                                    .until = now + options_.return_backoff};
    log_decision(event_id::run_moved,
                 {{"task", name.text()},
                  {"run", std::to_string(task.run->number)},
                  {"guard", worker.guard},
                  {"pace", std::to_string(pace)}});
}

// Preempts for a step that may run on few workers only. Long-running runs can
// fill these workers while others have free capacity. If the end of all shorter
// runs, and of those being stopped, would not free enough on any of them, one
// long-running run is relocated per attempt.
void scheduler_core::preempt_lasting(const placement_query& query,
                                     const job_record& record,
                                     const job_task& task)
{
    const bool is_restricted =
        query.tickets != nullptr || !query.step.label.empty();
    if (!is_restricted || query.step.lasting || record.has_runs() ||
        query.now - task.ready_since < options_.max_blocked_time ||
        query.now < next_preemption_at_)
    {
        return;
    }
    next_preemption_at_ = query.now + options_.preemption_interval;
    const resources asked = reserved_by(query.step);
    std::vector<worker_record*> blocked;
    for (auto& [guard, worker] : workers_)
    {
        if (!may_run(worker, query, options_.placement))
        {
            continue;
        }
        if (asked.fits(capacity_after_stops(worker)))
        {
            return;
        }
        if (asked.fits(worker.description.capacity))
        {
            blocked.push_back(&worker);
        }
    }
    blocked.resize(std::min(blocked.size(), options_.max_preemption_searches));
    for (worker_record* const worker : blocked)
    {
        const auto candidate = std::ranges::find_if(
            worker->assigned_tasks,
            [&](const task_name& name) { return is_preemptible(name); });
        if (candidate != worker->assigned_tasks.end() &&
            has_other_worker(*candidate, *worker, query.now) &&
            may_disrupt(*candidate, stop_reason::preemption, query.now))
        {
            relocate(*candidate, *worker, full_percent, outbox_[worker->guard],
                     query.now);
            return;
        }
    }
    note_held_preemption(blocked, query.now);
}

// The capacity that will be free once all short runs, and the long-running runs
// that are being stopped, have ended.
resources scheduler_core::capacity_after_stops(const worker_record& worker)
{
    resources capacity = worker.eventual_capacity();
    for (const task_name& name : worker.assigned_tasks)
    {
        job_record& record = *job_of(name.job);
        const job_step& step = record.step_at(name.position);
        if (step.lasting && record.find(name.position)->run->stopping)
        {
            capacity += reserved_by(step);
        }
    }
    return capacity;
}

// Whether a long-running run may be relocated if enough others of its step are
// at work.
bool scheduler_core::can_be_preempted(const task_name& name)
{
    job_record& record = *job_of(name.job);
    const job_step& step = record.step_at(name.position);
    const task_run& run = *record.find(name.position)->run;
    const queue_row* const queue = queue_of(record.definition());
    return step.lasting && !step.gang && run.seen && !run.stopping &&
           queue != nullptr && !queue->advice;
}

// Whether a long-running run may be relocated: with it, no more tasks of its
// step may be missing than allowed. Asked during a placement pass.
bool scheduler_core::is_preemptible(const task_name& name)
{
    if (!can_be_preempted(name))
    {
        return false;
    }
    job_record& record = *job_of(name.job);
    if (has_budget(name))
    {
        return budget_of(name, last_pass_).allows(*record.find(name.position));
    }
    const job_step& step = record.step_at(name.position);
    const auto missing = std::ranges::count_if(
        record.tasks_of(name.position.round, name.position.step),
        [](const job_task& task)
        { return !task.run || !task.run->seen || task.run->stopping; });
    return step.most_missing == 0 || missing < step.most_missing;
}

// Stops runs on a worker that is about to leave: long-running ones at once, or
// as their disruption budget allows, the others when little time remains.
void scheduler_core::drain_leaving_worker(worker_record& worker,
                                          guard_orders& out, time_point now)
{
    if (!worker.description.draining || worker.description.leaves_ms == 0)
    {
        return;
    }
    const bool is_due =
        std::chrono::milliseconds(worker.description.leaves_ms) <
        options_.leave_margin;
    std::vector<task_name> budgeted;
    for (const task_name& name : worker.assigned_tasks)
    {
        job_record& record = *job_of(name.job);
        task_run& run = *record.find(name.position)->run;
        if (!run.seen || run.stopping)
        {
            continue;
        }
        if (has_budget(name))
        {
            budgeted.push_back(name);
        }
        else if (is_due || record.step_at(name.position).lasting)
        {
            order_stop(run, name.text(), out);
        }
    }
    drain_within_budget(std::move(budgeted), is_due, out, now);
}

} // namespace springstair
