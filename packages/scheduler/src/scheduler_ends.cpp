// Effects of the end of a run on its task, job and worker.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Starts the waiting time of the tasks in steps that the finished task has
// opened.
void mark_opened_tasks_ready(job_record& record, const task_position& done,
                             time_point now)
{
    const auto& steps = record.definition().steps;
    for (std::size_t step = 0; step < steps.size(); ++step)
    {
        const auto& after = steps[step].after;
        const auto number = static_cast<std::int64_t>(step);
        const bool depends_on_done =
            std::find(after.begin(), after.end(),
                      static_cast<std::size_t>(done.step)) != after.end();
        if (!depends_on_done || !record.is_open(done.round, number))
        {
            continue;
        }
        for (job_task& task : record.tasks_of(done.round, number))
        {
            task.ready_since = now;
        }
    }
}

} // namespace

void scheduler_core::close_run(job_record& record, job_task& task,
                               const end_proof& proof, time_point now)
{
    const run_end outcome = proof.how();
    const task_position position = record.position_of(task);
    const job_step& step = record.step_at(position);
    const auto found = workers_.find(task.run->guard);
    if (found != workers_.end())
    {
        confirm_start(found->second, *task.run);
        release(found->second, step, {record.definition().id, position});
        update_fault_score(found->second, record, *task.run, outcome, now);
    }
    if (outcome == run_end::done)
    {
        run_times_.record(record.definition().queue,
                          std::chrono::milliseconds(step.estimate_ms),
                          observe_done(task, now));
        urgent_room_.learn_run_time(step, now - task.run->ordered_at);
    }
    apply_end(record, task, outcome, proof.checkpoint(), now);
}

// What an end changes in the record of its job.
void scheduler_core::apply_end(job_record& record, job_task& task,
                               run_end outcome, const std::string& checkpoint,
                               time_point now)
{
    const task_run run = *task.run;
    const task_position position = record.position_of(task);
    const job_step& step = record.step_at(position);
    record.begun =
        record.begun || outcome == run_end::done || outcome == run_end::failed;
    task.run.reset();
    task.ready_since = now;
    ++record.change;
    record_freed(run.guard, record, step);
    if (!checkpoint.empty())
    {
        task.checkpoint = checkpoint;
    }
    if (outcome == run_end::done)
    {
        task.done = true;
    }
    else if (outcome == run_end::failed)
    {
        count_failure(record, task, run, now);
    }
    else if (outcome == run_end::lost)
    {
        ++counts_.lost;
    }
    if (step.gang)
    {
        close_gang(record, position, outcome, now);
    }
    if (outcome == run_end::done)
    {
        mark_opened_tasks_ready(record, position, now);
    }
    finish_if_done(record, now);
    mark_changed(record, now);
}

// Ends that leaders stored which held the job. Only the end of a task's newest
// run has an effect, and only once, so ends may be applied again.
void scheduler_core::apply_stored_ends(job_record& record,
                                       const std::vector<ended_task>& ends,
                                       time_point now)
{
    for (const ended_task& end : ends)
    {
        const auto name = task_name::parse(end.task);
        job_task* const task = name ? record.find(name->position) : nullptr;
        if (task != nullptr && task->run && task->run->number == end.run)
        {
            apply_end(record, *task, end.how, end.checkpoint, now);
        }
    }
}

// All members end together: if one is done, all are done; on any other end the
// remaining members are stopped before the gang may run again.
void scheduler_core::close_gang(job_record& record,
                                const task_position& position, run_end outcome,
                                time_point now)
{
    job_task& ended = *record.find(position);
    for (job_task& member : record.tasks_of(position.round, position.step))
    {
        if (&member == &ended)
        {
            continue;
        }
        member.checkpoint = ended.checkpoint;
        if (outcome == run_end::failed)
        {
            member.failures = std::max(member.failures, ended.failures);
            member.failed_run = std::max(member.failed_run, ended.failed_run);
        }
        if (outcome == run_end::done)
        {
            member.done = true;
        }
        else if (member.run && !member.run->stopping)
        {
            const task_name name{record.definition().id,
                                 record.position_of(member)};
            order_stop(*member.run, name.text(), outbox_[member.run->guard]);
        }
        member.ready_since = now;
    }
}

// A run of a gang fails once, however many of its members fail.
void scheduler_core::count_failure(job_record& record, job_task& task,
                                   const task_run& run, time_point now)
{
    ++counts_.failed_runs;
    task.avoided.insert(run.guard);
    const job_step& step = record.step_at(record.position_of(task));
    if (step.gang && run.number <= task.failed_run)
    {
        return;
    }
    ++task.failures;
    task.failed_run = step.gang ? run.number : 0;
    const queue_row* const queue = queue_of(record.definition());
    const bool exhausted = !step.lasting && queue != nullptr &&
                           task.failures >= queue->most_attempts;
    if (!exhausted)
    {
        return;
    }
    fail(record, task, now,
         {{"failures", std::to_string(task.failures)},
          {"most_attempts", std::to_string(queue->most_attempts)},
          {"table_version", std::to_string(table_.version)}});
}

