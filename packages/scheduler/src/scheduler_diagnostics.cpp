// Logs why tasks wait, and the availability of long-running jobs.

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
                              const job_record& record, const job_task& task,
                              std::optional<wait_cause> known_cause)
{
    const duration waited = query.now - task.ready_since;
    if (waited < options_.wait_log_threshold ||
        !wait_log_.is_due(query.group, query.now, options_.min_log_interval))
    {
        return;
    }
    const task_position position = record.position_of(task);
    const auto tasks = record.tasks_of(position.round, position.step);
    const auto waiting = std::ranges::count_if(tasks, &job_task::is_waiting);
    const wait_report report =
        explain_wait(workers_, query, options_.placement);
    log_decision(
        event_id::tasks_wait,
        {{"job", record.definition().id},
         {"queue", record.definition().queue},
         {"step", std::to_string(position.step)},
         {"tasks", std::to_string(waiting)},
         {"waited_ms", std::to_string(to_milliseconds(waited))},
         {"why", std::string(to_string(known_cause.value_or(report.cause)))},
         {"cpu_millis", std::to_string(query.step.demand.cpu_millis)},
         {"memory_mb", std::to_string(query.step.demand.memory_mb)},
         {"workers", std::to_string(report.workers)},
         {"free_millis", std::to_string(report.free_millis)},
         {"free_in_time_millis", std::to_string(report.free_in_time_millis)}});
}

void scheduler_core::sample_availability_if_due(time_point now)
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
    for (const auto& [id, record] : jobs_)
    {
        if (is_final(record->state()))
        {
            continue;
        }
        const availability_counts sample = sample_availability(*record);
        if (sample.tasks > 0)
        {
            availability_[id] += sample;
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
    for (const auto& [id, counts] : std::exchange(availability_, {}))
    {
        if (counts.is_whole())
        {
            continue;
        }
        const job_record& record = *job_of(id);
        log_decision(
            event_id::job_service,
            {{"job", id},
             {"queue", record.definition().queue},
             {"tasks", std::to_string(record.tasks().size())},
             {"cpu_millis",
              std::to_string(sample_availability(record).reserved_millis)},
             {"at_work", percent(counts.at_work, counts.tasks)},
             {"over_target", percent(counts.over_target, counts.tasks)},
             {"unplaced", percent(counts.unplaced, counts.tasks)}});
    }
}

} // namespace springstair
