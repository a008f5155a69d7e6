#include <springstair/policy.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr duration retry_when_full = std::chrono::milliseconds(200);
constexpr std::int64_t headroom = 1;

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
                      if (now - item.second < options_.departure_wait)
                      {
                          return false;
                      }
                      members_.erase(item.first);
                      return true;
                  });
}

// ---------------------------------------------------------------------------
// Parts
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

std::int64_t fleet_limits::own_part(const usage& of, std::int64_t limit) const
{
    std::int64_t units = even_quota(limit);
    for (const auto& [peer, loan] : of.lent)
    {
        units -= loan.counted;
    }
    return units;
}

std::int64_t fleet_limits::borrowed_now(time_point now, const usage& of)
{
    std::int64_t units = 0;
    for (const auto& [peer, borrowed] : of.borrowed)
    {
        units += now < borrowed.until ? borrowed.units : 0;
    }
    return units;
}

std::int64_t fleet_limits::part(time_point now,
                                const std::string& workspace) const
{
    const std::int64_t limit = limit_of(workspace);
    const auto found = usage_.find(workspace);
    if (found == usage_.end())
    {
        return even_quota(limit);
    }
    return own_part(found->second, limit) + borrowed_now(now, found->second);
}

std::int64_t fleet_limits::in_flight(const std::string& workspace) const
{
    const auto found = usage_.find(workspace);
    return found == usage_.end() ? 0 : found->second.in_flight;
}

// ---------------------------------------------------------------------------
// Requests
// ---------------------------------------------------------------------------

void fleet_limits::note_use(time_point now, usage& of) const
{
    if (now - of.peak_since > options_.peak_window)
    {
        of.peak = of.in_flight;
        of.refused = 0;
        of.peak_since = now;
    }
    of.peak = std::max(of.peak, of.in_flight);
}

std::optional<duration> fleet_limits::take_rate(time_point now, usage& of,
                                                std::int64_t rate) const
{
    const double part =
        static_cast<double>(rate) / static_cast<double>(members_.size());
    const double most = std::max(1.0, part * options_.burst_seconds);
    if (of.rate_tokens < 0)
    {
        of.rate_tokens = most;
        of.rate_filled = now;
    }
    const double refill = to_seconds(now - of.rate_filled) * part;
    of.rate_tokens = std::min(most, of.rate_tokens + refill);
    of.rate_filled = now;
    if (of.rate_tokens < 1)
    {
        return from_seconds((1 - of.rate_tokens) / part);
    }
    of.rate_tokens -= 1;
    return std::nullopt;
}

std::optional<duration> fleet_limits::admit(time_point now,
                                            const std::string& workspace)
{
    usage& of = usage_[workspace];
    note_use(now, of);
    const workspace_row* const row = table_.find(workspace);
    const bool limited = row != nullptr && row->max_in_flight > 0;
    if (limited && of.in_flight >= part(now, workspace))
    {
        ++of.refused;
        return retry_when_full;
    }
    if (row != nullptr && row->max_rate > 0)
    {
        if (const auto wait = take_rate(now, of, row->max_rate))
        {
            return wait;
        }
    }
    ++of.in_flight;
    note_use(now, of);
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
    for (const auto& [workspace, of] : usage_)
    {
        const std::int64_t limit = limit_of(workspace);
        if (limit == 0 || now - of.peak_since > 2 * options_.peak_window)
        {
            continue;
        }
        const std::int64_t more = of.peak + of.refused - own_part(of, limit);
        if (more > 0)
        {
            wanted[workspace] = std::min(more, limit);
        }
    }
    return wanted;
}

void fleet_limits::expire_loans(time_point now, usage& of) const
{
    std::erase_if(of.lent, [&](const auto& item)
                  { return now - item.second.sent > options_.lender_wait; });
}

unit_map fleet_limits::offer(time_point now, const std::string& peer,
                             const unit_map& wanted)
{
    unit_map offered;
    for (auto& [workspace, of] : usage_)
    {
        expire_loans(now, of);
    }
    for (const auto& [workspace, row_units] : wanted)
    {
        usage_.try_emplace(workspace);
    }
    for (auto& [workspace, of] : usage_)
    {
        const std::int64_t limit = limit_of(workspace);
        const auto asked = wanted.find(workspace);
        const std::int64_t want = asked == wanted.end() ? 0 : asked->second;
        const auto known = of.lent.find(peer);
        if (limit == 0 || (want == 0 && known == of.lent.end()))
        {
            continue;
        }
        note_use(now, of);
        loan& to_peer = of.lent[peer];
        const std::int64_t spare = own_part(of, limit) + to_peer.counted -
                                   of.peak - of.refused - headroom;
        to_peer.offered =
            std::clamp<std::int64_t>(want, 0, std::max<std::int64_t>(spare, 0));
        to_peer.counted = std::max(to_peer.counted, to_peer.offered);
        to_peer.sent = now;
        offered[workspace] = to_peer.offered;
    }
    return offered;
}

void fleet_limits::settled(const std::string& peer, const unit_map& holds)
{
    for (auto& [workspace, of] : usage_)
    {
        const auto found = of.lent.find(peer);
        if (found == of.lent.end())
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
            of.lent.erase(found);
        }
    }
}

void fleet_limits::borrow(time_point now, const std::string& peer,
                          const unit_map& lends)
{
    for (auto& [workspace, of] : usage_)
    {
        of.borrowed.erase(peer);
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
    for (const auto& [workspace, of] : usage_)
    {
        const std::int64_t beyond =
            of.in_flight - own_part(of, limit_of(workspace));
        if (beyond > 0 && limit_of(workspace) > 0)
        {
            held[workspace] = beyond;
        }
    }
    return held;
}

} // namespace springstair
