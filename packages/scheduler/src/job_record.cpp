#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

job_record::job_record(job what) : definition_(std::move(what))
{
    critical_path_ms = definition_.critical_path_ms();
    for (const job_step& step : definition_.steps)
    {
        first_of_step_.push_back(tasks_per_round_);
        tasks_per_round_ += static_cast<std::size_t>(step.count);
    }
    tasks_.resize(tasks_per_round_ *
                  static_cast<std::size_t>(definition_.rounds()));
}

void job_record::enter(job_state next) noexcept
{
    if (!is_final(state_) && state_ != next)
    {
        state_ = next;
        ++change;
    }
}

job_task* job_record::find(const task_position& at)
{
    const bool exists =
        at.round >= 0 && at.round < definition_.rounds() && at.step >= 0 &&
        at.step < static_cast<std::int64_t>(definition_.steps.size()) &&
        at.index >= 0 &&
        at.index < definition_.steps[static_cast<std::size_t>(at.step)].count;
    if (!exists)
    {
        return nullptr;
    }
    return &tasks_of(at.round, at.step)[static_cast<std::size_t>(at.index)];
}

std::span<const job_task> job_record::tasks_of(std::int64_t round,
                                               std::int64_t step) const
{
    const auto number = static_cast<std::size_t>(step);
    const std::size_t first =
        static_cast<std::size_t>(round) * tasks_per_round_ +
        first_of_step_[number];
    return std::span(tasks_).subspan(
        first, static_cast<std::size_t>(definition_.steps[number].count));
}

std::span<job_task> job_record::tasks_of(std::int64_t round, std::int64_t step)
{
    const auto same = std::as_const(*this).tasks_of(round, step);
    const auto first = static_cast<std::size_t>(same.data() - tasks_.data());
    return std::span(tasks_).subspan(first, same.size());
}

task_position job_record::position_of(const job_task& task) const
{
    const auto number = static_cast<std::size_t>(&task - tasks_.data());
    const std::size_t in_round = number % tasks_per_round_;
    const auto after = std::upper_bound(first_of_step_.begin(),
                                        first_of_step_.end(), in_round);
    const auto step =
        static_cast<std::size_t>(after - first_of_step_.begin()) - 1;
    return {.round = static_cast<std::int64_t>(number / tasks_per_round_),
            .step = static_cast<std::int64_t>(step),
            .index =
                static_cast<std::int64_t>(in_round - first_of_step_[step])};
}

const job_step& job_record::step_at(const task_position& at) const
{
    return definition_.steps[static_cast<std::size_t>(at.step)];
}

bool job_record::is_open(std::int64_t round, std::int64_t step) const
{
    const job_step& of = definition_.steps[static_cast<std::size_t>(step)];
    return std::all_of(
        of.after.begin(), of.after.end(),
        [&](std::size_t before)
        {
            const auto tasks =
                tasks_of(round, static_cast<std::int64_t>(before));
            return std::all_of(tasks.begin(), tasks.end(),
                               [](const job_task& task) { return task.done; });
        });
}

bool job_record::all_done() const
{
    return std::all_of(tasks_.begin(), tasks_.end(),
                       [](const job_task& task) { return task.done; });
}

bool job_record::has_runs() const
{
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [](const job_task& task)
                       { return task.run.has_value(); });
}

job_progress job_record::progress() const
{
    job_progress kept{.state = state_};
    if (is_final(state_) && !has_runs())
    {
        return kept; // nothing is left to do: its tasks need no record
    }
    for (const job_task& task : tasks_)
    {
        if (task.runs == 0)
        {
            continue;
        }
        kept.tasks.push_back(
            {.at = position_of(task),
             .done = task.done,
             .runs = task.runs,
             .failures = task.failures,
             .guard = task.run ? task.run->guard : std::string(),
             .executor = task.run ? task.run->executor : executor_incarnation(),
             .checkpoint = task.done ? std::string() : task.checkpoint,
             .suspicion = task.done ? 0 : task.suspicion,
             .crashes = task.crashes,
             .judged_run = task.judged_run,
             .losses = task.done ? 0 : task.losses});
    }
    return kept;
}

void job_record::restore(const job_progress& kept_progress)
{
    state_ = kept_progress.state;
    shown = state_;
    for (const task_progress& from : kept_progress.tasks)
    {
        job_task* const task = find(from.at);
        if (task == nullptr)
        {
            continue;
        }
        begun = true;
        task->done = from.done;
        task->runs = from.runs;
        task->failures = from.failures;
        task->checkpoint = from.checkpoint;
        task->suspicion = from.suspicion;
        task->crashes = from.crashes;
        task->judged_run = from.judged_run;
        task->losses = from.losses;
        if (!from.guard.empty())
        {
            task->run = task_run{.number = from.runs,
                                 .guard = from.guard,
                                 .executor = from.executor};
        }
    }
}

} // namespace springstair
