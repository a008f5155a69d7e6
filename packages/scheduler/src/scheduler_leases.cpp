// How long the lease of a worker may last, and when it has to be over.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// For how long a guard may extend its worker's lease. One that has not looked
// at its worker may extend runs that nobody has seen: not beyond the time for
// which a new holder waits for them, counted from its own begin, since permits
// of earlier holders end by then.
duration scheduler_core::lease_grant_for(const worker_report& report,
                                         time_point now,
                                         time_point verified_at) const
{
    const bool may_extend_inherited =
        !report.looked && inherited_runs_.contains(report.guard);
    const time_point base = may_extend_inherited
                                ? std::min(verified_at, term_started_at_)
                                : verified_at;
    return std::clamp(base + options_.lease_horizon - now, duration{0},
                      options_.lease_grant);
}

// Whether an end as done is that of a run which was given up: another one takes
// its place, or has.
bool scheduler_core::is_end_given_up(const worker_record& worker,
                                     const ended_task& end)
{
    const job_task* const task = known(end.task).task;
    if (task == nullptr || end.how != run_end::done)
    {
        return false;
    }
    const bool is_current = task->run && task->run->number == end.run &&
                            task->run->guard == worker.guard;
    const bool is_applied = task->done && task->runs == end.run;
    return !is_current && !is_applied;
}

// A run is given up when every lease there has surely run out, by what its
// guard has told. A start that the next life of its executor took has a longer
// one, of which a guard that is cut off cannot tell. Acknowledged within it,
// its end as done would count, beside the run that has taken its place. So the
// worker gets no lease until that one is over; nothing else of ours is there.
void scheduler_core::check_lease_must_expire(worker_record& worker,
                                             const worker_report& report,
                                             bool knows_incarnation)
{
    const bool was_set = worker.lease_must_expire;
    // What was noted once is on its way to be acknowledged.
    const std::int64_t noted =
        worker.description.executor == report.worker.executor ? worker.noted
                                                              : 0;
    const auto end =
        std::ranges::find_if(report.ended,
                             [&](const ended_task& candidate) {
                                 return candidate.number > noted &&
                                        is_end_given_up(worker, candidate);
                             });
    worker.lease_must_expire = knows_incarnation && report.looked &&
                               report.lease_ms > 0 && end != report.ended.end();
    if (worker.lease_must_expire && !was_set)
    {
        log_decision(event_id::lease_awaited,
                     {{"guard", worker.guard},
                      {"life", report.worker.executor.text()},
                      {"task", end->task},
                      {"run", std::to_string(end->run)},
                      {"lease_ms", std::to_string(report.lease_ms)}});
    }
}

void scheduler_core::extend_lease(worker_record& worker,
                                  const worker_report& report,
                                  duration lease_grant, time_point now) const
{
    worker.starts_until_ms = std::max(
        worker.starts_until_ms, report.sent_ms + to_milliseconds(lease_grant));
    worker.clock_ahead_ms =
        report.sent_ms - to_milliseconds(now - time_point{});
    const duration with_drift =
        from_seconds(to_seconds(lease_grant) * (1 + options_.clock_drift));
    // What an earlier holder permitted may still be in force.
    const duration previous_grant = std::chrono::milliseconds(report.lease_ms);
    const duration max_remaining = std::max(with_drift, previous_grant);
    if (max_remaining > duration{0})
    {
        worker.lease_ends = std::max(
            worker.lease_ends, now + max_remaining + options_.lease_slack);
    }
}

} // namespace springstair
