#pragma once

#include <springstair/detail/scheduler/job_record.hpp>

namespace springstair
{

/// @brief How the tasks of lasting jobs were at some moments, counted in
/// tasks; several samples add up.
struct availability_counts
{
    std::int64_t tasks = 0;
    std::int64_t at_work = 0;     ///< as its worker shows it
    std::int64_t over_target = 0; ///< of those at work, too slow for its users
    std::int64_t unplaced = 0;    ///< at no worker
    std::int64_t reserved_millis = 0; ///< processors that all of them reserve

    bool operator==(const availability_counts&) const = default;
    availability_counts& operator+=(const availability_counts& other) noexcept;

    /// @brief Whether every task was at work and within its target.
    [[nodiscard]] bool is_whole() const noexcept
    {
        return at_work == tasks && over_target == 0;
    }
};

/// @brief One sample of a job's lasting tasks; none if it has none.
availability_counts sample_service(const job_record& of);

} // namespace springstair
