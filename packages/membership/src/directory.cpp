#include <springstair/membership.hpp>

#include <algorithm>

namespace springstair
{

bool guard_view::usable(time_point now, const directory_options& options) const
{
    return report.ready && !report.leaving && !listed_leaving && !unreachable &&
           now - last_heartbeat_at <= options.suspect_after;
}

// ---------------------------------------------------------------------------
// Guards
// ---------------------------------------------------------------------------

guard_directory::guard_directory(directory_options options) : options_(options)
{
}

guard_change guard_directory::on_heartbeat(time_point now,
                                           const guard_report& report)
{
    const auto [position, fresh] = guards_.try_emplace(report.guard);
    guard_view& view = position->second;
    const bool was_suspect = suspects_.erase(report.guard) > 0;
    const bool restarted = view.report.incarnation != report.incarnation;
    const bool now_leaving = report.leaving && !view.report.leaving;
    view.report = report;
    view.last_heartbeat_at = now;
    view.unreachable = false;
    if (fresh || was_suspect)
    {
        return guard_change::joined;
    }
    if (restarted)
    {
        return guard_change::restarted;
    }
    return now_leaving ? guard_change::leaving : guard_change::none;
}

void guard_directory::on_load_report(const guard_name& guard,
                                     const load_report& load)
{
    const auto found = guards_.find(guard);
    if (found != guards_.end())
    {
        found->second.report.load = load;
    }
}

void guard_directory::on_unreachable(const guard_name& guard)
{
    const auto found = guards_.find(guard);
    if (found != guards_.end())
    {
        found->second.unreachable = true;
    }
}

void guard_directory::list_leaving(const std::set<std::string>& addresses)
{
    for (auto& [name, view] : guards_)
    {
        view.listed_leaving = addresses.contains(view.report.address);
    }
}

std::vector<guard_name> guard_directory::expire(time_point now)
{
    std::vector<guard_name> lost;
    for (const auto& [name, view] : guards_)
    {
        if (now - view.last_heartbeat_at > options_.suspect_after &&
            suspects_.insert(name).second)
        {
            lost.push_back(name);
        }
    }
    std::erase_if(guards_,
                  [&](const auto& item) {
                      return now - item.second.last_heartbeat_at >
                             options_.forget_after;
                  });
    std::erase_if(suspects_,
                  [&](const auto& name) { return !guards_.contains(name); });
    return lost;
}

const guard_view* guard_directory::find(const guard_name& guard) const
{
    const auto found = guards_.find(guard);
    return found == guards_.end() ? nullptr : &found->second;
}

// ---------------------------------------------------------------------------
// Entries
// ---------------------------------------------------------------------------

entry_directory::entry_directory(directory_options options) : options_(options)
{
}

bool entry_directory::on_exchange(time_point now, const entry_summary& summary)
{
    const std::string& name = summary.entry.value;
    last_seen_at_[name] = now;
    received_at_[name] = now;
    return summaries_.insert_or_assign(name, summary).second;
}

void entry_directory::on_relayed_names(time_point now,
                                       const std::vector<std::string>& names)
{
    for (const std::string& name : names)
    {
        last_seen_at_[name] = now;
    }
}

void entry_directory::expire(time_point now)
{
    std::erase_if(last_seen_at_, [&](const auto& item)
                  { return now - item.second > options_.forget_after; });
    const auto is_forgotten = [&](const auto& item)
    {
        return !last_seen_at_.contains(item.first);
    };
    std::erase_if(summaries_, is_forgotten);
    std::erase_if(received_at_, is_forgotten);
}

std::set<std::string> entry_directory::alive(time_point now) const
{
    return heard_within(now, options_.suspect_after);
}

std::set<std::string> entry_directory::heard_within(time_point now,
                                                    duration period) const
{
    std::set<std::string> names;
    for (const auto& [name, last_seen_at] : last_seen_at_)
    {
        if (now - last_seen_at <= period)
        {
            names.insert(name);
        }
    }
    return names;
}

const entry_summary* entry_directory::owner_of(std::int64_t shard,
                                               time_point now) const
{
    const std::set<std::string> live = alive(now);
    const entry_summary* owner = nullptr;
    time_point newest{};
    for (const auto& [name, summary] : summaries_)
    {
        const bool claims =
            std::ranges::find(summary.shards, shard) != summary.shards.end();
        const time_point received_at = received_at_.at(name);
        if (live.contains(name) && claims &&
            (owner == nullptr || received_at > newest))
        {
            owner = &summary;
            newest = received_at;
        }
    }
    return owner;
}

} // namespace springstair
