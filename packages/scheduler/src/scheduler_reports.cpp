// Reports of guards and the answers to them.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

report_answer scheduler_core::report(const worker_report& report,
                                     time_point now, time_point verified)
{
    report_answer answer;
    if (!is_ready_)
    {
        return answer;
    }
    answer.holds = true;
    worker_record& worker = worker_of(report, now);
    answer.orders.epoch = epoch_;
    answer.orders.executor = worker.description.executor;
    answer.orders.acknowledged = worker.acknowledged;
    if (!is_admitted(worker, report, answer))
    {
        return answer;
    }
    const bool is_known_guard = worker.incarnation == report.incarnation;
    if (!is_known_guard)
    {
        // The VM may have rebooted and its clock restarted.
        worker.starts_until_ms = 0;
    }
    allow_for_pause(worker, report);
    worker.incarnation = report.incarnation;
    worker.sequence = report.sequence;
    worker.address = report.address;
    worker.reported = now;
    // An incarnation that the guard has not polled itself may be a past one,
    // and only a whole report shows which runs a new one has accepted.
    const bool knows_incarnation =
        !report.worker.executor.empty() &&
        ((report.looked && report.whole) ||
         report.worker.executor == worker.description.executor);
    const bool has_lapsed = knows_incarnation && report.lapsed;
    check_lease_must_expire(worker, report, knows_incarnation);
    const bool may_extend =
        !has_lapsed && !worker.lease_must_expire &&
        extends_known_lease(worker, report, knows_incarnation);
    const duration lease_grant =
        may_extend ? lease_grant_for(report, now, verified) : duration{0};
    answer.permit_ms = to_milliseconds(lease_grant);
    extend_lease(worker, report, lease_grant, now);
    if (knows_incarnation)
    {
        on_executor_restart(worker, report, now);
        worker.description = report.worker;
        if (report.looked)
        {
            worker.witness_incarnation = report.incarnation;
        }
        worker.closed = closures_.is_closed(worker.description.data_centre);
        adopt_inherited(worker, report, now);
        judge_crashes(worker, report, now);
    }
    else if (!report.looked && has_no_lease(report))
    {
        lose_inherited(report.guard, now);
    }
    worker.lost_at = now - std::chrono::milliseconds(report.failing_ms);
    worker.answering = report.answering;
    worker.paces = report.paces;
    if (has_lapsed)
    {
        lose_lapsed(worker, report, now);
    }
    else if (report.looked &&
             report.worker.executor == worker.description.executor)
    {
        if (!worker.lease_must_expire)
        {
            apply_ends(worker, report, now);
        }
        apply_refusals(worker, report, now);
        if (report.whole)
        {
            record_absent_runs(worker, report, now);
            process_running(worker, report, answer.orders, now);
            stop_unwanted_starts(worker, report, answer.orders);
            learn_interference(worker, report, now);
            answer.harms = interference_at(worker);
            repeat_missing(worker, report, answer.orders, now);
            send_starts(worker, now);
            relocate_slowed(worker, report, answer.orders, now);
        }
        drain_leaving_worker(worker, answer.orders, now);
    }
    answer.orders.executor = worker.description.executor;
    answer.orders.incarnation = worker.incarnation;
    answer.orders.acknowledged = acknowledge(worker);
    answer.orders.starts_until_ms = starts_until_ms(worker);
    answer.orders.closed = worker.closed;
    return answer;
}

// Whether a report is not stale: it is a later one of the known guard
// incarnation, or one of another incarnation that repeats the admission offered
// to it.
bool scheduler_core::is_admitted(worker_record& worker,
                                 const worker_report& report,
                                 report_answer& answer)
{
    if (worker.incarnation == report.incarnation)
    {
        return report.sequence > worker.sequence;
    }
    const guard_admission offered{.epoch = epoch_,
                                  .number = worker.admission_number};
    if (worker.offered_to == report.incarnation && report.admission == offered)
    {
        return true;
    }
    if (worker.offered_to != report.incarnation)
    {
        worker.offered_to = report.incarnation;
        ++worker.admission_number;
        log_decision(event_id::guard_unproven,
                     {{"guard", report.guard},
                      {"incarnation", report.incarnation},
                      {"present", worker.incarnation},
                      {"life", report.worker.executor.text()}});
    }
    answer.admission = {.epoch = epoch_, .number = worker.admission_number};
    return false;
}

