// Detection of tasks that crash executors.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// Guards report the same past incarnations repeatedly; each is judged once.
void scheduler_core::judge_crashes(worker_record& worker,
                                   const worker_report& report, time_point now)
{
    std::set<executor_incarnation> listed;
    for (const past_incarnation& past : report.former)
    {
        listed.insert(past.executor);
        if (worker.judged_incarnations.insert(past.executor).second)
        {
            worker.previously_lost_at = end_of(past, worker, report, now);
            judge_crash(worker, past, now);
        }
    }
    if (report.whole)
    {
        // Drops the incarnations that are no longer reported.
        worker.judged_incarnations = std::move(listed);
    }
}

void scheduler_core::judge_crash(worker_record& worker,
                                 const past_incarnation& past, time_point now)
{
    const crash_scope scope = is_rack_failure(worker, now)
                                  ? crash_scope::rack
                                  : crash_scope::executor;
    std::map<task_name, crash_count> counts;
    const unproven_neighbours neighbours = unproven_neighbours_in(past);
    for (const begun_run& begun : past.begun)
    {
        const auto [record, task] = find_task(begun.task);
        if (task == nullptr || is_loss_counted(*record, *task, begun.run))
        {
            continue;
        }
        lost_run_facts facts{.suspicion = task->suspicion,
                             .run_time =
                                 std::chrono::milliseconds(begun.at_work_ms),
                             .scope = scope};
        const bool is_suspect = is_unproven_suspect(facts, options_.suspicion);
        facts.beside_suspect = neighbours.suspects > (is_suspect ? 1 : 0);
        const task_position position = record->position_of(*task);
        counts[task_name{record->definition().id, position}] = {
            .run = begun.run,
            .added = added_suspicion(facts, options_.suspicion),
            .is_only_unproven = is_unproven(facts, options_.suspicion) &&
                                neighbours.unproven == 1,
            .is_confirmed = begun.is_sure,
            .is_gang = record->step_at(position).gang};
    }
    for (const auto& [name, count] : counts)
    {
        if (count.added > 0)
        {
            suspect(worker, name, count, scope, now);
        }
    }
}

// Counts the runs that may have caused a crash, those of ended jobs included.
scheduler_core::unproven_neighbours
scheduler_core::unproven_neighbours_in(const past_incarnation& past)
{
    unproven_neighbours neighbours;
    for (const begun_run& begun : past.begun)
    {
        const job_task* const task = find_task(begun.task).task;
        const lost_run_facts facts{
            .suspicion = task == nullptr ? 0 : task->suspicion,
            .run_time = std::chrono::milliseconds(begun.at_work_ms)};
        neighbours.unproven += is_unproven(facts, options_.suspicion) ? 1 : 0;
        neighbours.suspects +=
            is_unproven_suspect(facts, options_.suspicion) ? 1 : 0;
    }
    return neighbours;
}

// When a past incarnation of the executor was lost, as far as known.
time_point scheduler_core::end_of(const past_incarnation& past,
                                  const worker_record& worker,
                                  const worker_report& report, time_point now)
{
    if (past.lost_ms > 0)
    {
        return now - std::chrono::milliseconds(report.sent_ms - past.lost_ms);
    }
    return worker.previously_lost_at == time_point{}
               ? now
               : worker.previously_lost_at;
}

// Whether at least half, and at least two, of the executors of the rack were
// lost at the same time. Executors unavailable for other reasons do not count:
// when they did, a few tasks that crash executors hid one another.
bool scheduler_core::is_rack_failure(const worker_record& worker,
                                     time_point now) const
{
    if (worker.description.rack.empty())
    {
        return false; // its rack is unknown
    }
    const auto is_simultaneous = [&](time_point other)
    {
        return other != time_point{} &&
               std::chrono::abs(other - worker.previously_lost_at) <=
                   options_.suspicion.common_cause_window;
    };
    std::size_t total = 0;
    std::size_t lost = 0;
    for (const auto& [guard, other] : workers_)
    {
        if (other.description.rack != worker.description.rack)
        {
            continue;
        }
        ++total;
        const bool is_unavailable =
            !other.answering ||
            now - other.reported >= options_.placement.report_age;
        const bool is_lost = is_simultaneous(other.previously_lost_at) ||
                             (is_unavailable && is_simultaneous(other.lost_at));
        lost += &other == &worker || is_lost ? 1 : 0;
    }
    return lost > 1 && 2 * lost >= total;
}

void scheduler_core::suspect(const worker_record& worker, const task_name& name,
                             const crash_count& count, crash_scope scope,
                             time_point now)
{
    job_record& record = *job_of(name.job);
    job_task& task = *record.find(name.position);
    task.suspicion += count.added;
    task.crashes += count.is_confirmed ? 1 : 0;
    ++task.losses;
    task.judged_run = count.run;
    ++record.change;
    log_decision(event_id::task_suspected,
                 {{"task", name.text()},
                  {"run", std::to_string(count.run)},
                  {"guard", worker.guard},
                  {"scope", scope == crash_scope::rack ? "rack" : "executor"},
                  {"sole", count.is_only_unproven ? "yes" : "no"},
                  {"crashes", std::to_string(task.crashes)},
                  {"suspicion", std::to_string(task.suspicion)}});
    if (task.suspicion >= suspect_threshold)
    {
        task.departed =
            departed_worker{.guard = worker.guard,
                            .until = now + options_.suspicion.return_backoff};
    }
    if (task.suspicion >= strong_blame_threshold)
    {
        task.not_before = now + options_.suspicion.unidentified_backoff;
    }
    if (is_blamed({.suspicion = task.suspicion,
                   .crashes = task.crashes,
                   .losses = task.losses,
                   .is_only_unproven = count.is_only_unproven || count.is_gang,
                   .is_confirmed = count.is_confirmed}))
    {
        // Further starts would cost other jobs more than this job's value.
        fail(record, task, now,
             {{"why", "it crashes the executors that start it"},
              {"crashes", std::to_string(task.crashes)},
              {"suspicion", std::to_string(task.suspicion)}});
    }
    mark_changed(record, now);
}

