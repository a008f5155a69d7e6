// Incarnations of the executor: which one is at its address, and which runs
// were lost with the previous one.

#include <springstair/guard.hpp>

#include <algorithm>

namespace springstair
{

void run_reconciler::on_worker(const worker_description& description,
                               std::int64_t clock_ms, time_point now)
{
    if (worker_.executor != description.executor)
    {
        if (ended_incarnations_.contains(description.executor))
        {
            return;
        }
        if (polled_)
        {
            on_unconfirmed_heartbeat(description, clock_ms, now);
            return;
        }
        begin_incarnation(description.executor, now);
    }
    report_due_ = report_due_ || worker_ != description;
    worker_ = description;
    clock_ms_ = clock_ms;
    clock_at_ = now;
    clock_known_ = true;
    last_answer_at_ = now;
}

// It is not known yet whether the current incarnation has ended. If the same
// executor has restarted, it may accept calls meant for the previous
// incarnation. Their deadlines are on another clock, so they may extend the
// lease by up to the maximum.
void run_reconciler::on_unconfirmed_heartbeat(
    const worker_description& description, std::int64_t clock_ms,
    time_point now)
{
    if (unconfirmed_.description.executor != description.executor)
    {
        unconfirmed_ = {};
    }
    unconfirmed_.description = description;
    unconfirmed_.clock_ms = clock_ms;
    unconfirmed_.received_at = now;
    if (description.executor.id == worker_.executor.id)
    {
        assume_max_lease(now + options_.unresponsive_after);
    }
}

// A new incarnation has received no order and runs nothing, unless it is the
// same executor restarted: then it may have accepted starts meant for the
// previous incarnation.
void run_reconciler::begin_incarnation(const executor_incarnation& next,
                                       time_point now)
{
    remember_incarnation(now);
    failing_since_.reset();
    unhealthy_ = false;
    if (next.id == worker_.executor.id)
    {
        carry_uncertain_starts(now);
    }
    else
    {
        runs_.clear();
    }
    running_.clear();
    ended_.clear();
    refused_.clear();
    past_refusals_.clear();
    ended_runs_.clear();
    superseded_stops_.clear();
    polled_ = false;
    polled_at_ = now;
    poll_failed_ = false;
    clock_known_ = false;
    connected_before_ = {};
    // The first report of an incarnation must list its runs.
    full_reported_at_ = {};
    poll_in_flight_ = false;
    acknowledged_ = 0;
    ++incarnation_count_;
    max_lease_end_ = {};
    assume_max_lease(now);
    next_poll_ = now;
    interference_ = interference_controller(options_.interference);
}

// A start without an answer may reach the next incarnation of the executor, now
// or later, so the run's stop is repeated there. Otherwise the run could begin
// while the run that replaced it is running.
void run_reconciler::carry_uncertain_starts(time_point now)
{
    std::erase_if(runs_,
                  [](const auto& one)
                  {
                      const tracked_run& run = one.second;
                      return !run.in_doubt && !run.call_in_flight &&
                             run.stage != run_stage::stopping;
                  });
    for (auto& [task, run] : runs_)
    {
        start_order order = std::move(run.order);
        run = {.order = std::move(order),
               .stage = run_stage::stopping,
               .in_doubt = true,
               .next_call = now,
               .refusal = "executor_restarted"};
    }
}

// Handles the result of a poll that asks which incarnation is at the address.
// Only an answer decides between two incarnations: a delayed heartbeat can
// arrive after its sender has ended, and incarnations have no order.
void run_reconciler::on_unconfirmed_polled(
    order_result result, const std::optional<executor_snapshot>& snapshot,
    time_point now)
{
    unconfirmed_.polling = false;
    const executor_incarnation& polled = unconfirmed_.description.executor;
    const bool is_other_executor = polled.id != worker_.executor.id;
    if (snapshot)
    {
        const executor_incarnation answering(polled.id, snapshot->born_ms);
        if (!is_other_executor && answering.may_be(worker_.executor))
        {
            ended_incarnations_.insert(polled);
            unconfirmed_ = {};
        }
        else
        {
            switch_incarnation(answering.may_be(polled) ? polled : answering,
                               now);
        }
    }
    else if (is_other_executor && (result == order_result::accepted ||
                                   result == order_result::fenced))
    {
        switch_incarnation(polled, now);
    }
    else if (result == order_result::other_life)
    {
        unconfirmed_ = {};
    }
    else
    {
        unconfirmed_.next_poll = now + options_.poll_retry;
    }
}

// Another incarnation has answered. It gets no starts until its own heartbeat
// has described it, and no lease until its clock is known: a deadline on the
// previous incarnation's clock could be far in the future on the new one.
void run_reconciler::switch_incarnation(const executor_incarnation& who,
                                        time_point now)
{
    worker_description next = worker_;
    next.executor = who;
    next.service.clear();
    next.draining = false;
    next.leaves_ms = 0;
    ended_incarnations_.insert(worker_.executor);
    begin_incarnation(who, now);
    if (who == unconfirmed_.description.executor)
    {
        next = unconfirmed_.description;
        clock_ms_ = unconfirmed_.clock_ms;
        clock_at_ = unconfirmed_.received_at;
        clock_known_ = true;
    }
    worker_ = std::move(next);
    last_answer_at_ = now;
    unconfirmed_ = {};
    report_due_ = true;
}

void run_reconciler::on_leave(const executor_incarnation& executor)
{
    if (worker_.executor.may_be(executor))
    {
        worker_.draining = true;
        report_due_ = true;
    }
}

void run_reconciler::poll_unconfirmed(time_point now,
                                      std::vector<executor_action>& out)
{
    if (unconfirmed_.description.executor.empty() || unconfirmed_.polling ||
        now < unconfirmed_.next_poll)
    {
        return;
    }
    unconfirmed_.polling = true;
    out.emplace_back(poll_executor{
        .fence = fence(), .executor = unconfirmed_.description.executor});
}

// ---------------------------------------------------------------------------
// Past incarnations of the executor
// ---------------------------------------------------------------------------

// A run that began here and has not ended is lost with the incarnation.
void run_reconciler::remember_run(const std::string& task,
                                  const tracked_run& run)
{
    const auto begun = run.begun ? run.begun : run.start_sent;
    if (!begun || is_ended(task, run.order.run))
    {
        return;
    }
    const duration shown = std::max(duration{0}, run.listed - *begun);
    ending_incarnation_.begun.push_back({.task = task,
                                         .run = run.order.run,
                                         .at_work_ms = to_milliseconds(shown),
                                         .is_sure = run.start_confirmed});
}

void run_reconciler::remember_incarnation(time_point now)
{
    for (const auto& [task, tracked] : runs_)
    {
        remember_run(task, tracked);
    }
    if (!ending_incarnation_.begun.empty())
    {
        ending_incarnation_.executor = worker_.executor;
        ending_incarnation_.lost_ms = vm_clock_ms(failing_since_.value_or(now));
        past_incarnations_.push_back(
            {.incarnation = std::exchange(ending_incarnation_, {})});
    }
    if (past_incarnations_.size() > options_.max_past_incarnations)
    {
        past_incarnations_.erase(past_incarnations_.begin());
    }
}

// A start counted for the past incarnation may have been accepted by the next
// one. If its lists show the run, the run was not lost in the crash.
void run_reconciler::drop_surviving_runs()
{
    if (past_incarnations_.empty() ||
        past_incarnations_.back().incarnation.executor.id !=
            worker_.executor.id)
    {
        return;
    }
    std::erase_if(past_incarnations_.back().incarnation.begun,
                  [this](const begun_run& one) {
                      return is_running(one.task, one.run) ||
                             is_ended(one.task, one.run);
                  });
}

// Records which past incarnations a leader has received. That leader may fail
// before it has committed the consequences, so they are reported for
// repeat_past_for longer, to reach its successor.
void run_reconciler::forget_reported_incarnations(const worker_report& report,
                                                  time_point now)
{
    for (reported_incarnation& one : past_incarnations_)
    {
        const bool was_reported =
            std::find(report.former.begin(), report.former.end(),
                      one.incarnation) != report.former.end();
        if (was_reported && !one.reported_at)
        {
            one.reported_at = now;
        }
    }
    std::erase_if(past_incarnations_,
                  [&](const reported_incarnation& one)
                  {
                      return one.reported_at &&
                             now - *one.reported_at > options_.repeat_past_for;
                  });
}

} // namespace springstair
