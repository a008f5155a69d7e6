// Closure of data centres to new runs by an operator.

#include <springstair/scheduler.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

void scheduler_core::set_closed(const closed_data_centres& known,
                                time_point now)
{
    const closing_change change = closures_.take(known);
    for (auto& [guard, worker] : workers_)
    {
        worker.closed = closures_.is_closed(worker.description.data_centre);
    }
    may_place_ = may_place_ || !change.opened.empty();
    if (!is_ready_)
    {
        return;
    }
    for (const std::string& data_centre : change.closed)
    {
        log_closure(data_centre, now);
    }
    for (const std::string& data_centre : change.opened)
    {
        log_closure(data_centre, now);
    }
}

// Whether the known closures are recent enough to start runs.
bool scheduler_core::may_start(time_point now)
{
    const bool was_withheld =
        std::exchange(starts_withheld_, now >= closures_.starts_until());
    if (starts_withheld_ && !was_withheld)
    {
        const duration age = now - closures_.known_at();
        log_decision(event_id::starts_withheld,
                     {{"known_age_ms", std::to_string(to_milliseconds(age))}});
    }
    return !starts_withheld_;
}

// The latest time, by the guard's own clock, at which it may begin a run
// ordered now. Until then the worker's lease grant does not expire, and no
// closure that this leader does not know yet takes effect.
std::int64_t scheduler_core::starts_until_ms(const worker_record& worker) const
{
    const time_point until = closures_.starts_until();
    if (until == time_point::max())
    {
        return worker.starts_until_ms;
    }
    const std::int64_t by_closure =
        to_milliseconds(until - time_point{}) + worker.clock_ahead_ms;
    // On the wire, 0 means no bound. A bound that lies before the zero of the
    // guard's clock is therefore sent as 1.
    return std::max<std::int64_t>(1,
                                  std::min(worker.starts_until_ms, by_closure));
}

std::int64_t scheduler_core::runs_in(const std::string& data_centre) const
{
    std::size_t runs = 0;
    for (const auto& [guard, worker] : workers_)
    {
        runs += worker.description.data_centre == data_centre
                    ? worker.assigned_tasks.size()
                    : 0;
    }
    return static_cast<std::int64_t>(runs);
}

void scheduler_core::log_closure(const std::string& data_centre, time_point now)
{
    const duration age = now - closures_.known_at();
    log_decision(event_id::closure_in_force,
                 {{"data_centre", data_centre},
                  {"closed", closures_.is_closed(data_centre) ? "yes" : "no"},
                  {"known_age_ms", std::to_string(to_milliseconds(age))},
                  {"runs", std::to_string(runs_in(data_centre))}});
}

} // namespace springstair
