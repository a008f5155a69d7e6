#include <springstair/guard.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace springstair
{

namespace
{

constexpr double full_pace = 100;
// Paces are rounded to this, so that small changes send no orders.
constexpr double pace_step = 5;
// Share of the worker's processors that an image's best-effort tasks are
// assumed to use at full pace while they are stopped and have no figure.
constexpr double unknown_use = 0.1;

} // namespace

interference_controller::interference_controller(interference_options options)
    : options_(options)
{
}

void interference_controller::learn(const std::vector<pair_interference>& pairs)
{
    for (const pair_interference& one : pairs)
    {
        known_interference_[one.serving][one.filling] = one.harm;
    }
}

std::int64_t interference_controller::pace(const std::string& image) const
{
    const auto found = pace_.find(image);
    const double pace = found == pace_.end() ? full_pace : found->second;
    return static_cast<std::int64_t>(std::round(pace / pace_step) * pace_step);
}

std::map<std::string, std::int64_t> interference_controller::paces() const
{
    std::map<std::string, std::int64_t> out;
    for (const auto& [image, pace_now] : pace_)
    {
        out[image] = pace(image);
    }
    return out;
}

double
interference_controller::interference_of(const std::string& serving,
                                         const std::string& filling) const
{
    const auto row = known_interference_.find(serving);
    if (row == known_interference_.end())
    {
        return 0;
    }
    const auto found = row->second.find(filling);
    const bool known = found != row->second.end();
    return known && found->second >= options_.interfering ? found->second : 0;
}

void interference_controller::observe(
    const std::vector<running_task>& running,
    const std::map<std::string, run_traits>& traits, std::int64_t capacity,
    time_point now)
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
        const run_traits& run = found->second;
        if (run.fills)
        {
            seen.use[run.image] +=
                static_cast<double>(row.load) /
                static_cast<double>(std::max<std::int64_t>(capacity, 1));
        }
        else if (run.latency_target_ms > 0)
        {
            const double headroom =
                static_cast<double>(run.latency_target_ms) /
                static_cast<double>(std::max<std::int64_t>(row.load, 1));
            const auto [least, fresh] =
                seen.headroom.try_emplace(run.image, headroom);
            least->second = std::min(least->second, headroom);
        }
    }
    raise(seen);
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
    if (now - *over_since_ >= options_.max_over_target)
    {
        stop_all(seen);
    }
}

void interference_controller::stop_all(const figures& seen)
{
    for (const auto& [filling, use] : seen.use)
    {
        const auto [found, is_new] = pace_.try_emplace(filling, full_pace);
        if (std::exchange(found->second, 0) > 0)
        {
            changes_.push_back({.filling = filling, .pace = 0, .use = use});
        }
    }
}

double
interference_controller::known_interference_of(const std::string& serving,
                                               const figures& seen) const
{
    double sum = 0;
    for (const auto& [filling, use] : seen.use)
    {
        sum += interference_of(serving, filling) * use;
    }
    return sum;
}

// Slows the images with known interference if they explain the missing
// headroom; else all best-effort images, but only once a target is missed.
void interference_controller::slow_for(const std::string& serving,
                                       double headroom, const figures& seen)
{
    const double missing = options_.slow_to - headroom;
    if (known_interference_of(serving, seen) >= options_.explained * missing)
    {
        slow_known(serving, headroom, seen);
    }
    else if (headroom < options_.slow_all_below)
    {
        slow_all(serving, headroom, seen);
    }
}

// Slows the images with the highest interference per unit of work first, until
// the missing headroom is regained. This slows the least work.
void interference_controller::slow_known(const std::string& serving,
                                         double headroom, const figures& seen)
{
    std::vector<std::pair<double, std::string>> worst;
    for (const auto& [filling, use] : seen.use)
    {
        const double harm = interference_of(serving, filling);
        if (harm > 0 && use > 0)
        {
            worst.emplace_back(harm, filling);
        }
    }
    std::sort(worst.rbegin(), worst.rend());
    double missing = options_.slow_to - headroom;
    for (const auto& [harm, filling] : worst)
    {
        if (missing <= 0)
        {
            return;
        }
        const double use = seen.use.at(filling);
        const double reduction = std::min(use, missing / harm);
        missing -= reduction * harm;
        slow(filling, std::max(1 - reduction / use, options_.min_factor),
             {.serving = serving,
              .headroom = headroom,
              .known = true,
              .use = use});
    }
}

void interference_controller::slow_all(const std::string& serving,
                                       double headroom, const figures& seen)
{
    for (const auto& [filling, use] : seen.use)
    {
        slow(filling, options_.slow_all_factor,
             {.serving = serving, .headroom = headroom, .use = use});
    }
}

void interference_controller::slow(const std::string& filling, double factor,
                                   pace_change change)
{
    const auto [found, fresh] = pace_.try_emplace(filling, full_pace);
    found->second *= factor;
    if (found->second < options_.min_pace)
    {
        found->second = 0;
    }
    change.filling = filling;
    change.pace = found->second;
    changes_.push_back(std::move(change));
}

std::vector<pace_change> interference_controller::take_changes()
{
    return std::exchange(changes_, {});
}

// Maximum increase of an image's pace, in percentage points. `full` is the
// share of the worker's processors that it uses at full pace.
double interference_controller::max_raise(const std::string& filling,
                                          double full,
                                          const figures& seen) const
{
    double raise = full_pace;
    for (const auto& [serving, headroom] : seen.headroom)
    {
        const double harm = interference_of(serving, filling);
        if (harm > 0)
        {
            const double spare = headroom - options_.raise_above;
            raise = std::min(raise, spare / (harm * full) * full_pace);
        }
        else if (headroom < options_.slow_all_below)
        {
            return 0;
        }
    }
    return raise;
}

// Speeds up the images with the least interference first. The headroom that one
// uses is subtracted before the next, so that together they do not push a tail
// over its target.
void interference_controller::raise(const figures& seen)
{
    std::vector<std::pair<double, std::string>> order;
    for (const auto& [filling, pace_now] : pace_)
    {
        double most = 0;
        for (const auto& [serving, headroom] : seen.headroom)
        {
            most = std::max(most, interference_of(serving, filling));
        }
        order.emplace_back(most, filling);
    }
    std::sort(order.begin(), order.end());
    figures remaining = seen;
    for (const auto& [most, filling] : order)
    {
        double& pace_now = pace_.at(filling);
        const auto found = seen.use.find(filling);
        const bool has_use =
            pace_now > 0 && found != seen.use.end() && found->second > 0;
        const double full =
            has_use ? found->second * full_pace / pace_now : unknown_use;
        const double allowed = max_raise(filling, full, remaining);
        if (allowed < pace_step)
        {
            continue;
        }
        const double step = std::min(allowed, full_pace - pace_now);
        for (auto& [serving, headroom] : remaining.headroom)
        {
            headroom -=
                interference_of(serving, filling) * full * step / full_pace;
        }
        pace_now += step;
        changes_.push_back({.filling = filling, .pace = pace_now});
    }
    std::erase_if(pace_,
                  [](const auto& one) { return one.second >= full_pace; });
}

} // namespace springstair
