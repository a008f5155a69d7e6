// What guards report, and what they are told.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

report_answer scheduler_core::report(const worker_report& from, time_point now,
                                     time_point verified)
{
    report_answer answer;
    if (!begun_)
    {
        return answer;
    }
    answer.holds = true;
    worker_record& at = worker_of(from, now);
    answer.orders.epoch = epoch_;
    answer.orders.executor = at.description.executor;
    answer.orders.acknowledged = at.acknowledged;
    if (!is_admitted(at, from, answer))
    {
        return answer;
    }
    const bool is_known_guard = at.incarnation == from.incarnation;
    if (!is_known_guard)
    {
        at.starts_until_ms = 0; // its VM may have booted: its clock began anew
    }
    at.incarnation = from.incarnation;
    at.sequence = from.sequence;
    at.address = from.address;
    at.reported = now;
    // A life that its guard has not heard itself may be a former one, and only
    // a whole report shows what a new one has taken.
    const bool knows_incarnation =
        !from.worker.executor.empty() &&
        ((from.looked && from.whole) ||
         from.worker.executor == at.description.executor);
    const bool has_lapsed = knows_incarnation && from.lapsed;
    check_lease_must_expire(at, from, knows_incarnation);
    const duration lease_grant = has_lapsed || at.lease_must_expire
                                     ? duration{0}
                                     : lease_grant_for(from, now, verified);
    answer.permit_ms = to_milliseconds(lease_grant);
    extend_lease(at, from, lease_grant, now);
    if (knows_incarnation)
    {
        on_executor_restart(at, from, now);
        at.description = from.worker;
        at.witness = from.incarnation;
        at.closed = data_centres_.is_closed(at.description.data_centre);
        adopt_inherited(at, from, now);
        judge_crashes(at, from, now);
    }
    at.lost_at = now - std::chrono::milliseconds(from.failing_ms);
    at.answering = from.answering;
    at.paces = from.paces;
    if (has_lapsed)
    {
        lose_lapsed(at, from, now);
    }
    else if (from.looked && from.worker.executor == at.description.executor)
    {
        if (!at.lease_must_expire)
        {
            note_ends(at, from, now);
        }
        note_refusals(at, from, now);
        if (from.whole)
        {
            note_running(at, from, answer.orders, now);
            stop_unwanted_starts(at, from, answer.orders);
            learn_interference(at, from, now);
            answer.harms = interference_at(at);
            repeat_missing(at, from, answer.orders, now);
            relocate_slowed(at, from, answer.orders, now);
        }
        drain_leaving_worker(at, answer.orders, now);
    }
    answer.orders.executor = at.description.executor;
    answer.orders.incarnation = at.incarnation;
    answer.orders.acknowledged = acknowledge(at);
    answer.orders.starts_until_ms = starts_until_ms(at);
    answer.orders.closed = at.closed;
    return answer;
}

// Whether a report is the newest word of a guard: a later one of the present
// incarnation, or one of another that has repeated its admission.
bool scheduler_core::is_admitted(worker_record& at, const worker_report& from,
                                 report_answer& answer)
{
    if (at.incarnation == from.incarnation)
    {
        return from.sequence > at.sequence;
    }
    const guard_admission offered{.epoch = epoch_, .number = at.offered};
    if (at.offered_to == from.incarnation && from.admission == offered)
    {
        return true;
    }
    if (at.offered_to != from.incarnation)
    {
        at.offered_to = from.incarnation;
        ++at.offered;
        log_decision(event_id::guard_unproven,
                     {{"guard", from.guard},
                      {"incarnation", from.incarnation},
                      {"present", at.incarnation},
                      {"life", from.worker.executor.text()}});
    }
    answer.admission = {.epoch = epoch_, .number = at.offered};
    return false;
}

worker_record& scheduler_core::worker_of(const worker_report& from,
                                         time_point now)
{
    const auto [found, fresh] = workers_.try_emplace(from.guard);
    worker_record& at = found->second;
    if (fresh)
    {
        at.guard = from.guard;
        at.reported = now;
        may_place_ = true;
        log_decision(
            event_id::worker_known,
            {{"guard", from.guard}, {"life", from.worker.executor.text()}});
    }
    return at;
}

