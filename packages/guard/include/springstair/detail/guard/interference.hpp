#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Bounds of the control of tasks that fill beside tasks that serve.
struct interference_options
{
    /// A serving task's tail above this share of its target slows the fills
    /// down; the figures are rough, so the bound stays below the target.
    double slow_above = 0.85;
    /// Below this share they are given more again; apart from the bound above
    /// so that the pace does not swing.
    double raise_below = 0.65;
    /// What is left of the pace after one step down. Three steps come before
    /// the platform counts the harm, at two figures a second.
    double slow_by = 0.5;
    /// Percent added in one step up.
    std::int64_t raise_by = 15;
    /// Below this pace fills stand still: a crawl harms and hardly helps.
    std::int64_t least = 8;
    /// Time between steps: the figures are of the last half second.
    duration step = std::chrono::milliseconds(500);
};

/// @brief What the control knows of a run.
struct run_traits
{
    bool fills = false;
    std::int64_t latency_target_ms = 0; ///< 0: it serves nobody
};

/// @brief Sets the pace of the fills of one worker from the tails of the
/// tasks that serve there.
class interference
{
public:
    explicit interference(interference_options options = {});

    /// @brief Takes a look's rows into account.
    /// @param traits of the runs that are known, by task
    void observe(const std::vector<running_task>& running,
                 const std::map<std::string, run_traits>& traits,
                 time_point now);

    /// @brief The pace of fills, in percent.
    [[nodiscard]] std::int64_t pace() const noexcept
    {
        return pace_;
    }

private:
    interference_options options_;
    std::int64_t pace_ = 100;
    time_point next_step_{};
};

} // namespace springstair