worker_record& scheduler_core::worker_of(const worker_report& report,
                                         time_point now)
{
    const auto [found, is_new] = workers_.try_emplace(report.guard);
    worker_record& worker = found->second;
    if (is_new)
    {
        worker.guard = report.guard;
        worker.reported = now;
        may_place_ = true;
        log_decision(
            event_id::worker_known,
            {{"guard", report.guard}, {"life", report.worker.executor.text()}});
    }
    return worker;
}

void scheduler_core::apply_ends(worker_record& worker,
                                const worker_report& report, time_point now)
{
    for (const ended_task& end : report.ended)
    {
        if (end.number <= worker.applied_ends)
        {
            continue;
        }
        worker.applied_ends = end.number;
        const auto [record, task] = find_task(end.task);
        const bool current = is_current_run(task, end.run, worker);
        log_decision(event_id::run_ended,
                     {{"task", end.task},
                      {"run", std::to_string(end.run)},
                      {"guard", worker.guard},
                      {"how", std::string(to_string(end.how))},
                      {"current", current ? "yes" : "no"}});
        if (current)
        {
            close_run(*record, *task, end_proof::listed(end), now);
        }
        note_uncommitted(worker, end, record);
    }
}

// An end is acknowledged once it is stored. One of a job that is neither known
// nor held needs no record: the job has ended, or was never accepted.
void scheduler_core::note_uncommitted(worker_record& worker,
                                      const ended_task& end,
                                      const job_record* record)
{
    applied_end applied{.number = end.number};
    const auto name = task_name::parse(end.task);
    if (record != nullptr)
    {
        applied.job = record->definition().id;
        applied.change = record->change;
    }
    else if (name && held_ends_.contains(name->job))
    {
        applied.job = name->job;
        applied.change = held_ends_.add(name->job, end);
    }
    worker.uncommitted_ends.push_back(std::move(applied));
}

bool scheduler_core::lists_running(const worker_report& report,
                                   const std::string& task, std::int64_t run)
{
    return std::ranges::any_of(report.running, [&](const running_task& row)
                               { return row.task == task && row.run == run; });
}

bool scheduler_core::lists_end(const worker_report& report,
                               const std::string& task, std::int64_t run)
{
    return std::ranges::any_of(report.ended, [&](const ended_task& row)
                               { return row.task == task && row.run == run; });
}

// Whether a report that refuses a run shows that the run is there all the same:
// it runs, or the guard has another copy of its order. Then it may continue or
// begin. Partial reports list neither, and show nothing.
bool scheduler_core::report_contradicts_refusal(const worker_report& report,
                                                const refused_run& refusal)
{
    return lists_running(report, refusal.task, refusal.run) ||
           std::ranges::find(report.starting, refusal.task) !=
               report.starting.end();
}

void scheduler_core::apply_refusals(worker_record& worker,
                                    const worker_report& report, time_point now)
{
    for (const refused_run& refusal : report.refused)
    {
        const auto [record, task] = find_task(refusal.task);
        const bool current = is_current_run(task, refusal.run, worker);
        if (!current || report_contradicts_refusal(report, refusal))
        {
            continue;
        }
        ++counts_.refused;
        log_decision(event_id::run_refused,
                     {{"task", refusal.task},
                      {"run", std::to_string(refusal.run)},
                      {"guard", worker.guard},
                      {"incarnation", worker.incarnation},
                      {"reason", refusal.reason}});
        if (refusal.reason == no_ticket_reason)
        {
            tickets_.on_refused(
                step_group(record->definition().id, record->position_of(*task)),
                worker.description.executor);
        }
        task->not_before = now + options_.refused_backoff;
        close_run(*record, *task, end_proof::refused_by_worker(), now);
    }
}

