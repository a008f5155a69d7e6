// Which runs leave their worker for another one.

#include <springstair/scheduler.hpp>

namespace springstair
{

// Fills that stand in the way here may be welcome elsewhere. Only runs that
// lose nothing by a stop move.
void scheduler_core::relocate_slowed(worker_record& at,
                                     const worker_report& from,
                                     guard_orders& out, time_point now)
{
    std::size_t moves = 0;
    for (const auto& [image, pace] : from.paces)
    {
        if (pace >= options_.relocate_below_pace)
        {
            continue;
        }
        for (const task_name& name : at.assigned_tasks)
        {
            if (moves >= options_.max_relocations_per_report)
            {
                return;
            }
            if (!may_move(name, image))
            {
                continue;
            }
            if (!is_welcome_elsewhere(name, at, now))
            {
                break; // its siblings find no worker either
            }
            ++moves;
            relocate(name, at, pace, out, now);
        }
    }
}

bool scheduler_core::may_move(const task_name& name, const std::string& image)
{
    job_record& of = *job_of(name.job);
    const job_step& step = of.step_at(name.at);
    const task_run& run = *of.find(name.at)->run;
    const queue_row* const queue = table_.queue(of.definition().queue);
    return step.fills && step.checkpoints && step.image == image && run.seen &&
           !run.stopping && queue != nullptr && !queue->advice;
}

bool scheduler_core::is_welcome_elsewhere(const task_name& name,
                                          const worker_record& at,
                                          time_point now)
{
    const job_record& of = *job_of(name.job);
    const std::string group = step_group(name.job, name.at);
    const std::set<std::string> here{at.guard};
    const worker_record* const other =
        choose_worker(workers_,
                      {.step = of.step_at(name.at),
                       .service = table_.queue(of.definition().queue)->service,
                       .group = group,
                       .avoided = here,
                       .harm = interference_model_,
                       .now = now},
                      options_.placement);
    return other != nullptr && other != &at;
}

void scheduler_core::relocate(const task_name& name, const worker_record& at,
                              std::int64_t pace, guard_orders& out,
                              time_point now)
{
    job_task& task = *job_of(name.job)->find(name.at);
    order_stop(*task.run, name.text(), out);
    task.departed = departed_worker{.guard = at.guard,
                                    .until = now + options_.return_backoff};
    log_decision(event_id::run_moved,
                 {{"task", name.text()},
                  {"run", std::to_string(task.run->number)},
                  {"guard", at.guard},
                  {"pace", std::to_string(pace)}});
}

// A step that may run on few workers waits for as long as lasting runs fill
// them, though others have room. Where shorter runs will free none in time, one
// lasting run after the other goes elsewhere.
void scheduler_core::preempt_lasting(const placement_query& query,
                                     const job_record& of, const job_task& task)
{
    const bool is_choosy =
        query.tickets != nullptr || !query.step.label.empty();
    if (!is_choosy || query.step.lasting || of.has_runs() ||
        query.now - task.ready_since < options_.max_blocked_time ||
        query.now < next_preemption_at_)
    {
        return;
    }
    next_preemption_at_ = query.now + options_.preemption_interval;
    const resources asked = reserved_by(query.step);
    std::vector<worker_record*> blocked;
    for (auto& [guard, at] : workers_)
    {
        if (!may_run(at, query, options_.placement))
        {
            continue;
        }
        if (asked.fits(room_after_stops(at)))
        {
            return;
        }
        if (asked.fits(at.description.capacity))
        {
            blocked.push_back(&at);
        }
    }
    blocked.resize(std::min(blocked.size(), options_.max_preemption_searches));
    for (worker_record* const at : blocked)
    {
        const auto leaves =
            std::ranges::find_if(at->assigned_tasks, [&](const task_name& name)
                                 { return is_preemptible(name); });
        if (leaves != at->assigned_tasks.end() &&
            is_welcome_elsewhere(*leaves, *at, query.now))
        {
            relocate(*leaves, *at, full_percent, outbox_[at->guard], query.now);
            return;
        }
    }
}

// What a worker will have once shorter runs, and those that are being stopped,
// have ended.
resources scheduler_core::room_after_stops(const worker_record& at)
{
    resources room = at.eventual_capacity();
    for (const task_name& name : at.assigned_tasks)
    {
        job_record& of = *job_of(name.job);
        const job_step& step = of.step_at(name.at);
        if (step.lasting && of.find(name.at)->run->stopping)
        {
            room += reserved_by(step);
        }
    }
    return room;
}

// Whether a lasting run may be stopped to run elsewhere: its step misses no
// more tasks than it may.
bool scheduler_core::is_preemptible(const task_name& name)
{
    job_record& of = *job_of(name.job);
    const job_step& step = of.step_at(name.at);
    const task_run& run = *of.find(name.at)->run;
    const queue_row* const queue = table_.queue(of.definition().queue);
    if (!step.lasting || step.gang || !run.seen || run.stopping ||
        queue == nullptr || queue->advice)
    {
        return false;
    }
    const auto missing = std::ranges::count_if(
        of.tasks_of(name.at.round, name.at.step), [](const job_task& task)
        { return !task.run || !task.run->seen || task.run->stopping; });
    return step.most_missing == 0 || missing < step.most_missing;
}

// A worker that leaves takes down what runs there: what lasts moves at once,
// the rest when little time remains.
void scheduler_core::drain_leaving_worker(worker_record& at, guard_orders& out,
                                          time_point /*now*/)
{
    if (!at.description.draining || at.description.leaves_ms == 0)
    {
        return;
    }
    const bool late = std::chrono::milliseconds(at.description.leaves_ms) <
                      options_.leave_margin;
    for (const task_name& name : at.assigned_tasks)
    {
        job_record& of = *job_of(name.job);
        task_run& run = *of.find(name.at)->run;
        if (run.seen && !run.stopping && (late || of.step_at(name.at).lasting))
        {
            order_stop(run, name.text(), out);
        }
    }
}

} // namespace springstair
