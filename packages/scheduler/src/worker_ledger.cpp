#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

resources worker_record::free_capacity() const noexcept
{
    resources left = description.capacity;
    left -= used;
    return left;
}

resources worker_record::unreserved_capacity() const noexcept
{
    const resources left = free_capacity();
    return {.cpu_millis =
                std::max<std::int64_t>(0, left.cpu_millis - claimed.cpu_millis),
            .memory_mb =
                std::max<std::int64_t>(0, left.memory_mb - claimed.memory_mb),
            .accelerators = std::max<std::int64_t>(
                0, left.accelerators - claimed.accelerators)};
}

resources worker_record::eventual_capacity() const noexcept
{
    resources left = description.capacity;
    left -= lasting_used;
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

namespace
{

// Adds to a count by name, and forgets names that come to nothing.
void add(std::map<std::string, std::int64_t>& to, const std::string& name,
         std::int64_t amount)
{
    std::int64_t& count = to[name];
    count += amount;
    if (count == 0)
    {
        to.erase(name);
    }
}

void enter(worker_record& at, const job_step& step, const task_name& task,
           int sign)
{
    add(at.of_step, step_group(task.job, task.at), sign);
    if (step.fills)
    {
        at.fill_cpu += sign * step.demand.cpu_millis;
        at.fill_runs += sign;
        add(at.fill_cpu_of, step.image, sign * step.demand.cpu_millis);
    }
    if (step.latency_target_ms > 0)
    {
        at.serving_cpu += sign * step.demand.cpu_millis;
        add(at.serving_runs, step.image, sign);
    }
}

} // namespace

void reserve(worker_record& at, const job_step& step, const task_name& task)
{
    if (at.assigned_tasks.insert(task).second)
    {
        at.used += reserved_by(step);
        at.unproven.insert(task);
        if (step.lasting)
        {
            at.lasting_used += reserved_by(step);
        }
        enter(at, step, task, 1);
    }
}

void release(worker_record& at, const job_step& step, const task_name& task)
{
    if (at.assigned_tasks.erase(task) > 0)
    {
        at.used -= reserved_by(step);
        end_isolation(at, task);
        if (step.lasting)
        {
            at.lasting_used -= reserved_by(step);
        }
        enter(at, step, task, -1);
    }
}

void end_isolation(worker_record& at, const task_name& task)
{
    at.unproven.erase(task);
    at.suspects.erase(task);
    if (at.isolated_suspect == task)
    {
        at.isolated_suspect.reset();
    }
}

std::string step_group(const std::string& job, const task_position& at)
{
    return job + '.' + std::to_string(at.round) + '.' + std::to_string(at.step);
}

} // namespace springstair
