#pragma once

#include <springstair/core.hpp>

#include <compare>
#include <string>
#include <utility>

namespace springstair
{

/// @brief One incarnation of an executor.
///
/// An executor may restart with the same id. It then has no runs and no state,
/// and its counters start again: the numbers of its ends and heartbeats, its
/// clock, the highest epoch that it has seen. Calls name an executor by its id
/// alone, so a call meant for one incarnation can reach the next. Only an
/// executor's description of itself and its lists of runs show which
/// incarnation answers.
struct executor_incarnation
{
    executor_incarnation() = default;
    /// @brief An incarnation of an executor that does not report its start
    /// time.
    executor_incarnation(std::string executor) : id(std::move(executor)) {}
    /// @copydoc executor_incarnation(std::string)
    executor_incarnation(const char* executor) : id(executor) {}
    executor_incarnation(std::string executor, std::int64_t born)
        : id(std::move(executor)), born_ms(born)
    {
    }

    std::string id; ///< id of the executor; empty: none is known
    /// Unix time of its start; 0: not reported. Distinguishes incarnations but
    /// does not order them: the time of day may be set back.
    std::int64_t born_ms = 0;

    auto operator<=>(const executor_incarnation&) const = default; // NOLINT

    [[nodiscard]] bool empty() const noexcept
    {
        return id.empty();
    }
    /// @brief Whether both may be the same incarnation: they are equal, or have
    /// the same id and one has no start time, as in a record of an older
    /// version.
    [[nodiscard]] bool may_be(const executor_incarnation& other) const noexcept
    {
        return id == other.id &&
               (born_ms == other.born_ms || born_ms == 0 || other.born_ms == 0);
    }
    /// @brief For the log: the id, and the start time if known.
    [[nodiscard]] std::string text() const
    {
        return born_ms == 0 ? id : id + "@" + std::to_string(born_ms);
    }
};

/// @brief Writes an incarnation as two members of a message. Older versions
/// read only the first one.
inline void put_incarnation(json& message, const executor_incarnation& executor)
{
    message["life"] = executor.id;
    if (executor.born_ms != 0)
    {
        message["born_ms"] = executor.born_ms;
    }
}

/// @brief Reads what put_incarnation() or an older version wrote.
inline executor_incarnation incarnation_in(const json& message)
{
    return {message.value("life", std::string()),
            message.value("born_ms", std::int64_t{0})};
}

} // namespace springstair
