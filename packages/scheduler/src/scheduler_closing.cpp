// Data centres that an operator closes to new runs.

#include <springstair/scheduler.hpp>

namespace springstair
{

void scheduler_core::set_closed(const closed_data_centres& known,
                                time_point now)
{
    const closing_change change = data_centres_.take(known);
    if (!begun_)
    {
        return;
    }
    for (const std::string& data_centre : change.closed)
    {
        tell_closure(data_centre, now);
    }
    for (const std::string& data_centre : change.opened)
    {
        tell_closure(data_centre, now);
    }
}

std::int64_t scheduler_core::runs_in(const std::string& data_centre) const
{
    std::size_t runs = 0;
    for (const auto& [guard, at] : workers_)
    {
        runs += at.what.data_centre == data_centre ? at.held.size() : 0;
    }
    return static_cast<std::int64_t>(runs);
}

void scheduler_core::tell_closure(const std::string& data_centre,
                                  time_point now)
{
    const duration age = now - data_centres_.known_at();
    note(event_id::closure_in_force,
         {{"data_centre", data_centre},
          {"closed", data_centres_.is_closed(data_centre) ? "yes" : "no"},
          {"known_age_ms", std::to_string(to_milliseconds(age))},
          {"runs", std::to_string(runs_in(data_centre))}});
}

} // namespace springstair