void scheduler_core::note_ends(worker_record& at, const worker_report& from,
                               time_point now)
{
    for (const ended_task& end : from.ended)
    {
        if (end.number <= at.noted)
        {
            continue;
        }
        at.noted = end.number;
        const auto [of, task] = known(end.task);
        const bool current = is_current_run(task, end.run, at);
        log_decision(event_id::run_ended,
                     {{"task", end.task},
                      {"run", std::to_string(end.run)},
                      {"guard", at.guard},
                      {"how", std::string(to_string(end.how))},
                      {"current", current ? "yes" : "no"}});
        if (current)
        {
            close_run(*of, *task, end_proof::listed(end), now);
        }
        if (of != nullptr)
        {
            at.uncommitted_ends.push_back({.number = end.number,
                                           .job = of->definition().id,
                                           .change = of->change});
        }
        else
        {
            at.uncommitted_ends.push_back({.number = end.number});
        }
    }
}

bool scheduler_core::lists_running(const worker_report& from,
                                   const std::string& task, std::int64_t run)
{
    return std::ranges::any_of(from.running, [&](const running_task& row)
                               { return row.task == task && row.run == run; });
}

bool scheduler_core::lists_end(const worker_report& from,
                               const std::string& task, std::int64_t run)
{
    return std::ranges::any_of(from.ended, [&](const ended_task& row)
                               { return row.task == task && row.run == run; });
}

// Whether a report that gives a run back shows that it is there all the same:
// it runs, or another copy of its order is kept. Then it may go on or begin.
// Reports between the whole ones list neither, and show nothing.
bool scheduler_core::report_shows(const worker_report& from,
                                  const refused_run& refusal)
{
    return lists_running(from, refusal.task, refusal.run) ||
           std::ranges::find(from.starting, refusal.task) !=
               from.starting.end();
}

void scheduler_core::note_refusals(worker_record& at, const worker_report& from,
                                   time_point now)
{
    for (const refused_run& refusal : from.refused)
    {
        const auto [of, task] = known(refusal.task);
        const bool current = is_current_run(task, refusal.run, at);
        if (!current || report_shows(from, refusal))
        {
            continue;
        }
        ++counts_.refused;
        log_decision(event_id::run_refused,
                     {{"task", refusal.task},
                      {"run", std::to_string(refusal.run)},
                      {"guard", at.guard},
                      {"incarnation", at.incarnation},
                      {"reason", refusal.reason}});
        if (refusal.reason == no_ticket_reason)
        {
            advice_.refused(
                step_group(of->definition().id, of->position_of(*task)),
                at.description.executor);
        }
        task->not_before = now + options_.refused_backoff;
        close_run(*of, *task, end_proof::refused_by_worker(), now);
    }
}

void scheduler_core::note_running(worker_record& at, const worker_report& from,
                                  guard_orders& out, time_point now)
{
    for (const running_task& row : from.running)
    {
        const auto [of, task] = known(row.task);
        const bool current = is_current_run(task, row.run, at);
        if (!current)
        {
            out.stops.push_back({.task = row.task, .run = row.run});
            note_unwanted(at, row, task);
            continue;
        }
        const task_position where = of->position_of(*task);
        of->begun = true;
        if (!row.checkpoint.empty())
        {
            task->checkpoint = row.checkpoint;
        }
        note_progress(at, *task->run, of->step_at(where), row, now);
        task->run->last_seen =
            std::max(task->run->last_seen,
                     now - std::chrono::milliseconds(from.lists_age_ms));
        note_soundness(at, *task, {of->definition().id, where});
        const bool undescribed =
            std::find(from.unknown.begin(), from.unknown.end(), row.task) !=
            from.unknown.end();
        if (undescribed)
        {
            out.starts.push_back(order_for(*of, *task));
        }
        if (task->run->stopping)
        {
            out.stops.push_back({.task = row.task, .run = row.run});
        }
    }
}

// Another run of the task may be at work elsewhere, or its end be kept.
void scheduler_core::note_unwanted(const worker_record& at,
                                   const running_task& row,
                                   const job_task* task)
{
    std::vector<event_field> fields{{"task", row.task},
                                    {"run", std::to_string(row.run)},
                                    {"guard", at.guard},
                                    {"incarnation", at.incarnation}};
    if (task != nullptr)
    {
        fields.push_back({"done", task->done ? "yes" : "no"});
        fields.push_back({"newest_run", std::to_string(task->runs)});
        fields.push_back(
            {"present_at", task->run ? task->run->guard : std::string()});
    }
    log_decision(event_id::run_unwanted, std::move(fields));
}

// A copy of an order can come after its run was given back. The guard hears of
// it with the answer, before its worker takes it. The number covers every run
// that the task has had: none of them may begin there any more.
void scheduler_core::stop_unwanted_starts(const worker_record& at,
                                          const worker_report& from,
                                          guard_orders& out)
{
    for (const std::string& name : from.starting)
    {
        const job_task* const task = known(name).task;
        if (task == nullptr)
        {
            continue; // it is stopped once it is seen
        }
        const bool is_awaited =
            task->run && is_current_run(task, task->run->number, at);
        if (!is_awaited)
        {
            out.stops.push_back({.task = name, .run = task->runs});
        }
    }
}

