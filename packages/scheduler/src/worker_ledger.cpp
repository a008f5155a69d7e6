#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

resources worker_record::free_capacity() const noexcept
{
    resources free = description.capacity;
    free -= used;
    return free;
}

resources worker_record::unreserved_capacity() const noexcept
{
    const resources free = free_capacity();
    return {.cpu_millis = std::max<std::int64_t>(0, free.cpu_millis -
                                                        reserved.cpu_millis),
            .memory_mb =
                std::max<std::int64_t>(0, free.memory_mb - reserved.memory_mb),
            .accelerators = std::max<std::int64_t>(
                0, free.accelerators - reserved.accelerators)};
}

resources worker_record::eventual_capacity() const noexcept
{
    resources remaining = description.capacity;
    remaining -= lasting_used;
    return remaining;
}

resources reserved_by(const job_step& step) noexcept
{
    resources reserved = step.demand;
    if (step.fills)
    {
        reserved.cpu_millis = 0;
    }
    return reserved;
}

namespace
{

// Adds to a count by name and removes counts that reach zero.
void add(std::map<std::string, std::int64_t>& counts, const std::string& name,
         std::int64_t amount)
{
    std::int64_t& count = counts[name];
    count += amount;
    if (count == 0)
    {
        counts.erase(name);
    }
}

void update_counts(worker_record& worker, const job_step& step,
                   const task_name& task, int sign)
{
    add(worker.runs_of_step, step_group(task.job, task.position), sign);
    if (step.fills)
    {
        worker.fill_cpu_millis += sign * step.demand.cpu_millis;
        worker.fill_runs += sign;
        add(worker.fill_cpu_millis_by_image, step.image,
            sign * step.demand.cpu_millis);
    }
    if (step.latency_target_ms > 0)
    {
        worker.serving_cpu_millis += sign * step.demand.cpu_millis;
        add(worker.serving_runs, step.image, sign);
    }
}

} // namespace

void reserve(worker_record& worker, const job_step& step, const task_name& task)
{
    if (worker.assigned_tasks.insert(task).second)
    {
        worker.used += reserved_by(step);
        worker.unproven.insert(task);
        if (step.lasting)
        {
            worker.lasting_used += reserved_by(step);
        }
        update_counts(worker, step, task, 1);
    }
}

void release(worker_record& worker, const job_step& step, const task_name& task)
{
    if (worker.assigned_tasks.erase(task) > 0)
    {
        worker.used -= reserved_by(step);
        worker.short_runs.erase(task);
        end_isolation(worker, task);
        if (step.lasting)
        {
            worker.lasting_used -= reserved_by(step);
        }
        update_counts(worker, step, task, -1);
    }
}

void end_isolation(worker_record& worker, const task_name& task)
{
    worker.unproven.erase(task);
    worker.suspects.erase(task);
    if (worker.isolated_suspect == task)
    {
        worker.isolated_suspect.reset();
    }
}

std::string step_group(const std::string& job, const task_position& position)
{
    return job + '.' + std::to_string(position.round) + '.' +
           std::to_string(position.step);
}

} // namespace springstair
