#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace springstair
{

/// @brief Learns run times by queue.
///
/// Callers' estimates can be wrong by a factor of two and more. How far they
/// are off, and how much the run times of a queue differ, decides how much of
/// the estimate and how much of the queue's mean is used for the next task.
class run_time_model
{
public:
    /// @brief Records the run time of a task that was done at full speed.
    /// @param estimate by the caller; 0: none
    void record(const std::string& queue, duration estimate, duration actual);

    /// @brief The expected run time of the longest of some tasks; the estimate
    /// until enough run times are known.
    /// @param estimate for each of them, by the caller; 0: none
    [[nodiscard]] duration expected_longest(const std::string& queue,
                                            duration estimate,
                                            std::int64_t tasks) const;

private:
    // Exponentially weighted mean and variance.
    struct moments
    {
        double mean = 0;
        double variance = 0;
        std::int64_t samples = 0;

        void add(double value);
    };

    // Of the logarithms, since run times and errors are factors.
    struct queue_times
    {
        moments actual;
        moments error; ///< estimate relative to the actual run time
    };

    std::map<std::string, queue_times> queues_;
};

} // namespace springstair
