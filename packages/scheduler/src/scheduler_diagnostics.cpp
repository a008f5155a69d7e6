// What is told of tasks that wait and of how lasting jobs are served.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

std::string percent(std::int64_t part, std::int64_t whole)
{
    return std::to_string(full_percent * part /
                          std::max<std::int64_t>(whole, 1));
}

} // namespace

void scheduler_core::log_wait(const placement_query& query,
                              const job_record& of, const job_task& first,
                              std::optional<wait_cause> known)
{
    const duration waited = query.now - first.ready_since;
    if (waited < options_.wait_log_threshold ||
        !waits_.is_due(query.group, query.now, options_.min_log_interval))
    {
        return;
    }
    const task_position at = of.position_of(first);
    const auto tasks = of.tasks_of(at.round, at.step);
    const auto waiting = std::ranges::count_if(tasks, &job_task::is_waiting);
    const wait_report found = explain_wait(workers_, query, options_.placement);
    log_decision(
        event_id::tasks_wait,
        {{"job", of.definition().id},
         {"queue", of.definition().queue},
         {"step", std::to_string(at.step)},
         {"tasks", std::to_string(waiting)},
         {"waited_ms", std::to_string(to_milliseconds(waited))},
         {"why", std::string(to_string(known.value_or(found.cause)))},
         {"cpu_millis", std::to_string(query.step.demand.cpu_millis)},
         {"memory_mb", std::to_string(query.step.demand.memory_mb)},
         {"workers", std::to_string(found.workers)},
         {"free_millis", std::to_string(found.free_millis)},
         {"free_in_time_millis", std::to_string(found.free_in_time_millis)}});
}

void scheduler_core::watch_service(time_point now)
{
    if (now < next_sample_)
    {
        return;
    }
    next_sample_ = now + options_.availability_sample_interval;
    sample_jobs();
    if (now >= next_service_log_)
    {
        next_service_log_ = now + options_.min_log_interval;
        log_service();
    }
}

void scheduler_core::sample_jobs()
{
    std::vector<availability_counts> samples;
    for (const auto& [id, of] : jobs_)
    {
        if (is_final(of->state()))
        {
            continue;
        }
        const availability_counts sample = sample_service(*of);
        if (sample.tasks > 0)
        {
            service_[id] += sample;
            samples.push_back(sample);
        }
    }
    std::sort(
        samples.begin(), samples.end(),
        [](const availability_counts& left, const availability_counts& right)
        { return left.reserved_millis > right.reserved_millis; });
    const std::size_t tenth = (samples.size() + 9) / 10;
    counts_.lasting = {};
    counts_.largest_lasting = {};
    for (std::size_t rank = 0; rank < samples.size(); ++rank)
    {
        counts_.lasting += samples[rank];
        counts_.largest_lasting +=
            rank < tenth ? samples[rank] : availability_counts{};
    }
}

void scheduler_core::log_service()
{
    for (const auto& [id, account] : std::exchange(service_, {}))
    {
        if (account.is_whole())
        {
            continue;
        }
        const job_record& of = *job_of(id);
        log_decision(
            event_id::job_service,
            {{"job", id},
             {"queue", of.definition().queue},
             {"tasks", std::to_string(of.tasks().size())},
             {"cpu_millis", std::to_string(sample_service(of).reserved_millis)},
             {"at_work", percent(account.at_work, account.tasks)},
             {"over_target", percent(account.over_target, account.tasks)},
             {"unplaced", percent(account.unplaced, account.tasks)}});
    }
}

} // namespace springstair
