#pragma once

#include <springstair/membership.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief A task as submitted by a workspace.
struct task_spec
{
    std::string id; ///< `t<shard>-<random>`, assigned at submission
    class_name of;
    resources needs;
    std::int64_t run_ms = 0; ///< as declared; often far from the actual time
    bool urgent = false;     ///< placed before the workspace's other tasks
    std::string payload;     ///< passed to the worker unparsed

    bool operator==(const task_spec&) const = default;
};

/// @brief The state of a task.
enum class task_state : std::uint8_t
{
    queued,
    placed, ///< assigned to a guard that runs or will run it
    finished,
    failed,
    cancelled
};

/// @copydoc to_string(class_kind)
std::string_view to_string(task_state value) noexcept;

/// @brief Whether a task never leaves this state.
constexpr bool is_final(task_state state) noexcept
{
    return state != task_state::queued && state != task_state::placed;
}

/// @brief The state and history of a task.
struct task_record
{
    task_spec spec;
    task_state state = task_state::queued;
    std::int64_t attempt = 0; ///< number of the last placed attempt
    std::string guard;        ///< where it was last placed
    std::string incarnation;  ///< of that guard at the time
    std::string checkpoint; ///< to resume from; empty: start from the beginning
    std::int64_t failures = 0;
    std::int64_t evictions = 0;
    std::string detail; ///< the result, or the reason of the failure

    bool operator==(const task_record&) const = default;
};

/// @brief A state transition of a task, as stored in the journal.
struct task_transition
{
    /// @brief The kinds of transitions.
    enum class step : std::uint8_t
    {
        accept,
        place,
        evict, ///< stopped with a checkpoint; resumed later
        lose,  ///< the attempt ended without a result or will never start
        retry, ///< the attempt failed; another one follows
        finish,
        fail,
        cancel
    };

    step what = step::accept;
    std::string task;
    std::int64_t attempt = 0;
    std::string guard;
    std::string incarnation;
    std::string detail; ///< result, reason or checkpoint
    std::optional<task_spec> spec;

    bool operator==(const task_transition&) const = default;
};

/// @copydoc to_string(class_kind)
std::string_view to_string(task_transition::step value) noexcept;

/// @brief The tasks of one shard, as recorded in the journal.
///
/// The same transitions in the same order produce the same tasks on every
/// entry. A transition that is invalid in the current state is ignored, so
/// replay is idempotent.
class shard_tasks
{
public:
    /// @brief Maximum number of ended tasks that stay recorded.
    static constexpr std::size_t kept_ended = 500;

    /// @brief Applies a transition.
    /// @return whether it was valid in the task's current state
    bool apply(const task_transition& step);
    /// @brief A task's record, or null.
    [[nodiscard]] const task_record* find(const std::string& task) const;
    /// @brief All tasks by id.
    [[nodiscard]] const std::map<std::string, task_record>& all() const noexcept
    {
        return records_;
    }
    /// @brief Serializes all tasks.
    [[nodiscard]] json to_document() const;
    /// @brief Parses the output of to_document().
    /// @throw json::exception if the document is malformed
    static shard_tasks parse(const json& document);

    bool operator==(const shard_tasks&) const = default;

private:
    void end(task_record& record, task_state state, const std::string& detail);

    std::map<std::string, task_record> records_;
    std::deque<std::string> ended_; ///< oldest first
};

void to_json(json& document, const task_spec& value);
void from_json(const json& document, task_spec& value);
void to_json(json& document, const task_record& value);
void from_json(const json& document, task_record& value);
void to_json(json& document, const task_transition& value);
void from_json(const json& document, task_transition& value);

/// @brief The shard number in a task's id; std::nullopt if it is no valid id.
std::optional<std::int64_t> shard_of(const std::string& task);

} // namespace springstair
