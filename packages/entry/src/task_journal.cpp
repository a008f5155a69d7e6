// The journal of a shard: steps are committed in groups, each group a
// segment of its own, and now and then the whole book as a snapshot.

#include "task_keys.hpp"

#include <springstair/entry.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr duration retry_soon = std::chrono::seconds(1);

kv_compare still_holder(std::int64_t shard, std::int64_t epoch)
{
    return {.key = task_keys::holder(shard),
            .of = kv_compare::number::create_revision,
            .equals = epoch};
}

bool has_nonce(const kv_answer& answer, const std::string& nonce)
{
    if (answer.items.empty())
    {
        return false;
    }
    const json segment =
        json::parse(answer.items.front().value, nullptr, false);
    return segment.is_object() &&
           segment.value("nonce", std::string()) == nonce;
}

} // namespace

void task_core::add(shard& to, task_transition step)
{
    to.busy.insert(step.task);
    to.pending.push_back(std::move(step));
}

void task_core::recount_busy(shard& of)
{
    of.busy.clear();
    for (const auto* steps : {&of.pending, &of.committing})
    {
        for (const task_transition& step : *steps)
        {
            of.busy.insert(step.task);
        }
    }
}

void task_core::commit(time_point now, std::int64_t number,
                       task_actions& actions)
{
    shard& of = shards_.at(number);
    const bool free = of.at == phase::held && !of.token && !of.again;
    if (!free || of.pending.empty() || now < of.next_commit)
    {
        return;
    }
    of.next_commit = now + options_.commit_interval;
    of.committing = std::exchange(of.pending, {});
    for (waiting_call& call : of.calls)
    {
        call.sent = true;
    }
    of.nonce = next_nonce();
    const json segment{{"nonce", of.nonce}, {"steps", of.committing}};
    const std::string key = task_keys::segment(number, of.next_segment);
    std::string value = segment.dump();
    ++cost_.commits;
    cost_.transitions += of.committing.size();
    cost_.bytes += value.size();
    send_for(of,
             kv_transaction{.compares = {still_holder(number, of.epoch),
                                         {.key = key,
                                          .of = kv_compare::number::version,
                                          .equals = 0}},
                            .puts = {{.key = key, .value = std::move(value)}},
                            .deletes = {}},
             actions);
    of.in_flight = std::get<store_call>(actions.back()).operation;
}

std::string task_core::next_nonce()
{
    return options_.name.value + "." + options_.incarnation + "." +
           std::to_string(next_nonce_++);
}

// Only one copy of a snapshot can win: a delayed one would bring an old book
// back and take newer segments away.
void task_core::snapshot(std::int64_t number, task_actions& actions)
{
    shard& of = shards_.at(number);
    of.nonce = next_nonce();
    const json document{{"nonce", of.nonce},
                        {"book", of.book.to_document()},
                        {"next_segment", of.next_segment}};
    std::string value = document.dump();
    of.too_large = value.size() > options_.max_snapshot_bytes;
    of.snapshotting = true;
    ++cost_.commits;
    cost_.bytes += value.size();
    send_for(
        of,
        kv_transaction{
            .compares = {still_holder(number, of.epoch),
                         {.key = task_keys::snapshot(number),
                          .of = kv_compare::number::mod_revision,
                          .equals = of.snapshot_revision}},
            .puts = {{.key = task_keys::snapshot(number),
                      .value = std::move(value)}},
            .deletes = {{.key = task_keys::segments(number), .prefix = true}}},
        actions);
    of.in_flight = std::get<store_call>(actions.back()).operation;
}

void task_core::after_commit(time_point now, std::int64_t number,
                             const kv_answer& answer, task_actions& actions)
{
    shard& of = shards_.at(number);
    if (answer.how != kv_answer::state::done)
    {
        // The same write again: it can take effect once only.
        of.again = of.in_flight;
        of.retry_at = now + options_.retry;
        return;
    }
    const bool checked = std::exchange(of.checking, false);
    const bool written =
        checked ? has_nonce(answer, of.nonce) : answer.succeeded;
    if (written)
    {
        const std::int64_t revision =
            checked ? answer.items.front().mod_revision : answer.revision;
        after_write(now, number, revision, actions);
        return;
    }
    if (checked)
    {
        drop(number, false, actions);
        return;
    }
    // Refused: an earlier copy of this write took effect, or there is
    // another holder.
    of.checking = true;
    of.in_flight = kv_range{
        .key = of.snapshotting ? task_keys::snapshot(number)
                               : task_keys::segment(number, of.next_segment)};
    send_for(of, of.in_flight, actions);
}

void task_core::after_write(time_point now, std::int64_t number,
                            std::int64_t revision, task_actions& actions)
{
    shard& of = shards_.at(number);
    if (!std::exchange(of.snapshotting, false))
    {
        committed(now, number, actions);
        return;
    }
    of.since_snapshot = 0;
    of.snapshot_revision = revision;
}

void task_core::committed(time_point now, std::int64_t number,
                          task_actions& actions)
{
    using what = task_transition::step;
    shard& of = shards_.at(number);
    const std::vector<task_transition> steps = std::exchange(of.committing, {});
    recount_busy(of);
    ++of.next_segment;
    ++of.since_snapshot;
    for (const task_transition& step : steps)
    {
        const task_record* const before = of.book.find(step.task);
        const bool was_placed =
            before != nullptr && before->state == task_state::placed;
        const std::string guard = before == nullptr ? "" : before->guard;
        if (!of.book.apply(step))
        {
            continue;
        }
        const task_record& record = *of.book.find(step.task);
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
    if (of.since_snapshot >= options_.snapshot_interval)
    {
        snapshot(number, actions);
    }
}

// ---------------------------------------------------------------------------
// Callers that wait for a commit
// ---------------------------------------------------------------------------

void task_core::answer_calls(std::int64_t number, task_actions& actions)
{
    shard& of = shards_.at(number);
    std::vector<waiting_call> later;
    for (waiting_call& call : of.calls)
    {
        const task_record* const record = of.book.find(call.task);
        if (!call.sent || record == nullptr)
        {
            later.push_back(std::move(call));
            continue;
        }
        actions.emplace_back(
            task_answer{.call = call.call, .record = *record, .wrong = {}});
    }
    of.calls = std::move(later);
}

void task_core::refuse_calls(shard& of, bool may_be_written,
                             task_actions& actions)
{
    for (const waiting_call& call : of.calls)
    {
        const bool in_doubt = call.sent && may_be_written;
        actions.emplace_back(task_answer{
            .call = call.call,
            .record = {},
            .wrong = problem_report{
                .result = in_doubt ? outcome::unknown : outcome::not_run,
                .reason = refusal::store_unavailable,
                .retry_after = in_doubt ? duration{0} : retry_soon,
                .detail = in_doubt ? call.task : std::string()}});
    }
    of.calls.clear();
}

void task_core::expire_calls(time_point now, shard& of, task_actions& actions)
{
    const bool any_late =
        std::any_of(of.calls.begin(), of.calls.end(),
                    [&](const auto& call) { return now >= call.deadline; });
    if (!any_late)
    {
        return;
    }
    std::vector<waiting_call> left;
    shard late;
    for (waiting_call& call : of.calls)
    {
        if (now < call.deadline)
        {
            left.push_back(std::move(call));
            continue;
        }
        if (!call.sent)
        {
            std::erase_if(of.pending, [&](const task_transition& step)
                          { return step.task == call.task; });
        }
        late.calls.push_back(std::move(call));
    }
    of.calls = std::move(left);
    recount_busy(of);
    refuse_calls(late, true, actions);
}

} // namespace springstair
