// The journal of a shard. Transitions are committed in batches, each as a
// segment; every snapshot_interval segments, a snapshot of all tasks replaces
// them.

#include "task_keys.hpp"

#include <springstair/entry.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr duration short_retry_after = std::chrono::seconds(1);

kv_compare still_owner(std::int64_t shard, std::int64_t epoch)
{
    return {.key = task_keys::owner(shard),
            .target = kv_compare::number::create_revision,
            .equals = epoch};
}

bool has_nonce(const kv_answer& answer, const std::string& nonce)
{
    if (answer.items.empty())
    {
        return false;
    }
    const json segment = try_parse_json(answer.items.front().value);
    return segment.is_object() && segment.value("nonce", json()) == nonce;
}

} // namespace

void task_core::append_transition(shard_state& shard, task_transition step)
{
    shard.uncommitted_tasks.insert(step.task);
    shard.pending.push_back(std::move(step));
}

void task_core::rebuild_uncommitted_tasks(shard_state& shard)
{
    shard.uncommitted_tasks.clear();
    for (const auto* steps : {&shard.pending, &shard.committing})
    {
        for (const task_transition& step : *steps)
        {
            shard.uncommitted_tasks.insert(step.task);
        }
    }
}

void task_core::commit(time_point now, std::int64_t number,
                       task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    const bool free =
        shard.state == phase::owned && !shard.token && !shard.retry_operation;
    if (!free || shard.pending.empty() || now < shard.next_commit)
    {
        return;
    }
    shard.next_commit = now + options_.commit_interval;
    shard.committing = std::exchange(shard.pending, {});
    for (waiting_call& call : shard.calls)
    {
        call.sent = true;
    }
    shard.nonce = next_nonce();
    const json segment{{"nonce", shard.nonce}, {"steps", shard.committing}};
    const std::string key = task_keys::segment(number, shard.next_segment);
    std::string value = segment.dump();
    ++cost_.commits;
    cost_.transitions += shard.committing.size();
    cost_.bytes += value.size();
    send_for(shard,
             kv_transaction{.compares = {still_owner(number, shard.epoch),
                                         {.key = key,
                                          .target = kv_compare::number::version,
                                          .equals = 0}},
                            .puts = {{.key = key, .value = std::move(value)}},
                            .deletes = {}},
             actions);
    shard.in_flight = std::get<store_call>(actions.back()).operation;
}

std::string task_core::next_nonce()
{
    return options_.name.value + "." + options_.incarnation + "." +
           std::to_string(next_nonce_++);
}

// Conditioned on the revision of the previous snapshot, so that only one copy
// of the write takes effect: a delayed one would restore old tasks and delete
// newer segments.
void task_core::snapshot(std::int64_t number, task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    shard.nonce = next_nonce();
    const json document{{"nonce", shard.nonce},
                        {"book", shard.tasks.to_document()},
                        {"next_segment", shard.next_segment}};
    std::string value = document.dump();
    shard.near_size_limit = value.size() > options_.max_snapshot_bytes;
    shard.snapshotting = true;
    ++cost_.commits;
    cost_.bytes += value.size();
    send_for(
        shard,
        kv_transaction{
            .compares = {still_owner(number, shard.epoch),
                         {.key = task_keys::snapshot(number),
                          .target = kv_compare::number::mod_revision,
                          .equals = shard.snapshot_revision}},
            .puts = {{.key = task_keys::snapshot(number),
                      .value = std::move(value)}},
            .deletes = {{.key = task_keys::segments(number), .prefix = true}}},
        actions);
    shard.in_flight = std::get<store_call>(actions.back()).operation;
}

void task_core::after_commit(time_point now, std::int64_t number,
                             const kv_answer& answer, task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    if (answer.how != kv_answer::state::done)
    {
        // Sends the same write again: it can take effect only once.
        shard.retry_operation = shard.in_flight;
        shard.retry_at = now + options_.retry_delay;
        return;
    }
    const bool checked = std::exchange(shard.verifying, false);
    const bool written =
        checked ? has_nonce(answer, shard.nonce) : answer.succeeded;
    if (written)
    {
        const std::int64_t revision =
            checked ? answer.items.front().mod_revision : answer.revision;
        after_write(now, number, revision, actions);
        return;
    }
    if (checked)
    {
        drop_shard(number, false, actions);
        return;
    }
    // Refused: an earlier copy of this write took effect, or the shard has
    // another owner. Reads the key back to distinguish them.
    shard.verifying = true;
    shard.in_flight =
        kv_range{.key = shard.snapshotting
                            ? task_keys::snapshot(number)
                            : task_keys::segment(number, shard.next_segment)};
    send_for(shard, shard.in_flight, actions);
}

