#include <springstair/scheduler.hpp>

namespace springstair
{

availability_counts&
availability_counts::operator+=(const availability_counts& other) noexcept
{
    tasks += other.tasks;
    at_work += other.at_work;
    over_target += other.over_target;
    unplaced += other.unplaced;
    reserved_millis += other.reserved_millis;
    return *this;
}

availability_counts sample_availability(const job_record& record)
{
    availability_counts sample;
    for (const job_task& task : record.tasks())
    {
        const job_step& step = record.step_at(record.position_of(task));
        if (!step.lasting)
        {
            continue;
        }
        const bool at_work = task.run && task.run->percent == full_percent;
        ++sample.tasks;
        sample.at_work += at_work ? 1 : 0;
        sample.over_target += at_work && task.run->over_target ? 1 : 0;
        sample.unplaced += task.run ? 0 : 1;
        sample.reserved_millis += reserved_by(step).cpu_millis;
    }
    return sample;
}

} // namespace springstair
