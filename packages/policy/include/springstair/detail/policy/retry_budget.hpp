#pragma once

#include <springstair/core.hpp>

#include <algorithm>
#include <random>

namespace springstair
{

/// @brief How many retries an entry may add to its load.
struct retry_budget_options
{
    double share = 0.1; ///< retries allowed for each success
    double most = 50;   ///< saved up at most
};

/// @brief Bounds retries to a share of recent successes, so that a failing
/// fleet sees at most 1 + share times the load it is offered.
class retry_budget
{
public:
    /// @param options share and bound
    explicit retry_budget(retry_budget_options options = {})
        : options_(options), saved_(options.most)
    {
    }

    /// @brief A request succeeded.
    void succeeded() noexcept
    {
        saved_ = std::min(options_.most, saved_ + options_.share);
    }

    /// @brief Takes one retry. @return whether there was one to take
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

/// @brief A wait that is told to a caller, longer by up to half, so that
/// those refused together do not come back together.
template <class Random>
duration jittered(duration wait, Random& random)
{
    constexpr double max_jitter = 0.5;
    std::uniform_real_distribution<double> share(0, max_jitter);
    return wait + from_seconds(to_seconds(wait) * share(random));
}

} // namespace springstair
