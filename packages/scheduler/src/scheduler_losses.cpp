// Runs that are over without a listed end, and the tasks behind crashes.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// Another incarnation of the executor: all that ran there is gone.
void scheduler_core::change_life(worker_record& at, const std::string& life,
                                 bool same_guard, time_point now)
{
    if (at.what.life.empty() || at.what.life == life)
    {
        return;
    }
    const bool alone = same_guard && !went_with_its_rack(at, now);
    lose_worker(at, alone ? loss_evidence::direct : loss_evidence::indirect,
                "its executor began another life", now);
    outbox_.erase(at.guard); // meant for the life before
    at.life_since = now;
    at.noted = 0;
    at.acknowledged = 0;
    at.unkept.clear();
    at.failure_streak = 0;
    at.ejections = 0;
    at.ejected_until = {};
}

// Whether half of the executors of its rack are away, or were a moment ago.
bool scheduler_core::went_with_its_rack(const worker_record& at,
                                        time_point now) const
{
    std::size_t all = 0;
    std::size_t gone = 0;
    for (const auto& [guard, other] : workers_)
    {
        if (other.what.rack != at.what.rack)
        {
            continue;
        }
        ++all;
        const bool away =
            !other.answering ||
            now - other.reported >= options_.placement.report_age ||
            (other.life_since != time_point{} &&
             now - other.life_since < options_.suspicion.same_fault);
        gone += &other == &at || away ? 1 : 0;
    }
    return gone > 1 && 2 * gone >= all;
}

void scheduler_core::lose_worker(worker_record& at, loss_evidence evidence,
                                 const char* why, time_point now)
{
    note(event_id::worker_lost,
         {{"guard", at.guard},
          {"life", at.what.life},
          {"runs", std::to_string(at.held.size())},
          {"report_age_ms", std::to_string(to_milliseconds(now - at.reported))},
          {"why", why}});
    lose_runs(std::set<task_name>(at.held), evidence, why, now);
}

// Runs of an earlier holder: those of this incarnation are entered into the
// ledger, those of another are gone.
void scheduler_core::adopt_awaited(worker_record& at, time_point now)
{
    const auto found = awaited_.find(at.guard);
    if (found == awaited_.end())
    {
        return;
    }
    const std::set<task_name> tasks = std::move(found->second);
    awaited_.erase(found);
    std::set<task_name> lost;
    for (const task_name& name : tasks)
    {
        job_record& of = *job_of(name.job);
        job_task& task = *of.find(name.at);
        if (task.run->life != at.what.life)
        {
            lost.insert(name);
            continue;
        }
        task.run->moved_at = now;
        task.run->ordered = true;
        task.run->ordered_at = now;
        task.run->stopping = is_final(of.state());
        reserve(at, of.step_at(name.at), name);
    }
    lose_runs(lost, loss_evidence::indirect,
              "placed by another holder, its executor is gone", now);
}

namespace
{

// A run of this holder that was not ordered yet cannot have begun.
bool may_have_begun(const task_run& run)
{
    const bool of_earlier_holder = run.placed_in == 0;
    return run.ordered || of_earlier_holder;
}

} // namespace

duration scheduler_core::shown_at_work(const task_run& run)
{
    return run.seen ? run.last_seen - run.ordered_at : duration{0};
}

// What each run that was lost with others says of its task.
std::map<task_name, lost_run_facts>
scheduler_core::facts_of(const std::set<task_name>& lost,
                         loss_evidence evidence)
{
    std::map<task_name, lost_run_facts> facts;
    for (const task_name& name : lost)
    {
        const job_task& task = *job_of(name.job)->find(name.at);
        if (may_have_begun(*task.run))
        {
            facts[name] = {.suspicion = task.suspicion,
                           .at_work = shown_at_work(*task.run),
                           .evidence = evidence};
        }
    }
    return facts;
}

void scheduler_core::lose_runs(const std::set<task_name>& lost,
                               loss_evidence evidence, const char* why,
                               time_point now)
{
    const auto facts = facts_of(lost, evidence);
    std::set<task_name> likely;
    for (const auto& [name, fact] : facts)
    {
        if (is_likely_cause(fact, options_.suspicion))
        {
            likely.insert(name);
        }
    }
    for (const task_name& name : lost)
    {
        job_record& of = *job_of(name.job);
        job_task& task = *of.find(name.at);
        const auto fact = facts.find(name);
        const std::int64_t added =
            fact == facts.end()
                ? 0
                : added_suspicion(fact->second, options_.suspicion);
        task.suspicion += added;
        note_loss(name, task, why, lost.size(), likely.size());
        if (task.suspicion >= suspected_at)
        {
            task.left =
                left_worker{.guard = task.run->guard,
                            .until = now + options_.suspicion.no_return};
        }
        close_run(of, task, run_end::lost, {}, now);
        const bool sole = likely.size() == 1 && likely.contains(name);
        if (added > 0 && is_given_up(task.suspicion, evidence, sole))
        {
            give_up(of, task, now);
        }
    }
}

void scheduler_core::note_loss(const task_name& name, const job_task& task,
                               const char* why, std::size_t lost,
                               std::size_t likely)
{
    const task_run& run = *task.run;
    note(event_id::run_lost,
         {{"task", name.text()},
          {"run", std::to_string(run.number)},
          {"guard", run.guard},
          {"life", run.life},
          {"why", why},
          {"shown_ms", std::to_string(to_milliseconds(shown_at_work(run)))},
          {"beside", std::to_string(lost - 1)},
          {"likely", std::to_string(likely)},
          {"suspicion", std::to_string(task.suspicion)}});
}

// A task that goes on crashing executors takes more from others than its job
// is worth.
void scheduler_core::give_up(job_record& of, const job_task& task,
                             time_point now)
{
    if (is_final(of.state()))
    {
        return;
    }
    finish(of, job_state::failed, now,
           {{"task", task_name{of.what().id, of.position_of(task)}.text()},
            {"why", "it crashes the executors that start it"},
            {"suspicion", std::to_string(task.suspicion)}});
    stop_all(of);
    want(of, now);
}

// A run that goes on well speaks for its task.
void scheduler_core::note_soundness(worker_record& at, job_task& task,
                                    const task_name& name)
{
    const duration at_work = shown_at_work(*task.run);
    if (at_work >= proof_time(task.suspicion, options_.suspicion) &&
        at.unproven.contains(name))
    {
        may_place_ = may_place_ || at.on_trial == name;
        end_trial(at, name);
    }
    if (at_work >= options_.suspicion.sound_after)
    {
        task.suspicion = 0;
    }
}

} // namespace springstair
