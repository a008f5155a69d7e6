// Results of a guard's calls to its executor.

#include <springstair/guard.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Number of the newest end; 0: none. The list is ascending by number.
std::int64_t last_number(const std::vector<ended_task>& ends)
{
    return ends.empty() ? 0 : ends.back().number;
}

} // namespace

// Refuses a run. While the run is in doubt, the worker is first sent a stop, so
// that the run can never begin. Starts sent by a previous process of this guard
// put it in doubt as well. Otherwise a worker that is busy briefly after a
// guard restart would have its runs refused while they run, and their tasks
// would run twice.
void run_reconciler::refuse(const std::string& task, tracked_run& run,
                            const std::string& reason, time_point now)
{
    if (run.in_doubt)
    {
        run.stage = run_stage::stopping;
        run.refusal = reason;
        run.next_call = now;
        return;
    }
    report_refusal({.task = task, .run = run.order.run, .reason = reason}, now);
    runs_.erase(task);
}

void run_reconciler::report_refusal(refused_run refused, time_point now)
{
    past_refusal& newest = past_refusals_[refused.task];
    if (refused.run >= newest.refused.run)
    {
        newest = {.refused = refused, .refused_at = now};
    }
    refused_.push_back(std::move(refused));
    report_due_ = true;
}

// Reports to the leader at once that a worker accepts nothing. Otherwise the
// leader would place all waiting tasks there until the worker counts as
// unresponsive, after 1.2 s, and each start would be refused (192 of 313 starts
// in two seconds of a day with many crashes).
void run_reconciler::update_health(order_result result)
{
    const bool refuses = result == order_result::unhealthy;
    if (refuses || result == order_result::accepted)
    {
        report_due_ = report_due_ || refuses != unhealthy_;
        unhealthy_ = refuses;
    }
}

void run_reconciler::on_started(const start_run& start, order_result result,
                                time_point now)
{
    const std::string& task = start.order.task;
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.order.run != start.order.run ||
        start.executor != worker_.executor)
    {
        return;
    }
    update_health(result);
    tracked_run& tracked = found->second;
    tracked.call_in_flight = false;
    if (result == order_result::unanswered)
    {
        tracked.begun = tracked.begun ? tracked.begun : tracked.start_sent;
    }
    tracked.start_sent.reset();
    if (tracked.stage != run_stage::starting)
    {
        return; // a stop was ordered while the start was in flight
    }
    switch (result)
    {
    case order_result::accepted:
        tracked.stage = run_stage::running;
        tracked.confirmed = now;
        tracked.begun = tracked.begun.value_or(now);
        tracked.start_confirmed = true;
        return;
    case order_result::late:
        tracked.next_call = now + options_.retry_after;
        return;
    case order_result::unanswered:
        tracked.in_doubt = true;
        ++tracked.unanswered;
        tracked.unanswered_at = now;
        tracked.next_call = now + options_.retry_after;
        if (tracked.unanswered >= options_.max_unanswered)
        {
            refuse(task, tracked, std::string(to_string(result)), now);
        }
        return;
    case order_result::other_life:
        remember_run(task, tracked);
        [[fallthrough]];
    case order_result::fenced:
        runs_.erase(found); // left to a newer leader or incarnation
        report_due_ = true;
        return;
    case order_result::stale:
        // It has ended here or was stopped; the next poll shows which.
        tracked.stage = run_stage::stopped;
        tracked.refusal = "stale";
        tracked.confirmed = now - options_.stop_time;
        next_poll_ = now;
        return;
    case order_result::no_room:
    case order_result::no_ticket:
    case order_result::rejected:
    case order_result::unhealthy:
        break;
    }
    refuse(task, tracked, std::string(to_string(result)), now);
}

void run_reconciler::on_stopped(const stop_run& stop, order_result result,
                                time_point now)
{
    const std::string& task = stop.order.task;
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.order.run != stop.order.run ||
        found->second.stage != run_stage::stopping ||
        stop.executor != worker_.executor)
    {
        return;
    }
    tracked_run& tracked = found->second;
    tracked.call_in_flight = false;
    if (result == order_result::accepted || result == order_result::stale)
    {
        tracked.stage = run_stage::stopped;
        tracked.confirmed = now;
        return;
    }
    if (result == order_result::other_life)
    {
        remember_run(task, tracked);
    }
    if (result == order_result::fenced || result == order_result::other_life)
    {
        runs_.erase(found);
        return;
    }
    tracked.next_call = now + options_.retry_after;
}

