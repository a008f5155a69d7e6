#pragma once

#include <springstair/core.hpp>

#include <set>
#include <string>

namespace springstair
{

/// @brief The data centres that an operator has closed to new runs, as far as
/// known. Runs that are there already may continue.
struct closed_data_centres
{
    std::set<std::string> names;
    /// The store had exactly these entries at this time or later. The clock's
    /// epoch: nothing is known yet.
    time_point as_of{};

    bool operator==(const closed_data_centres&) const = default;
};

} // namespace springstair