// Fails the job because one task cannot be done, and stops its other tasks.
void scheduler_core::fail(job_record& record, const job_task& task,
                          time_point now, std::vector<event_field> fields)
{
    if (is_final(record.state()))
    {
        return;
    }
    fields.insert(
        fields.begin(),
        {"task",
         task_name{record.definition().id, record.position_of(task)}.text()});
    finish(record, job_state::failed, now, std::move(fields));
    stop_all(record);
}

// Whether an end is evidence for or against the worker; only success and
// failure are. A failure is not if the job has also failed on other workers, or
// was the last to fail on this one: then the job may be at fault. Runs ordered
// before the end of the last ejection were accounted for by it.
bool scheduler_core::is_evidence_of_fault(const worker_record& worker,
                                          const job_record& record,
                                          const task_run& run, run_end outcome)
{
    if (run.ordered_at < worker.ejected_until)
    {
        return false;
    }
    if (outcome != run_end::failed)
    {
        return outcome == run_end::done;
    }
    const bool failed_elsewhere = std::ranges::any_of(
        record.tasks(), [&](const job_task& task)
        { return task.avoided.size() > task.avoided.count(worker.guard); });
    return worker.failed_job != record.definition().id && !failed_elsewhere;
}

// Updates the fault score of a worker and ejects it for a time when it is
// faulty.
void scheduler_core::update_fault_score(worker_record& worker,
                                        const job_record& record,
                                        const task_run& run, run_end outcome,
                                        time_point now)
{
    if (!is_evidence_of_fault(worker, record, run, outcome))
    {
        return;
    }
    const bool failed = outcome == run_end::failed;
    worker.fault_score =
        fault_detector_.fault_score_after(worker.fault_score, failed);
    worker.failed_job = failed ? record.definition().id : worker.failed_job;
    if (worker.fault_score == 0)
    {
        worker.ejections = 0;
        worker.failed_job.clear();
    }
    if (!fault_detector_.is_faulty(worker.fault_score))
    {
        return;
    }
    const duration ejection = std::min(
        options_.max_ejection,
        options_.min_ejection *
            (std::int64_t{1} << std::min<std::int64_t>(worker.ejections, 4)));
    worker.ejected_until = now + ejection;
    ++worker.ejections;
    log_decision(event_id::worker_ejected,
                 {{"guard", worker.guard},
                  {"life", worker.description.executor.text()},
                  {"for_ms", std::to_string(to_milliseconds(ejection))},
                  {"fleet_fails_percent",
                   std::to_string(static_cast<int>(full_percent *
                                                   fault_detector_.share()))}});
    worker.fault_score = fault_detector_.fault_score_at_return();
}

void scheduler_core::finish(job_record& record, job_state state, time_point now,
                            std::vector<event_field> fields)
{
    const duration age = now - record.accepted;
    record.enter(state);
    record.urgent_commit = true;
    forget_advice(record);
    finished_.push_back(
        {.queue = record.definition().queue,
         .state = state,
         .age = age,
         .to_start = record.first_start.value_or(now) - record.accepted});
    fields.insert(fields.begin(),
                  {{"job", record.definition().id},
                   {"queue", record.definition().queue},
                   {"state", std::string(to_string(state))},
                   {"age_ms", std::to_string(to_milliseconds(age))}});
    log_decision(event_id::job_ended, std::move(fields));
}

void scheduler_core::forget_advice(const job_record& record)
{
    const auto steps =
        static_cast<std::int64_t>(record.definition().steps.size());
    for (std::int64_t round = 0; round < record.definition().rounds(); ++round)
    {
        for (std::int64_t step = 0; step < steps; ++step)
        {
            tickets_.forget(step_group(record.definition().id,
                                       {.round = round, .step = step}));
        }
    }
}

void scheduler_core::finish_if_done(job_record& record, time_point now)
{
    if (is_final(record.state()) || !record.all_done())
    {
        return;
    }
    finish(record, job_state::succeeded, now, {});
    mark_changed(record, now);
}

void scheduler_core::stop_all(job_record& record)
{
    for (job_task& task : record.tasks())
    {
        if (!task.run || task.run->stopping)
        {
            continue;
        }
        const task_name name{record.definition().id, record.position_of(task)};
        order_stop(*task.run, name.text(), outbox_[task.run->guard]);
    }
}

// Orders a stop. The worker remembers it, so that a start still in flight has
// no effect; a run whose start was not sent yet is never started.
void scheduler_core::order_stop(task_run& run, const std::string& task,
                                guard_orders& out)
{
    run.stopping = true;
    run.ordered = true;
    out.stops.push_back({.task = task, .run = run.number});
}

} // namespace springstair
