#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Bounds of the control of tasks that fill beside tasks that serve.
/// The shares of a target are below it because the figures are rough.
struct interference_options
{
    /// Above this share of its target, a serving task's tail takes budget
    /// away from the fills.
    double lower_above = 0.85;
    /// Below this share, the fills get more; apart from the bound above so
    /// that the budget does not swing.
    double raise_below = 0.7;
    /// One step down leaves lower_to / (tail by target), at least this.
    double lower_to = 0.75;
    double least_left = 0.4;
    /// One step up, as a share of the worker's processors.
    double raise_by = 0.05;
    /// A budget is raised only if this share of it is in use.
    double in_use = 0.75;
    /// Share of the processors that a fresh worker's fills may use: what is
    /// left beside serving tasks on an ordinary day (trials on both sites).
    double at_first = 0.4;
    double at_most = 0.8;
    /// Time between steps: the figures are of the last half second.
    duration step = std::chrono::milliseconds(500);
};

/// @brief What the control knows of a run.
struct run_traits
{
    bool fills = false;
    std::int64_t cpu_millis = 0;        ///< that it asks for
    std::int64_t latency_target_ms = 0; ///< 0: it serves nobody
};

/// @brief Finds how much of one worker's processors tasks that fill may use,
/// from the tails of the tasks that serve there.
class interference
{
public:
    explicit interference(interference_options options = {});

    /// @brief Takes a look's rows into account.
    /// @param traits of the runs that are known, by task
    /// @param capacity of the worker, in thousandths of a processor
    void observe(const std::vector<running_task>& running,
                 const std::map<std::string, run_traits>& traits,
                 std::int64_t capacity, time_point now);

    /// @brief Processors that fills may use, in thousandths.
    [[nodiscard]] std::int64_t budget() const noexcept
    {
        return static_cast<std::int64_t>(budget_);
    }
    /// @brief The pace of fills that keeps them within it, in percent.
    [[nodiscard]] std::int64_t pace() const noexcept
    {
        return pace_;
    }

private:
    void step(double worst, double used, double capacity);

    interference_options options_;
    double budget_ = 0; ///< 0: not known before the first look
    std::int64_t pace_ = 100;
    time_point next_step_{};
};

} // namespace springstair