void task_core::after_write(time_point now, std::int64_t number,
                            std::int64_t revision, task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    if (!std::exchange(shard.snapshotting, false))
    {
        on_committed(now, number, actions);
        return;
    }
    shard.segments_since_snapshot = 0;
    shard.snapshot_revision = revision;
}

void task_core::on_committed(time_point now, std::int64_t number,
                             task_actions& actions)
{
    using what = task_transition::step;
    shard_state& shard = shards_.at(number);
    const std::vector<task_transition> steps =
        std::exchange(shard.committing, {});
    rebuild_uncommitted_tasks(shard);
    ++shard.next_segment;
    ++shard.segments_since_snapshot;
    for (const task_transition& step : steps)
    {
        const task_record* const before = shard.tasks.find(step.task);
        const bool was_placed =
            before != nullptr && before->state == task_state::placed;
        const std::string guard = before == nullptr ? "" : before->guard;
        if (!shard.tasks.apply(step))
        {
            continue;
        }
        const task_record& record = *shard.tasks.find(step.task);
        if (step.what == what::place)
        {
            start_placed(now, record, actions);
            continue;
        }
        if (was_placed)
        {
            reservations_[{guard}].erase(step.task);
            starts_.erase(step.task);
        }
        if (step.what == what::cancel && was_placed)
        {
            stop_attempt(guard, {.task = step.task, .attempt = record.attempt},
                         false, actions);
        }
        if (is_final(record.state))
        {
            failed_on_.erase(step.task);
            actions.emplace_back(log_task_end{record});
        }
    }
    answer_calls(number, actions);
    if (shard.segments_since_snapshot >= options_.snapshot_interval)
    {
        snapshot(number, actions);
    }
}

// ---------------------------------------------------------------------------
// Callers waiting for a commit
// ---------------------------------------------------------------------------

void task_core::answer_calls(std::int64_t number, task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    std::vector<waiting_call> later;
    for (waiting_call& call : shard.calls)
    {
        const task_record* const record = shard.tasks.find(call.task);
        if (!call.sent || record == nullptr)
        {
            later.push_back(std::move(call));
            continue;
        }
        actions.emplace_back(
            task_answer{.call = call.call, .record = *record, .problem = {}});
    }
    shard.calls = std::move(later);
}

void task_core::refuse_calls(shard_state& shard, bool may_be_written,
                             task_actions& actions)
{
    for (const waiting_call& call : shard.calls)
    {
        const bool in_doubt = call.sent && may_be_written;
        actions.emplace_back(task_answer{
            .call = call.call,
            .record = {},
            .problem = problem_report{
                .result = in_doubt ? outcome::unknown : outcome::not_run,
                .reason = refusal::store_unavailable,
                .retry_after = in_doubt ? duration{0} : short_retry_after,
                .detail = in_doubt ? call.task : std::string()}});
    }
    shard.calls.clear();
}

void task_core::expire_calls(time_point now, shard_state& shard,
                             task_actions& actions)
{
    const bool any_late =
        std::any_of(shard.calls.begin(), shard.calls.end(),
                    [&](const auto& call) { return now >= call.deadline; });
    if (!any_late)
    {
        return;
    }
    std::vector<waiting_call> left;
    shard_state late;
    for (waiting_call& call : shard.calls)
    {
        if (now < call.deadline)
        {
            left.push_back(std::move(call));
            continue;
        }
        if (!call.sent)
        {
            std::erase_if(shard.pending, [&](const task_transition& step)
                          { return step.task == call.task; });
        }
        late.calls.push_back(std::move(call));
    }
    shard.calls = std::move(left);
    rebuild_uncommitted_tasks(shard);
    refuse_calls(late, true, actions);
}

} // namespace springstair
