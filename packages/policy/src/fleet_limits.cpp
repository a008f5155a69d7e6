#include <springstair/policy.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr duration retry_delay_at_limit = std::chrono::milliseconds(200);
constexpr std::int64_t spare_margin = 1; // units that are never lent

} // namespace

fleet_limits::fleet_limits(std::string self, fleet_limit_options options)
    : self_(std::move(self)), options_(options), members_{self_}
{
}

void fleet_limits::use_table(const table& rows)
{
    table_ = rows;
}

void fleet_limits::use_members(time_point now,
                               const std::set<std::string>& others)
{
    for (const std::string& name : members_)
    {
        if (name != self_ && !others.contains(name))
        {
            departed_.try_emplace(name, now);
        }
    }
    for (const std::string& name : others)
    {
        departed_.erase(name);
        members_.insert(name);
    }
    std::erase_if(departed_,
                  [&](const auto& item)
                  {
                      if (now - item.second < options_.departure_delay)
                      {
                          return false;
                      }
                      members_.erase(item.first);
                      return true;
                  });
}

// ---------------------------------------------------------------------------
// Quotas
// ---------------------------------------------------------------------------

std::int64_t fleet_limits::even_quota(std::int64_t limit) const
{
    const auto count = static_cast<std::int64_t>(members_.size());
    const std::int64_t rank =
        std::distance(members_.begin(), members_.find(self_));
    return limit / count + (rank < limit % count ? 1 : 0);
}

std::int64_t fleet_limits::limit_of(const std::string& workspace) const
{
    const workspace_row* const row = table_.find(workspace);
    return row == nullptr ? 0 : row->max_in_flight;
}

std::int64_t fleet_limits::own_quota(const usage& use, std::int64_t limit) const
{
    std::int64_t units = even_quota(limit);
    for (const auto& [peer, loan] : use.lent)
    {
        units -= loan.counted;
    }
    return units;
}

std::int64_t fleet_limits::borrowed_units_at(time_point now, const usage& use)
{
    std::int64_t units = 0;
    for (const auto& [peer, borrowed] : use.borrowed)
    {
        units += now < borrowed.until ? borrowed.units : 0;
    }
    return units;
}

std::int64_t fleet_limits::quota(time_point now,
                                 const std::string& workspace) const
{
    const std::int64_t limit = limit_of(workspace);
    const auto found = usage_.find(workspace);
    if (found == usage_.end())
    {
        return even_quota(limit);
    }
    return own_quota(found->second, limit) +
           borrowed_units_at(now, found->second);
}

std::int64_t fleet_limits::in_flight(const std::string& workspace) const
{
    const auto found = usage_.find(workspace);
    return found == usage_.end() ? 0 : found->second.in_flight;
}

// ---------------------------------------------------------------------------
// Requests
// ---------------------------------------------------------------------------

void fleet_limits::update_peak(time_point now, usage& use) const
{
    if (now - use.peak_since > options_.peak_window)
    {
        use.peak = use.in_flight;
        use.refused = 0;
        use.peak_since = now;
    }
    use.peak = std::max(use.peak, use.in_flight);
}

std::optional<duration> fleet_limits::take_rate_token(time_point now,
                                                      usage& use,
                                                      std::int64_t rate) const
{
    const double own_rate =
        static_cast<double>(rate) / static_cast<double>(members_.size());
    const double burst = std::max(1.0, own_rate * options_.burst_seconds);
    if (use.rate_tokens < 0)
    {
        use.rate_tokens = burst;
        use.rate_filled = now;
    }
    const double refill = to_seconds(now - use.rate_filled) * own_rate;
    use.rate_tokens = std::min(burst, use.rate_tokens + refill);
    use.rate_filled = now;
    if (use.rate_tokens < 1)
    {
        return from_seconds((1 - use.rate_tokens) / own_rate);
    }
    use.rate_tokens -= 1;
    return std::nullopt;
}

