// Start orders, and how many of them are under way.
//
// A guard and its executor hold each start until the run begins, and a job may
// have thousands of tasks that one worker has capacity for. So the bytes of the
// orders that no report has confirmed are bounded, for each worker and in all;
// further starts wait for the next reports.

#include <springstair/scheduler.hpp>

namespace springstair
{

namespace
{

// Names and numbers of an order, and the call that carries it out.
constexpr std::int64_t bytes_per_start = 4096;

} // namespace

std::int64_t bytes_of(const start_order& order) noexcept
{
    return bytes_per_start +
           static_cast<std::int64_t>(order.payload.size() + order.image.size() +
                                     order.checkpoint.size());
}

start_order scheduler_core::order_for(const job_record& record,
                                      const job_task& task) const
{
    const task_position position = record.position_of(task);
    const job_step& step = record.step_at(position);
    return {.task = task_name{record.definition().id, position}.text(),
            .run = task.run->number,
            .payload = record.definition().payload,
            .checkpoint = task.checkpoint,
            .ticket = task.run->ticket,
            .fills = step.fills,
            .latency_target_ms = step.latency_target_ms,
            .image = step.image,
            .told_incarnation = task.run->told_incarnation};
}

// Orders to a worker that went silent hold no memory here any more, and must
// not hold up those to others.
void scheduler_core::count_unconfirmed(time_point now)
{
    unconfirmed_bytes_ = 0;
    for (const auto& [guard, worker] : workers_)
    {
        if (now - worker.reported < options_.placement.report_age)
        {
            unconfirmed_bytes_ += worker.unconfirmed_bytes;
        }
    }
}

// Whether the start order of a run may be sent; it is counted then. One worker
// with an order of any size does not wait for itself.
bool scheduler_core::count_start(worker_record& worker, task_run& run,
                                 const start_order& order)
{
    if (run.unconfirmed_bytes > 0)
    {
        return true;
    }
    const std::int64_t bytes = bytes_of(order);
    const bool fits_worker = worker.unconfirmed_bytes + bytes <=
                             options_.max_unconfirmed_bytes_per_worker;
    const bool fits_all =
        unconfirmed_bytes_ + bytes <= options_.max_unconfirmed_bytes;
    if (worker.unconfirmed_bytes > 0 && !(fits_worker && fits_all))
    {
        return false;
    }
    run.unconfirmed_bytes = bytes;
    worker.unconfirmed_bytes += bytes;
    unconfirmed_bytes_ += bytes;
    return true;
}

// A report shows the run, or it has ended.
void scheduler_core::confirm_start(worker_record& worker, task_run& run)
{
    worker.unconfirmed_bytes -= run.unconfirmed_bytes;
    unconfirmed_bytes_ -= run.unconfirmed_bytes;
    run.unconfirmed_bytes = 0;
}

// The run that still waits for its first order. Null if the run of this entry
// has ended or was stopped since, or its executor was replaced; a newer run of
// the task has an entry of its own once its placement is committed.
job_task* scheduler_core::unsent_task(const worker_record& worker,
                                      const task_name& name)
{
    job_record* const record = job_of(name.job);
    job_task* const task =
        record == nullptr ? nullptr : record->find(name.position);
    const bool is_here =
        task != nullptr && task->run && task->run->guard == worker.guard;
    if (!is_here)
    {
        return nullptr;
    }
    const task_run& run = *task->run;
    const bool waits = run.queued && !run.ordered && !run.stopping &&
                       run.executor == worker.description.executor;
    return waits ? task : nullptr;
}

// Sends the starts of a worker that fit.
void scheduler_core::send_starts(worker_record& worker, time_point now)
{
    start_queue& unsent = unsent_starts_[worker.guard];
    while (const task_name* const name = unsent.front())
    {
        job_task* const task = unsent_task(worker, *name);
        if (task != nullptr &&
            !send_start(worker, *job_of(name->job), *task, now))
        {
            return;
        }
        unsent.pop();
    }
}

bool scheduler_core::send_start(worker_record& worker, job_record& record,
                                job_task& task, time_point now)
{
    task_run& run = *task.run;
    guard_orders& out = outbox_[worker.guard];
    if (worker.closed)
    {
        // The data centre has closed since the placement: the run must not
        // begin.
        const task_name name{record.definition().id, record.position_of(task)};
        order_stop(run, name.text(), out);
        return true;
    }
    run.told_incarnation = worker.incarnation;
    start_order order = order_for(record, task);
    if (!count_start(worker, run, order))
    {
        run.told_incarnation.clear();
        return false;
    }
    run.ordered = true;
    run.ordered_at = now;
    run.last_progress_at = now;
    out.starts.push_back(std::move(order));
    return true;
}

} // namespace springstair
