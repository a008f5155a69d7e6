#include <springstair/guard.hpp>

#include <algorithm>
#include <cmath>

namespace springstair
{

namespace
{

constexpr double full_pace = 100;
// Paces are rounded to this, so that small changes cost no orders.
constexpr double pace_grain = 5;

} // namespace

interference::interference(interference_options options) : options_(options) {}

void interference::learn(const std::vector<pair_harm>& harms)
{
    for (const pair_harm& one : harms)
    {
        harms_[one.serving][one.filling] = one.harm;
    }
}

std::int64_t interference::pace(const std::string& image) const
{
    const auto found = pace_.find(image);
    const double pace = found == pace_.end() ? full_pace : found->second;
    return static_cast<std::int64_t>(std::round(pace / pace_grain) *
                                     pace_grain);
}

double interference::harm_of(const std::string& serving,
                             const std::string& filling) const
{
    const auto row = harms_.find(serving);
    if (row == harms_.end())
    {
        return 0;
    }
    const auto found = row->second.find(filling);
    const bool known = found != row->second.end();
    return known && found->second >= options_.harmful ? found->second : 0;
}

void interference::observe(const std::vector<running_task>& running,
                           const std::map<std::string, run_traits>& traits,
                           std::int64_t capacity, time_point now)
{
    if (now < next_step_)
    {
        return;
    }
    next_step_ = now + options_.step;
    figures seen;
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
            seen.use[of.image] +=
                static_cast<double>(row.load) /
                static_cast<double>(std::max<std::int64_t>(capacity, 1));
        }
        else if (of.latency_target_ms > 0)
        {
            double& tail = seen.tails[of.image];
            tail =
                std::max(tail, static_cast<double>(row.load) /
                                   static_cast<double>(of.latency_target_ms));
        }
    }
    double worst = 0;
    raise_all(seen);
    for (const auto& [serving, tail] : seen.tails)
    {
        worst = std::max(worst, tail);
        if (tail > options_.slow_above)
        {
            slow_for(serving, tail, seen);
        }
    }
    if (worst <= 1)
    {
        over_since_.reset();
        return;
    }
    over_since_ = over_since_.value_or(now);
    if (now - *over_since_ >= options_.longest_over)
    {
        for (const auto& [filling, use] : seen.use)
        {
            pace_[filling] = 0;
        }
    }
}

// Known harm adds up in the logarithm of the tail: what has to go is shared
// by the fills that do it. Without such knowledge all fills are slowed.
void interference::slow_for(const std::string& serving, double tail,
                            const figures& now)
{
    const double excess = std::log(tail / options_.slow_to);
    double known = 0;
    for (const auto& [filling, use] : now.use)
    {
        known += harm_of(serving, filling) * use;
    }
    const bool explained = known >= options_.explained * excess;
    for (const auto& [filling, use] : now.use)
    {
        const bool blamed = harm_of(serving, filling) > 0;
        if (explained && !blamed)
        {
            continue;
        }
        const double factor = explained ? std::clamp(1 - excess / known,
                                                     options_.least_factor, 1.0)
                                        : options_.blind_factor;
        const auto [found, fresh] = pace_.try_emplace(filling, full_pace);
        found->second *= factor;
        if (found->second < options_.least_pace)
        {
            found->second = 0;
        }
    }
}

void interference::raise_all(const figures& now)
{
    for (auto at = pace_.begin(); at != pace_.end();)
    {
        const bool bearable = std::all_of(
            now.tails.begin(), now.tails.end(),
            [&](const auto& entry)
            {
                const bool concerned = harm_of(entry.first, at->first) > 0;
                return entry.second <
                       (concerned ? options_.raise_below : options_.slow_above);
            });
        if (bearable)
        {
            at->second += options_.raise_by;
        }
        at = at->second >= full_pace ? pace_.erase(at) : std::next(at);
    }
}

} // namespace springstair
