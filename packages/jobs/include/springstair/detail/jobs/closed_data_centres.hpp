#pragma once

#include <springstair/core.hpp>

#include <set>
#include <string>

namespace springstair
{

/// @brief The data centres in which an operator wants no run to begin, as far
/// as is known. What runs there already may run on.
struct closed_data_centres
{
    std::set<std::string> names;
    /// The store had just these entries then, or later. The clock's epoch:
    /// nothing is known yet.
    time_point known_at{};

    bool operator==(const closed_data_centres&) const = default;
};

} // namespace springstair