// A start can reach the worker seconds after its order, so the run time of a
// run is counted from the last lists that did not show it.
void scheduler_core::record_absent_runs(const worker_record& worker,
                                        const worker_report& report,
                                        time_point now)
{
    const time_point listed_at =
        now - std::chrono::milliseconds(report.lists_age_ms);
    for (const task_name& name : worker.assigned_tasks)
    {
        task_run& run = *job_of(name.job)->find(name.position)->run;
        if (!lists_running(report, name.text(), run.number))
        {
            run.last_absent = std::max(run.last_absent, listed_at);
        }
    }
}

void scheduler_core::process_running(worker_record& worker,
                                     const worker_report& report,
                                     guard_orders& out, time_point now)
{
    const std::set<std::string> unknown(report.unknown.begin(),
                                        report.unknown.end());
    std::int64_t description_bytes = 0;
    for (const running_task& running : report.running)
    {
        const auto [record, task] = find_task(running.task);
        const bool current = is_current_run(task, running.run, worker);
        if (!current)
        {
            out.stops.push_back({.task = running.task, .run = running.run});
            log_orphan(worker, running, task);
            continue;
        }
        const task_position position = record->position_of(*task);
        record->begun = true;
        if (!running.checkpoint.empty())
        {
            task->checkpoint = running.checkpoint;
        }
        update_progress(worker, *task->run, record->step_at(position), running,
                        now);
        observe_progress(*task, running.percent,
                         worker.paces.contains(record->step_at(position).image),
                         now);
        task->run->last_seen =
            std::max(task->run->last_seen,
                     now - std::chrono::milliseconds(report.lists_age_ms));
        clear_suspicion_if_proven(worker, *task,
                                  {record->definition().id, position});
        // The guard reports what remains unknown to it again.
        if (unknown.contains(running.task) &&
            description_bytes < options_.max_unconfirmed_bytes_per_worker)
        {
            out.starts.push_back(order_for(*record, *task));
            description_bytes += bytes_of(out.starts.back());
        }
        if (task->run->stopping)
        {
            out.stops.push_back({.task = running.task, .run = running.run});
        }
    }
}

// Logs an orphan with the state of its task: another run may be executing
// elsewhere, or the task may be done.
void scheduler_core::log_orphan(const worker_record& worker,
                                const running_task& running,
                                const job_task* task)
{
    std::vector<event_field> fields{{"task", running.task},
                                    {"run", std::to_string(running.run)},
                                    {"guard", worker.guard},
                                    {"incarnation", worker.incarnation}};
    if (task != nullptr)
    {
        fields.push_back({"done", task->done ? "yes" : "no"});
        fields.push_back({"newest_run", std::to_string(task->runs)});
        fields.push_back(
            {"present_at", task->run ? task->run->guard : std::string()});
    }
    log_decision(event_id::run_unwanted, std::move(fields));
}

// Stops runs that the guard has not started yet. A duplicate of a start order
// can arrive after its run was refused; the run number covers every run that
// the task has had: none of them may begin there any more. The stop of a
// current run is repeated, since its order may have been lost.
void scheduler_core::stop_unwanted_starts(const worker_record& worker,
                                          const worker_report& report,
                                          guard_orders& out)
{
    for (const std::string& name : report.starting)
    {
        const job_task* const task = find_task(name).task;
        if (task == nullptr)
        {
            continue; // stopped once it runs
        }
        const bool is_current =
            task->run && is_current_run(task, task->run->number, worker);
        if (!is_current || task->run->stopping)
        {
            out.stops.push_back({.task = name, .run = task->runs});
        }
    }
}

