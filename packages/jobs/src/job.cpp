#include <springstair/jobs.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace springstair
{

namespace
{

std::string field_path(std::size_t step, std::string_view member)
{
    return "/steps/" + std::to_string(step) + "/" + std::string(member);
}

// Calls visit(member, number, range) for each number of a step that describes
// its tasks.
template <class Step, class Visit>
void visit_numbers(Step& step, const job_bounds& bounds, Visit visit)
{
    const number_range demand{.max = bounds.demand};
    visit("demand/cpu_millis", step.demand.cpu_millis, demand);
    visit("demand/memory_mb", step.demand.memory_mb, demand);
    visit("demand/accelerators", step.demand.accelerators, demand);
    visit("estimate_ms", step.estimate_ms, {.max = bounds.estimate_ms});
    visit("most_per_worker", step.most_per_worker, number_range{});
    visit("most_missing", step.most_missing, number_range{});
    visit("latency_target_ms", step.latency_target_ms,
          {.max = bounds.latency_target_ms});
}

// Calls visit(place, number, range) for each time of a job, and for the number
// of its rounds.
template <class Job, class Visit>
void visit_times(Job& definition, const job_bounds& bounds, Visit visit)
{
    visit("/accepted_ms", definition.accepted_ms, {.max = bounds.unix_ms});
    auto& schedule = definition.schedule;
    visit("/schedule/first_due_ms", schedule.first_due_ms,
          {.max = bounds.unix_ms});
    visit("/schedule/interval_ms", schedule.interval_ms,
          {.max = bounds.interval_ms});
    // The bound of tasks also limits the rounds.
    visit("/schedule/count", schedule.count,
          {.max = std::numeric_limits<std::int64_t>::max()});
}

void check_number(std::string place, std::int64_t number, number_range range,
                  findings& out)
{
    if (number < range.min || number > range.max)
    {
        out.push_back(
            {std::move(place), "must be from " + std::to_string(range.min) +
                                   " to " + std::to_string(range.max)});
    }
}

void check_step(const job& definition, std::size_t number,
                const job_bounds& bounds, findings& out)
{
    const job_step& step = definition.steps[number];
    if (step.count < 1)
    {
        out.push_back({field_path(number, "count"), "must be 1 or more"});
    }
    visit_numbers(
        step, bounds,
        [&](const char* member, std::int64_t value, number_range range)
        { check_number(field_path(number, member), value, range, out); });
    for (const std::size_t dependency : step.after)
    {
        if (dependency >= number)
        {
            out.push_back({field_path(number, "after"),
                           "names step " + std::to_string(dependency) +
                               ", which is not an earlier one"});
        }
    }
}

void check_times(const job& definition, const job_bounds& bounds, findings& out)
{
    visit_times(definition, bounds,
                [&](const char* place, std::int64_t value, number_range range)
                { check_number(place, value, range, out); });
}

// Whether the tasks of all steps and rounds are at most so many. Compares with
// quotients and differences, since the number itself may exceed 64 bits.
bool has_at_most(const job& definition, std::int64_t max_tasks)
{
    std::int64_t left = max_tasks / definition.rounds(); // in each round
    for (const job_step& step : definition.steps)
    {
        const std::int64_t count = std::max<std::int64_t>(0, step.count);
        if (count > left)
        {
            return false;
        }
        left -= count;
    }
    return true;
}

void move_into_bounds(job& definition, const job_bounds& bounds)
{
    const auto clamp = [](const char*, std::int64_t& number, number_range range)
    {
        number = std::clamp(number, range.min, range.max);
    };
    for (job_step& step : definition.steps)
    {
        visit_numbers(step, bounds, clamp);
    }
    visit_times(definition, bounds, clamp);
}

} // namespace

findings check_job(const job& definition, const job_bounds& bounds)
{
    findings out;
    if (definition.id.empty())
    {
        out.push_back({"/id", "is required"});
    }
    if (definition.payload.size() > bounds.payload_bytes)
    {
        out.push_back({"/payload", "is longer than " +
                                       std::to_string(bounds.payload_bytes) +
                                       " bytes"});
    }
    if (definition.steps.empty() || definition.steps.size() > bounds.steps)
    {
        out.push_back({"/steps", "must be 1 to " +
                                     std::to_string(bounds.steps) + " steps"});
    }
    for (std::size_t number = 0; number < definition.steps.size(); ++number)
    {
        check_step(definition, number, bounds, out);
    }
    check_times(definition, bounds, out);
    if (!has_at_most(definition, bounds.tasks))
    {
        out.push_back({"/steps", "make more than " +
                                     std::to_string(bounds.tasks) + " tasks"});
    }
    return out;
}

void to_json(json& to, const job& from)
{
    to = {{"id", from.id},
          {"queue", from.queue},
          {"payload", from.payload},
          {"steps", from.steps},
          {"schedule", from.schedule},
          {"accepted_ms", from.accepted_ms}};
    if (from.accepted_under)
    {
        to["accepted_under"] = *from.accepted_under;
    }
}

void from_json(const json& from, job& to)
{
    to = {.id = from.value("id", ""),
          .queue = from.value("queue", ""),
          .payload = from.value("payload", ""),
          .steps = from.value("steps", std::vector<job_step>{}),
          .schedule = from.value("schedule", job_schedule{}),
          .accepted_ms = from.value("accepted_ms", std::int64_t{0})};
    if (from.contains("accepted_under"))
    {
        to.accepted_under = from.at("accepted_under").get<queue_row>();
    }
}

job read_job(const json& document, const job_bounds& bounds)
{
    try
    {
        job definition = document.get<job>();
        move_into_bounds(definition, bounds);
        if (findings errors = check_job(definition, bounds); !errors.empty())
        {
            throw document_error(std::move(errors));
        }
        return definition;
    }
    catch (const json::exception& error)
    {
        throw document_error(std::string("invalid job: ") + error.what());
    }
}

std::int64_t job::critical_path_ms() const
{
    std::vector<std::int64_t> finish_ms; // finish time of each step
    std::int64_t longest = 0;
    for (const job_step& step : steps)
    {
        std::int64_t start = 0;
        for (const std::size_t dependency : step.after)
        {
            const bool known = dependency < finish_ms.size();
            start = std::max(start,
                             known ? finish_ms[dependency] : std::int64_t{0});
        }
        finish_ms.push_back(start + step.estimate_ms);
        longest = std::max(longest, finish_ms.back());
    }
    return longest;
}

std::string task_name::text() const
{
    return job + '.' + std::to_string(position.round) + '.' +
           std::to_string(position.step) + '.' + std::to_string(position.index);
}

std::optional<task_name> task_name::parse(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos)
    {
        return std::nullopt;
    }
    task_name name{.job = std::string(text.substr(0, dot))};
    const char* from = text.data() + dot + 1;
    const char* const end = text.data() + text.size();
    const std::array<std::int64_t*, 3> parts{
        &name.position.round, &name.position.step, &name.position.index};
    for (std::size_t part = 0; part < parts.size(); ++part)
    {
        const auto [stop, error] = std::from_chars(from, end, *parts[part]);
        const bool last = part + 1 == parts.size();
        if (error != std::errc{} || (last ? stop != end : stop == end) ||
            (!last && *stop != '.'))
        {
            return std::nullopt;
        }
        from = stop + (last ? 0 : 1);
    }
    return name;
}

std::string_view to_string(job_state value) noexcept
{
    switch (value)
    {
    case job_state::pending:
        return "pending";
    case job_state::running:
        return "running";
    case job_state::succeeded:
        return "succeeded";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return {};
}

} // namespace springstair