void run_reconciler::on_polled(const executor_incarnation& polled,
                               order_result result,
                               const std::optional<executor_snapshot>& snapshot,
                               time_point sent, time_point now)
{
    if (!unconfirmed_.description.executor.empty() &&
        polled == unconfirmed_.description.executor)
    {
        const bool is_other_executor = polled.id != worker_.executor.id;
        on_unconfirmed_polled(result, snapshot, now);
        if (!is_other_executor)
        {
            return; // the lists may omit starts accepted since the poll
        }
    }
    if (polled != worker_.executor)
    {
        return;
    }
    const executor_incarnation answering(polled.id,
                                         snapshot ? snapshot->born_ms : 0);
    if (!answering.may_be(polled))
    {
        switch_incarnation(answering, now);
        return;
    }
    update_health(result);
    poll_in_flight_ = false;
    next_poll_ = now;
    if (result == order_result::other_life && !polled_)
    {
        worker_ = {}; // stale heartbeat: this executor is not there
        return;
    }
    if (snapshot && snapshot->ended == ended_ && !ended_.empty())
    {
        // Polls return at once while ends are unacknowledged.
        next_poll_ = now + options_.unacknowledged_pause;
    }
    if (!snapshot)
    {
        poll_failed_ = true;
        failing_since_ = failing_since_.value_or(now);
        next_poll_ = now + options_.poll_retry;
        return;
    }
    clock_ms_ = snapshot->clock_ms;
    clock_at_ = now;
    clock_known_ = true;
    last_answer_at_ = now;
    const bool is_first = !polled_;
    report_due_ = report_due_ || is_first ||
                  last_number(snapshot->ended) > last_number(ended_);
    polled_ = true;
    // An answer that a partition held back is older than its receipt.
    polled_at_ = std::min(now, sent + options_.poll_wait + options_.poll_retry);
    poll_failed_ = false;
    failing_since_.reset();
    connected_before_ = sent;
    running_ = snapshot->running;
    ended_ = snapshot->ended;
    if (is_first)
    {
        assume_max_lease(now);
        drop_surviving_runs();
    }
    reconcile_runs(sent, now);
    std::map<std::string, run_traits> traits;
    for (const auto& [task, tracked] : runs_)
    {
        traits[task] = {.fills = tracked.order.fills,
                        .latency_target_ms = tracked.order.latency_target_ms,
                        .image = tracked.order.image};
    }
    interference_.observe(running_, traits, worker_.capacity.cpu_millis, now);
}

void run_reconciler::on_paced(const throttle_run& throttle, order_result result)
{
    const auto found = runs_.find(throttle.task);
    if (found == runs_.end() || found->second.order.run != throttle.run)
    {
        return;
    }
    found->second.pace_in_flight = false;
    if (result == order_result::accepted)
    {
        found->second.pace = throttle.percent;
    }
}

void run_reconciler::record_ended(const std::string& task, std::int64_t run,
                                  time_point now)
{
    ended_run& newest = ended_runs_[task];
    newest = {.run = std::max(newest.run, run), .seen_at = now};
}

// Compares the tracked runs with a snapshot whose poll was sent at `sent`. A
// run that it does not show has an acknowledged end or never began. A list that
// may omit ends proves neither.
void run_reconciler::reconcile_runs(time_point sent, time_point now)
{
    const bool lists_all_ends = ended_.size() < options_.max_ends_listed;
    for (const ended_task& row : ended_)
    {
        record_ended(row.task, row.run, now);
    }
    std::vector<std::string> gone;
    for (auto& [task, tracked] : runs_)
    {
        const std::int64_t run = tracked.order.run;
        if (is_ended(task, run))
        {
            gone.push_back(task);
            continue;
        }
        const bool is_listed = is_running(task, run);
        if (is_listed)
        {
            tracked.begun = tracked.begun.value_or(sent);
            tracked.start_confirmed = true;
            tracked.listed = sent;
        }
        if (is_listed && tracked.stage == run_stage::starting)
        {
            tracked.stage = run_stage::running;
            tracked.confirmed = sent;
        }
        if (is_listed || !lists_all_ends)
        {
            continue;
        }
        if (tracked.stage == run_stage::starting && tracked.begun)
        {
            // It had not begun before this poll.
            tracked.begun = std::max(*tracked.begun, sent);
        }
        if (tracked.stage == run_stage::running && tracked.confirmed < sent)
        {
            record_ended(task, run, now);
            gone.push_back(task); // its end was acknowledged
        }
        if (tracked.stage == run_stage::stopped &&
            tracked.confirmed + options_.stop_time < sent)
        {
            report_refusal(
                {.task = task, .run = run, .reason = tracked.refusal}, now);
            gone.push_back(task);
        }
    }
    for (const std::string& task : gone)
    {
        runs_.erase(task);
    }
}

} // namespace springstair
