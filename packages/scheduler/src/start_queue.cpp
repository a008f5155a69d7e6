#include <springstair/scheduler.hpp>

namespace springstair
{

void start_queue::push(const task_name& task)
{
    tasks_[task.job].push_back(task);
}

start_queue::tasks_by_job::const_iterator start_queue::next_job() const
{
    const auto next = tasks_.upper_bound(last_job_);
    return next == tasks_.end() ? tasks_.begin() : next;
}

const task_name* start_queue::front() const
{
    return tasks_.empty() ? nullptr : &next_job()->second.front();
}

void start_queue::pop()
{
    const auto job = tasks_.find(next_job()->first);
    last_job_ = job->first;
    job->second.pop_front();
    if (job->second.empty())
    {
        tasks_.erase(job);
    }
}

} // namespace springstair
