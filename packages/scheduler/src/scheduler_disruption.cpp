// Deliberate stops of long-running runs, which ask the disruption budget.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

disruption_budget scheduler_core::budget_of(const task_name& name,
                                            time_point now)
{
    const job_record& record = *job_of(name.job);
    return {record.step_at(name.position),
            record.tasks_of(name.position.round, name.position.step), now,
            *options_.disruption_budget};
}

// Whether the stops of a task's runs ask the budget.
bool scheduler_core::has_budget(const task_name& name)
{
    return options_.disruption_budget &&
           job_of(name.job)->step_at(name.position).lasting;
}

// Asks the budget for a stop that is ordered at once if it is granted. A stop
// that has to wait is asked for again as long as its reason persists.
bool scheduler_core::may_disrupt(const task_name& name, stop_reason reason,
                                 time_point now)
{
    if (!has_budget(name))
    {
        return true;
    }
    if (!budget_of(name, now).allows(*job_of(name.job)->find(name.position)))
    {
        note_held_stop(name, reason, now);
        return false;
    }
    ++counts_.disruptions_granted;
    return true;
}

void scheduler_core::note_held_stop(const task_name& name, stop_reason reason,
                                    time_point now)
{
    job_task& task = *job_of(name.job)->find(name.position);
    counts_.disruptions_held += task.run->stop_held ? 0 : 1;
    task.run->stop_held = true;
    if (held_stop_log_.is_due(step_group(name.job, name.position), now,
                              options_.min_log_interval))
    {
        log_disruption(event_id::stop_held, name, reason, now);
    }
}

// A stop that can wait no longer. It counts like any other from now on.
void scheduler_core::disrupt_in_emergency(const task_name& name,
                                          stop_reason reason, time_point now)
{
    if (!has_budget(name))
    {
        return;
    }
    if (budget_of(name, now).allows(*job_of(name.job)->find(name.position)))
    {
        ++counts_.disruptions_granted;
        return;
    }
    ++counts_.disruption_emergencies;
    log_disruption(event_id::stop_forced, name, reason, now);
}

void scheduler_core::log_disruption(event_id id, const task_name& name,
                                    stop_reason reason, time_point now)
{
    job_record& record = *job_of(name.job);
    const task_run& run = *record.find(name.position)->run;
    log_decision(
        id,
        {{"task", name.text()},
         {"run", std::to_string(run.number)},
         {"guard", run.guard},
         {"why", std::string(to_string(reason))},
         {"unavailable", std::to_string(budget_of(name, now).unavailable())},
         {"most_missing",
          std::to_string(record.step_at(name.position).most_missing)}});
}

// Whether a run without progress may be stopped. @param waited since it could
// have been stopped first
bool scheduler_core::may_stop_stuck(const task_name& name, duration waited,
                                    time_point now)
{
    if (has_budget(name) && waited > options_.disruption_budget->max_stuck_hold)
    {
        disrupt_in_emergency(name, stop_reason::stuck, now);
        return true;
    }
    return may_disrupt(name, stop_reason::stuck, now);
}

// Notes the first long-running run on the blocked workers that only the budget
// keeps from being preempted.
void scheduler_core::note_held_preemption(
    const std::vector<worker_record*>& blocked, time_point now)
{
    for (const worker_record* const worker : blocked)
    {
        for (const task_name& name : worker->assigned_tasks)
        {
            if (has_budget(name) && can_be_preempted(name) &&
                !is_preemptible(name))
            {
                note_held_stop(name, stop_reason::preemption, now);
                return;
            }
        }
    }
}

// Stops long-running runs on a leaving worker as the budget allows, those of
// the step with the most room first; all of them once the worker is due.
void scheduler_core::drain_within_budget(std::vector<task_name> names,
                                         bool is_due, guard_orders& out,
                                         time_point now)
{
    std::ranges::stable_sort(names, std::ranges::greater{},
                             [&](const task_name& name)
                             { return budget_of(name, now).room(); });
    for (const task_name& name : names)
    {
        if (is_due)
        {
            disrupt_in_emergency(name, stop_reason::leaving, now);
        }
        else if (!may_disrupt(name, stop_reason::leaving, now))
        {
            continue;
        }
        order_stop(*job_of(name.job)->find(name.position)->run, name.text(),
                   out);
    }
}

} // namespace springstair
