#include <springstair/scheduler.hpp>

namespace springstair
{

namespace
{

// An older sample belongs to a different load: the load swings over about ten
// seconds, and samples arrive twice a second.
constexpr duration max_figure_age = std::chrono::milliseconds(700);
// The mean of fewer siblings reflects these tasks more than the common load.
constexpr std::size_t min_others = 2;

} // namespace

void sibling_headroom::note(const std::string& task, headroom_sample figure,
                            time_point now)
{
    noted_ = now;
    forget_old(now);
    const auto [found, is_new] = of_.try_emplace(task);
    if (!is_new)
    {
        add(found->second.figure, -1);
    }
    found->second = {.at = now, .figure = std::move(figure)};
    add(found->second.figure, 1);
}

std::optional<headroom_sample>
sibling_headroom::mean_without(const std::string& task) const
{
    const auto own = of_.find(task);
    const std::size_t others = of_.size() - (own == of_.end() ? 0 : 1);
    if (others < min_others)
    {
        return std::nullopt;
    }
    headroom_sample mean{.headroom = headroom_, .beside = beside_};
    if (own != of_.end())
    {
        mean.headroom -= own->second.figure.headroom;
        for (const auto& [filling, use] : own->second.figure.beside)
        {
            mean.beside[filling] -= use;
        }
    }
    const auto count = static_cast<double>(others);
    mean.headroom /= count;
    for (auto& [filling, use] : mean.beside)
    {
        use /= count;
    }
    return mean;
}

void sibling_headroom::add(const headroom_sample& figure, double sign)
{
    headroom_ += sign * figure.headroom;
    for (const auto& [filling, use] : figure.beside)
    {
        beside_[filling] += sign * use;
    }
}

void sibling_headroom::forget_old(time_point now)
{
    if (now < next_cleaning_)
    {
        return;
    }
    next_cleaning_ = now + max_figure_age / 2;
    for (auto entry = of_.begin(); entry != of_.end();)
    {
        if (now - entry->second.at <= max_figure_age)
        {
            ++entry;
            continue;
        }
        add(entry->second.figure, -1);
        entry = of_.erase(entry);
    }
    if (of_.empty())
    {
        headroom_ = 0; // discards accumulated rounding errors
        beside_.clear();
    }
}

} // namespace springstair