// Raises suspicion when the guard that could report which runs had begun was
// lost with its executor, or was stopped then. Each of these runs may be the
// cause. The loss counts like that of a whole rack, never as a confirmed crash.
// Without this, a task whose first two crashes were not observed was started
// six times.
void scheduler_core::raise_unwitnessed_suspicion(
    const worker_record& worker, const std::map<task_name, std::int64_t>& runs,
    time_point now)
{
    for (const auto& [name, run] : runs)
    {
        job_record& record = *job_of(name.job);
        const job_task& task = *record.find(name.position);
        if (is_loss_counted(record, task, run))
        {
            continue;
        }
        const std::int64_t added = added_suspicion(
            {.suspicion = task.suspicion, .scope = crash_scope::rack},
            options_.suspicion);
        suspect(worker, name, {.run = run, .added = added}, crash_scope::rack,
                now);
    }
}

// Runs of a previous leader that were, or may have been, lost with their
// executor and that no guard reports on.
std::map<task_name, std::int64_t>
scheduler_core::unwitnessed_runs(const runs_after_restart& runs,
                                 const worker_report& report)
{
    std::map<task_name, std::int64_t> out;
    for (const std::set<task_name>& names : {runs.lost, runs.in_doubt})
    {
        for (const task_name& name : names)
        {
            const task_run& run = *job_of(name.job)->find(name.position)->run;
            const bool is_witnessed =
                std::ranges::find(report.former, run.executor,
                                  &past_incarnation::executor) !=
                report.former.end();
            if (!is_witnessed)
            {
                out.emplace(name, run.number);
            }
        }
    }
    return out;
}

// Run numbers, by task, of the likely causes of a crash: the runs that were not
// shown running for suspicion_options::proven_after.
std::map<task_name, std::int64_t>
scheduler_core::likely_causes(const worker_record& worker)
{
    std::map<task_name, std::int64_t> runs;
    for (const task_name& name : worker.assigned_tasks)
    {
        const task_run& run = *job_of(name.job)->find(name.position)->run;
        if (is_likely_cause({.run_time = observed_run_time(run)},
                            options_.suspicion))
        {
            runs.emplace(name, run.number);
        }
    }
    return runs;
}

// The likely causes that the report does not list among the runs begun in the
// past incarnation: judge_crash() covers the listed ones.
std::map<task_name, std::int64_t>
scheduler_core::unreported_causes(const worker_record& worker,
                                  const worker_report& report)
{
    auto causes = likely_causes(worker);
    const auto past =
        std::ranges::find(report.former, worker.description.executor,
                          &past_incarnation::executor);
    if (past == report.former.end())
    {
        return causes;
    }
    std::erase_if(causes,
                  [&](const auto& cause)
                  {
                      return std::ranges::find(past->begun, cause.first.text(),
                                               &begun_run::task) !=
                             past->begun.end();
                  });
    return causes;
}

// Whether the loss of a run adds no evidence about its task.
bool scheduler_core::is_loss_counted(const job_record& record,
                                     const job_task& task, std::int64_t run)
{
    return is_final(record.state()) || task.done || run <= task.judged_run;
}

duration scheduler_core::observed_run_time(const task_run& run)
{
    const time_point began = std::max(run.ordered_at, run.last_absent);
    return run.seen ? std::max(duration{0}, run.last_seen - began)
                    : duration{0};
}

// Until a suspect is proven, other tasks avoid its worker where possible;
// beside an isolated suspect nothing else is started.
void scheduler_core::register_suspect(worker_record& worker,
                                      const job_task& task,
                                      const task_name& name)
{
    if (task.suspicion >= suspect_threshold)
    {
        worker.suspects.insert(name);
    }
    if (task.suspicion >= isolation_threshold)
    {
        worker.isolated_suspect = name;
    }
}

// A run that was shown running long enough is proven, which ends its isolation;
// after a longer time it clears the suspicion of its task.
void scheduler_core::clear_suspicion_if_proven(worker_record& worker,
                                               job_task& task,
                                               const task_name& name)
{
    const duration run_time = observed_run_time(*task.run);
    if (run_time >= proof_time(task.suspicion, options_.suspicion) &&
        worker.unproven.contains(name))
    {
        may_place_ = may_place_ || worker.isolated_suspect == name;
        end_isolation(worker, name);
    }
    if (run_time >= options_.suspicion.cleared_after)
    {
        task.suspicion = 0;
        task.crashes = 0;
        task.losses = 0;
    }
}

} // namespace springstair