// Records progress. A run without progress is stopped, and its task avoids this
// worker from then on. Runs of gangs and throttled best-effort runs are not
// stopped.
void scheduler_core::update_progress(worker_record& worker, task_run& run,
                                     const job_step& step,
                                     const running_task& running,
                                     time_point now)
{
    run.seen = true;
    confirm_start(worker, run);
    run.repeats = 0;
    run.over_target =
        step.latency_target_ms > 0 && running.load > step.latency_target_ms;
    const bool at_work = step.lasting && running.percent == full_percent;
    if (running.percent != run.percent || at_work)
    {
        run.percent = running.percent;
        run.last_progress_at = now;
        return;
    }
    const duration timeout =
        step.fills ? options_.stuck_fill_after : options_.stuck_after;
    const auto pace = worker.paces.find(step.image);
    const bool is_slowed = step.fills && pace != worker.paces.end() &&
                           pace->second < options_.relocate_below_pace;
    if (now - run.last_progress_at <= timeout || run.stopping || step.gang ||
        is_slowed)
    {
        return;
    }
    const auto name = task_name::parse(running.task);
    const duration waited = now - run.last_progress_at - timeout;
    if (name && !may_stop_stuck(*name, waited, now))
    {
        return;
    }
    run.stopping = true;
    log_decision(event_id::run_stuck,
                 {{"task", running.task},
                  {"run", std::to_string(running.run)},
                  {"guard", worker.guard},
                  {"percent", std::to_string(running.percent)},
                  {"still_ms", std::to_string(to_milliseconds(
                                   now - run.last_progress_at))}});
    if (name)
    {
        job_of(name->job)->find(name->position)->avoided.insert(worker.guard);
    }
}

// Repeats the start of committed runs that the worker does not show: the start
// was lost, or a previous leader failed before it sent one. The worker
// begins each run at most once.
void scheduler_core::repeat_missing(worker_record& worker,
                                    const worker_report& report,
                                    guard_orders& out, time_point now)
{
    std::set<std::string> listed(report.starting.begin(),
                                 report.starting.end());
    for (const running_task& row : report.running)
    {
        listed.insert(row.task);
    }
    for (const task_name& name : worker.assigned_tasks)
    {
        job_record& record = *job_of(name.job);
        job_task& task = *record.find(name.position);
        task_run& run = *task.run;
        const std::string text = name.text();
        const bool due =
            run.ordered && run.placed_in <= record.committed_change &&
            !listed.contains(text) &&
            now - run.last_progress_at > options_.order_retry_interval;
        if (!due)
        {
            continue;
        }
        const bool stops = run.stopping || worker.closed;
        start_order order = order_for(record, task);
        if (!stops && !count_start(worker, run, order))
        {
            continue;
        }
        run.last_progress_at = now;
        log_missing_run(worker, report, run, text);
        if (stops)
        {
            order_stop(run, text, out);
        }
        else
        {
            out.starts.push_back(std::move(order));
        }
    }
}

// Logs repeated starts from the second on: the first repeat is explained by a
// lost order.
void scheduler_core::log_missing_run(const worker_record& worker,
                                     const worker_report& report, task_run& run,
                                     const std::string& task)
{
    if (++run.repeats < 2)
    {
        return;
    }
    const auto end = std::ranges::find_if(
        report.ended, [&](const ended_task& row)
        { return row.task == task && row.run == run.number; });
    log_decision(
        event_id::run_missing,
        {{"task", task},
         {"run", std::to_string(run.number)},
         {"guard", worker.guard},
         {"repeats", std::to_string(run.repeats)},
         {"listed_end",
          end == report.ended.end() ? "none" : std::to_string(end->number)},
         {"ends_noted_to", std::to_string(worker.applied_ends)},
         {"ends_acknowledged_to", std::to_string(worker.acknowledged)}});
}

std::int64_t scheduler_core::acknowledge(worker_record& worker)
{
    while (!worker.uncommitted_ends.empty())
    {
        const applied_end& oldest = worker.uncommitted_ends.front();
        if (!is_committed(oldest.job, oldest.change))
        {
            break;
        }
        worker.acknowledged = oldest.number;
        worker.uncommitted_ends.pop_front();
    }
    return worker.acknowledged;
}

} // namespace springstair
