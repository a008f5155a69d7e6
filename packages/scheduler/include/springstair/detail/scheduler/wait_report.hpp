#pragma once

#include <springstair/detail/scheduler/placement.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace springstair
{

/// @brief Why a task finds no worker: the furthest of these tests that any
/// worker reached and failed.
enum class wait_cause : std::uint8_t
{
    no_worker, ///< no worker of the service accepts runs now
    closed,    ///< none accepts runs; some are in a closed data centre
    label,     ///< none that accepts runs has the label
    size,      ///< its demand exceeds the capacity of each of those
    lasting,   ///< long-running tasks leave too little capacity
    room,      ///< capacity is free only once shorter runs have ended
    bound,     ///< where it fits, its step is at its bound per worker
    ticket,    ///< where it fits, it has no ticket
    /// Best-effort tasks only: where it fits, interference is too strong or too
    /// few processors are left over.
    harm,
    /// Some worker passes the tests above, but its capacity is reserved for
    /// another task or held for urgent ones.
    reserved,
    gang,  ///< one member fits, but not all at the same time
    trials ///< it must be isolated, and its reserved worker is not ready
};

/// @brief The name of a cause, as shown in logs and metrics.
std::string_view to_string(wait_cause value) noexcept;

/// @brief Why a task waits, for the log.
struct wait_report
{
    wait_cause cause = wait_cause::no_worker;
    std::int64_t workers = 0; ///< that accept runs of its service
    /// Most free processors on one of them, in thousandths.
    std::int64_t free_millis = 0;
    /// The same once all runs but the long-running ones have ended.
    std::int64_t free_in_time_millis = 0;

    bool operator==(const wait_report&) const = default;
};

/// @brief Searches all workers for the reason why a task waits.
wait_report explain_wait(const worker_map& workers,
                         const placement_query& query,
                         const placement_options& options);

/// @brief Limits the rate at which the wait of a step is logged.
class wait_log
{
public:
    /// @brief Whether to log a step's wait now: at most once per @p gap.
    bool is_due(const std::string& group, time_point now, duration gap);

private:
    std::map<std::string, time_point> last_logged_;
    /// When entries of steps logged long ago are dropped.
    time_point next_cleaning_{};
};

} // namespace springstair
