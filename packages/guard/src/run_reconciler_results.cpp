// Results of a guard's calls to its executor.

#include <springstair/guard.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Number of the newest end; the list is in order.
std::int64_t last_number(const std::vector<ended_task>& ends)
{
    return ends.empty() ? 0 : ends.back().number;
}

} // namespace

// Refuses a run. While the run is in doubt, the worker is first told to stop
// it, so that it can never begin. Starts sent by a previous process of this
// guard also put it in doubt. When only the process's own calls counted, a
// worker that was busy briefly after a guard restart had its runs refused while
// they ran, and they ran twice.
void run_reconciler::refuse(const std::string& task, tracked_run& run,
                            const std::string& reason, time_point now)
{
    if (run.in_doubt)
    {
        run.at = stage::stopping;
        run.refusal = reason;
        run.next_call = now;
        return;
    }
    report_refusal({.task = task, .run = run.order.run, .reason = reason}, now);
    runs_.erase(task);
}

void run_reconciler::report_refusal(refused_run what, time_point now)
{
    past_refusal& newest = past_refusals_[what.task];
    if (what.run >= newest.what.run)
    {
        newest = {.what = what, .at = now};
    }
    refused_.push_back(std::move(what));
    report_due_ = true;
}

// Reports to the leader at once that a worker accepts nothing. When the leader
// learnt it only from unresponsiveness, after 1.2 s, a failed executor was
// given all waiting work and each start was refused: 192 of 313 in two seconds
// of a day with many crashes.
void run_reconciler::note_health(order_result result)
{
    const bool refuses = result == order_result::unhealthy;
    if (refuses || result == order_result::accepted)
    {
        report_due_ = report_due_ || refuses != unhealthy_;
        unhealthy_ = refuses;
    }
}

void run_reconciler::on_started(const start_run& what, order_result result,
                                time_point now)
{
    const std::string& task = what.order.task;
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.order.run != what.order.run ||
        what.executor != worker_.executor)
    {
        return;
    }
    note_health(result);
    tracked_run& kept = found->second;
    kept.call_open = false;
    if (result == order_result::unanswered)
    {
        kept.begun = kept.begun ? kept.begun : kept.start_sent;
    }
    kept.start_sent.reset();
    if (kept.at != stage::starting)
    {
        return; // a stop was ordered meanwhile
    }
    switch (result)
    {
    case order_result::accepted:
        kept.at = stage::running;
        kept.confirmed = now;
        kept.begun = kept.begun.value_or(now);
        kept.start_confirmed = true;
        return;
    case order_result::late:
        kept.next_call = now + options_.retry_after;
        return;
    case order_result::unanswered:
        kept.in_doubt = true;
        ++kept.unanswered;
        kept.next_call = now + options_.retry_after;
        if (kept.unanswered >= options_.max_unanswered)
        {
            refuse(task, kept, std::string(to_string(result)), now);
        }
        return;
    case order_result::other_life:
        remember_run(task, kept);
        [[fallthrough]];
    case order_result::fenced:
        runs_.erase(found); // left to a newer leader or incarnation
        report_due_ = true;
        return;
    case order_result::stale:
        // It has ended here or was stopped; the next poll shows which.
        kept.at = stage::stopped;
        kept.refusal = "stale";
        kept.confirmed = now - options_.stop_time;
        next_look_ = now;
        return;
    case order_result::no_room:
    case order_result::no_ticket:
    case order_result::rejected:
    case order_result::unhealthy:
        break;
    }
    refuse(task, kept, std::string(to_string(result)), now);
}

void run_reconciler::on_stopped(const stop_run& what, order_result result,
                                time_point now)
{
    const std::string& task = what.order.task;
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.order.run != what.order.run ||
        found->second.at != stage::stopping ||
        what.executor != worker_.executor)
    {
        return;
    }
    tracked_run& kept = found->second;
    kept.call_open = false;
    if (result == order_result::accepted || result == order_result::stale)
    {
        kept.at = stage::stopped;
        kept.confirmed = now;
        return;
    }
    if (result == order_result::other_life)
    {
        remember_run(task, kept);
    }
    if (result == order_result::fenced || result == order_result::other_life)
    {
        runs_.erase(found);
        return;
    }
    kept.next_call = now + options_.retry_after;
}

