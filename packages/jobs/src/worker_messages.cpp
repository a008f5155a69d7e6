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

void to_json(json& to, const worker_description& from)
{
    to = {{"service", from.service},    {"data_centre", from.data_centre},
          {"rack", from.rack},          {"labels", from.labels},
          {"capacity", from.capacity},  {"draining", from.draining},
          {"leaves_ms", from.leaves_ms}};
    put_incarnation(to, from.executor);
}

void from_json(const json& from, worker_description& to)
{
    const worker_description none;
    to = {.executor = incarnation_in(from),
          .service = from.value("service", none.service),
          .data_centre = from.value("data_centre", none.data_centre),
          .rack = from.value("rack", none.rack),
          .labels = from.value("labels", none.labels),
          .capacity = from.value("capacity", none.capacity),
          .draining = from.value("draining", none.draining),
          .leaves_ms = from.value("leaves_ms", none.leaves_ms)};
}

void to_json(json& to, const past_incarnation& from)
{
    to = {{"lost_ms", from.lost_ms}, {"begun", from.begun}};
    put_incarnation(to, from.executor);
}

void from_json(const json& from, past_incarnation& to)
{
    to = {.executor = incarnation_in(from),
          .lost_ms = from.value("lost_ms", std::int64_t{0}),
          .begun = from.value("begun", std::vector<begun_run>{})};
}

void to_json(json& to, const guard_orders& from)
{
    to = {{"epoch", from.epoch},
          {"incarnation", from.incarnation},
          {"starts", from.starts},
          {"stops", from.stops},
          {"acknowledged", from.acknowledged},
          {"starts_until_ms", from.starts_until_ms},
          {"closed", from.closed}};
    put_incarnation(to, from.executor);
}

void from_json(const json& from, guard_orders& to)
{
    const guard_orders none;
    to = {.epoch = from.value("epoch", none.epoch),
          .executor = incarnation_in(from),
          .incarnation = from.value("incarnation", none.incarnation),
          .starts = from.value("starts", none.starts),
          .stops = from.value("stops", none.stops),
          .acknowledged = from.value("acknowledged", none.acknowledged),
          .starts_until_ms =
              from.value("starts_until_ms", none.starts_until_ms),
          .closed = from.value("closed", none.closed)};
}

// Rows in reports are arrays: a report lists dozens, twice per second.

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
