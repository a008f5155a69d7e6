#pragma once

#include <springstair/jobs.hpp>

#include <string>
#include <vector>

namespace springstair
{

/// @brief Bounds of the closure of a data centre.
///
/// No start reaches its executor later than @ref close_within after the store
/// has acknowledged a closure, if no delay on the way exceeds those counted
/// here: the closure may be acknowledged just after the leader last saw the
/// data centre open, a watch may miss it, and the order is still to be
/// delivered.
struct closing_options
{
    /// No run begins later than this after the store has acknowledged a closure
    /// (platform setting). Zero: data centres are never closed.
    duration close_within{0};
    /// Maximum time for which a watch receives nothing while the store compacts
    /// its history (platform).
    duration max_watch_outage = std::chrono::milliseconds(1000);
    /// Maximum time from a guard's last reading of its clock to the executor: a
    /// call of 300 ms, and the drift of two clocks.
    duration delivery = std::chrono::milliseconds(500);
};

/// @brief Data centres whose state has changed.
struct closing_change
{
    std::vector<std::string> closed;
    std::vector<std::string> opened;

    bool operator==(const closing_change&) const = default;
};

/// @brief The closed data centres, and until when starts may rely on this list.
class closure_tracker
{
public:
    explicit closure_tracker(closing_options options = {});

    /// @brief Replaces the list. An older list changes nothing.
    closing_change take(const closed_data_centres& known);

    /// @brief Whether no run may begin in a data centre.
    [[nodiscard]] bool is_closed(const std::string& data_centre) const;
    /// @brief All closed data centres.
    [[nodiscard]] const std::set<std::string>& closed() const noexcept
    {
        return known_.names;
    }
    /// @brief When the list last matched the store.
    [[nodiscard]] time_point known_at() const noexcept
    {
        return known_.as_of;
    }
    /// @brief Starts that rely on the present list are void from this time on.
    [[nodiscard]] time_point starts_until() const noexcept;

private:
    closing_options options_;
    closed_data_centres known_;
};

} // namespace springstair
