#pragma once

#include <springstair/core.hpp>

namespace springstair
{

/// @brief Bounds of the capacity that urgent tasks may take from long-running
/// ones.
struct urgent_room_options
{
    /// For how long urgent tasks may use capacity that is reserved for a
    /// waiting long-running step. The platform requires that such a step starts
    /// within 3 s where there is room for it twice over.
    duration lasting_patience = std::chrono::milliseconds(2000);
    /// Wait of an urgent task after which a long-running run may yield to it:
    /// the smallest latency target of an urgent queue.
    duration yield_after = std::chrono::milliseconds(250);

    bool operator==(const urgent_room_options&) const = default;
};

} // namespace springstair
