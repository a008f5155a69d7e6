// What is learnt from workers' figures, and what their guards are told of it.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// Each report shows serving tasks' tails beside the fills that worked at the
// same time.
void scheduler_core::learn_interference(worker_record& at,
                                        const worker_report& from,
                                        time_point now)
{
    if (now - at.learnt < options_.sample_interval)
    {
        return;
    }
    at.learnt = now;
    fill_usage beside;
    std::vector<serving_figure> figures;
    for (const running_task& row : from.running)
    {
        const auto name = task_name::parse(row.task);
        const job_record* const of = name ? find(name->job) : nullptr;
        if (of == nullptr)
        {
            continue;
        }
        const job_step& step = of->step_at(name->at);
        if (step.fills)
        {
            beside[step.image] += static_cast<double>(row.load) /
                                  static_cast<double>(std::max<std::int64_t>(
                                      at.description.capacity.cpu_millis, 1));
        }
        else if (step.latency_target_ms > 0 && row.load > 0)
        {
            figures.push_back(
                {.task = row.task,
                 .job = name->job,
                 .image = step.image,
                 .headroom = static_cast<double>(step.latency_target_ms) /
                             static_cast<double>(row.load)});
        }
    }
    at.headroom_alone.clear();
    for (const serving_figure& one : figures)
    {
        interference_model_.observe(one, beside, now);
        const double alone = one.headroom + interference_model_.interference_of(
                                                one.image, beside);
        const auto [found, fresh] =
            at.headroom_alone.try_emplace(one.image, alone);
        found->second = std::min(found->second, alone);
    }
    at.filling = std::move(beside);
}

std::vector<pair_interference>
scheduler_core::interference_at(const worker_record& at) const
{
    std::vector<pair_interference> out;
    for (const auto& [serving, alone] : at.headroom_alone)
    {
        for (const auto& [filling, use] : at.filling)
        {
            const double harm = interference_model_.harm(serving, filling);
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
