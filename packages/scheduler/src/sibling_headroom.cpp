#include <springstair/scheduler.hpp>

namespace springstair
{

namespace
{

// An older sample belongs to a different load: the load swings over about ten
// seconds, and samples arrive twice a second.
constexpr duration max_sample_age = std::chrono::milliseconds(700);
// The mean of fewer siblings reflects these tasks more than the common load.
constexpr std::size_t min_others = 2;

} // namespace

void sibling_headroom::record(const std::string& task, headroom_sample sample,
                              time_point now)
{
    last_recorded_ = now;
    forget_old(now);
    const auto [found, is_new] = samples_.try_emplace(task);
    if (!is_new)
    {
        add(found->second.sample, -1);
    }
    found->second = {.recorded_at = now, .sample = std::move(sample)};
    add(found->second.sample, 1);
}

std::optional<headroom_sample>
sibling_headroom::mean_without(const std::string& task) const
{
    const auto own = samples_.find(task);
    const std::size_t others =
        samples_.size() - (own == samples_.end() ? 0 : 1);
    if (others < min_others)
    {
        return std::nullopt;
    }
    headroom_sample mean{.headroom = headroom_, .beside = beside_};
    if (own != samples_.end())
    {
        mean.headroom -= own->second.sample.headroom;
        for (const auto& [filling, use] : own->second.sample.beside)
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

void sibling_headroom::add(const headroom_sample& sample, double sign)
{
    headroom_ += sign * sample.headroom;
    for (const auto& [filling, use] : sample.beside)
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
    next_cleaning_ = now + max_sample_age / 2;
    for (auto entry = samples_.begin(); entry != samples_.end();)
    {
        if (now - entry->second.recorded_at <= max_sample_age)
        {
            ++entry;
            continue;
        }
        add(entry->second.sample, -1);
        entry = samples_.erase(entry);
    }
    if (samples_.empty())
    {
        headroom_ = 0; // discards accumulated rounding errors
        beside_.clear();
    }
}

} // namespace springstair
