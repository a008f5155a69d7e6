#include <springstair/jobs.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace springstair
{

namespace
{

std::string field_path(std::size_t step, std::string_view member)
{
    return "/steps/" + std::to_string(step) + "/" + std::string(member);
}

void check_step(const job& definition, std::size_t number, findings& out)
{
    const job_step& step = definition.steps[number];
    if (step.count < 1)
    {
        out.push_back({field_path(number, "count"), "must be 1 or more"});
    }
    const resources& demand = step.demand;
    if (demand.cpu_millis < 0 || demand.memory_mb < 0 ||
        demand.accelerators < 0)
    {
        out.push_back({field_path(number, "demand"), "must not be negative"});
    }
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

std::int64_t task_count(const job& definition)
{
    std::int64_t tasks = 0;
    for (const job_step& step : definition.steps)
    {
        tasks += std::max<std::int64_t>(0, step.count);
    }
    return tasks * definition.rounds();
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
        check_step(definition, number, out);
    }
    if (task_count(definition) > bounds.tasks)
    {
        out.push_back({"/steps", "make more than " +
                                     std::to_string(bounds.tasks) + " tasks"});
    }
    return out;
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
