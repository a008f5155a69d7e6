// Runs that are lost with their executor, and those that a previous leader
// placed.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// Handles a new incarnation of the executor: the runs of the past one are lost,
// except those whose start has reached, or may still reach, the new incarnation
// of the same executor.
void scheduler_core::on_executor_restart(worker_record& worker,
                                         const worker_report& report,
                                         time_point now)
{
    if (worker.description.executor.empty() ||
        worker.description.executor == report.worker.executor)
    {
        return;
    }
    if (worker.description.executor.may_be(report.worker.executor))
    {
        for (const task_name& name : worker.assigned_tasks)
        {
            rebind_run(name, report.worker.executor, now);
        }
        return;
    }
    const bool is_witnessed = worker.witness_incarnation == report.incarnation;
    auto suspects = is_witnessed ? std::map<task_name, std::int64_t>{}
                                 : unreported_causes(worker, report);
    const runs_after_restart runs =
        after_restart(worker.assigned_tasks, report);
    for (const task_name& name : runs.adopted)
    {
        suspects.erase(name);
    }
    lose_worker(worker, runs.lost, end_proof::incarnation_ended(), now);
    outbox_.erase(worker.guard); // addressed to the past incarnation
    follow_restart(worker, runs, report.worker.executor, now);
    raise_unwitnessed_suspicion(worker, suspects, now);
    worker.previously_lost_at = worker.lost_at;
    worker.applied_ends = 0;
    worker.acknowledged = 0;
    worker.uncommitted_ends.clear();
    worker.fault_score = 0;
    worker.failed_job.clear();
    worker.ejections = 0;
    worker.ejected_until = {};
}

// Sorts the runs of a past incarnation by a whole report of the next one.
scheduler_core::runs_after_restart
scheduler_core::after_restart(const std::set<task_name>& runs,
                              const worker_report& report)
{
    runs_after_restart out;
    for (const task_name& name : runs)
    {
        const task_run& run = *job_of(name.job)->find(name.position)->run;
        const std::string text = name.text();
        const bool is_same_executor =
            run.executor.id == report.worker.executor.id;
        const bool guard_knows = run.told_incarnation == report.incarnation;
        const bool is_adopted = lists_running(report, text, run.number) ||
                                lists_end(report, text, run.number);
        const bool is_in_doubt =
            std::ranges::find(report.starting, text) != report.starting.end() ||
            !guard_knows;
        if (!is_same_executor || !run.ordered)
        {
            out.lost.insert(name);
        }
        else if (is_adopted)
        {
            out.adopted.insert(name);
        }
        else
        {
            (is_in_doubt ? out.in_doubt : out.lost).insert(name);
        }
    }
    return out;
}

// Calls name their executor by its id alone, so a start can reach the next
// incarnation. A run listed there is that start. A run whose start may still
// arrive is first stopped there: if it were declared lost at once, it could
// begin later, at the same time as the next run of its task.
void scheduler_core::follow_restart(worker_record& worker,
                                    const runs_after_restart& runs,
                                    const executor_incarnation& next,
                                    time_point now)
{
    for (const task_name& name : runs.adopted)
    {
        rebind_run(name, next, now);
    }
    for (const task_name& name : runs.in_doubt)
    {
        rebind_run(name, next, now);
        task_run& run = *job_of(name.job)->find(name.position)->run;
        order_stop(run, name.text(), outbox_[worker.guard]);
    }
}

void scheduler_core::rebind_run(const task_name& name,
                                const executor_incarnation& executor,
                                time_point now)
{
    job_record& record = *job_of(name.job);
    task_run& run = *record.find(name.position)->run;
    run.executor = executor;
    run.seen = false;
    run.last_progress_at = now;
    ++record.change;
    record.urgent_commit = true;
    mark_changed(record, now);
}

