#include <springstair/jobs.hpp>

namespace springstair
{

std::string_view to_string(run_end value) noexcept
{
    switch (value)
    {
    case run_end::done:
        return "done";
    case run_end::failed:
        return "failed";
    case run_end::stopped:
        return "stopped";
    case run_end::lapsed:
        return "lapsed";
    case run_end::broken:
        return "broken";
    case run_end::alone:
        return "alone";
    case run_end::refused:
        return "refused";
    case run_end::lost:
        return "lost";
    }
    return {};
}

// Rows in reports are arrays: a report lists dozens, twice a second.

void to_json(json& to, const running_task& from)
{
    to = json::array(
        {from.task, from.run, from.checkpoint, from.percent, from.load});
}

void from_json(const json& from, running_task& to)
{
    to = {.task = from.at(0),
          .run = from.at(1),
          .checkpoint = from.at(2),
          .percent = from.at(3),
          .load = from.at(4)};
}

void to_json(json& to, const ended_task& from)
{
    to = json::array({from.number, from.task, from.run,
                      std::string(to_string(from.how)), from.checkpoint});
}

void from_json(const json& from, ended_task& to)
{
    to = {.number = from.at(0),
          .task = from.at(1),
          .run = from.at(2),
          .how = from_string<run_end>(from.at(3).get<std::string>())
                     .value_or(run_end::failed),
          .checkpoint = from.at(4)};
}

} // namespace springstair