std::optional<duration> fleet_limits::admit(time_point now,
                                            const std::string& workspace)
{
    usage& use = usage_[workspace];
    update_peak(now, use);
    const workspace_row* const row = table_.find(workspace);
    const bool limited = row != nullptr && row->max_in_flight > 0;
    if (limited && use.in_flight >= quota(now, workspace))
    {
        ++use.refused;
        return retry_delay_at_limit;
    }
    if (row != nullptr && row->max_rate > 0)
    {
        if (const auto wait = take_rate_token(now, use, row->max_rate))
        {
            return wait;
        }
    }
    ++use.in_flight;
    update_peak(now, use);
    return std::nullopt;
}

void fleet_limits::release(const std::string& workspace)
{
    --usage_[workspace].in_flight;
}

// ---------------------------------------------------------------------------
// Lending
// ---------------------------------------------------------------------------

unit_map fleet_limits::wants(time_point now) const
{
    unit_map wanted;
    for (const auto& [workspace, use] : usage_)
    {
        const std::int64_t limit = limit_of(workspace);
        if (limit == 0 || now - use.peak_since > 2 * options_.peak_window)
        {
            continue;
        }
        const std::int64_t more =
            use.peak + use.refused - own_quota(use, limit);
        if (more > 0)
        {
            wanted[workspace] = std::min(more, limit);
        }
    }
    return wanted;
}

void fleet_limits::expire_loans(time_point now, usage& use) const
{
    std::erase_if(use.lent, [&](const auto& item)
                  { return now - item.second.sent > options_.lender_timeout; });
}

unit_map fleet_limits::offer(time_point now, const std::string& peer,
                             const unit_map& wanted)
{
    unit_map offered;
    for (auto& [workspace, use] : usage_)
    {
        expire_loans(now, use);
    }
    for (const auto& [workspace, units] : wanted)
    {
        usage_.try_emplace(workspace);
    }
    for (auto& [workspace, use] : usage_)
    {
        const std::int64_t limit = limit_of(workspace);
        const auto asked = wanted.find(workspace);
        const std::int64_t want = asked == wanted.end() ? 0 : asked->second;
        const auto known = use.lent.find(peer);
        if (limit == 0 || (want == 0 && known == use.lent.end()))
        {
            continue;
        }
        update_peak(now, use);
        loan& to_peer = use.lent[peer];
        const std::int64_t spare = own_quota(use, limit) + to_peer.counted -
                                   use.peak - use.refused - spare_margin;
        to_peer.offered =
            std::clamp<std::int64_t>(want, 0, std::max<std::int64_t>(spare, 0));
        to_peer.counted = std::max(to_peer.counted, to_peer.offered);
        to_peer.sent = now;
        offered[workspace] = to_peer.offered;
    }
    return offered;
}

void fleet_limits::on_offer_answered(const std::string& peer,
                                     const unit_map& holds)
{
    for (auto& [workspace, use] : usage_)
    {
        const auto found = use.lent.find(peer);
        if (found == use.lent.end())
        {
            continue;
        }
        const auto held = holds.find(workspace);
        const std::int64_t in_use = held == holds.end() ? 0 : held->second;
        loan& to_peer = found->second;
        to_peer.counted =
            std::max(to_peer.offered, std::min(in_use, to_peer.counted));
        if (to_peer.counted == 0)
        {
            use.lent.erase(found);
        }
    }
}

void fleet_limits::borrow(time_point now, const std::string& peer,
                          const unit_map& lends)
{
    for (auto& [workspace, use] : usage_)
    {
        use.borrowed.erase(peer);
    }
    for (const auto& [workspace, units] : lends)
    {
        usage_[workspace].borrowed[peer] = {.units = units,
                                            .until = now + options_.lease};
    }
}

unit_map fleet_limits::holds() const
{
    unit_map held;
    for (const auto& [workspace, use] : usage_)
    {
        const std::int64_t excess =
            use.in_flight - own_quota(use, limit_of(workspace));
        if (excess > 0 && limit_of(workspace) > 0)
        {
            held[workspace] = excess;
        }
    }
    return held;
}

} // namespace springstair
