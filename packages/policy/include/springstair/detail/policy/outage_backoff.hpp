#pragma once

#include <springstair/core.hpp>

#include <algorithm>
#include <optional>

namespace springstair
{

/// @brief Bounds of the retry time during a store outage.
struct outage_backoff_options
{
    /// Also the retry time of callers refused for any other reason.
    duration shortest = std::chrono::seconds(1);
    /// The four retries of a caller outlast an outage of 9 s: with whole
    /// seconds rounded up, they wait at least 1 + 2 + 3 + 3 s.
    duration longest = std::chrono::seconds(3);

    bool operator==(const outage_backoff_options&) const = default;
};

/// @brief Retry time of callers that are refused while the store does not serve
/// this entry.
///
/// Load: a store outage of 3 to 9 s, during which each caller makes up to four
/// retries. An outage is expected to last as long again as it already has, so
/// the retry time is its duration so far, within the bounds.
class outage_backoff
{
public:
    /// @param options bounds of the retry time
    explicit outage_backoff(outage_backoff_options options = {})
        : options_(options)
    {
    }

    /// @brief The retry time of a caller that is refused now.
    /// @param since start of the outage; nothing if the store serves this entry
    [[nodiscard]] duration retry_after(std::optional<time_point> since,
                                       time_point now) const
    {
        return since ? std::clamp<duration>(now - *since, options_.shortest,
                                            options_.longest)
                     : options_.shortest;
    }

private:
    outage_backoff_options options_;
};

} // namespace springstair