void run_reconciler::on_polled(const executor_incarnation& asked,
                               order_result result,
                               const std::optional<executor_snapshot>& look,
                               time_point sent, time_point now)
{
    if (!unconfirmed_.what.executor.empty() &&
        asked == unconfirmed_.what.executor)
    {
        const bool is_of_another_executor = asked.id != worker_.executor.id;
        on_unconfirmed_polled(result, look, now);
        if (!is_of_another_executor)
        {
            return; // may lack starts that it accepted meanwhile
        }
    }
    if (asked != worker_.executor)
    {
        return;
    }
    const executor_incarnation there(asked.id, look ? look->born_ms : 0);
    if (!there.may_be(asked))
    {
        switch_incarnation(there, now);
        return;
    }
    note_health(result);
    poll_open_ = false;
    next_look_ = now;
    if (result == order_result::other_life && !polled_)
    {
        worker_ = {}; // stale heartbeat: this executor is not there
        return;
    }
    if (look && look->ended == ended_ && !ended_.empty())
    {
        // Polls return at once while ends are unacknowledged.
        next_look_ = now + options_.unacknowledged_pause;
    }
    if (!look)
    {
        poll_failed_ = true;
        failing_since_ = failing_since_.value_or(now);
        next_look_ = now + options_.poll_retry;
        return;
    }
    clock_ms_ = look->clock_ms;
    clock_at_ = now;
    knows_clock_ = true;
    answered_ = now;
    const bool is_first = !polled_;
    report_due_ = report_due_ || is_first ||
                  last_number(look->ended) > last_number(ended_);
    polled_ = true;
    polled_at_ = now;
    poll_failed_ = false;
    failing_since_.reset();
    vouched_at_ = sent;
    running_ = look->running;
    ended_ = look->ended;
    if (is_first)
    {
        expect_longest_lease(now);
        drop_surviving_runs();
    }
    settle(sent, now);
    std::map<std::string, run_traits> traits;
    for (const auto& [task, kept] : runs_)
    {
        traits[task] = {.fills = kept.order.fills,
                        .latency_target_ms = kept.order.latency_target_ms,
                        .image = kept.order.image};
    }
    interference_.observe(running_, traits, worker_.capacity.cpu_millis, now);
}

void run_reconciler::on_paced(const throttle_run& what, order_result result)
{
    const auto found = runs_.find(what.task);
    if (found == runs_.end() || found->second.order.run != what.run)
    {
        return;
    }
    found->second.pace_open = false;
    if (result == order_result::accepted)
    {
        found->second.pace = what.percent;
    }
}

void run_reconciler::record_ended(const std::string& task, std::int64_t run,
                                  time_point now)
{
    ended_run& of = ended_runs_[task];
    of = {.run = std::max(of.run, run), .at = now};
}

// Compares the tracked runs with a snapshot whose poll was sent at `sent`. A
// run that it does not show has an acknowledged end or never began. A list that
// may omit ends proves neither.
void run_reconciler::settle(time_point sent, time_point now)
{
    const bool lists_all_ends = ended_.size() < options_.max_ends_listed;
    for (const ended_task& row : ended_)
    {
        record_ended(row.task, row.run, now);
    }
    std::vector<std::string> gone;
    for (auto& [task, kept] : runs_)
    {
        const std::int64_t run = kept.order.run;
        if (is_ended(task, run))
        {
            gone.push_back(task);
            continue;
        }
        const bool there = is_running(task, run);
        if (there)
        {
            kept.begun = kept.begun.value_or(sent);
            kept.start_confirmed = true;
            kept.listed = sent;
        }
        if (there && kept.at == stage::starting)
        {
            kept.at = stage::running;
            kept.confirmed = sent;
        }
        if (there || !lists_all_ends)
        {
            continue;
        }
        if (kept.at == stage::running && kept.confirmed < sent)
        {
            record_ended(task, run, now);
            gone.push_back(task); // its end was acknowledged
        }
        if (kept.at == stage::stopped &&
            kept.confirmed + options_.stop_time < sent)
        {
            report_refusal({.task = task, .run = run, .reason = kept.refusal},
                           now);
            gone.push_back(task);
        }
    }
    for (const std::string& task : gone)
    {
        runs_.erase(task);
    }
}

} // namespace springstair
