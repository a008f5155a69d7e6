// How long the lease of a worker may last, and when it has to be over.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// For how long a guard may extend its worker's lease. One that has not looked
// at its worker may extend runs that nobody has seen: not beyond the time for
// which a new holder waits for them, counted from its own begin, since permits
// of earlier holders end by then.
duration scheduler_core::lease_grant_for(const worker_report& from,
                                         time_point now,
                                         time_point verified) const
{
    const bool is_awaited =
        !from.looked && inherited_runs_.contains(from.guard);
    const time_point reached =
        is_awaited ? std::min(verified, term_started_at_) : verified;
    return std::clamp(reached + options_.lease_horizon - now, duration{0},
                      options_.lease_grant);
}

// Whether an end as done is that of a run which was given up: another one takes
// its place, or has.
bool scheduler_core::is_end_given_up(const worker_record& at,
                                     const ended_task& end)
{
    const job_task* const task = known(end.task).task;
    if (task == nullptr || end.how != run_end::done)
    {
        return false;
    }
    const bool is_awaited = task->run && task->run->number == end.run &&
                            task->run->guard == at.guard;
    const bool is_counted = task->done && task->runs == end.run;
    return !is_awaited && !is_counted;
}

// A run is given up when every lease there has surely run out, by what its
// guard has told. A start that the next life of its executor took has a longer
// one, of which a guard that is cut off cannot tell. Acknowledged within it,
// its end as done would count, beside the run that has taken its place. So the
// worker gets no lease until that one is over; nothing else of ours is there.
void scheduler_core::check_lease_must_expire(worker_record& at,
                                             const worker_report& from,
                                             bool knows_incarnation)
{
    const bool awaited_before = at.lease_must_expire;
    // What was noted once is on its way to be acknowledged.
    const std::int64_t noted =
        at.description.executor == from.worker.executor ? at.noted : 0;
    const auto end = std::ranges::find_if(
        from.ended, [&](const ended_task& one)
        { return one.number > noted && is_end_given_up(at, one); });
    at.lease_must_expire = knows_incarnation && from.looked &&
                           from.lease_ms > 0 && end != from.ended.end();
    if (at.lease_must_expire && !awaited_before)
    {
        log_decision(event_id::lease_awaited,
                     {{"guard", at.guard},
                      {"life", from.worker.executor.text()},
                      {"task", end->task},
                      {"run", std::to_string(end->run)},
                      {"lease_ms", std::to_string(from.lease_ms)}});
    }
}

void scheduler_core::extend_lease(worker_record& at, const worker_report& from,
                                  duration lease_grant, time_point now) const
{
    at.starts_until_ms = std::max(at.starts_until_ms,
                                  from.sent_ms + to_milliseconds(lease_grant));
    at.clock_ahead_ms = from.sent_ms - to_milliseconds(now - time_point{});
    const duration drifted =
        from_seconds(to_seconds(lease_grant) * (1 + options_.clock_drift));
    // What an earlier holder permitted may still be in force.
    const duration before = std::chrono::milliseconds(from.lease_ms);
    const duration longest = std::max(drifted, before);
    if (longest > duration{0})
    {
        at.lease_ends =
            std::max(at.lease_ends, now + longest + options_.lease_slack);
    }
}

} // namespace springstair
