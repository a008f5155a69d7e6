// What a guard and the leader tell each other: orders, answers and reports.

#include <springstair/guard.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

bool run_reconciler::on_orders(const guard_orders& orders, time_point now)
{
    if (orders.epoch < epoch_ || orders.epoch == 0)
    {
        return false;
    }
    epoch_ = orders.epoch;
    if (worker_.executor.empty() || !orders.executor.may_be(worker_.executor))
    {
        return false;
    }
    acknowledged_ = std::max(acknowledged_, orders.acknowledged);
    closed_ = orders.closed;
    const bool starts_void = orders.incarnation != incarnation_ ||
                             is_expired(orders.starts_until_ms, now);
    for (const start_order& order : orders.starts)
    {
        if (starts_void || was_refused(order) ||
            is_ended(order.task, order.run))
        {
            continue;
        }
        tracked_run& tracked = runs_[order.task];
        if (order.run < tracked.order.run)
        {
            continue;
        }
        if (order.run > tracked.order.run)
        {
            tracked = {.order = order,
                       .in_doubt = order.told_incarnation != incarnation_,
                       .next_call = now};
            if (has_ended(order))
            {
                tracked.stage = run_stage::stopping;
                tracked.refusal = to_string(order_result::stale);
            }
        }
        tracked.start_until_ms =
            std::max(tracked.start_until_ms, orders.starts_until_ms);
        if (is_running(order.task, order.run) &&
            tracked.stage == run_stage::starting)
        {
            tracked.stage = run_stage::running;
            tracked.confirmed = now;
        }
        tracked.order = order;
        share_texts(runs_.find(order.task));
    }
    for (const stop_order& order : orders.stops)
    {
        apply_stop(order, now);
    }
    return true;
}

// Runs of a job are neighbours, and have the same payload and image.
void run_reconciler::share_texts(run_map::iterator run)
{
    const auto share = [&](const run_map::value_type& neighbour)
    {
        run->second.order.payload.share_with(neighbour.second.order.payload);
        run->second.order.image.share_with(neighbour.second.order.image);
    };
    if (run != runs_.begin())
    {
        share(*std::prev(run));
    }
    if (const auto next = std::next(run); next != runs_.end())
    {
        share(*next);
    }
}

// A stop for a newer run also stops the tracked one, which the leader no longer
// expects. The tracked run keeps its number: with the number of the stop, the
// answer to its start would be dropped, its call would count as in flight
// forever, and it would never be sent a stop.
void run_reconciler::apply_stop(const stop_order& order, time_point now)
{
    const auto [found, is_new] = runs_.try_emplace(order.task);
    tracked_run& tracked = found->second;
    if (order.run < tracked.order.run)
    {
        if (is_running(order.task, order.run))
        {
            superseded_stops_.push_back(order);
        }
        return;
    }
    if (tracked.stage == run_stage::stopping ||
        tracked.stage == run_stage::stopped)
    {
        return;
    }
    if (is_new)
    {
        tracked.order.task = order.task;
        tracked.order.run = order.run;
    }
    tracked.stage = run_stage::stopping;
    tracked.refusal = "stopped";
    tracked.next_call = now;
}

// The leader repeats these stops until the worker no longer lists the run.
void run_reconciler::stop_superseded(std::vector<executor_action>& out)
{
    for (stop_order& order : std::exchange(superseded_stops_, {}))
    {
        out.emplace_back(stop_run{.order = std::move(order),
                                  .fence = fence(),
                                  .executor = worker_.executor});
    }
}

void run_reconciler::on_answer(const report_answer& answer,
                               const worker_report& report, time_point sent,
                               time_point now)
{
    if (!answer.holds || answer.orders.epoch < epoch_)
    {
        return;
    }
    if (answer.orders.epoch > epoch_)
    {
        full_reported_at_ = {}; // a new leader has received none
    }
    if (answer.admission.number > 0)
    {
        epoch_ = answer.orders.epoch;
        admission_ = answer.admission;
        report_due_ = true; // repeat it with the admission
        return;
    }
    forget_reported_incarnations(report, now);
    lease_granted_until_ =
        std::max(lease_granted_until_,
                 sent + std::chrono::milliseconds(answer.permit_ms));
    std::erase_if(refused_,
                  [&](const refused_run& one)
                  {
                      return std::find(report.refused.begin(),
                                       report.refused.end(),
                                       one) != report.refused.end();
                  });
    interference_.learn(answer.harms);
    if (report.whole && report.looked)
    {
        full_reported_at_ = std::max(full_reported_at_, sent);
        checkpoint_turn_ += static_cast<std::size_t>(
            std::ranges::count_if(report.running, [](const running_task& row)
                                  { return !row.checkpoint.empty(); }));
    }
    on_orders(answer.orders, now);
}

worker_report run_reconciler::report(time_point now) const
{
    worker_report out{
        .epoch = epoch_,
        .incarnation = incarnation_,
        .sent_ms = vm_clock_ms(now),
        .uptime_ms = uptime_ms(now),
        .paused_ms = to_milliseconds(paused_),
        .admission = admission_,
        .worker = worker_,
        .looked = polled_,
        .lists_age_ms = to_milliseconds(now - polled_at_),
        .failing_ms = to_milliseconds(now - failing_since_.value_or(now)),
        .whole = now - full_reported_at_ >= options_.full_report_interval,
        .answering = !is_unresponsive(now) && !unhealthy_,
        .lapsed = is_unresponsive(now) && now >= max_lease_end_,
        .lease_ms = lease_left(now),
        .ended = ended_,
        .refused = refused_,
        .paces = interference_.paces()};
    if (out.whole)
    {
        list_runs(out);
    }
    for (const reported_incarnation& one : past_incarnations_)
    {
        // One that no leader has received is in every report, so that the
        // leader places nothing on the next incarnation before it has received
        // the past one.
        if (out.whole || !one.reported_at)
        {
            out.former.push_back(one.incarnation);
        }
    }
    return out;
}

// Without the pauses: a lease at the time of the start may last longer by them.
std::int64_t run_reconciler::uptime_ms(time_point now) const
{
    return started_at_ ? to_milliseconds(now - *started_at_ - paused_) : 0;
}

// The running tasks, with as many checkpoints as a report may have: at least
// one, in turn from one report to the next.
std::vector<running_task> run_reconciler::reported_running() const
{
    std::vector<running_task> rows = running_;
    std::size_t bytes = 0;
    bool has_space = true;
    for (std::size_t count = 0; count < rows.size(); ++count)
    {
        running_task& row = rows[(checkpoint_turn_ + count) % rows.size()];
        const bool fits = bytes + row.checkpoint.size() <=
                          options_.max_reported_checkpoint_bytes;
        has_space = has_space && (bytes == 0 || fits);
        if (!has_space)
        {
            row.checkpoint.clear();
        }
        bytes += row.checkpoint.size();
    }
    return rows;
}

void run_reconciler::list_runs(worker_report& out) const
{
    out.running = reported_running();
    for (const auto& [task, tracked] : runs_)
    {
        if (tracked.stage != run_stage::running)
        {
            out.starting.push_back(task);
        }
    }
    for (const running_task& row : running_)
    {
        if (!runs_.contains(row.task))
        {
            out.unknown.push_back(row.task);
        }
    }
}

bool run_reconciler::take_report_due() noexcept
{
    return std::exchange(report_due_, false);
}

} // namespace springstair
