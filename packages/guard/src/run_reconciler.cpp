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

} // namespace springstair
