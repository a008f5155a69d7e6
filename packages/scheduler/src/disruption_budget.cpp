#include <springstair/scheduler.hpp>

#include <algorithm>
#include <limits>

namespace springstair
{

std::string_view to_string(stop_reason value) noexcept
{
    switch (value)
    {
    case stop_reason::preemption:
        return "preemption";
    case stop_reason::yield:
        return "yield";
    case stop_reason::relocation:
        return "relocation";
    case stop_reason::stuck:
        return "stuck";
    case stop_reason::leaving:
        break;
    }
    return "leaving";
}

bool is_unavailable(const job_task& task, time_point now,
                    const disruption_budget_options& options) noexcept
{
    if (task.done)
    {
        return false;
    }
    if (!task.run)
    {
        return true;
    }
    const task_run& run = *task.run;
    const bool is_inherited = run.placed_in == 0;
    const bool is_unsettled =
        is_inherited && now - run.ordered_at < options.inherited_settling;
    return !run.seen || run.stopping || run.percent < full_percent ||
           now - run.last_seen > options.max_silence || is_unsettled;
}

disruption_budget::disruption_budget(const job_step& step,
                                     std::span<const job_task> tasks,
                                     time_point now,
                                     const disruption_budget_options& options)
    : step_(step), now_(now), options_(options),
      unavailable_(std::ranges::count_if(
          tasks, [&](const job_task& task)
          { return is_unavailable(task, now, options); })),
      not_done_(std::ranges::count(tasks, false, &job_task::done))
{
}

std::int64_t disruption_budget::room() const noexcept
{
    return step_.most_missing == 0
               ? std::numeric_limits<std::int64_t>::max()
               : std::max<std::int64_t>(0, step_.most_missing - unavailable_);
}

bool disruption_budget::allows(const job_task& task) const noexcept
{
    const std::int64_t added = is_unavailable(task, now_, options_) ? 0 : 1;
    const std::int64_t missing = step_.gang ? not_done_ : unavailable_ + added;
    return step_.most_missing == 0 || missing <= step_.most_missing;
}

} // namespace springstair
