#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// The first check that a worker fails for a task. The last one is not repeated
// here: if a worker passes the others, its capacity is reserved.
wait_cause first_failed_check(const worker_record& worker,
                              const placement_query& query,
                              const placement_options& options)
{
    const resources asked = reserved_by(query.step);
    if (!has_label(worker, query.step.label))
    {
        return wait_cause::label;
    }
    if (!asked.fits(worker.description.capacity))
    {
        return wait_cause::size;
    }
    if (!asked.fits(worker.eventual_capacity()))
    {
        return wait_cause::lasting;
    }
    if (!asked.fits(worker.free_capacity()))
    {
        return wait_cause::room;
    }
    if (!is_below_step_bound(worker, query))
    {
        return wait_cause::bound;
    }
    const bool has_ticket =
        query.tickets == nullptr ||
        query.tickets->contains(worker.description.executor);
    if (!has_ticket)
    {
        return wait_cause::ticket;
    }
    const bool is_tolerated = !query.step.fills || query.ignore_interference ||
                              has_fill_capacity(worker, query, options);
    return is_tolerated ? wait_cause::reserved : wait_cause::harm;
}

} // namespace

std::string_view to_string(wait_cause value) noexcept
{
    switch (value)
    {
    case wait_cause::no_worker:
        return "no_worker";
    case wait_cause::closed:
        return "closed";
    case wait_cause::label:
        return "label";
    case wait_cause::size:
        return "size";
    case wait_cause::lasting:
        return "lasting";
    case wait_cause::room:
        return "room";
    case wait_cause::bound:
        return "bound";
    case wait_cause::ticket:
        return "ticket";
    case wait_cause::harm:
        return "harm";
    case wait_cause::reserved:
        return "reserved";
    case wait_cause::gang:
        return "gang";
    case wait_cause::trials:
        break;
    }
    return "trials";
}

wait_report explain_wait(const worker_map& workers,
                         const placement_query& query,
                         const placement_options& options)
{
    wait_report report;
    for (const auto& [guard, worker] : workers)
    {
        if (!accepts_runs(worker, query.service, query.now, options))
        {
            const bool closed =
                worker.closed && worker.description.service == query.service;
            report.cause =
                std::max(report.cause,
                         closed ? wait_cause::closed : wait_cause::no_worker);
            continue;
        }
        ++report.workers;
        report.cause =
            std::max(report.cause, first_failed_check(worker, query, options));
        report.free_millis =
            std::max(report.free_millis, worker.free_capacity().cpu_millis);
        report.free_in_time_millis = std::max(
            report.free_in_time_millis, worker.eventual_capacity().cpu_millis);
    }
    return report;
}

bool wait_log::is_due(const std::string& group, time_point now, duration gap)
{
    if (now >= next_cleaning_)
    {
        next_cleaning_ = now + gap;
        std::erase_if(last_logged_, [&](const auto& entry)
                      { return now - entry.second >= gap; });
    }
    const auto [found, is_new] = last_logged_.try_emplace(group, now);
    const bool due = is_new || now - found->second >= gap;
    if (due)
    {
        found->second = now;
    }
    return due;
}

} // namespace springstair
