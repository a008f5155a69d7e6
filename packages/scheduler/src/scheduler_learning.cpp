// Learns interference from worker reports and selects the pairs to report to
// guards.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// Each report shows the tail latency of latency-critical tasks and the
// processor use of best-effort runs at the same time.
void scheduler_core::learn_interference(worker_record& worker,
                                        const worker_report& report,
                                        time_point now)
{
    if (now - worker.last_sampled_at < options_.sample_interval)
    {
        return;
    }
    worker.last_sampled_at = now;
    fill_usage fill_use;
    std::vector<serving_sample> samples;
    for (const running_task& running : report.running)
    {
        const auto name = task_name::parse(running.task);
        const job_record* const record = name ? find(name->job) : nullptr;
        if (record == nullptr)
        {
            continue;
        }
        const job_step& step = record->step_at(name->position);
        if (step.fills)
        {
            fill_use[step.image] +=
                static_cast<double>(running.load) /
                static_cast<double>(std::max<std::int64_t>(
                    worker.description.capacity.cpu_millis, 1));
        }
        else if (step.latency_target_ms > 0 && running.load > 0)
        {
            samples.push_back(
                {.task = running.task,
                 .job = name->job,
                 .image = step.image,
                 .headroom = static_cast<double>(step.latency_target_ms) /
                             static_cast<double>(running.load)});
        }
    }
    worker.headroom_alone.clear();
    for (const serving_sample& sample : samples)
    {
        interference_model_.observe(sample, fill_use, now);
        const double alone =
            sample.headroom +
            interference_model_.interference_of(sample.image, fill_use);
        const auto [found, is_new] =
            worker.headroom_alone.try_emplace(sample.image, alone);
        found->second = std::min(found->second, alone);
    }
    worker.best_effort_use = std::move(fill_use);
}

std::vector<pair_interference>
scheduler_core::interference_at(const worker_record& worker) const
{
    std::vector<pair_interference> out;
    for (const auto& [serving, alone] : worker.headroom_alone)
    {
        for (const auto& [filling, use] : worker.best_effort_use)
        {
            const double harm =
                interference_model_.interference_coefficient(serving, filling);
            if (harm >= options_.min_reported_interference)
            {
                out.push_back(
                    {.serving = serving, .filling = filling, .harm = harm});
            }
        }
    }
    return out;
}

} // namespace springstair
