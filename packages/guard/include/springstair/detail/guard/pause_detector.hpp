#pragma once

#include <springstair/core.hpp>

namespace springstair
{

/// @brief Detects that this process did not run for a while.
///
/// Its VM may have been suspended then. The boot clock counts that time, but a
/// steady clock on the same VM does not. Whether the VM was suspended, or only
/// the process was stopped, cannot be told apart reliably; callers assume the
/// former.
class pause_detector
{
public:
    /// Longest interval between two readings of a running process. Guards
    /// allow for this much more on top of a lease.
    static constexpr duration max_interval = std::chrono::milliseconds(100);

    /// @param started when the process started
    explicit pause_detector(time_point started) noexcept : last_(started) {}

    /// @brief Records a reading of the clock.
    /// @return the time since the previous reading if it is a pause, else 0
    duration observe(time_point now) noexcept
    {
        const duration interval = now - last_;
        last_ = now;
        return interval > max_interval ? interval : duration{0};
    }

private:
    time_point last_;
};

} // namespace springstair
