#include <springstair/jobs.hpp>

namespace springstair
{

void waiting_counts::record(const std::string& queue, std::int64_t waiting,
                            time_point as_of)
{
    dated_count& newest = counts_[queue];
    if (as_of >= newest.as_of)
    {
        newest = {.waiting = waiting, .as_of = as_of};
    }
}

std::optional<std::int64_t> waiting_counts::recent(const std::string& queue,
                                                   time_point now) const
{
    const auto found = counts_.find(queue);
    const bool is_recent =
        found != counts_.end() && now - found->second.as_of <= max_count_age;
    return is_recent ? std::optional(found->second.waiting) : std::nullopt;
}

} // namespace springstair
