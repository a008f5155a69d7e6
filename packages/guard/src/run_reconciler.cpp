#include <springstair/guard.hpp>

#include <algorithm>

namespace springstair
{

std::string_view to_string(order_result value) noexcept
{
    switch (value)
    {
    case order_result::accepted:
        return "accepted";
    case order_result::fenced:
        return "fenced";
    case order_result::stale:
        return "stale";
    case order_result::late:
        return "late";
    case order_result::no_room:
        return "no_room";
    case order_result::no_ticket:
        return no_ticket_reason;
    case order_result::rejected:
        return "rejected";
    case order_result::unhealthy:
        return "unhealthy";
    case order_result::other_life:
        return "other_life";
    case order_result::unanswered:
        return "unanswered";
    }
    return {};
}

namespace
{

// Number of guard processes that an epoch distinguishes, and of executor
// incarnations that a process does. Any beyond share the last fence.
constexpr std::int64_t fences_per_level = std::int64_t{1} << 12;
static_assert(fences_per_level * fences_per_level ==
              run_reconciler::fences_per_epoch);

} // namespace

run_reconciler::run_reconciler(run_reconciler_options options,
                               std::string incarnation,
                               std::optional<time_point> started_at)
    : options_(options), incarnation_(std::move(incarnation)),
      started_at_(started_at), interference_(options.interference)
{
}

// ---------------------------------------------------------------------------
// The executor
// ---------------------------------------------------------------------------

void run_reconciler::on_pause(duration length)
{
    paused_ += length;
    clock_at_ += length;
    unconfirmed_.received_at += length;
    max_lease_end_ += length;
}

std::int64_t run_reconciler::worker_clock(time_point now) const
{
    return clock_ms_ + to_milliseconds(now - clock_at_);
}

bool run_reconciler::is_unresponsive(time_point now) const
{
    return now - last_answer_at_ > options_.unresponsive_after;
}

std::int64_t run_reconciler::vm_clock_ms(time_point now)
{
    return to_milliseconds(now - time_point{});
}

// The lease may still be extended up to the grant, and a requested extension
// may be in force.
std::int64_t run_reconciler::lease_left(time_point now) const
{
    const duration granted = from_seconds(
        to_seconds(lease_granted_until_ - now) * (1 + options_.clock_drift));
    return to_milliseconds(
        std::max({duration{0}, granted, max_lease_end_ - now}));
}

// Returns the deadline, on the worker's clock, of a lease of length `left`.
// That clock may be behind the estimate and may run slow, so the lease can last
// slightly longer.
std::int64_t run_reconciler::lease_deadline(duration left, time_point now)
{
    const duration behind =
        from_seconds(to_seconds(now - clock_at_) * options_.clock_drift);
    const duration longest =
        from_seconds(to_seconds(left + behind) * (1 + options_.clock_drift)) +
        options_.lease_slack;
    max_lease_end_ = std::max(max_lease_end_, now + longest);
    return worker_clock(now) + to_milliseconds(left);
}

// Earlier calls, by a previous guard process or meant for the previous
// incarnation, may have requested leases of any length up to the maximum.
void run_reconciler::assume_max_lease(time_point since)
{
    const duration longest = from_seconds(to_seconds(options_.max_lease) *
                                          (1 + options_.clock_drift));
    max_lease_end_ =
        std::max(max_lease_end_, since + longest + options_.lease_slack);
}

// A lease deadline is a time on the clock of the current incarnation. No lease
// is requested while that clock is unknown or while the executor may have
// restarted.
bool run_reconciler::can_grant_lease(time_point now) const
{
    const bool may_be_over =
        unconfirmed_.description.executor.id == worker_.executor.id;
    return clock_known_ && !may_be_over && !is_unresponsive(now);
}

// The leader's admissions number the processes of a guard. Without an admission
// of the current epoch, a process may use fences below those of its
// predecessor; the executor rejects its calls until the leader has admitted it.
std::int64_t run_reconciler::fence() const noexcept
{
    const std::int64_t process =
        admission_.epoch == epoch_ ? admission_.number : 0;
    return epoch_ * fences_per_epoch +
           std::min(process, fences_per_level - 1) * fences_per_level +
           std::min(incarnation_count_, fences_per_level - 1);
}

bool run_reconciler::is_running(const std::string& task, std::int64_t run) const
{
    return std::any_of(running_.begin(), running_.end(),
                       [&](const running_task& row)
                       { return row.task == task && row.run == run; });
}

bool run_reconciler::is_ended(const std::string& task, std::int64_t run) const
{
    return std::any_of(ended_.begin(), ended_.end(),
                       [&](const ended_task& row)
                       { return row.task == task && row.run == run; });
}

// ---------------------------------------------------------------------------
// The leader
// ---------------------------------------------------------------------------

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

// ---------------------------------------------------------------------------
// Calls to make
// ---------------------------------------------------------------------------

std::vector<executor_action> run_reconciler::due(time_point now)
{
    std::vector<executor_action> out;
    if (worker_.executor.empty() || epoch_ == 0)
    {
        return out;
    }
    std::erase_if(
        past_refusals_, [&](const auto& one)
        { return now - one.second.refused_at > options_.remember_refusals; });
    std::erase_if(
        ended_runs_, [&](const auto& one)
        { return now - one.second.seen_at > options_.remember_refusals; });
    refuse_unstarted(now);
    stop_superseded(out);
    for (auto& [task, tracked] : runs_)
    {
        act_on_run(task, tracked, now, out);
        act_on_pace(task, tracked, out);
    }
    act_on_worker(now, out);
    poll_unconfirmed(now, out);
    return out;
}

bool run_reconciler::is_expired(std::int64_t until_ms, time_point now)
{
    return until_ms > 0 && vm_clock_ms(now) > until_ms;
}

// Whether this or a newer run of the task was refused. An order for it may
// still be in flight or arrive twice; if the run began, the task would run
// where its leader no longer expects it. If the leader still orders the refused
// run, the refusal is reported again.
bool run_reconciler::was_refused(const start_order& order)
{
    const auto found = past_refusals_.find(order.task);
    if (found == past_refusals_.end() || found->second.refused.run < order.run)
    {
        return false;
    }
    const refused_run& refused = found->second.refused;
    const bool is_listed =
        std::find(refused_.begin(), refused_.end(), refused) != refused_.end();
    if (refused.run == order.run && !is_listed)
    {
        refused_.push_back(refused);
        report_due_ = true;
    }
    return true;
}

// Whether this or a newer run of the task has ended here. The executor rejects
// a start of an ended run, but not after a restart: a duplicate order would
// then begin a run that has already succeeded. The guard sends a stop instead
// and reports the run as refused.
bool run_reconciler::has_ended(const start_order& order) const
{
    const auto found = ended_runs_.find(order.task);
    return found != ended_runs_.end() && order.run <= found->second.run;
}

// Refuses starts on a draining worker, in a closed data centre, or after the
// time limit of their orders: the leader may not expect those any more.
void run_reconciler::refuse_unstarted(time_point now)
{
    std::vector<std::string> draining;
    std::vector<std::string> closed;
    std::vector<std::string> too_late;
    for (const auto& [task, tracked] : runs_)
    {
        if (tracked.stage != run_stage::starting || tracked.call_in_flight)
        {
            continue;
        }
        if (is_expired(tracked.start_until_ms, now))
        {
            too_late.push_back(task);
        }
        else if (worker_.draining)
        {
            draining.push_back(task);
        }
        else if (closed_)
        {
            closed.push_back(task);
        }
    }
    refuse_all(draining, "draining", now);
    refuse_all(closed, "data_centre_closed", now);
    refuse_all(too_late, "too_late", now);
}

void run_reconciler::refuse_all(const std::vector<std::string>& tasks,
                                const char* reason, time_point now)
{
    for (const std::string& task : tasks)
    {
        refuse(task, runs_.at(task), reason, now);
    }
}

void run_reconciler::act_on_pace(const std::string& task, tracked_run& run,
                                 std::vector<executor_action>& out)
{
    const std::int64_t wanted = interference_.pace(run.order.image);
    const bool due = run.stage == run_stage::running && run.order.fills &&
                     !run.pace_in_flight && run.pace != wanted;
    if (!due)
    {
        return;
    }
    run.pace_in_flight = true;
    out.emplace_back(throttle_run{.task = task,
                                  .run = run.order.run,
                                  .percent = wanted,
                                  .fence = fence(),
                                  .executor = worker_.executor});
}

void run_reconciler::act_on_run(const std::string& task, tracked_run& run,
                                time_point now,
                                std::vector<executor_action>& out)
{
    if (run.call_in_flight || now < run.next_call)
    {
        return;
    }
    if (run.stage == run_stage::stopping)
    {
        run.call_in_flight = true;
        out.emplace_back(stop_run{.order = {.task = task, .run = run.order.run},
                                  .fence = fence(),
                                  .executor = worker_.executor});
        return;
    }
    const duration left =
        std::min(lease_granted_until_ - now, options_.start_limit);
    if (run.stage != run_stage::starting || left <= duration{0} ||
        !may_start(run, now))
    {
        return;
    }
    run.call_in_flight = true;
    if (now - last_answer_at_ <= options_.poll_wait + options_.poll_retry)
    {
        run.start_sent = run.start_sent.value_or(now);
    }
    out.emplace_back(start_run{.order = run.order,
                               .deadline_ms = lease_deadline(left, now),
                               .fence = fence(),
                               .executor = worker_.executor});
}

// A start without an answer is repeated only once a poll has shown that the
// executor is still the same incarnation. The start may have crashed it, and a
// repeat would crash the next incarnation of the same id as well.
bool run_reconciler::may_start(const tracked_run& run, time_point now) const
{
    const bool is_same_incarnation =
        run.unanswered == 0 || polled_at_ > run.unanswered_at;
    return is_same_incarnation && !worker_.draining && !closed_ &&
           can_grant_lease(now);
}

// The next incarnation of an executor numbers its ends from 1 again. An
// acknowledgement meant for the past one would make it drop ends that nobody
// has read, so an acknowledgement is sent only to the incarnation that listed
// the ends.
void run_reconciler::act_on_worker(time_point now,
                                   std::vector<executor_action>& out)
{
    if (poll_in_flight_ || now < next_poll_)
    {
        return;
    }
    poll_in_flight_ = true;
    poll_executor poll{.acknowledged = acknowledged_,
                       .wait_ms = to_milliseconds(options_.poll_wait),
                       .fence = fence(),
                       .executor = worker_.executor};
    const duration left = std::min(
        {lease_granted_until_ - now, options_.lease, options_.max_lease});
    if (left > duration{0} && can_grant_lease(now))
    {
        poll.deadline_ms = lease_deadline(left, now);
    }
    if (!polled_ || poll_failed_)
    {
        poll.wait_ms = 0;
        poll.acknowledged = 0;
    }
    if (poll.acknowledged > 0)
    {
        poll.connected_before = connected_before_;
    }
    out.emplace_back(std::move(poll));
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
