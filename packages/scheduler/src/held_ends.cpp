#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Upper bound of the stored form of an end: each character of its texts may
// take six, and the rest is numbers and punctuation.
std::size_t max_stored_bytes(const ended_task& end)
{
    constexpr std::size_t escaped_bytes = 6;
    constexpr std::size_t other_bytes = 64;
    return other_bytes +
           escaped_bytes * (end.task.size() + end.checkpoint.size());
}

} // namespace

void held_ends::hold(const std::string& job)
{
    unstored_.try_emplace(job);
}

bool held_ends::contains(const std::string& job) const
{
    return unstored_.contains(job);
}

std::int64_t held_ends::add(const std::string& job, const ended_task& end)
{
    unstored_[job].push_back({.change = ++newest_, .end = end});
    return newest_;
}

bool held_ends::is_stored(const std::string& job, std::int64_t change) const
{
    const auto found = unstored_.find(job);
    return found == unstored_.end() || found->second.empty() ||
           found->second.front().change > change;
}

std::optional<held_ends::record> held_ends::next(std::size_t max_bytes) const
{
    const auto found = std::ranges::find_if(unstored_, [](const auto& entry)
                                            { return !entry.second.empty(); });
    if (found == unstored_.end())
    {
        return std::nullopt;
    }
    record out{.job = found->first};
    std::vector<ended_task> ends;
    std::size_t bytes = 0;
    for (const numbered_end& one : found->second)
    {
        ended_task end = one.end;
        if (max_stored_bytes(end) > max_bytes)
        {
            end.checkpoint.clear();
        }
        bytes += max_stored_bytes(end);
        if (bytes > max_bytes && !ends.empty())
        {
            break;
        }
        out.change = one.change;
        ends.push_back(std::move(end));
    }
    out.text = encode(ends);
    return out;
}

void held_ends::stored(const std::string& job, std::int64_t change)
{
    const auto found = unstored_.find(job);
    if (found != unstored_.end())
    {
        std::erase_if(found->second, [change](const numbered_end& one)
                      { return one.change <= change; });
    }
}

} // namespace springstair
