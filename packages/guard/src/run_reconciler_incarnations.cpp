// Lives of the executor beside a guard: which is there, and what went with the
// one before.

#include <springstair/guard.hpp>

#include <algorithm>

namespace springstair
{

void run_reconciler::on_worker(const worker_description& what,
                               std::int64_t clock_ms, time_point now)
{
    if (worker_.executor != what.executor)
    {
        if (ended_incarnations_.contains(what.executor))
        {
            return;
        }
        if (polled_)
        {
            on_unconfirmed_heartbeat(what, clock_ms, now);
            return;
        }
        begin_incarnation(what.executor, now);
    }
    report_due_ = report_due_ || worker_ != what;
    worker_ = what;
    clock_ms_ = clock_ms;
    clock_at_ = now;
    knows_clock_ = true;
    answered_ = now;
}

// Whether the present life is over is not known yet. If the same executor has
// started again, calls that were meant for the life before may be taken there,
// with the longest lease: their times are on another clock.
void run_reconciler::on_unconfirmed_heartbeat(const worker_description& what,
                                              std::int64_t clock_ms,
                                              time_point now)
{
    if (unconfirmed_.what.executor != what.executor)
    {
        unconfirmed_ = {};
    }
    unconfirmed_.what = what;
    unconfirmed_.clock_ms = clock_ms;
    unconfirmed_.heard = now;
    if (what.executor.id == worker_.executor.id)
    {
        expect_longest_lease(now + options_.silence);
    }
}

// A new life has seen no order. It runs nothing, unless it is of the same
// executor: then it may have taken starts that were meant for the life before.
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
    knows_clock_ = false;
    vouched_at_ = {};
    // The first report of a life has to show what it took.
    full_reported_at_ = {};
    poll_open_ = false;
    acknowledged_ = 0;
    ++incarnation_count_;
    leased_until_ = {};
    expect_longest_lease(now);
    next_look_ = now;
    interference_ = interference_controller(options_.interference_controller);
}

// A start without an answer may be at the next life of the executor, now or
// later; its stop is repeated there. Remembered at the former life alone, such
// a run began beside the one that had taken its place.
void run_reconciler::carry_uncertain_starts(time_point now)
{
    std::erase_if(runs_,
                  [](const auto& one)
                  {
                      const tracked_run& run = one.second;
                      return !run.in_doubt && !run.call_open &&
                             run.at != stage::stopping;
                  });
    for (auto& [task, run] : runs_)
    {
        start_order order = std::move(run.order);
        run = {.order = std::move(order),
               .at = stage::stopping,
               .in_doubt = true,
               .next_call = now,
               .refusal = "executor_restarted"};
    }
}

// A look that another life was meant by tells who lives at the address. Only
// an answer decides between two lives: a heartbeat that was held back can come
// after its sender's end, and lives have no order.
void run_reconciler::on_unconfirmed_polled(
    order_result result, const std::optional<executor_snapshot>& look,
    time_point now)
{
    unconfirmed_.asking = false;
    const executor_incarnation& asked = unconfirmed_.what.executor;
    const bool names_it = asked.id != worker_.executor.id;
    if (look)
    {
        const executor_incarnation there(asked.id, look->born_ms);
        if (!names_it && there.may_be(worker_.executor))
        {
            ended_incarnations_.insert(asked);
            unconfirmed_ = {};
        }
        else
        {
            switch_incarnation(there.may_be(asked) ? asked : there, now);
        }
    }
    else if (names_it && (result == order_result::accepted ||
                          result == order_result::fenced))
    {
        switch_incarnation(asked, now);
    }
    else if (result == order_result::other_life)
    {
        unconfirmed_ = {};
    }
    else
    {
        unconfirmed_.next_ask = now + options_.poll_retry;
    }
}

// Another life has answered. Until its own heartbeat has told what it can run,
// it gets nothing to run; until it has told its clock, no lease. A time on the
// clock of the life before is far ahead on its own.
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
    if (who == unconfirmed_.what.executor)
    {
        next = unconfirmed_.what;
        clock_ms_ = unconfirmed_.clock_ms;
        clock_at_ = unconfirmed_.heard;
        knows_clock_ = true;
    }
    worker_ = std::move(next);
    answered_ = now;
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
    if (unconfirmed_.what.executor.empty() || unconfirmed_.asking ||
        now < unconfirmed_.next_ask)
    {
        return;
    }
    unconfirmed_.asking = true;
    out.emplace_back(poll_executor{.fence = fence(),
                                   .executor = unconfirmed_.what.executor});
}

// ---------------------------------------------------------------------------
// Former lives of the executor
// ---------------------------------------------------------------------------

// A run that began here and did not end goes with the life.
void run_reconciler::remember_run(const std::string& task,
                                  const tracked_run& run)
{
    const auto begun = run.begun ? run.begun : run.start_sent;
    if (!begun || is_ended(task, run.order.run))
    {
        return;
    }
    const duration shown = std::max(duration{0}, run.listed - *begun);
    over_.begun.push_back({.task = task,
                           .run = run.order.run,
                           .at_work_ms = to_milliseconds(shown),
                           .is_sure = run.start_confirmed});
}

void run_reconciler::remember_incarnation(time_point now)
{
    for (const auto& [task, kept] : runs_)
    {
        remember_run(task, kept);
    }
    if (!over_.begun.empty())
    {
        over_.executor = worker_.executor;
        over_.lost_ms = vm_clock_ms(failing_since_.value_or(now));
        former_.push_back({.what = std::exchange(over_, {})});
    }
    if (former_.size() > options_.max_past_incarnations)
    {
        former_.erase(former_.begin());
    }
}

// A start that was taken for one of the life before may have been the next
// one's: its lists show it, and no crash speaks of it.
void run_reconciler::drop_surviving_runs()
{
    if (former_.empty() ||
        former_.back().what.executor.id != worker_.executor.id)
    {
        return;
    }
    std::erase_if(former_.back().what.begun,
                  [this](const begun_run& one) {
                      return is_running(one.task, one.run) ||
                             is_ended(one.task, one.run);
                  });
}

// A holder has heard a report. It may fall before it has written what it
// makes of that, so its successor hears the same for a while.
void run_reconciler::forget_reported_incarnations(const worker_report& report,
                                                  time_point now)
{
    for (reported_incarnation& one : former_)
    {
        const bool was_told =
            std::find(report.former.begin(), report.former.end(), one.what) !=
            report.former.end();
        if (was_told && !one.told)
        {
            one.told = now;
        }
    }
    std::erase_if(
        former_, [&](const reported_incarnation& one)
        { return one.told && now - *one.told > options_.repeat_past_for; });
}

} // namespace springstair
