#include <springstair/guard.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Paces are rounded to this, so that small changes cost no orders.
constexpr std::int64_t pace_grain = 5;

std::int64_t pace_for(double budget, double asked)
{
    if (asked <= budget)
    {
        return 100;
    }
    const auto percent = static_cast<std::int64_t>(100 * budget / asked);
    return percent / pace_grain * pace_grain;
}

} // namespace

interference::interference(interference_options options) : options_(options) {}

void interference::observe(const std::vector<running_task>& running,
                           const std::map<std::string, run_traits>& traits,
                           std::int64_t capacity, time_point now)
{
    const auto whole = static_cast<double>(capacity);
    if (budget_ <= 0)
    {
        budget_ = options_.at_first * whole;
    }
    double worst = 0; // tail by target
    double used = 0;  // by fills, in the last half second
    double asked = 0; // by fills, at full pace
    for (const running_task& row : running)
    {
        const auto found = traits.find(row.task);
        if (found == traits.end())
        {
            continue;
        }
        const run_traits& of = found->second;
        if (of.fills)
        {
            used += static_cast<double>(row.load);
            asked += static_cast<double>(of.cpu_millis);
        }
        else if (of.latency_target_ms > 0)
        {
            worst =
                std::max(worst, static_cast<double>(row.load) /
                                    static_cast<double>(of.latency_target_ms));
        }
    }
    if (now >= next_step_)
    {
        next_step_ = now + options_.step;
        step(worst, used, whole);
    }
    pace_ = pace_for(budget_, asked);
}

void interference::step(double worst, double used, double capacity)
{
    if (worst > options_.lower_above)
    {
        const double left = std::clamp(options_.lower_to / worst,
                                       options_.least_left, 1.0);
        budget_ = std::max(1.0, std::min(budget_, used) * left);
        return;
    }
    if (worst < options_.raise_below && used >= options_.in_use * budget_)
    {
        budget_ = std::min(budget_ + options_.raise_by * capacity,
                           options_.at_most * capacity);
    }
}

} // namespace springstair
