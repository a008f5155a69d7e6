#include <springstair/guard.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

// Name of a state in heartbeats.
std::string report_state(listed_task::state how)
{
    switch (how)
    {
    case listed_task::state::running:
        return "running";
    case listed_task::state::finished:
        return "finished";
    case listed_task::state::failed:
        return "failed";
    case listed_task::state::checkpointed:
        return "evicted";
    default:
        return "lost";
    }
}

} // namespace

attempt_tracker::attempt_tracker(attempt_tracker_options options)
    : options_(std::move(options))
{
}

resources attempt_tracker::free() const
{
    resources left = options_.capacity;
    for (const auto& [name, attempt] : attempts_)
    {
        if (attempt.state != attempt_state::ended)
        {
            left -= attempt.needs;
        }
    }
    return left;
}

// ---------------------------------------------------------------------------
// Commands of entries
// ---------------------------------------------------------------------------

// Each shard owner has a higher epoch than all previous owners. This rejects
// messages from an owner that was paused and superseded.
bool attempt_tracker::is_stale(std::int64_t shard, std::int64_t epoch)
{
    std::int64_t& newest = epochs_[shard];
    if (epoch < newest)
    {
        return true;
    }
    newest = epoch;
    return false;
}

std::string attempt_tracker::refusal_reason(const start_task& request) const
{
    if (request.incarnation != options_.incarnation)
    {
        return "wrong_incarnation";
    }
    if (!listed_)
    {
        return "starting";
    }
    if (closed_.contains({request.spec.id, request.attempt}))
    {
        return "closed";
    }
    if (draining_)
    {
        return "draining";
    }
    const auto same_task =
        std::any_of(attempts_.begin(), attempts_.end(),
                    [&](const auto& item)
                    {
                        return item.first.first == request.spec.id &&
                               item.second.state != attempt_state::ended;
                    });
    if (same_task)
    {
        return "other_attempt";
    }
    return request.spec.needs.fits(free()) ? "" : "no_room";
}

task_reply attempt_tracker::on_start(time_point now, const start_task& request,
                                     worker_actions& actions)
{
    if (is_stale(request.shard, request.epoch))
    {
        return {.accepted = false, .reason = "stale_epoch"};
    }
    const task_attempt name{request.spec.id, request.attempt};
    if (attempts_.contains(name))
    {
        return {.accepted = true, .reason = {}};
    }
    if (std::string reason = refusal_reason(request); !reason.empty())
    {
        const bool is_final =
            reason != "starting" && reason != "wrong_incarnation";
        if (is_final)
        {
            close(now, name); // a delayed duplicate must not be accepted
        }
        return {.accepted = false, .reason = std::move(reason)};
    }
    const duration not_after =
        worker_clock_ + (now - clock_read_) + options_.start_window;
    attempts_[name] = {.needs = request.spec.needs,
                       .state = attempt_state::starting,
                       .not_after = not_after,
                       .end_state = {},
                       .detail = {},
                       .stopping = false};
    actions.emplace_back(
        worker_start{.request = request, .not_after = not_after});
    return {.accepted = true, .reason = {}};
}

void attempt_tracker::close(time_point now, const task_attempt& name)
{
    closed_[name] = now;
}

task_reply attempt_tracker::on_stop(time_point now, const stop_task& request,
                                    worker_actions& actions)
{
    if (is_stale(request.shard, request.epoch))
    {
        return {.accepted = false, .reason = "stale_epoch"};
    }
    if (!listed_)
    {
        return {.accepted = false, .reason = "starting"};
    }
    const task_attempt name{request.task, request.attempt};
    const auto found = attempts_.find(name);
    if (found == attempts_.end())
    {
        close(now, name); // refuses a start that is still in flight
        return {.accepted = true, .reason = "not_here"};
    }
    if (found->second.state != attempt_state::ended && !found->second.stopping)
    {
        found->second.stopping = true;
        found->second.keep_checkpoint = request.keep_checkpoint;
        actions.emplace_back(worker_stop{
            .name = name, .keep_checkpoint = request.keep_checkpoint});
    }
    return {.accepted = true, .reason = {}};
}

void attempt_tracker::on_acked(time_point now,
                               const std::vector<attempt_ack>& acked,
                               worker_actions& actions)
{
    std::vector<task_attempt> gone;
    for (const attempt_ack& ack : acked)
    {
        if (is_stale(ack.shard, ack.epoch))
        {
            continue; // from a superseded shard owner
        }
        const task_attempt name{ack.task, ack.attempt};
        const auto found = attempts_.find(name);
        if (found == attempts_.end() ||
            found->second.state != attempt_state::ended)
        {
            continue;
        }
        attempts_.erase(found);
        close(now, name);
        gone.push_back(name);
    }
    if (!gone.empty())
    {
        actions.emplace_back(worker_forget{std::move(gone)});
    }
}