// A run that stands still is stopped, and the task runs elsewhere.
void scheduler_core::note_progress(worker_record& at, task_run& run,
                                   const job_step& step,
                                   const running_task& row, time_point now)
{
    run.seen = true;
    run.repeats = 0;
    run.over_target =
        step.latency_target_ms > 0 && row.load > step.latency_target_ms;
    const bool at_work = step.lasting && row.percent == full_percent;
    if (row.percent != run.percent || at_work)
    {
        run.percent = row.percent;
        run.last_progress_at = now;
        return;
    }
    const duration bound =
        step.fills ? options_.stuck_fill_after : options_.stuck_after;
    const auto pace = at.paces.find(step.image);
    const bool slowed = step.fills && pace != at.paces.end() &&
                        pace->second < options_.relocate_below_pace;
    if (now - run.last_progress_at <= bound || run.stopping || step.gang ||
        slowed)
    {
        return;
    }
    run.stopping = true;
    log_decision(event_id::run_stuck,
                 {{"task", row.task},
                  {"run", std::to_string(row.run)},
                  {"guard", at.guard},
                  {"percent", std::to_string(row.percent)},
                  {"still_ms", std::to_string(to_milliseconds(
                                   now - run.last_progress_at))}});
    if (const auto name = task_name::parse(row.task))
    {
        job_of(name->job)->find(name->at)->avoided.insert(at.guard);
    }
}

// Runs that the store has but the worker does not show: the start was lost,
// or an earlier holder fell before it sent one. A start is sent again; the
// worker takes each run once.
void scheduler_core::repeat_missing(worker_record& at,
                                    const worker_report& from,
                                    guard_orders& out, time_point now)
{
    std::set<std::string> there(from.starting.begin(), from.starting.end());
    for (const running_task& row : from.running)
    {
        there.insert(row.task);
    }
    for (const task_name& name : at.assigned_tasks)
    {
        job_record& of = *job_of(name.job);
        job_task& task = *of.find(name.at);
        task_run& run = *task.run;
        const std::string text = name.text();
        const bool due =
            run.ordered && run.placed_in <= of.committed_change &&
            !there.contains(text) &&
            now - run.last_progress_at > options_.order_retry_interval;
        if (!due)
        {
            continue;
        }
        run.last_progress_at = now;
        log_missing_run(at, from, run, text);
        if (run.stopping || at.closed)
        {
            order_stop(run, text, out);
        }
        else
        {
            out.starts.push_back(order_for(of, task));
        }
    }
}

// The first repeat is of an order that was lost; more of them need a reason.
void scheduler_core::log_missing_run(const worker_record& at,
                                     const worker_report& from, task_run& run,
                                     const std::string& task)
{
    if (++run.repeats < 2)
    {
        return;
    }
    const auto end = std::ranges::find_if(
        from.ended, [&](const ended_task& row)
        { return row.task == task && row.run == run.number; });
    log_decision(
        event_id::run_missing,
        {{"task", task},
         {"run", std::to_string(run.number)},
         {"guard", at.guard},
         {"repeats", std::to_string(run.repeats)},
         {"listed_end",
          end == from.ended.end() ? "none" : std::to_string(end->number)},
         {"ends_noted_to", std::to_string(at.noted)},
         {"ends_acknowledged_to", std::to_string(at.acknowledged)}});
}

std::int64_t scheduler_core::acknowledge(worker_record& at)
{
    while (!at.uncommitted_ends.empty())
    {
        const noted_end& oldest = at.uncommitted_ends.front();
        const job_record* const of = job_of(oldest.job);
        if (of != nullptr && of->committed_change < oldest.change)
        {
            break;
        }
        at.acknowledged = oldest.number;
        at.uncommitted_ends.pop_front();
    }
    return at.acknowledged;
}

start_order scheduler_core::order_for(const job_record& of,
                                      const job_task& task) const
{
    const task_position where = of.position_of(task);
    const job_step& step = of.step_at(where);
    return {.task = task_name{of.definition().id, where}.text(),
            .run = task.run->number,
            .payload = of.definition().payload,
            .checkpoint = task.checkpoint,
            .ticket = task.run->ticket,
            .fills = step.fills,
            .latency_target_ms = step.latency_target_ms,
            .image = step.image,
            .told_incarnation = task.run->told_incarnation};
}

} // namespace springstair
