#pragma once

#include <springstair/store.hpp>
#include <springstair/tasks.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief A record of a journal that is missing or cannot be parsed.
struct unreadable_record
{
    std::string key; ///< in the store
    std::string why;

    bool operator==(const unreadable_record&) const = default;
};

/// @brief A shard that is not served because a record cannot be read.
struct unreadable_shard
{
    std::int64_t shard = 0;
    unreadable_record record;

    bool operator==(const unreadable_shard&) const = default;
};

/// @brief The journal of a shard, as far as it can be read.
struct task_journal
{
    shard_tasks tasks; ///< before the unreadable record, if there is one
    std::int64_t next_segment = 1;
    std::int64_t segments_since_snapshot = 0;
    std::int64_t snapshot_revision = 0; ///< 0: no snapshot
    /// The first unreadable record. The transitions in it and after it are not
    /// applied.
    std::optional<unreadable_record> unreadable;

    bool operator==(const task_journal&) const = default;
};

/// @brief Replays the snapshot and the segments of a shard. Never throws on
/// the content of a record.
/// @param shard number of the shard
/// @param items all keys of the shard, in any order
task_journal read_task_journal(std::int64_t shard,
                               const std::vector<kv_item>& items);

} // namespace springstair
