#include <springstair/scheduler.hpp>

#include <algorithm>
#include <bit>
#include <functional>
#include <tuple>

namespace springstair
{

namespace
{

// Sort key of successors: the most processors first, then a hash of the
// address, so that all leaders use the same order.
auto successor_order(const entry_heartbeat& heartbeat)
{
    return std::tuple(-heartbeat.processors,
                      std::hash<std::string>{}(heartbeat.address),
                      heartbeat.address);
}

} // namespace

std::string_view to_string(handover_reason value) noexcept
{
    switch (value)
    {
    case handover_reason::stopping:
        return "a planned stop";
    case handover_reason::store_away:
        return "the store does not serve this VM";
    case handover_reason::small:
        return "another VM is much larger";
    }
    return {};
}

claim_schedule claim_schedule::of(bool has_rank,
                                  std::optional<std::int64_t> rank)
{
    if (!has_rank)
    {
        return {};
    }
    const std::int64_t place = rank.value_or(successors);
    std::int64_t turn = rank ? place : last_turn;
    if (rank && place >= successors)
    {
        const auto groups = static_cast<std::uint64_t>(place / successors);
        turn = successors + std::bit_width(groups) - 1;
    }
    return {.is_successor = place < successors,
            .delay = std::min(turn, last_turn) * step};
}

void entry_list::record_heartbeat(const entry_heartbeat& heartbeat,
                                  time_point now)
{
    const auto [found, is_new] = entries_.try_emplace(heartbeat.address);
    is_sorted_ = is_sorted_ && !is_new && found->second.heartbeat == heartbeat;
    found->second = {.heartbeat = heartbeat, .received_at = now};
}

void entry_list::clear()
{
    entries_.clear();
    declined_.clear();
    is_sorted_ = false;
}

void entry_list::sort(time_point now)
{
    if (is_sorted_ && now - sorted_at_ < options_.order_age)
    {
        return;
    }
    std::erase_if(entries_,
                  [&](const auto& heartbeat) {
                      return now - heartbeat.second.received_at >
                             options_.heartbeat_timeout;
                  });
    order_.clear();
    for (const auto& [address, entry] : entries_)
    {
        if (!entry.heartbeat.store_away)
        {
            order_.push_back(entry.heartbeat);
        }
    }
    std::ranges::sort(order_, {}, successor_order);
    ranks_.clear();
    for (const entry_heartbeat& heartbeat : order_)
    {
        ranks_.emplace(heartbeat.address,
                       static_cast<std::int64_t>(ranks_.size()));
    }
    sorted_at_ = now;
    is_sorted_ = true;
}

const std::vector<entry_heartbeat>& entry_list::successors(time_point now)
{
    sort(now);
    return order_;
}

std::optional<std::int64_t> entry_list::rank(const std::string& address,
                                             time_point now)
{
    sort(now);
    const auto found = ranks_.find(address);
    return found == ranks_.end() ? std::nullopt : std::optional(found->second);
}

std::optional<handover_target>
entry_list::next_handover(const leader_state& leader, time_point now)
{
    sort(now);
    std::erase_if(declined_, [&](const auto& entry)
                  { return now - entry.second >= options_.decline_backoff; });
    const auto best =
        std::ranges::find_if(order_, [&](const entry_heartbeat& entry)
                             { return !declined_.contains(entry.address); });
    if (best == order_.end() || declined_.size() >= options_.max_declined)
    {
        return std::nullopt;
    }
    if (leader.stopping)
    {
        return handover_target{best->address, handover_reason::stopping};
    }
    if (leader.store_unavailable_for >= options_.store_outage_tolerance)
    {
        return handover_target{best->address, handover_reason::store_away};
    }
    const bool is_small =
        best->processors >= options_.much_larger * leader.processors;
    if (is_small && leader.held_for >= options_.min_term)
    {
        return handover_target{best->address, handover_reason::small};
    }
    return std::nullopt;
}

// Entries of earlier versions state no capacity.
std::int64_t entry_list::job_capacity(std::int64_t own_bytes,
                                      time_point now) const
{
    std::int64_t smallest = own_bytes;
    for (const auto& [address, entry] : entries_)
    {
        const std::int64_t capacity = entry.heartbeat.job_capacity_bytes;
        const bool is_present =
            now - entry.received_at <= options_.heartbeat_timeout;
        if (is_present && capacity > 0)
        {
            smallest = std::min(smallest, capacity);
        }
    }
    return smallest;
}

void entry_list::note_declined(const std::string& address, time_point now)
{
    declined_[address] = now;
}

// Starts at a different position for each asking entry, so that requests
// forwarded from one data centre do not all reach the same entry.
std::vector<std::string> entry_list::peers_of(const entry_heartbeat& asking,
                                              time_point now)
{
    sort(now);
    std::vector<std::string> near;
    std::vector<std::string> elsewhere;
    const std::size_t max_near =
        options_.max_peers - options_.max_peers_elsewhere;
    const std::size_t begin = std::hash<std::string>{}(asking.address);
    for (std::size_t offset = 0; offset < order_.size(); ++offset)
    {
        const entry_heartbeat& candidate =
            order_[(begin + offset) % order_.size()];
        const bool is_near = candidate.data_centre == asking.data_centre;
        auto& target = is_near ? near : elsewhere;
        const std::size_t max_count =
            is_near ? max_near : options_.max_peers_elsewhere;
        if (candidate.address != asking.address && target.size() < max_count)
        {
            target.push_back(candidate.address);
        }
        if (near.size() + elsewhere.size() == options_.max_peers)
        {
            break;
        }
    }
    near.insert(near.end(), elsewhere.begin(), elsewhere.end());
    return near;
}

} // namespace springstair
