#include <springstair/guard.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace springstair
{

namespace
{

constexpr double full_pace = 100;
// Paces are rounded to this, so that small changes cost no orders.
constexpr double pace_grain = 5;
// Share of a worker's processors that a fill is taken to use at full pace
// while it stands still and shows no figure.
constexpr double unknown_use = 0.1;

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

std::map<std::string, std::int64_t> interference::paces() const
{
    std::map<std::string, std::int64_t> out;
    for (const auto& [image, pace_now] : pace_)
    {
        out[image] = pace(image);
    }
    return out;
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
            const double headroom =
                static_cast<double>(of.latency_target_ms) /
                static_cast<double>(std::max<std::int64_t>(row.load, 1));
            const auto [least, fresh] =
                seen.headroom.try_emplace(of.image, headroom);
            least->second = std::min(least->second, headroom);
        }
    }
    raise_all(seen);
    bool over = false;
    for (const auto& [serving, headroom] : seen.headroom)
    {
        over = over || headroom < 1;
        if (headroom < options_.slow_below)
        {
            slow_for(serving, headroom, seen);
        }
    }
    if (!over)
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

// What is missing is shared by the fills that are known to harm. If they do
// not explain it, all fills are slowed, but only once a target is missed.
void interference::slow_for(const std::string& serving, double headroom,
                            const figures& now)
{
    const double missing = options_.slow_to - headroom;
    double known = 0;
    for (const auto& [filling, use] : now.use)
    {
        known += harm_of(serving, filling) * use;
    }
    const bool explained = known >= options_.explained * missing;
    if (!explained && headroom >= options_.blind_below)
    {
        return;
    }
    for (const auto& [filling, use] : now.use)
    {
        const bool blamed = harm_of(serving, filling) > 0;
        if (explained && !blamed)
        {
            continue;
        }
        const double factor = explained ? std::clamp(1 - missing / known,
                                                     options_.least_factor, 1.0)
                                        : options_.blind_factor;
        const auto [found, fresh] = pace_.try_emplace(filling, full_pace);
        found->second *= factor;
        if (found->second < options_.least_pace)
        {
            found->second = 0;
        }
        changes_.push_back({.filling = filling,
                            .pace = found->second,
                            .serving = serving,
                            .headroom = headroom,
                            .known = explained,
                            .use = use});
    }
}

std::vector<pace_change> interference::take_changes()
{
    return std::exchange(changes_, {});
}

void interference::raise_all(const figures& now)
{
    for (auto at = pace_.begin(); at != pace_.end();)
    {
        const auto found = now.use.find(at->first);
        const double use = found == now.use.end() ? 0 : found->second;
        // A fill that stands still is taken to use a tenth at full pace.
        const double more = at->second > 0
                                ? use * options_.raise_by / at->second
                                : unknown_use * options_.raise_by / full_pace;
        const bool bearable = std::all_of(
            now.headroom.begin(), now.headroom.end(),
            [&](const auto& entry)
            {
                const double harm = harm_of(entry.first, at->first);
                return harm > 0
                           ? entry.second - harm * more >= options_.raise_above
                           : entry.second >= options_.blind_below;
            });
        if (bearable)
        {
            at->second += options_.raise_by;
            changes_.push_back({.filling = at->first, .pace = at->second});
        }
        at = at->second >= full_pace ? pace_.erase(at) : std::next(at);
    }
}

} // namespace springstair
