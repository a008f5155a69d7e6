#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace springstair
{

/// @brief Tag of the clock that counts while the machine is suspended.
///
/// Readings are comparable on one machine only; between machines only
/// durations travel.
struct boot_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    /// @brief The present reading of CLOCK_BOOTTIME.
    static time_point now() noexcept;
};

/// @brief Resolution of every duration inside a process: microseconds.
using duration = boot_clock::duration;

/// @brief A reading of the boot clock.
using time_point = boot_clock::time_point;

/// @brief Anything that tells the present time.
template <class Clock>
concept clock_source = requires(const Clock& clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

/// @brief The clock of a running daemon.
class system_clock_source
{
public:
    /// @brief The present time. @return a reading of the boot clock
    [[nodiscard]] time_point now() const noexcept
    {
        return boot_clock::now();
    }
};

/// @brief A clock that stands still until a test advances it.
class manual_clock
{
public:
    /// @brief The time the test has set.
    [[nodiscard]] time_point now() const noexcept
    {
        return now_;
    }

    /// @brief Moves the clock forward. @param step how far
    void advance(duration step) noexcept
    {
        now_ += step;
    }

private:
    time_point now_{std::chrono::hours(1)};
};

/// @brief Whole milliseconds of a duration, rounded down.
constexpr std::int64_t to_milliseconds(duration value) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// @brief Seconds of a duration as a real number.
constexpr double to_seconds(duration value) noexcept
{
    return std::chrono::duration<double>(value).count();
}

/// @brief A duration from seconds as a real number.
constexpr duration from_seconds(double seconds) noexcept
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

} // namespace springstair
