#pragma once
/// @file
/// In-memory implementation of the store for tests of the state machines.

#include <springstair/store.hpp>

#include <map>

namespace springstair
{

/// @brief A key-value store with compare-and-swap and leases.
class memory_store
{
public:
    /// @brief Executes an operation.
    /// @param now time on the store's clock
    kv_answer call(time_point now, const kv_operation& operation)
    {
        expire_leases(now);
        return std::visit([&](const auto& one) { return apply(now, one); },
                          operation);
    }

    /// @brief All items by key, for checks.
    [[nodiscard]] const std::map<std::string, kv_item>& items() const
    {
        return items_;
    }

private:
    struct lease_state
    {
        std::int64_t ttl_seconds = 0;
        time_point until;
    };

    kv_answer done() const
    {
        return {.how = kv_answer::state::done, .revision = revision_};
    }

    void expire_leases(time_point now)
    {
        for (auto lease = leases_.begin(); lease != leases_.end();)
        {
            if (now < lease->second.until)
            {
                ++lease;
                continue;
            }
            std::erase_if(items_, [&](const auto& item)
                          { return lease_of_[item.first] == lease->first; });
            lease = leases_.erase(lease);
        }
    }

    static bool matches(const kv_range& range, const std::string& key)
    {
        return range.prefix ? key.starts_with(range.key) : key == range.key;
    }

    kv_answer apply(time_point /*now*/, const kv_range& range) const
    {
        kv_answer answer = done();
        for (const auto& [key, item] : items_)
        {
            if (matches(range, key) &&
                item.mod_revision >= range.min_mod_revision)
            {
                answer.items.push_back(item);
            }
        }
        return answer;
    }

    bool holds(const kv_compare& compare) const
    {
        const auto found = items_.find(compare.key);
        const kv_item item = found == items_.end() ? kv_item{} : found->second;
        switch (compare.target)
        {
        case kv_compare::number::version:
            return (found == items_.end()) == (compare.equals == 0);
        case kv_compare::number::create_revision:
            return item.create_revision == compare.equals;
        case kv_compare::number::mod_revision:
            break;
        }
        return item.mod_revision == compare.equals;
    }

    kv_answer apply(time_point /*now*/, const kv_transaction& transaction)
    {
        for (const kv_compare& compare : transaction.compares)
        {
            if (!holds(compare))
            {
                return done();
            }
        }
        for (const kv_put& put : transaction.puts)
        {
            if (put.lease != 0 && !leases_.contains(put.lease))
            {
                return done();
            }
        }
        ++revision_;
        for (const kv_put& put : transaction.puts)
        {
            kv_item& item = items_[put.key];
            item.create_revision =
                item.key.empty() ? revision_ : item.create_revision;
            item.key = put.key;
            item.mod_revision = revision_;
            item.value = put.value;
            lease_of_[put.key] = put.lease;
        }
        for (const kv_range& range : transaction.deletes)
        {
            std::erase_if(items_, [&](const auto& item)
                          { return matches(range, item.first); });
        }
        kv_answer answer = done();
        answer.succeeded = true;
        return answer;
    }

    kv_answer apply(time_point now, const kv_grant& grant)
    {
        kv_answer answer = done();
        answer.lease = ++next_lease_;
        answer.ttl_seconds = grant.ttl_seconds;
        leases_[answer.lease] = {grant.ttl_seconds,
                                 now + std::chrono::seconds(grant.ttl_seconds)};
        return answer;
    }

    kv_answer apply(time_point now, const kv_keep_alive& renewal)
    {
        kv_answer answer = done();
        const auto found = leases_.find(renewal.lease);
        if (found != leases_.end())
        {
            const std::int64_t ttl = found->second.ttl_seconds;
            found->second.until = now + std::chrono::seconds(ttl);
            answer.ttl_seconds = ttl;
        }
        return answer;
    }

    std::map<std::string, kv_item> items_;
    std::map<std::string, std::int64_t> lease_of_;
    std::map<std::int64_t, lease_state> leases_;
    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 0;
};

} // namespace springstair