// ---------------------------------------------------------------------------
// The worker's list
// ---------------------------------------------------------------------------

void attempt_tracker::apply_listed(const listed_task& item)
{
    if (closed_.contains(item.name))
    {
        return; // closed but running: on_worker_list() requests its stop
    }
    const auto [position, adopted] = attempts_.try_emplace(item.name);
    tracked_attempt& attempt = position->second;
    if (adopted)
    {
        attempt.needs = item.needs;
    }
    if (attempt.state == attempt_state::ended)
    {
        return;
    }
    attempt.state = item.how == listed_task::state::running
                        ? attempt_state::running
                        : attempt_state::ended;
    attempt.end_state = report_state(item.how);
    attempt.detail = item.detail;
}

// Repeats a stop that reached the worker before its start and so had no effect.
void attempt_tracker::repeat_stop(const listed_task& item,
                                  worker_actions& actions) const
{
    const auto found = attempts_.find(item.name);
    const bool due = found != attempts_.end() && found->second.stopping &&
                     found->second.state == attempt_state::running;
    if (due)
    {
        actions.emplace_back(
            worker_stop{.name = item.name,
                        .keep_checkpoint = found->second.keep_checkpoint});
    }
}

// An attempt that the worker listed before and no longer lists is lost. One
// that was never listed may still start until its start window has closed on
// the worker's clock; that holds even if either side was paused.
void attempt_tracker::mark_missing_lost(duration worker_clock,
                                        const std::set<task_attempt>& listed)
{
    for (auto& [name, attempt] : attempts_)
    {
        if (attempt.state == attempt_state::ended || listed.contains(name))
        {
            continue;
        }
        if (attempt.state == attempt_state::running ||
            worker_clock > attempt.not_after)
        {
            attempt.state = attempt_state::ended;
            attempt.end_state = "lost";
            attempt.detail = "the worker does not list it";
        }
    }
}

void attempt_tracker::on_worker_list(time_point now, duration worker_clock,
                                     const std::vector<listed_task>& list,
                                     worker_actions& actions)
{
    clock_read_ = now;
    worker_clock_ = worker_clock;
    std::set<task_attempt> listed;
    std::vector<task_attempt> recorded;
    for (const listed_task& item : list)
    {
        listed.insert(item.name);
        const bool ended = item.how != listed_task::state::running;
        if (closed_.contains(item.name))
        {
            if (ended)
            {
                recorded.push_back(item.name);
                continue;
            }
            // The start reached the worker although the attempt is closed.
            actions.emplace_back(
                worker_stop{.name = item.name, .keep_checkpoint = false});
        }
        apply_listed(item);
        repeat_stop(item, actions);
    }
    mark_missing_lost(worker_clock, listed);
    if (!recorded.empty())
    {
        actions.emplace_back(worker_forget{std::move(recorded)});
    }
    // Starts sent by a previous guard process may still begin until their
    // window has closed. After that they are listed or never begin.
    if (!first_clock_)
    {
        first_clock_ = worker_clock;
    }
    listed_ = listed_ || worker_clock > *first_clock_ + options_.start_window;
}

// ---------------------------------------------------------------------------
// Time
// ---------------------------------------------------------------------------

void attempt_tracker::on_tick(time_point now, worker_actions& actions)
{
    std::erase_if(closed_, [&](const auto& item)
                  { return now - item.second > options_.tombstone_ttl; });
    if (now < next_renewal_)
    {
        return;
    }
    next_renewal_ = now + options_.renew_interval;
    std::vector<task_attempt> running;
    for (const auto& [name, attempt] : attempts_)
    {
        if (attempt.state == attempt_state::running)
        {
            running.push_back(name);
        }
    }
    if (!running.empty())
    {
        actions.emplace_back(worker_renew{std::move(running)});
    }
}

std::vector<attempt_report> attempt_tracker::reports() const
{
    std::vector<attempt_report> all;
    all.reserve(attempts_.size());
    for (const auto& [name, attempt] : attempts_)
    {
        const std::string state =
            attempt.state == attempt_state::ended     ? attempt.end_state
            : attempt.state == attempt_state::running ? "running"
                                                      : "starting";
        all.push_back({.task = name.first,
                       .attempt = name.second,
                       .state = state,
                       .detail = attempt.detail});
    }
    return all;
}

} // namespace springstair
