#include <springstair/scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace springstair
{

namespace
{

// The tasks of a step are alike, so the first step of some 20 tasks says little
// about its queue.
constexpr std::int64_t min_samples = 40;
// Weight of a new sample once many are known: the mean follows a change of the
// work within some hundred tasks, a few seconds under load.
constexpr double min_sample_weight = 1.0 / 200;
// Smaller variances are chance: with equal run times, the estimate is ignored.
constexpr double min_variance = 1e-4;

// Typical value of the largest of some draws of a normal distribution, in
// standard deviations: its quantile at 1 - 1/(draws + 1), by formula 26.2.23 of
// Abramowitz and Stegun, error below 0.0005.
double largest_of(std::int64_t draws)
{
    const double tail =
        1 / (1 + static_cast<double>(std::max<std::int64_t>(draws, 1)));
    const double t = std::sqrt(-2 * std::log(tail));
    const double numerator = 2.515517 + t * (0.802853 + t * 0.010328);
    const double denominator =
        1 + t * (1.432788 + t * (0.189269 + t * 0.001308));
    return t - numerator / denominator;
}

} // namespace

void run_time_model::moments::add(double value)
{
    ++samples;
    const double weight =
        std::max(1 / static_cast<double>(samples), min_sample_weight);
    const double difference = value - mean;
    mean += weight * difference;
    variance = (1 - weight) * (variance + weight * difference * difference);
}

void run_time_model::record(const std::string& queue, duration estimate,
                            duration actual)
{
    if (actual <= duration{0})
    {
        return;
    }
    queue_times& times = queues_[queue];
    times.actual.add(std::log(to_seconds(actual)));
    if (estimate > duration{0})
    {
        times.error.add(std::log(to_seconds(estimate) / to_seconds(actual)));
    }
}

duration run_time_model::expected_longest(const std::string& queue,
                                          duration estimate,
                                          std::int64_t tasks) const
{
    const auto found = queues_.find(queue);
    if (found == queues_.end() || found->second.actual.samples < min_samples)
    {
        return estimate;
    }
    const moments& actual = found->second.actual;
    const moments& error = found->second.error;
    const double spread = std::max(actual.variance, min_variance);
    if (estimate <= duration{0} || error.samples < min_samples)
    {
        return from_seconds(
            std::exp(actual.mean + std::sqrt(spread) * largest_of(tasks)));
    }
    const double noise = std::max(error.variance, min_variance);
    const double corrected = std::log(to_seconds(estimate)) - error.mean;
    const double mean =
        (corrected * spread + actual.mean * noise) / (spread + noise);
    const double deviation = std::sqrt(spread * noise / (spread + noise));
    return from_seconds(std::exp(mean + deviation * largest_of(tasks)));
}

} // namespace springstair
