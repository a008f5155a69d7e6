// What an end of a run means for its task, its job and its worker.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// The tasks of steps that the end of a task has opened wait from now on.
void begin_waits(job_record& of, const task_position& done, time_point now)
{
    const auto& steps = of.definition().steps;
    for (std::size_t step = 0; step < steps.size(); ++step)
    {
        const auto& after = steps[step].after;
        const auto number = static_cast<std::int64_t>(step);
        const bool follows =
            std::find(after.begin(), after.end(),
                      static_cast<std::size_t>(done.step)) != after.end();
        if (!follows || !of.is_open(done.round, number))
        {
            continue;
        }
        for (job_task& task : of.tasks_of(done.round, number))
        {
            task.ready_since = now;
        }
    }
}

} // namespace

void scheduler_core::close_run(job_record& of, job_task& task,
                               const end_proof& over, time_point now)
{
    const run_end how = over.how();
    const task_run run = *task.run;
    const task_position where = of.position_of(task);
    const job_step& step = of.step_at(where);
    const auto at = workers_.find(run.guard);
    if (at != workers_.end())
    {
        release(at->second, step, {of.definition().id, where});
        update_fault_score(at->second, of, run, how, now);
    }
    task.run.reset();
    task.ready_since = now;
    ++of.change;
    note_freed(run.guard, of, step);
    if (!over.checkpoint().empty())
    {
        task.checkpoint = over.checkpoint();
    }
    if (how == run_end::done)
    {
        task.done = true;
    }
    else if (how == run_end::failed)
    {
        count_failure(of, task, run, now);
    }
    else if (how == run_end::lost)
    {
        ++counts_.lost;
    }
    if (step.gang)
    {
        close_gang(of, where, how, now);
    }
    if (how == run_end::done)
    {
        begin_waits(of, where, now);
    }
    finish_if_done(of, now);
    mark_changed(of, now);
}

// Members end together: one done stands for all, any other end brings the
// rest down before the gang may run again.
void scheduler_core::close_gang(job_record& of, const task_position& at,
                                run_end how, time_point now)
{
    job_task& closed = *of.find(at);
    for (job_task& member : of.tasks_of(at.round, at.step))
    {
        if (&member == &closed)
        {
            continue;
        }
        member.checkpoint = closed.checkpoint;
        if (how == run_end::failed)
        {
            member.failures = std::max(member.failures, closed.failures);
        }
        if (how == run_end::done)
        {
            member.done = true;
        }
        else if (member.run && !member.run->stopping)
        {
            const task_name name{of.definition().id, of.position_of(member)};
            order_stop(*member.run, name.text(), outbox_[member.run->guard]);
        }
        member.ready_since = now;
    }
}

void scheduler_core::count_failure(job_record& of, job_task& task,
                                   const task_run& run, time_point now)
{
    ++counts_.failed_runs;
    ++task.failures;
    task.avoided.insert(run.guard);
    const job_step& step = of.step_at(of.position_of(task));
    const queue_row* const queue = table_.queue(of.definition().queue);
    const bool exhausted = !step.lasting && queue != nullptr &&
                           task.failures >= queue->most_attempts;
    if (!exhausted)
    {
        return;
    }
    fail(of, task, now,
         {{"failures", std::to_string(task.failures)},
          {"most_attempts", std::to_string(queue->most_attempts)},
          {"table_version", std::to_string(table_.version)}});
}

// One task of a job can not be done: the others stop.
void scheduler_core::fail(job_record& of, const job_task& task, time_point now,
                          std::vector<event_field> why)
{
    if (is_final(of.state()))
    {
        return;
    }
    why.insert(
        why.begin(),
        {"task", task_name{of.definition().id, of.position_of(task)}.text()});
    finish(of, job_state::failed, now, std::move(why));
    stop_all(of);
}

// Whether an end says something of the worker. A task that has failed on
// several workers says nothing about any of them, nor does a job that fails
// again; what began before the worker was put out has been judged by that.
bool scheduler_core::is_evidence_of_fault(const worker_record& at,
                                          const job_record& of,
                                          const task_run& run, run_end how)
{
    if (run.ordered_at < at.ejected_until)
    {
        return false;
    }
    if (how != run_end::failed)
    {
        return how == run_end::done;
    }
    const bool elsewhere = std::ranges::any_of(
        of.tasks(), [&](const job_task& task)
        { return task.avoided.size() > task.avoided.count(at.guard); });
    return at.failed_job != of.definition().id && !elsewhere;
}

// A worker that fails what it starts gets no work for a while.
void scheduler_core::update_fault_score(worker_record& at, const job_record& of,
                                        const task_run& run, run_end how,
                                        time_point now)
{
    if (!is_evidence_of_fault(at, of, run, how))
    {
        return;
    }
    const bool failed = how == run_end::failed;
    at.fault_score = failures_.fault_score_after(at.fault_score, failed);
    at.failed_job = failed ? of.definition().id : at.failed_job;
    if (at.fault_score == 0)
    {
        at.ejections = 0;
        at.failed_job.clear();
    }
    if (!failures_.is_faulty(at.fault_score))
    {
        return;
    }
    const duration pause = std::min(
        options_.max_ejection,
        options_.min_ejection *
            (std::int64_t{1} << std::min<std::int64_t>(at.ejections, 4)));
    at.ejected_until = now + pause;
    ++at.ejections;
    log_decision(
        event_id::worker_ejected,
        {{"guard", at.guard},
         {"life", at.description.executor.text()},
         {"for_ms", std::to_string(to_milliseconds(pause))},
         {"fleet_fails_percent",
          std::to_string(static_cast<int>(full_percent * failures_.share()))}});
    at.fault_score = failures_.fault_score_at_return();
}

void scheduler_core::finish(job_record& of, job_state state, time_point now,
                            std::vector<event_field> why)
{
    const duration age = now - of.accepted;
    of.enter(state);
    of.urgent_commit = true;
    forget_advice(of);
    finished_.push_back(
        {.queue = of.definition().queue,
         .state = state,
         .age = age,
         .to_start = of.first_start.value_or(now) - of.accepted});
    why.insert(why.begin(), {{"job", of.definition().id},
                             {"queue", of.definition().queue},
                             {"state", std::string(to_string(state))},
                             {"age_ms", std::to_string(to_milliseconds(age))}});
    log_decision(event_id::job_ended, std::move(why));
}

void scheduler_core::forget_advice(const job_record& of)
{
    const auto steps = static_cast<std::int64_t>(of.definition().steps.size());
    for (std::int64_t round = 0; round < of.definition().rounds(); ++round)
    {
        for (std::int64_t step = 0; step < steps; ++step)
        {
            advice_.forget(
                step_group(of.definition().id, {.round = round, .step = step}));
        }
    }
}

void scheduler_core::finish_if_done(job_record& of, time_point now)
{
    if (is_final(of.state()) || !of.all_done())
    {
        return;
    }
    finish(of, job_state::succeeded, now, {});
    mark_changed(of, now);
}

void scheduler_core::stop_all(job_record& of)
{
    for (job_task& task : of.tasks())
    {
        if (!task.run || task.run->stopping)
        {
            continue;
        }
        const task_name name{of.definition().id, of.position_of(task)};
        order_stop(*task.run, name.text(), outbox_[task.run->guard]);
    }
}

// The worker remembers a stop, so that a start under way does nothing either;
// a run that was not ordered yet will not be.
void scheduler_core::order_stop(task_run& run, const std::string& task,
                                guard_orders& out)
{
    run.stopping = true;
    run.ordered = true;
    out.stops.push_back({.task = task, .run = run.number});
}

} // namespace springstair
