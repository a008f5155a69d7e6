// Which shards an entry holds: its lease, the holders' keys, taking a shard
// and reading its journal, giving it up.

#include "task_keys.hpp"

#include <springstair/entry.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

// Every entry ranks the others alike, without a word between them.
std::string preferred_holder(std::int64_t shard,
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

store_call task_core::ask(kv_operation operation)
{
    return {.token = next_token_++, .operation = std::move(operation)};
}

void task_core::send_for(shard& of, kv_operation operation,
                         task_actions& actions)
{
    const auto number =
        std::find_if(shards_.begin(), shards_.end(),
                     [&](const auto& item) { return &item.second == &of; })
            ->first;
    store_call call = ask(std::move(operation));
    of.token = call.token;
    shard_of_token_[call.token] = number;
    actions.emplace_back(std::move(call));
}

// ---------------------------------------------------------------------------
// The lease
// ---------------------------------------------------------------------------

void task_core::keep_lease(time_point now, task_actions& actions)
{
    if (lease_token_ || now < next_renewal_)
    {
        return;
    }
    next_renewal_ = now + options_.renew_interval;
    store_call call = lease_ == 0
                          ? ask(kv_grant{.ttl_seconds = options_.lease_seconds})
                          : ask(kv_keep_alive{.lease = lease_});
    lease_token_ = call.token;
    actions.emplace_back(std::move(call));
}

void task_core::drop_all(task_actions& actions)
{
    for (auto& [number, of] : shards_)
    {
        if (of.at != phase::foreign)
        {
            drop(number, true, actions);
        }
    }
}

// ---------------------------------------------------------------------------
// Holders' keys
// ---------------------------------------------------------------------------

void task_core::poll_shard_holders(time_point now, task_actions& actions)
{
    if (shard_poll_token_ || now < next_look_)
    {
        return;
    }
    next_look_ = now + options_.shard_poll_interval;
    store_call call = ask(kv_range{.key = task_keys::holders, .prefix = true});
    shard_poll_token_ = call.token;
    shard_poll_sent_at_ = now;
    actions.emplace_back(std::move(call));
}

void task_core::take_shards(time_point now, const kv_answer& answer,
                            const std::set<std::string>& entries,
                            task_actions& actions)
{
    const std::string self = options_.name.value + "." + options_.incarnation;
    std::map<std::string, const kv_item*> holders;
    for (const kv_item& item : answer.items)
    {
        holders[item.key] = &item;
    }
    for (auto& [number, of] : shards_)
    {
        const auto found = holders.find(task_keys::holder(number));
        const kv_item* const holder =
            found == holders.end() ? nullptr : found->second;
        const bool quiet = of.pending.empty() && of.committing.empty() &&
                           of.calls.empty() && !of.token && !of.again;
        const std::string preferred = preferred_holder(number, entries);
        if (holder != nullptr)
        {
            of.free_since = time_point{};
        }
        if (of.at == phase::held)
        {
            const bool overtaken =
                holder != nullptr && holder->create_revision > of.epoch;
            if (holder != nullptr && holder->create_revision == of.epoch)
            {
                of.confirmed = shard_poll_sent_at_;
            }
            if (overtaken)
            {
                drop(number, false, actions);
            }
            else if (quiet && (draining_ || preferred != options_.name.value))
            {
                give_up(number, actions);
            }
            continue;
        }
        if (of.at != phase::foreign || draining_ || lease_ == 0)
        {
            continue;
        }
        if (holder != nullptr && holder->value == self)
        {
            of.epoch = holder->create_revision; // the answer had been lost
            load(number, actions);
        }
        else if (holder == nullptr)
        {
            if (of.free_since == time_point{})
            {
                of.free_since = now;
            }
            if (preferred == options_.name.value ||
                now - of.free_since > options_.takeover_delay)
            {
                acquire(number, actions);
            }
        }
    }
}

void task_core::acquire(std::int64_t number, task_actions& actions)
{
    shard& of = shards_.at(number);
    of.at = phase::acquiring;
    const std::string key = task_keys::holder(number);
    send_for(of,
             kv_transaction{.compares = {{.key = key,
                                          .of = kv_compare::number::version,
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
    shard& of = shards_.at(number);
    of.at = phase::foreign;
    if (answer.how == kv_answer::state::done && answer.succeeded)
    {
        of.epoch = answer.revision;
        load(number, actions);
    }
}

void task_core::load(std::int64_t number, task_actions& actions)
{
    shard& of = shards_.at(number);
    of.at = phase::loading;
    send_for(of, kv_range{.key = task_keys::all_of(number), .prefix = true},
             actions);
}

void task_core::after_load(time_point now, std::int64_t number,
                           const kv_answer& answer, task_actions& actions)
{
    shard& of = shards_.at(number);
    if (answer.how != kv_answer::state::done)
    {
        of.again = kv_range{.key = task_keys::all_of(number), .prefix = true};
        of.retry_at = now + options_.retry;
        return;
    }
    of.book = shard_tasks{};
    of.next_segment = 1;
    of.since_snapshot = 0;
    of.snapshot_revision = 0;
    for (const kv_item& item : answer.items)
    {
        if (item.key == task_keys::snapshot(number))
        {
            const json document = json::parse(item.value);
            of.snapshot_revision = item.mod_revision;
            of.book = shard_tasks::parse(document.at("book"));
            of.next_segment = document.at("next_segment").get<std::int64_t>();
        }
    }
    for (const kv_item& item : answer.items)
    {
        const std::string prefix = task_keys::segments(number);
        if (!item.key.starts_with(prefix))
        {
            continue;
        }
        const std::int64_t sequence =
            std::stoll(item.key.substr(prefix.size()));
        if (sequence < of.next_segment)
        {
            continue; // in the snapshot already
        }
        const json segment = json::parse(item.value);
        for (const json& step : segment.at("steps"))
        {
            of.book.apply(step.get<task_transition>());
        }
        of.next_segment = sequence + 1;
        ++of.since_snapshot;
    }
    of.at = phase::held;
    actions.emplace_back(
        log_shard{.event = event_id::shard_taken, .shard = number});
}

void task_core::give_up(std::int64_t number, task_actions& actions)
{
    shard& of = shards_.at(number);
    const std::string key = task_keys::holder(number);
    actions.emplace_back(ask(
        kv_transaction{.compares = {{.key = key,
                                     .of = kv_compare::number::create_revision,
                                     .equals = of.epoch}},
                       .puts = {},
                       .deletes = {{.key = key}}}));
    drop(number, false, actions);
}

void task_core::drop(std::int64_t number, bool may_be_written,
                     task_actions& actions)
{
    shard& of = shards_.at(number);
    refuse_calls(of, may_be_written, actions);
    if (of.token)
    {
        shard_of_token_.erase(*of.token);
    }
    const bool was_held = of.at == phase::held;
    of = shard{};
    if (was_held)
    {
        actions.emplace_back(
            log_shard{.event = event_id::shard_lost, .shard = number});
    }
}

void task_core::on_drain(time_point now, task_actions& actions)
{
    draining_ = true;
    next_look_ = now;
    poll_shard_holders(now, actions);
}

// ---------------------------------------------------------------------------
// Answers of the store
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
            drop_all(actions);
        }
        return;
    }
    if (shard_poll_token_ == token)
    {
        shard_poll_token_.reset();
        if (answered)
        {
            seen_shards_ = answer;
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
    shard& of = shards_.at(number);
    of.token.reset();
    switch (of.at)
    {
    case phase::acquiring:
        after_acquire(number, answer, actions);
        break;
    case phase::loading:
        after_load(now, number, answer, actions);
        break;
    case phase::held:
        after_commit(now, number, answer, actions);
        break;
    case phase::foreign:
        break;
    }
}

} // namespace springstair
