#pragma once

#include <springstair/detail/core/time.hpp>

#include <algorithm>
#include <cstdint>

namespace springstair
{

/// @brief Rate limits of a process's log.
struct log_rate_options
{
    /// Sustained lines per second. The busiest writer is a leader with 1000
    /// starts per second; a line costs about 20 us.
    double lines_a_second = 400;
    /// Maximum burst, in lines: a new leader logs every worker and job at the
    /// start of its term.
    double burst = 2000;
};

/// @brief Token bucket that admits log lines and counts the dropped ones.
class log_rate_limiter
{
public:
    explicit log_rate_limiter(log_rate_options options = {})
        : options_(options), left_(options.burst)
    {
    }

    /// @brief Whether a line may be written now; if so, takes a token.
    /// @param writable whether the output accepts it without blocking
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

    /// @brief Number of lines dropped since construction.
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
