// Shard ownership: the entry's lease, the owners' keys, acquiring a shard,
// loading its journal and releasing it.

#include "task_keys.hpp"

#include <springstair/entry.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

// Rendezvous hashing: every entry computes the same owner without
// communication.
std::string preferred_owner(std::int64_t shard,
                            const std::set<std::string>& entries)
{
    std::string best;
    std::string best_rank;
    for (const std::string& entry : entries)
    {
        const std::string rank =
            sha256_hex(entry + "#" + std::to_string(shard));
        if (best.empty() || rank > best_rank)
        {
            best = entry;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace

store_call task_core::make_call(kv_operation operation)
{
    return {.token = next_token_++, .operation = std::move(operation)};
}

void task_core::send_for(shard_state& shard, kv_operation operation,
                         task_actions& actions)
{
    const auto number =
        std::find_if(shards_.begin(), shards_.end(),
                     [&](const auto& item) { return &item.second == &shard; })
            ->first;
    store_call call = make_call(std::move(operation));
    shard.token = call.token;
    shard_of_token_[call.token] = number;
    actions.emplace_back(std::move(call));
}

// ---------------------------------------------------------------------------
// The lease
// ---------------------------------------------------------------------------

void task_core::renew_lease(time_point now, task_actions& actions)
{
    if (lease_token_ || now < next_renewal_)
    {
        return;
    }
    next_renewal_ = now + options_.renew_interval;
    store_call call =
        lease_ == 0 ? make_call(kv_grant{.ttl_seconds = options_.lease_seconds})
                    : make_call(kv_keep_alive{.lease = lease_});
    lease_token_ = call.token;
    actions.emplace_back(std::move(call));
}

void task_core::drop_all_shards(task_actions& actions)
{
    for (auto& [number, shard] : shards_)
    {
        if (shard.state != phase::unowned)
        {
            drop_shard(number, true, actions);
        }
    }
}

// ---------------------------------------------------------------------------
// Owners' keys
// ---------------------------------------------------------------------------

void task_core::poll_shard_owners(time_point now, task_actions& actions)
{
    if (shard_poll_token_ || now < next_shard_poll_)
    {
        return;
    }
    next_shard_poll_ = now + options_.shard_poll_interval;
    store_call call =
        make_call(kv_range{.key = task_keys::owners, .prefix = true});
    shard_poll_token_ = call.token;
    shard_poll_sent_at_ = now;
    actions.emplace_back(std::move(call));
}

void task_core::update_ownership(time_point now, const kv_answer& answer,
                                 const std::set<std::string>& entries,
                                 task_actions& actions)
{
    const std::string self = options_.name.value + "." + options_.incarnation;
    std::map<std::string, const kv_item*> owners;
    for (const kv_item& item : answer.items)
    {
        owners[item.key] = &item;
    }
    for (auto& [number, shard] : shards_)
    {
        const auto found = owners.find(task_keys::owner(number));
        const kv_item* const owner =
            found == owners.end() ? nullptr : found->second;
        const bool idle = shard.pending.empty() && shard.committing.empty() &&
                          shard.calls.empty() && !shard.token &&
                          !shard.retry_operation;
        const std::string preferred = preferred_owner(number, entries);
        if (owner != nullptr)
        {
            shard.unowned_since = time_point{};
        }
        if (is_held(shard))
        {
            const bool superseded =
                owner != nullptr && owner->create_revision > shard.epoch;
            if (owner != nullptr && owner->create_revision == shard.epoch)
            {
                shard.confirmed_at = shard_poll_sent_at_;
            }
            if (superseded)
            {
                drop_shard(number, false, actions);
            }
            else if (idle && (draining_ || preferred != options_.name.value))
            {
                release_shard(number, actions);
            }
            continue;
        }
        if (shard.state != phase::unowned || draining_ || lease_ == 0)
        {
            continue;
        }
        if (owner != nullptr && owner->value == self)
        {
            shard.epoch =
                owner->create_revision; // the acquiring write's answer was lost
            load_shard(number, actions);
        }
        else if (owner == nullptr)
        {
            if (shard.unowned_since == time_point{})
            {
                shard.unowned_since = now;
            }
            if (preferred == options_.name.value ||
                now - shard.unowned_since > options_.takeover_delay)
            {
                acquire_shard(number, actions);
            }
        }
    }
}

void task_core::acquire_shard(std::int64_t number, task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    shard.state = phase::acquiring;
    const std::string key = task_keys::owner(number);
    send_for(shard,
             kv_transaction{.compares = {{.key = key,
                                          .target = kv_compare::number::version,
                                          .equals = 0}},
                            .puts = {{.key = key,
                                      .value = options_.name.value + "." +
                                               options_.incarnation,
                                      .lease = lease_}},
                            .deletes = {}},
             actions);
}

void task_core::after_acquire(std::int64_t number, const kv_answer& answer,
                              task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    shard.state = phase::unowned;
    if (answer.how == kv_answer::state::done && answer.succeeded)
    {
        shard.epoch = answer.revision;
        load_shard(number, actions);
    }
}

void task_core::load_shard(std::int64_t number, task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    shard.state = phase::loading;
    send_for(shard, kv_range{.key = task_keys::all_of(number), .prefix = true},
             actions);
}

void task_core::after_load(time_point now, std::int64_t number,
                           const kv_answer& answer, task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    if (answer.how != kv_answer::state::done)
    {
        shard.retry_operation =
            kv_range{.key = task_keys::all_of(number), .prefix = true};
        shard.retry_at = now + options_.retry_delay;
        return;
    }
    task_journal journal = read_task_journal(number, answer.items);
    shard.tasks = std::move(journal.tasks);
    shard.next_segment = journal.next_segment;
    shard.segments_since_snapshot = journal.segments_since_snapshot;
    shard.snapshot_revision = journal.snapshot_revision;
    if (journal.unreadable)
    {
        hold_unreadable(now, {.shard = number, .record = *journal.unreadable},
                        actions);
        return;
    }
    shard.state = phase::owned;
    shard.unreadable.reset();
    actions.emplace_back(
        log_shard{.event = event_id::shard_taken, .shard = number});
}

// Keeps a shard of which a record cannot be read: its ended tasks are shown,
// everything else is refused, and nothing is written, so that the record stays
// as it is. A task whose last transitions are unknown could otherwise run twice
// or be reported with an outdated state. The journal is read again until an
// operator has restored the record.
void task_core::hold_unreadable(time_point now, const unreadable_shard& found,
                                task_actions& actions)
{
    shard_state& shard = shards_.at(found.shard);
    shard.state = phase::unreadable;
    shard.reload_at = now + options_.reload_interval;
    if (shard.unreadable != found.record)
    {
        shard.unreadable = found.record;
        actions.emplace_back(log_unreadable{found});
    }
}

void task_core::reload_if_due(time_point now, std::int64_t number,
                              task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    const bool is_due = shard.state == phase::unreadable && !shard.token &&
                        !shard.retry_operation && now >= shard.reload_at;
    if (is_due)
    {
        send_for(shard,
                 kv_range{.key = task_keys::all_of(number), .prefix = true},
                 actions);
    }
}

void task_core::release_shard(std::int64_t number, task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    const std::string key = task_keys::owner(number);
    actions.emplace_back(make_call(kv_transaction{
        .compares = {{.key = key,
                      .target = kv_compare::number::create_revision,
                      .equals = shard.epoch}},
        .puts = {},
        .deletes = {{.key = key}}}));
    drop_shard(number, false, actions);
}

void task_core::drop_shard(std::int64_t number, bool may_be_written,
                           task_actions& actions)
{
    shard_state& shard = shards_.at(number);
    refuse_calls(shard, may_be_written, actions);
    if (shard.token)
    {
        shard_of_token_.erase(*shard.token);
    }
    const bool was_held = is_held(shard);
    shard = shard_state{};
    if (was_held)
    {
        actions.emplace_back(
            log_shard{.event = event_id::shard_lost, .shard = number});
    }
}

void task_core::on_drain(time_point now, task_actions& actions)
{
    draining_ = true;
    next_shard_poll_ = now;
    poll_shard_owners(now, actions);
}

// ---------------------------------------------------------------------------
// Store answers
// ---------------------------------------------------------------------------

void task_core::on_store(time_point now, store_token token,
                         const kv_answer& answer, task_actions& actions)
{
    const bool answered = answer.how == kv_answer::state::done;
    store_available_ = answered;
    if (lease_token_ == token)
    {
        lease_token_.reset();
        if (answered && lease_ == 0)
        {
            lease_ = answer.lease;
        }
        else if (answered && answer.ttl_seconds <= 0)
        {
            lease_ = 0;
            next_renewal_ = now;
            drop_all_shards(actions);
        }
        return;
    }
    if (shard_poll_token_ == token)
    {
        shard_poll_token_.reset();
        if (answered)
        {
            last_shard_poll_ = answer;
        }
        return;
    }
    const auto found = shard_of_token_.find(token);
    if (found == shard_of_token_.end())
    {
        return;
    }
    const std::int64_t number = found->second;
    shard_of_token_.erase(found);
    shard_state& shard = shards_.at(number);
    shard.token.reset();
    switch (shard.state)
    {
    case phase::acquiring:
        after_acquire(number, answer, actions);
        break;
    case phase::loading:
    case phase::unreadable:
        after_load(now, number, answer, actions);
        break;
    case phase::owned:
        after_commit(now, number, answer, actions);
        break;
    case phase::unowned:
        break;
    }
}

} // namespace springstair
