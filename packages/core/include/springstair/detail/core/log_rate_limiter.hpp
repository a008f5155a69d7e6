#pragma once

#include <springstair/detail/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace springstair
{

/// @brief Bounds of a process's log.
struct log_rate_options
{
    /// Lines a second in the long run: a holder at a thousand starts a second
    /// writes the most, and a line costs about 20 us.
    double lines_a_second = 400;
    /// Lines at once, after a quiet time: an office that begins tells of each
    /// worker and job.
    double burst = 2000;
};

/// @brief Decides which lines are written, and counts those that are not.
class log_rate_limiter
{
public:
    explicit log_rate_limiter(log_rate_options options = {})
        : options_(options), left_(options.burst)
    {
    }

    /// @brief Whether a line may be written now. @param writable whether the
    /// output takes it without waiting
    bool admit(time_point now, bool writable)
    {
        const double earned = to_seconds(std::max(now - last_, duration{0})) *
                              options_.lines_a_second;
        left_ = std::min(options_.burst, left_ + earned);
        last_ = std::max(last_, now);
        if (!writable || left_ < 1)
        {
            ++dropped_;
            return false;
        }
        left_ -= 1;
        return true;
    }

    /// @brief Lines that were not written, since the start.
    [[nodiscard]] std::int64_t dropped() const noexcept
    {
        return dropped_;
    }

private:
    log_rate_options options_;
    double left_;
    time_point last_{};
    std::int64_t dropped_ = 0;
};

} // namespace springstair
