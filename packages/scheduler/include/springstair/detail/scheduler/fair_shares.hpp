#pragma once

#include <map>
#include <string>

namespace springstair
{

/// @brief Weights of the shares of queues in the workers' capacity.
struct fair_share_options
{
    /// By queue; the others have weight 1.
    std::map<std::string, double> weights;

    bool operator==(const fair_share_options&) const = default;
};

} // namespace springstair
