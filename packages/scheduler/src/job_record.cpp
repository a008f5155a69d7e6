#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Whether a task has certainly begun. A placed run may not have reached its
// worker; the reports of its guard show whether it runs.
bool shows_begin(const task_progress& saved)
{
    return saved.done || saved.failures > 0 || saved.crashes > 0 ||
           !saved.checkpoint.empty();
}

// Keys and names of the record, and its nodes in the scheduler's maps.
constexpr std::size_t bytes_per_record = 512;

std::size_t bytes_of(const job_step& step)
{
    return sizeof(step) + step.after.size() * sizeof(step.after[0]) +
           step.label.size() + step.data_rack.size() + step.image.size();
}

// Cannot overflow: the number of tasks of a valid job is bounded.
std::size_t task_count(const job& definition)
{
    std::int64_t tasks = 0;
    for (const job_step& step : definition.steps)
    {
        tasks += step.count;
    }
    return static_cast<std::size_t>(tasks * definition.rounds());
}

} // namespace

job_record::job_record(job definition) : definition_(std::move(definition))
{
    memory_bytes_ = memory_bytes(definition_);
    critical_path_ms = definition_.critical_path_ms();
    for (const job_step& step : definition_.steps)
    {
        first_of_step_.push_back(tasks_per_round_);
        tasks_per_round_ += static_cast<std::size_t>(step.count);
    }
    tasks_.resize(tasks_per_round_ *
                  static_cast<std::size_t>(definition_.rounds()));
}

std::int64_t job_record::memory_bytes(const job& definition)
{
    std::size_t bytes =
        sizeof(job_record) + bytes_per_record + definition.payload.size();
    for (const job_step& step : definition.steps)
    {
        bytes += bytes_of(step);
    }
    bytes += task_count(definition) * (sizeof(job_task) + sizeof(task_run));
    return static_cast<std::int64_t>(bytes);
}

bool job_record::has_ended() const
{
    return is_final(state_) && !has_runs();
}

void job_record::release()
{
    definition_.payload = {};
    definition_.steps = {};
    definition_.schedule = {};
    first_of_step_ = {};
    tasks_per_round_ = 0;
    tasks_ = {};
    memory_bytes_ = memory_bytes(definition_);
}

void job_record::enter(job_state next) noexcept
{
    if (!is_final(state_) && state_ != next)
    {
        state_ = next;
        ++change;
    }
}

job_task* job_record::find(const task_position& position)
{
    const bool exists =
        position.round >= 0 && position.round < definition_.rounds() &&
        position.step >= 0 &&
        position.step < static_cast<std::int64_t>(definition_.steps.size()) &&
        position.index >= 0 &&
        position.index <
            definition_.steps[static_cast<std::size_t>(position.step)].count;
    if (!exists)
    {
        return nullptr;
    }
    return &tasks_of(position.round,
                     position.step)[static_cast<std::size_t>(position.index)];
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
    const auto constant = std::as_const(*this).tasks_of(round, step);
    const auto first =
        static_cast<std::size_t>(constant.data() - tasks_.data());
    return std::span(tasks_).subspan(first, constant.size());
}

task_position job_record::position_of(const job_task& task) const
{
    const auto number = static_cast<std::size_t>(&task - tasks_.data());
    const std::size_t in_round = number % tasks_per_round_;
    const auto next_step = std::upper_bound(first_of_step_.begin(),
                                            first_of_step_.end(), in_round);
    const auto step =
        static_cast<std::size_t>(next_step - first_of_step_.begin()) - 1;
    return {.round = static_cast<std::int64_t>(number / tasks_per_round_),
            .step = static_cast<std::int64_t>(step),
            .index =
                static_cast<std::int64_t>(in_round - first_of_step_[step])};
}

const job_step& job_record::step_at(const task_position& position) const
{
    return definition_.steps[static_cast<std::size_t>(position.step)];
}

bool job_record::is_open(std::int64_t round, std::int64_t step) const
{
    const job_step& step_definition =
        definition_.steps[static_cast<std::size_t>(step)];
    return std::all_of(
        step_definition.after.begin(), step_definition.after.end(),
        [&](std::size_t dependency)
        {
            const auto tasks =
                tasks_of(round, static_cast<std::int64_t>(dependency));
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
    job_progress progress{.state = state_};
    if (has_ended())
    {
        return progress; // ended everywhere: its tasks need no record
    }
    for (const job_task& task : tasks_)
    {
        if (task.runs == 0)
        {
            continue;
        }
        progress.tasks.push_back(
            {.position = position_of(task),
             .done = task.done,
             .runs = task.runs,
             .failures = task.failures,
             .failed_run = task.failed_run,
             .guard = task.run ? task.run->guard : std::string(),
             .executor = task.run ? task.run->executor : executor_incarnation(),
             .checkpoint = task.done ? std::string() : task.checkpoint,
             .suspicion = task.done ? 0 : task.suspicion,
             .crashes = task.crashes,
             .judged_run = task.judged_run,
             .losses = task.done ? 0 : task.losses});
    }
    return progress;
}

void job_record::restore(const job_progress& progress)
{
    state_ = progress.state;
    shown = state_;
    for (const task_progress& saved : progress.tasks)
    {
        job_task* const task = find(saved.position);
        if (task == nullptr)
        {
            continue;
        }
        begun = begun || shows_begin(saved);
        task->done = saved.done;
        task->runs = saved.runs;
        task->failures = saved.failures;
        task->failed_run = saved.failed_run;
        task->checkpoint = saved.checkpoint;
        task->suspicion = saved.suspicion;
        task->crashes = saved.crashes;
        task->judged_run = saved.judged_run;
        task->losses = saved.losses;
        if (!saved.guard.empty())
        {
            task->run = task_run{.number = saved.runs,
                                 .guard = saved.guard,
                                 .executor = saved.executor};
        }
    }
}

} // namespace springstair
