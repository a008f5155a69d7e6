// Lease grants to guards, and leases that must expire.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Number of the newest end by which the worker shows that its lease has
// expired; 0 if it lists none. The worker numbers its ends in order of time.
std::int64_t last_lapsed_end(const std::vector<ended_task>& ends)
{
    std::int64_t newest = 0;
    for (const ended_task& end : ends)
    {
        if (end.how == run_end::lapsed)
        {
            newest = std::max(newest, end.number);
        }
    }
    return newest;
}

} // namespace

// By when a lease has certainly expired that a guard may extend for this long.
duration scheduler_core::longest_lease(duration grant) const
{
    return from_seconds(to_seconds(grant) * (1 + options_.clock_drift)) +
           options_.lease_slack;
}

// How far a guard may extend its worker's lease. A guard that has not polled
// its worker may extend runs that are not visible to this leader. Its grant
// then ends within the time that a new leader waits for such runs, counted from
// the start of its term: grants of previous leaders end by then. It gets none
// while its worker does not answer, so that every lease there expires.
duration scheduler_core::lease_grant_for(const worker_report& report,
                                         time_point now,
                                         time_point verified_at) const
{
    const bool may_extend_inherited =
        !report.looked && inherited_runs_.contains(report.guard);
    if (may_extend_inherited && !report.answering)
    {
        return duration{0};
    }
    const time_point base = may_extend_inherited
                                ? std::min(verified_at, term_started_at_)
                                : verified_at;
    return std::clamp(base + options_.lease_horizon - now, duration{0},
                      options_.lease_grant);
}

// Whether no lease can be in force on the guard's VM when it sends the report.
// It has no grant, and no lease that it requested is in force. Earlier guard
// processes there were granted theirs before it started. No later process has
// started yet, so none has extended them.
bool scheduler_core::has_no_lease(const worker_report& report) const
{
    return report.lease_ms == 0 && std::chrono::milliseconds(report.uptime_ms) >
                                       longest_lease(options_.lease_grant);
}

// A guard extends the lease of the executor that it reports. One that knows no
// executor, or has not polled the one that replaces the executor known here,
// extends the lease of no run that this leader has placed.
bool scheduler_core::extends_known_lease(const worker_record& worker,
                                         const worker_report& report,
                                         bool knows_incarnation)
{
    return knows_incarnation || (!report.worker.executor.empty() &&
                                 worker.description.executor.empty());
}

// Whether the end reports success of a run that was given up, so that another
// run replaces or has replaced it.
bool scheduler_core::is_end_given_up(const worker_record& worker,
                                     const ended_task& end)
{
    const job_task* const task = find_task(end.task).task;
    if (task == nullptr || end.how != run_end::done)
    {
        return false;
    }
    const bool is_current = task->run && task->run->number == end.run &&
                            task->run->guard == worker.guard;
    const bool is_applied = task->done && task->runs == end.run;
    return !is_current && !is_applied;
}

// A run is given up when, by its guard's reports, every lease there must have
// expired. But its start may have reached the executor's next incarnation under
// a longer lease, which a disconnected guard cannot report. If that run's
// success were acknowledged within that lease, it would count in addition to
// the replacement run. So the worker gets no lease grant until that lease has
// expired; this leader has no other run there. The worker itself may show that
// it has, by a later end as lapsed.
void scheduler_core::check_lease_must_expire(worker_record& worker,
                                             const worker_report& report,
                                             bool knows_incarnation)
{
    const bool was_set = worker.lease_must_expire;
    // Ends up to this number are already applied and will be acknowledged.
    const std::int64_t applied =
        worker.description.executor == report.worker.executor
            ? worker.applied_ends
            : 0;
    const std::int64_t settled =
        std::max(applied, last_lapsed_end(report.ended));
    const auto end =
        std::ranges::find_if(report.ended,
                             [&](const ended_task& candidate) {
                                 return candidate.number > settled &&
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

// The clock of an executor on a suspended VM stands still, so its lease lasts
// longer by that time. A guard that has polled the executor counts this in
// lease_ms.
void scheduler_core::allow_for_pause(worker_record& worker,
                                     const worker_report& report)
{
    const std::int64_t before =
        worker.incarnation == report.incarnation ? worker.paused_ms : 0;
    worker.paused_ms = std::max<std::int64_t>(report.paused_ms, 0);
    if (!report.looked)
    {
        const auto pause =
            std::clamp<std::int64_t>(worker.paused_ms - before, 0,
                                     to_milliseconds(options_.lease_horizon));
        worker.lease_ends += std::chrono::milliseconds(pause);
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
    // A grant of a previous leader may still be in force.
    const duration previous_grant = std::chrono::milliseconds(report.lease_ms);
    if (std::max(lease_grant, previous_grant) > duration{0})
    {
        worker.lease_ends =
            std::max({worker.lease_ends, now + longest_lease(lease_grant),
                      now + previous_grant + options_.lease_slack});
    }
    // If the VM is suspended now, its guard reports again only when it wakes.
    // Until then its lease is given the time of a full grant, although none
    // may have been given.
    if (report.looked && report.lease_ms > 0)
    {
        worker.lease_ends = std::max(worker.lease_ends,
                                     now + longest_lease(options_.lease_grant));
    }
}

} // namespace springstair
