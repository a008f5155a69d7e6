#pragma once

namespace springstair
{

/// @brief One budget for every way that stops a long-running task on purpose.
/// It has no parameters: each step states how many of its tasks may be missing.
struct disruption_budget_options
{
    bool operator==(const disruption_budget_options&) const = default;
};

} // namespace springstair
