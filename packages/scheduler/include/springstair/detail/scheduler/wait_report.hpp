#pragma once

#include <springstair/detail/scheduler/placement.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace springstair
{

/// @brief Why a task finds no worker: the last test that any worker failed,
/// in this order.
enum class wait_cause : std::uint8_t
{
    no_worker, ///< none of the service takes runs now
    closed,    ///< those that might are in data centres that are closed
    label,     ///< none of those has the label
    size,      ///< it is larger than each of those
    lasting,   ///< nothing is large enough beside what lasts there
    room,      ///< there will be room once shorter runs have ended
    bound,     ///< where there is room, its step is at its bound
    ticket,    ///< where there is room, the advice lets it not run
    harm,      ///< where there is room, those that serve do not bear it
    gang,      ///< there is room for a member, not for all of them at once
    trials     ///< it may crash its executor, and others are tried before it
};

/// @brief The name of a cause, as logs and metrics show it.
std::string_view to_string(wait_cause value) noexcept;

/// @brief What keeps a task waiting, for the log.
struct wait_report
{
    wait_cause cause = wait_cause::no_worker;
    std::int64_t workers = 0; ///< that take runs of its service
    /// Most processors that are free at one of them, in thousandths.
    std::int64_t free_millis = 0;
    /// The same once all runs but lasting ones have ended.
    std::int64_t free_in_time_millis = 0;

    bool operator==(const wait_report&) const = default;
};

/// @brief Looks through all workers for what keeps a task waiting.
wait_report explain_wait(const worker_map& workers,
                         const placement_query& query,
                         const placement_options& options);

/// @brief Bounds how often the wait of one step is told.
class wait_log
{
public:
    /// @brief Whether to tell of a step's wait now; true once a @p gap.
    bool is_due(const std::string& group, time_point now, duration gap);

private:
    std::map<std::string, time_point> told_;
    time_point next_cleaning_{}; ///< of steps that were told long ago
};

} // namespace springstair