// Every lease that the guard requested has expired: runs that were seen there
// are lost. A run that was ordered but not seen may still wait in the guard for
// the worker to answer. It is void only once the lease grant for it has
// expired; a guard gets no grant for a worker whose lease has expired.
void scheduler_core::lose_lapsed(worker_record& worker,
                                 const worker_report& report, time_point now)
{
    std::set<task_name> seen_running;
    for (const task_name& name : worker.assigned_tasks)
    {
        const task_run& run = *job_of(name.job)->find(name.position)->run;
        if (run.seen || lists_running(report, name.text(), run.number))
        {
            seen_running.insert(name);
        }
    }
    if (!seen_running.empty())
    {
        lose_worker(worker, seen_running, end_proof::lapsed(), now);
    }
}

void scheduler_core::lose_worker(worker_record& worker,
                                 const std::set<task_name>& runs,
                                 const end_proof& proof, time_point now)
{
    log_decision(event_id::worker_lost,
                 {{"guard", worker.guard},
                  {"life", worker.description.executor.text()},
                  {"runs", std::to_string(runs.size())},
                  {"report_age_ms",
                   std::to_string(to_milliseconds(now - worker.reported))},
                  {"why", proof.why()}});
    lose_runs(std::set<task_name>(runs), proof, now);
}

// Takes over the runs that a previous leader placed. Runs of the current
// incarnation are entered in the ledger. Those of another are lost, unless
// their start has reached, or may still reach, the current one.
void scheduler_core::adopt_inherited(worker_record& worker,
                                     const worker_report& report,
                                     time_point now)
{
    const auto found = inherited_runs_.find(worker.guard);
    if (found == inherited_runs_.end())
    {
        return;
    }
    const std::set<task_name> tasks = std::move(found->second);
    inherited_runs_.erase(found);
    std::set<task_name> other_incarnation;
    for (const task_name& name : tasks)
    {
        task_run& run = *job_of(name.job)->find(name.position)->run;
        run.ordered = true;
        if (!run.executor.may_be(worker.description.executor))
        {
            other_incarnation.insert(name);
            continue;
        }
        run.executor = worker.description.executor;
        adopt_run(worker, name, now);
    }
    const runs_after_restart runs = after_restart(other_incarnation, report);
    const auto suspects = unwitnessed_runs(runs, report);
    for (const std::set<task_name>& names : {runs.adopted, runs.in_doubt})
    {
        for (const task_name& name : names)
        {
            adopt_run(worker, name, now);
        }
    }
    follow_restart(worker, runs, worker.description.executor, now);
    lose_runs(runs.lost, end_proof::past_incarnation_ended(), now);
    raise_unwitnessed_suspicion(worker, suspects, now);
}

// Gives up the runs that a previous leader placed at a worker that its guard
// has not polled, and where no lease can be in force.
void scheduler_core::lose_inherited(const std::string& guard, time_point now)
{
    const auto found = inherited_runs_.find(guard);
    if (found == inherited_runs_.end())
    {
        return;
    }
    const std::set<task_name> tasks = std::move(found->second);
    inherited_runs_.erase(found);
    lose_runs(tasks, end_proof::outlived_leases(), now);
}

void scheduler_core::adopt_run(worker_record& worker, const task_name& name,
                               time_point now)
{
    job_record& record = *job_of(name.job);
    task_run& run = *record.find(name.position)->run;
    run.last_progress_at = now;
    run.ordered_at = now;
    run.observed_whole = false;
    run.stopping = is_final(record.state());
    reserve(worker, record.step_at(name.position), name);
    register_suspect(worker, *record.find(name.position), name);
}

void scheduler_core::lose_runs(const std::set<task_name>& lost,
                               const end_proof& proof, time_point now)
{
    for (const task_name& name : lost)
    {
        job_record& record = *job_of(name.job);
        job_task& task = *record.find(name.position);
        const task_run& run = *task.run;
        log_decision(event_id::run_lost,
                     {{"task", name.text()},
                      {"run", std::to_string(run.number)},
                      {"guard", run.guard},
                      {"life", run.executor.text()},
                      {"why", proof.why()},
                      {"shown_ms",
                       std::to_string(to_milliseconds(observed_run_time(run)))},
                      {"beside", std::to_string(lost.size() - 1)}});
        close_run(record, task, proof, now);
    }
}

} // namespace springstair
