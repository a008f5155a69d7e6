#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Less progress than this, in percent, is too coarse to extrapolate.
constexpr std::int64_t min_progress = 10;

// Work of a step that can't be split further, and what is left of it.
struct step_forecast
{
    duration work{0};
    duration remaining{0};
    bool has_begun = false;
};

double share_left(const job_task& task)
{
    if (task.done)
    {
        return 0;
    }
    const std::int64_t percent =
        task.run && task.run->seen
            ? std::max<std::int64_t>(task.run->percent, 0)
            : 0;
    return 1 - static_cast<double>(percent) / full_percent;
}

// A step ends with its longest task. Tasks of unknown length are expected to be
// the longer, the more of them there are. They include tasks that were done
// while throttled or in an earlier term.
step_forecast forecast_step(std::span<const job_task> tasks,
                            const std::string& queue, duration estimate,
                            const run_time_model& model)
{
    step_forecast out;
    std::int64_t unknown = 0;
    double most_left = 0;
    for (const job_task& task : tasks)
    {
        out.has_begun = out.has_begun || task.done || task.run.has_value();
        out.work = std::max(out.work, task.observed_work);
        const double left = share_left(task);
        if (task.observed_work > duration{0})
        {
            out.remaining =
                std::max(out.remaining,
                         from_seconds(to_seconds(task.observed_work) * left));
            continue;
        }
        ++unknown;
        most_left = std::max(most_left, left);
    }
    if (unknown > 0)
    {
        const duration longest =
            model.expected_longest(queue, estimate, unknown);
        out.work = std::max(out.work, longest);
        out.remaining = std::max(out.remaining,
                                 from_seconds(to_seconds(longest) * most_left));
    }
    return out;
}

} // namespace

job_forecast forecast(const job_record& record, const run_time_model& model)
{
    const job& definition = record.definition();
    job_forecast out;
    std::vector<job_forecast> until; // of the chain that each step ends
    for (std::size_t number = 0; number < definition.steps.size(); ++number)
    {
        const job_step& step = definition.steps[number];
        const step_forecast own =
            forecast_step(record.tasks_of(0, static_cast<std::int64_t>(number)),
                          definition.queue,
                          std::chrono::milliseconds(step.estimate_ms), model);
        job_forecast chain;
        for (const std::size_t dependency : step.after)
        {
            if (dependency < number)
            {
                chain.chain = std::max(chain.chain, until[dependency].chain);
                chain.remaining =
                    std::max(chain.remaining, until[dependency].remaining);
            }
        }
        chain.chain += own.work;
        chain.remaining += own.remaining;
        until.push_back(chain);
        out = {.chain = std::max(out.chain, chain.chain),
               .remaining = std::max(out.remaining, chain.remaining),
               .has_begun = out.has_begun || own.has_begun};
    }
    return out;
}

void observe_progress(job_task& task, std::int64_t percent, bool slowed,
                      time_point now)
{
    task_run& run = *task.run;
    if (slowed)
    {
        run.observed_since.reset();
        run.observed_whole = false;
        return;
    }
    if (!run.observed_since)
    {
        run.observed_since = now;
        run.observed_from = percent;
        return;
    }
    const std::int64_t gained = percent - run.observed_from;
    if (gained >= min_progress)
    {
        task.observed_work =
            from_seconds(to_seconds(now - *run.observed_since) * full_percent /
                         static_cast<double>(gained));
    }
}

duration observe_done(job_task& task, time_point now)
{
    const task_run& run = *task.run;
    if (!run.observed_whole || run.ordered_at == time_point{})
    {
        return duration{0};
    }
    task.observed_work = now - run.ordered_at;
    return task.observed_work;
}

} // namespace springstair
