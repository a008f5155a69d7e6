#pragma once

#include <algorithm>

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

} // namespace springstair
