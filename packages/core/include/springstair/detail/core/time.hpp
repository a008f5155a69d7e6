#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace springstair
{

/// @brief Monotonic clock that also advances while the machine is suspended.
///
/// Time points are comparable on one machine only; messages between machines
/// carry durations instead.
struct boot_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @brief The current value of CLOCK_BOOTTIME.
    static time_point now() noexcept;
};

/// @brief Duration type used inside a process; resolution 1 us.
using duration = boot_clock::duration;

/// @brief A point in time on the boot clock.
using time_point = boot_clock::time_point;

/// @brief A type that provides the current time.
template <class Clock>
concept clock_source = requires(const Clock& clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

/// @brief The clock of a running daemon.
class boot_clock_source
{
public:
    /// @brief The current time on the boot clock.
    [[nodiscard]] time_point now() const noexcept
    {
        return boot_clock::now();
    }
};

/// @brief Clock for tests that advances only by advance().
class manual_clock
{
public:
    /// @brief The current simulated time.
    [[nodiscard]] time_point now() const noexcept
    {
        return now_;
    }

    /// @brief Advances the clock by @p step.
    void advance(duration step) noexcept
    {
        now_ += step;
    }

private:
    time_point now_{std::chrono::hours(1)};
};

/// @brief Converts to whole milliseconds, truncating towards zero.
constexpr std::int64_t to_milliseconds(duration value) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// @brief Converts to fractional seconds.
constexpr double to_seconds(duration value) noexcept
{
    return std::chrono::duration<double>(value).count();
}

/// @brief Converts from fractional seconds, truncating towards zero.
constexpr duration from_seconds(double seconds) noexcept
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace springstair
