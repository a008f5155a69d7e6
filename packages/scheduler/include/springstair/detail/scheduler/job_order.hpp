#pragma once

#include <springstair/detail/scheduler/job_record.hpp>

#include <compare>
#include <cstdint>

namespace springstair
{

/// @brief Bounds of the order in which waiting jobs are served.
struct order_options
{
    /// A job is worth less up to this many times its latency objective, and
    /// nothing later (platform).
    std::int64_t late_factor = 3;
    /// Jobs whose objectives lie in one span of this length are of one
    /// moment: of these, what lasts goes by size. A longer span would hold up
    /// work that passes.
    duration one_moment = std::chrono::milliseconds(500);
};

/// @brief What a job can still earn, from best to worst.
enum class job_prospect : std::uint8_t
{
    in_time,
    late,
    too_late
};

/// @brief A job's place among those that wait; the least goes first.
struct job_rank
{
    std::int64_t priority = 0; ///< of its queue; 0 is the most urgent
    job_prospect prospect = job_prospect::in_time;
    std::int64_t moment = 0; ///< spans of order_options::one_moment
    /// Processors that a task of a lasting job reserves, below zero: the
    /// largest goes first, since it fits in the fewest places. 0 for others.
    std::int64_t smallness = 0;
    time_point objective;   ///< when it should have ended
    std::int64_t order = 0; ///< in which jobs were accepted

    auto operator<=>(const job_rank&) const = default; // NOLINT: no pointer
};

/// @brief Priority first. Then jobs that can still meet their objective,
/// those that are late, and those too late to be worth anything. Among each
/// the earliest objective; of one moment what lasts, its largest tasks first.
/// @param queue of the job, or null if the table has none: it goes last
job_rank rank_of(const job_record& of, const queue_row* queue, time_point now,
                 const order_options& options);

} // namespace springstair
