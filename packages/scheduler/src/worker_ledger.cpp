#include <springstair/scheduler.hpp>

namespace springstair
{

resources worker_record::room() const noexcept
{
    resources left = what.capacity;
    left -= used;
    return left;
}

resources reserved_by(const job_step& step) noexcept
{
    resources needed = step.demand;
    if (step.fills)
    {
        needed.cpu_millis = 0;
    }
    return needed;
}

void reserve(worker_record& at, const job_step& step, const task_name& task)
{
    if (!at.held.insert(task).second)
    {
        return;
    }
    at.used += reserved_by(step);
    if (step.fills)
    {
        at.fill_cpu += step.demand.cpu_millis;
        ++at.fill_runs;
    }
    ++at.of_step[step_group(task.job, task.at)];
}

void release(worker_record& at, const job_step& step, const task_name& task)
{
    if (at.held.erase(task) == 0)
    {
        return;
    }
    at.used -= reserved_by(step);
    if (step.fills)
    {
        at.fill_cpu -= step.demand.cpu_millis;
        --at.fill_runs;
    }
    const auto same = at.of_step.find(step_group(task.job, task.at));
    if (--same->second == 0)
    {
        at.of_step.erase(same);
    }
}

std::string step_group(const std::string& job, const task_position& at)
{
    return job + '.' + std::to_string(at.round) + '.' + std::to_string(at.step);
}

} // namespace springstair
