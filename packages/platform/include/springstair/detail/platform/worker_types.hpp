#pragma once

#include <springstair/tasks.hpp>

#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief A task attempt's name: the task, and the attempt's number.
using task_attempt = std::pair<std::string, std::int64_t>;

/// @brief A task attempt as the worker lists it.
struct listed_task
{
    /// @brief What the worker says of it.
    enum class state : std::uint8_t
    {
        running,
        finished,
        failed,
        lapsed,      ///< its lease ran out; the worker stopped it
        stopped,     ///< stopped on our word
        checkpointed ///< stopped on our word, to be resumed
    };

    task_attempt name;
    state how = state::running;
    resources needs;
    std::string detail; ///< result, error or checkpoint

    bool operator==(const listed_task&) const = default;
};

/// @copydoc to_string(class_kind)
std::string_view to_string(listed_task::state value) noexcept;

/// @brief Have the worker start an attempt under a lease.
struct worker_start
{
    start_task what;
    duration not_after{0}; ///< on the worker's clock; refused later
    bool operator==(const worker_start&) const = default;
};

/// @brief Have the worker stop an attempt.
struct worker_stop
{
    task_attempt name;
    bool keep_checkpoint = false;
    bool operator==(const worker_stop&) const = default;
};

/// @brief Have the worker forget attempts whose end is on record.
struct worker_forget
{
    std::vector<task_attempt> names;
    bool operator==(const worker_forget&) const = default;
};

/// @brief Have the worker extend the leases of running attempts.
struct worker_renew
{
    std::vector<task_attempt> names;
    bool operator==(const worker_renew&) const = default;
};

/// @brief What the guard asks of its worker next.
using worker_action =
    std::variant<worker_start, worker_stop, worker_forget, worker_renew>;

/// @brief Several of them, in order.
using worker_actions = std::vector<worker_action>;

/// @brief All that a worker says of itself.
struct worker_list
{
    std::set<std::string> requests; ///< attempts its executor works on
    std::vector<listed_task> tasks;
    duration clock{0}; ///< the worker's own reading

    bool operator==(const worker_list&) const = default;
};

/// @brief A VM on the platform's lagging list.
struct listed_vm
{
    std::string name;
    std::string address; ///< of our process on it
    std::string role;    ///< entry or guard
    bool leaving = false;

    bool operator==(const listed_vm&) const = default;
};

} // namespace springstair
