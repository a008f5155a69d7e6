#pragma once

#include <springstair/detail/scheduler/job_forecast.hpp>
#include <springstair/detail/scheduler/job_record.hpp>

#include <compare>
#include <cstdint>

namespace springstair
{

/// @brief Bounds of the order in which waiting jobs are served.
struct order_options
{
    /// A job completed late has reduced value, up to this many times its
    /// latency objective; later it has none (platform).
    std::int64_t late_factor = 3;
    /// Jobs with objectives in the same span of this length rank equally in
    /// time; among them, long-running jobs are ordered by size. A longer span
    /// would delay batch work.
    duration objective_span = std::chrono::milliseconds(500);
};

/// @brief Orders jobs that are neither long-running nor scheduled by forecasts;
/// see rank_of(). It has no parameters.
struct overload_order_options
{
    bool operator==(const overload_order_options&) const = default;
};

/// @brief The value that a job can still have, from best to worst.
enum class job_prospect : std::uint8_t
{
    in_time,
    late,
    too_late
};

/// @brief Sort key of a waiting job; the lowest is served first.
struct job_rank
{
    std::int64_t priority = 0; ///< of its queue; 0 is the most urgent
    job_prospect prospect = job_prospect::in_time;
    /// Whether none of its tasks has begun, if its forecast is known: capacity
    /// completes the jobs that have begun before it begins others.
    bool is_unbegun = false;
    /// Number of the order_options::objective_span.
    std::int64_t objective_span_index = 0;
    /// Negative processor demand per task of a long-running job: the largest
    /// is first, since it fits on the fewest workers. 0 for others.
    std::int64_t negative_size = 0;
    time_point objective;   ///< when it should have ended
    std::int64_t order = 0; ///< number in order of acceptance

    auto operator<=>(const job_rank&) const = default; // NOLINT: no pointer
};

/// @brief Sort key of a job: by priority, then prospect (objective can be met,
/// late, too late to have any value), then the span of its objective. Within a
/// span, long-running jobs with the largest tasks are first, then the earliest
/// objective.
/// @param queue of the job, or null if the table has none: it is last
/// @param known how long the job takes; if null, its prospect is decided by its
/// age and the caller's estimates alone
job_rank rank_of(const job_record& record, const queue_row* queue,
                 time_point now, const order_options& options,
                 const job_forecast* known = nullptr);

} // namespace springstair
