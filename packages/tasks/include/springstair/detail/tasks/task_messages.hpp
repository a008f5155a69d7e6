#pragma once

#include <springstair/detail/tasks/shard_tasks.hpp>

#include <string>

namespace springstair
{

/// @brief Entry to guard: run this attempt. Idempotent.
struct start_task
{
    task_spec spec;
    std::int64_t attempt = 0;
    std::string incarnation; ///< of the addressed guard
    std::string checkpoint;
    std::int64_t shard = 0;
    std::int64_t epoch = 0; ///< increases with each owner of the shard

    bool operator==(const start_task&) const = default;
};

/// @brief Entry to guard: stop this attempt, whether or not it has started.
struct stop_task
{
    std::string task;
    std::int64_t attempt = 0;
    std::int64_t shard = 0;
    std::int64_t epoch = 0;
    bool keep_checkpoint = false; ///< true: eviction; false: cancel

    bool operator==(const stop_task&) const = default;
};

/// @brief Guard to entry: reply to a start or a stop.
struct task_reply
{
    bool accepted = false;
    std::string reason; ///< of the refusal; for a stop also `not_here`

    bool operator==(const task_reply&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_task, spec, attempt, incarnation,
                                   checkpoint, shard, epoch)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stop_task, task, attempt, shard, epoch,
                                   keep_checkpoint)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_reply, accepted, reason)

} // namespace springstair
