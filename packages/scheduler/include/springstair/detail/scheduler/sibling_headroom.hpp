#pragma once

#include <springstair/core.hpp>

#include <map>
#include <optional>
#include <string>

namespace springstair
{

/// @brief Processor use of best-effort work by image, as share of the worker.
using fill_usage = std::map<std::string, double>;

/// @brief Headroom of a latency-critical task and the best-effort use beside
/// it.
struct headroom_sample
{
    double headroom = 0; ///< latency target divided by tail latency
    fill_usage beside;

    bool operator==(const headroom_sample&) const = default;
};

/// @brief The newest headroom samples of one job's latency-critical tasks.
///
/// Users load all tasks of a job alike, so differences between their tail
/// latencies at one moment are due to the best-effort work beside them.
class sibling_headroom
{
public:
    /// @brief Records a task's newest sample.
    void record(const std::string& task, headroom_sample sample,
                time_point now);
    /// @brief Mean sample of the other tasks; nothing if they are too few.
    [[nodiscard]] std::optional<headroom_sample>
    mean_without(const std::string& task) const;
    /// @brief When a sample was last recorded.
    [[nodiscard]] time_point last_recorded() const noexcept
    {
        return last_recorded_;
    }

private:
    struct entry
    {
        time_point recorded_at;
        headroom_sample sample;
    };

    void add(const headroom_sample& sample, double sign);
    void forget_old(time_point now);

    std::map<std::string, entry> samples_; ///< by task
    double headroom_ = 0;                  ///< sum over all samples
    fill_usage beside_;                    ///< sum over all samples
    time_point last_recorded_{};
    time_point next_cleaning_{};
};

} // namespace springstair
