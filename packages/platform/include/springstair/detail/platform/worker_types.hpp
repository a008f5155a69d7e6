#pragma once

#include <springstair/tasks.hpp>

#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief Identifies a task attempt: task id and attempt number.
using task_attempt = std::pair<std::string, std::int64_t>;

/// @brief A task attempt in the list of a worker.
struct listed_task
{
    /// @brief The state that the worker reports.
    enum class state : std::uint8_t
    {
        running,
        finished,
        failed,
        lapsed,      ///< its lease expired; the worker stopped it
        stopped,     ///< stopped on request
        checkpointed ///< stopped on request, to be resumed
    };

    task_attempt name;
    state how = state::running;
    resources needs;
    std::string detail; ///< result, error or checkpoint

    bool operator==(const listed_task&) const = default;
};

/// @copydoc to_string(class_kind)
std::string_view to_string(listed_task::state value) noexcept;

/// @brief Command to start an attempt under a lease.
struct worker_start
{
    start_task request;
    duration not_after{0}; ///< on the worker's clock; refused after this
    bool operator==(const worker_start&) const = default;
};

/// @brief Command to stop an attempt.
struct worker_stop
{
    task_attempt name;
    bool keep_checkpoint = false;
    bool operator==(const worker_stop&) const = default;
};

/// @brief Command to forget attempts whose end is committed.
struct worker_forget
{
    std::vector<task_attempt> names;
    bool operator==(const worker_forget&) const = default;
};

/// @brief Command to extend the leases of running attempts.
struct worker_renew
{
    std::vector<task_attempt> names;
    bool operator==(const worker_renew&) const = default;
};

/// @brief A command of the guard to its worker.
using worker_action =
    std::variant<worker_start, worker_stop, worker_forget, worker_renew>;

/// @brief Commands in the order of their execution.
using worker_actions = std::vector<worker_action>;

/// @brief The state of a worker as reported by itself.
struct worker_list
{
    std::set<std::string> requests; ///< attempts in progress at its executor
    std::vector<listed_task> tasks;
    duration clock{0}; ///< the worker's clock

    bool operator==(const worker_list&) const = default;
};

/// @brief A VM in the platform's list, which lags behind the actual state.
struct listed_vm
{
    std::string name;
    std::string address; ///< of the springstair process on it
    std::string role;    ///< entry or guard
    bool leaving = false;

    bool operator==(const listed_vm&) const = default;
};

} // namespace springstair
