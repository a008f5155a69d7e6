#pragma once

#include <springstair/core.hpp>

#include <algorithm>
#include <random>

namespace springstair
{

/// @brief Limits of the retries that an entry may add to its load.
struct retry_budget_options
{
    double share = 0.1;    ///< retries earned per success
    double max_saved = 50; ///< maximum number of saved retries
};

/// @brief Limits retries to a share of recent successes, so that a failing
/// fleet receives at most 1 + share times the load offered by callers.
class retry_budget
{
public:
    /// @param options share and maximum
    explicit retry_budget(retry_budget_options options = {})
        : options_(options), saved_(options.max_saved)
    {
    }

    /// @brief Called when a request succeeded.
    void succeeded() noexcept
    {
        saved_ = std::min(options_.max_saved, saved_ + options_.share);
    }

    /// @brief Takes one retry from the budget. @return false if none is left
    bool take() noexcept
    {
        if (saved_ < 1)
        {
            return false;
        }
        saved_ -= 1;
        return true;
    }

private:
    retry_budget_options options_;
    double saved_;
};

/// @brief Adds up to 50% random jitter to a retry delay, so that callers
/// refused at the same time do not retry at the same time.
template <class Random>
duration jittered(duration wait, Random& random)
{
    constexpr double max_jitter = 0.5;
    std::uniform_real_distribution<double> share(0, max_jitter);
    return wait + from_seconds(to_seconds(wait) * share(random));
}

} // namespace springstair
