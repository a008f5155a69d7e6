#pragma once

#include <springstair/jobs.hpp>

#include <string>
#include <vector>

namespace springstair
{

/// @brief Bounds of a closure of a data centre.
///
/// A start reaches its executor within @ref close_within of the store's
/// acknowledgement of the closure only if nothing on the way takes longer
/// than what is counted here: the closure may be acknowledged just after the
/// holder last heard that the data centre is open, a watch may be deaf to it,
/// and the order is still to be delivered.
struct closing_options
{
    /// No run begins later than this after the store has acknowledged a
    /// closure (platform setting). Zero: data centres are never closed.
    duration close_within{0};
    /// A watch may hear nothing for so long while the store drops its history
    /// (platform).
    duration deaf_watch = std::chrono::milliseconds(1000);
    /// From a guard's last look at its clock to the executor: a call of 300
    /// ms, and the drift of two clocks.
    duration delivery = std::chrono::milliseconds(500);
};

/// @brief What changed with newer knowledge.
struct closing_change
{
    std::vector<std::string> closed;
    std::vector<std::string> opened;

    bool operator==(const closing_change&) const = default;
};

/// @brief Which data centres are closed to new runs, and until when starts
/// may be decided by that.
class closure_tracker
{
public:
    explicit closure_tracker(closing_options options = {});

    /// @brief Takes over what is known. Older knowledge changes nothing.
    closing_change take(const closed_data_centres& known);

    /// @brief Whether no run is to begin there.
    [[nodiscard]] bool is_closed(const std::string& data_centre) const;
    /// @brief All that are closed.
    [[nodiscard]] const std::set<std::string>& closed() const noexcept
    {
        return known_.names;
    }
    /// @brief When the store was last known to have no other entries.
    [[nodiscard]] time_point known_at() const noexcept
    {
        return known_.known_at;
    }
    /// @brief Starts decided by what is known are void from then on.
    [[nodiscard]] time_point starts_until() const noexcept;

private:
    closing_options options_;
    closed_data_centres known_;
};

} // namespace springstair
