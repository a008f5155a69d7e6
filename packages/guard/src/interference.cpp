#include <springstair/guard.hpp>

#include <algorithm>

namespace springstair
{

interference::interference(interference_options options) : options_(options) {}

void interference::observe(const std::vector<running_task>& running,
                           const std::map<std::string, run_traits>& traits,
                           time_point now)
{
    if (now < next_step_)
    {
        return;
    }
    next_step_ = now + options_.step;
    double worst = 0; // tail by target
    for (const running_task& row : running)
    {
        const auto found = traits.find(row.task);
        if (found == traits.end() || found->second.latency_target_ms <= 0)
        {
            continue;
        }
        worst = std::max(
            worst, static_cast<double>(row.load) /
                       static_cast<double>(found->second.latency_target_ms));
    }
    if (worst > options_.slow_above)
    {
        pace_ = static_cast<std::int64_t>(static_cast<double>(pace_) *
                                          options_.slow_by);
        pace_ = pace_ < options_.least ? 0 : pace_;
    }
    else if (worst < options_.raise_below)
    {
        pace_ = std::min<std::int64_t>(100, pace_ + options_.raise_by);
    }
}

} // namespace springstair
