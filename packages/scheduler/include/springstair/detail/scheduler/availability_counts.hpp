#pragma once

#include <springstair/detail/scheduler/job_record.hpp>

namespace springstair
{

/// @brief Availability of the tasks of long-running jobs. Samples are additive.
struct availability_counts
{
    std::int64_t tasks = 0;
    std::int64_t at_work = 0; ///< reported running at full progress
    /// Those of at_work that exceed their latency target.
    std::int64_t over_target = 0;
    std::int64_t unplaced = 0; ///< without a worker
    /// Processors, in thousandths, that all tasks reserve when placed; tasks
    /// without a worker count, too.
    std::int64_t reserved_millis = 0;

    bool operator==(const availability_counts&) const = default;
    availability_counts& operator+=(const availability_counts& other) noexcept;

    /// @brief Whether every task was running and within its latency target.
    [[nodiscard]] bool is_whole() const noexcept
    {
        return at_work == tasks && over_target == 0;
    }
};

/// @brief Samples a job's long-running tasks; all zero if it has none.
availability_counts sample_availability(const job_record& record);

} // namespace springstair
