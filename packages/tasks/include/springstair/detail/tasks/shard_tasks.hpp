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

/// @brief What a workspace asks to have run.
struct task_spec
{
    std::string id; ///< `t<shard>-<random>`, given at submission
    class_name of;
    resources needs;
    std::int64_t run_ms = 0; ///< as declared; often far from the truth
    bool urgent = false;     ///< to start within 1.9 s, by evicting if need be
    std::string payload;     ///< handed to the worker unread

    bool operator==(const task_spec&) const = default;
};

/// @brief Where a task stands.
enum class task_state : std::uint8_t
{
    queued,
    placed, ///< given to a guard, which runs it or will
    finished,
    failed,
    cancelled
};

/// @copydoc to_string(class_kind)
std::string_view to_string(task_state value) noexcept;

/// @brief Whether nothing more happens to a task in this state.
constexpr bool is_final(task_state state) noexcept
{
    return state != task_state::queued && state != task_state::placed;
}

/// @brief All that is on record about a task.
struct task_record
{
    task_spec spec;
    task_state state = task_state::queued;
    std::int64_t attempt = 0; ///< number of the last one placed
    std::string guard;        ///< where it was placed last
    std::string incarnation;  ///< of that guard then
    std::string checkpoint;   ///< to resume from; empty: from the start
    std::int64_t failures = 0;
    std::int64_t evictions = 0;
    std::string detail; ///< the result, or why it failed

    bool operator==(const task_record&) const = default;
};

/// @brief One step of a task, as the journal keeps it.
struct task_transition
{
    /// @brief What the step is.
    enum class step : std::uint8_t
    {
        accept,
        place,
        evict, ///< stopped with a checkpoint, to be resumed
        lose,  ///< known to have died without a result
        retry, ///< it failed, and may fail elsewhere or not
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

/// @brief The tasks of one shard, as the journal tells them.
///
/// Applying the same transitions in the same order gives the same book, at
/// whichever entry. A transition that does not follow from the present
/// state is passed over, so replaying is harmless.
class shard_tasks
{
public:
    /// @brief How many ended tasks are remembered.
    static constexpr std::size_t kept_ended = 500;

    /// @brief Applies a step. @return whether it followed from the state
    bool apply(const task_transition& step);
    /// @brief A task's record, or null.
    [[nodiscard]] const task_record* find(const std::string& task) const;
    /// @brief All tasks by id.
    [[nodiscard]] const std::map<std::string, task_record>& all() const noexcept
    {
        return records_;
    }
    /// @brief The whole book as a document, and back.
    [[nodiscard]] json to_document() const;
    /// @brief Reads to_document()'s document.
    /// @throw nlohmann's exceptions if it is not one
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

/// @brief The shard in a task's id, or nothing if it is not an id.
std::optional<std::int64_t> shard_of(const std::string& task);

} // namespace springstair
