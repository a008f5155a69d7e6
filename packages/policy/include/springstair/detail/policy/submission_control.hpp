#pragma once

#include <springstair/core.hpp>

namespace springstair
{

/// @brief Bounds of the refusal of submissions for load.
struct submission_options
{
    /// Older knowledge of the backlog admits everything: the interval of an
    /// entry's heartbeats to the leader, 2 s, and their delay.
    duration max_age = std::chrono::milliseconds(2500);

    bool operator==(const submission_options&) const = default;
};

} // namespace springstair
