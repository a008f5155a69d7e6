#pragma once

namespace springstair
{

/// @brief Bounds of the copies of slow runs.
struct copy_options
{
    /// Maximum number of copies at a time, as a share of the running tasks of
    /// steps that allow copies.
    double running_share = 0.05;

    bool operator==(const copy_options&) const = default;
};

} // namespace springstair
