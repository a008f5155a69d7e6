#pragma once

#include <springstair/core.hpp>

#include <compare>
#include <string>
#include <utility>

namespace springstair
{

/// @brief One life of an executor.
///
/// An executor may start again under the id that it had. It then holds and
/// knows nothing of before, and its counts begin anew: the numbers of its ends
/// and heartbeats, its clock, the highest epoch that it has seen. Calls name an
/// executor by its id alone, so a call that is meant for one life can reach the
/// next; only what an executor says of itself and its lists of runs tell which
/// life speaks.
struct executor_incarnation
{
    executor_incarnation() = default;
    /// @brief The life of an executor that does not tell when it was born.
    executor_incarnation(std::string executor) : id(std::move(executor)) {}
    /// @copydoc executor_incarnation(std::string)
    executor_incarnation(const char* executor) : id(executor) {}
    executor_incarnation(std::string executor, std::int64_t born)
        : id(std::move(executor)), born_ms(born)
    {
    }

    std::string id; ///< of the executor; empty: none is known
    /// Unix time of its start; 0: not told. It tells lives apart and does not
    /// order them: the time of day may step back.
    std::int64_t born_ms = 0;

    auto operator<=>(const executor_incarnation&) const = default; // NOLINT

    [[nodiscard]] bool empty() const noexcept
    {
        return id.empty();
    }
    /// @brief Whether it may be the same life: it is, or one of the two comes
    /// from who does not tell births, like a record of an older version.
    [[nodiscard]] bool may_be(const executor_incarnation& other) const noexcept
    {
        return id == other.id &&
               (born_ms == other.born_ms || born_ms == 0 || other.born_ms == 0);
    }
    /// @brief For the log: the id, and the birth where it is told.
    [[nodiscard]] std::string text() const
    {
        return born_ms == 0 ? id : id + "@" + std::to_string(born_ms);
    }
};

/// @brief Writes a life as two members of a message. Older versions read the
/// first one alone.
inline void put_incarnation(json& to, const executor_incarnation& executor)
{
    to["life"] = executor.id;
    if (executor.born_ms != 0)
    {
        to["born_ms"] = executor.born_ms;
    }
}

/// @brief Reads what put_incarnation() wrote, or an older version.
inline executor_incarnation incarnation_in(const json& from)
{
    return {from.value("life", std::string()),
            from.value("born_ms", std::int64_t{0})};
}

} // namespace springstair
