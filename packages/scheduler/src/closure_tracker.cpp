#include <springstair/scheduler.hpp>

#include <algorithm>
#include <iterator>

namespace springstair
{

namespace
{

std::vector<std::string> without(const std::set<std::string>& all,
                                 const std::set<std::string>& others)
{
    std::vector<std::string> left;
    std::ranges::set_difference(all, others, std::back_inserter(left));
    return left;
}

} // namespace

closure_tracker::closure_tracker(closing_options options) : options_(options) {}

closing_change closure_tracker::take(const closed_data_centres& known)
{
    if (known.as_of <= known_.as_of)
    {
        return {};
    }
    closing_change change{.closed = without(known.names, known_.names),
                          .opened = without(known_.names, known.names)};
    known_ = known;
    return change;
}

bool closure_tracker::is_closed(const std::string& data_centre) const
{
    return known_.names.contains(data_centre);
}

time_point closure_tracker::starts_until() const noexcept
{
    if (options_.close_within == duration{0})
    {
        return time_point::max();
    }
    return known_.as_of + options_.close_within - options_.max_watch_outage -
           options_.delivery;
}

} // namespace springstair
