#include "leader_election.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

// A dead leader is detected after this time: short compared with the seconds
// of a caller's timeout, long compared with a slow store's answer.
constexpr duration lease_ttl = std::chrono::milliseconds(2000);
constexpr duration renew_interval = std::chrono::milliseconds(500);
// After this time without a successful fenced write, which proves leadership as
// well, the leader reads its own key; then again at this interval.
constexpr duration check_interval = std::chrono::milliseconds(1000);
constexpr duration watch_wait = std::chrono::seconds(8);
// For entries that are not among the first successors: other entries inform
// them of a new leader.
constexpr duration long_watch_wait = std::chrono::seconds(20);
constexpr duration retry_delay = std::chrono::milliseconds(150);
constexpr int nonce_bytes = 6;

json leader_value(const process_context& process, const std::string& nonce)
{
    return {{"entry", process.settings.name},
            {"address", announced_address(process.settings)},
            {"nonce", nonce}};
}

std::string member_of(const platform::store_item& item, const char* member)
{
    return text_member(try_parse_json(item.value), member);
}

} // namespace

leader_election::leader_election(process_context& process,
                                 platform::store_client& store,
                                 callbacks handlers)
    : process_(process), store_(store), callbacks_(std::move(handlers)),
      watch_(process, store, watch_wait,
             [this](const std::optional<platform::store_item>& item)
             { on_leader_key(item); }),
      nonce_(random_hex(nonce_bytes))
{
}

void leader_election::tick(time_point now)
{
    if (stage_ == stage::leader)
    {
        watch_.tick(now);
        if (now >= next_renewal_ && !renewing_)
        {
            renew();
        }
        if (now - confirmed_at_ > check_interval)
        {
            check_key();
        }
        return;
    }
    watch_.tick(now);
    if (busy_)
    {
        return;
    }
    if (stage_ == stage::candidate && now >= next_attempt_at_)
    {
        const bool usable = lease_ != 0 && now < lease_fresh_until_;
        usable ? claim() : request_lease();
    }
}

void leader_election::record_store_result(const store_result& result)
{
    if (result.status == store_status::unknown)
    {
        timeout_.unanswered();
        return;
    }
    if (result.status != store_status::refused)
    {
        timeout_.answered(result.latency);
        store_answered_ = boot_clock::now();
    }
}

// ---------------------------------------------------------------------------
// Following the leader
// ---------------------------------------------------------------------------

void leader_election::on_leader_key(
    const std::optional<platform::store_item>& item)
{
    if (item && item->revision < newest_epoch())
    {
        return; // stale
    }
    if (stage_ == stage::leader)
    {
        const bool newer = item && item->revision > epoch_;
        if (newer)
        {
            lose_leadership("another entry is the leader",
                            {.epoch = item->revision,
                             .holder = member_of(*item, "address")});
        }
        else if (!item)
        {
            check_key();
        }
    }
    if (stage_ == stage::leader || stage_ == stage::resigned)
    {
        return;
    }
    expected_revision_ = 0;
    if (!item)
    {
        leader_.clear();
        if (stage_ == stage::follower)
        {
            next_attempt_at_ = boot_clock::now() + claim_schedule_.delay;
        }
        stage_ = stage::candidate;
        return;
    }
    // This entry's claim took effect, but its answer is late or lost.
    if (member_of(*item, "nonce") == nonce_)
    {
        become_leader(item->revision, boot_clock::now());
        return;
    }
    record_leader(*item);
    if (!takeover_from_.empty())
    {
        // Another entry was elected first.
        callbacks_.takeover_answered(std::exchange(takeover_from_, {}), 0);
    }
    if (is_own_previous_incarnation())
    {
        expected_revision_ = item->revision;
        stage_ = stage::candidate;
        return;
    }
    stage_ = stage::follower;
}

void leader_election::set_claim_schedule(const claim_schedule& schedule)
{
    claim_schedule_ = schedule;
    watch_.set_wait(schedule.is_successor ? watch_wait : long_watch_wait);
}

void leader_election::recheck_leader()
{
    if (stage_ == stage::follower)
    {
        watch_.refresh();
    }
}

void leader_election::observe_leader(std::int64_t epoch,
                                     const std::string& leader)
{
    if (epoch <= newest_epoch() || leader.empty() || stage_ == stage::resigned)
    {
        return;
    }
    if (stage_ == stage::leader)
    {
        lose_leadership("another entry reported a newer leader",
                        {.epoch = epoch, .holder = leader});
    }
    leader_ = leader;
    leader_epoch_ = epoch;
    stage_ = stage::follower;
}

// Whether the key was written by a previous process on this VM. That process
// has ended, since this one listens on its port. So this entry need not wait
// until the lease expires: that wait was 0.8 s of the 1.7 s between a loss of
// all power and the next term (simulated day, 62 workers).
bool leader_election::is_own_previous_incarnation() const
{
    return !was_leader_ && leader_ == announced_address(process_.settings);
}

void leader_election::record_leader(const platform::store_item& item)
{
    leader_ = member_of(item, "address");
    leader_epoch_ = item.revision;
}

// ---------------------------------------------------------------------------
// Claiming leadership
// ---------------------------------------------------------------------------

// The claim is conditioned on the leader's revision, so at most one of several
// entries succeeds.
void leader_election::take_over(const take_over_request& request)
{
    if (stage_ != stage::follower || request.epoch < newest_epoch())
    {
        callbacks_.takeover_answered(request.from, 0);
        return;
    }
    takeover_from_ = request.from;
    expected_revision_ = request.epoch;
    stage_ = stage::candidate;
    next_attempt_at_ = {};
}

// Schedules the next attempt. If a handover was requested, reports the failure,
// so that the leader can ask another entry.
void leader_election::on_claim_failed()
{
    next_attempt_at_ = boot_clock::now() + retry_delay;
    if (takeover_from_.empty())
    {
        return;
    }
    expected_revision_ = 0;
    stage_ = stage::follower;
    callbacks_.takeover_answered(std::exchange(takeover_from_, {}), 0);
}

void leader_election::request_lease()
{
    busy_ = true;
    store_.grant_lease(
        lease_ttl, timeout_.value(),
        process_.on_control<store_result>([this](const store_result& result)
                                          { on_lease(result); }));
}

void leader_election::on_lease(const store_result& result)
{
    busy_ = false;
    record_store_result(result);
    if (result.status != store_status::done)
    {
        on_claim_failed();
        return;
    }
    lease_ = result.lease;
    lease_fresh_until_ = boot_clock::now() + lease_ttl / 2;
}

// The same claim is repeated until its outcome is known. It is conditioned on
// the key's absence, or on one revision of it, so it takes effect at most once.
void leader_election::claim()
{
    busy_ = true;
    const time_point sent = boot_clock::now();
    store_.transact({.compares = {{.key = leader_key,
                                   .target = kv_compare::number::mod_revision,
                                   .equals = expected_revision_}},
                     .puts = {{.key = leader_key,
                               .value = leader_value(process_, nonce_).dump(),
                               .lease = lease_}}},
                    timeout_.value(),
                    process_.on_control<store_result>(
                        [this, sent](const store_result& result)
                        { on_claim(result, sent); }));
}

void leader_election::on_claim(const store_result& result, time_point sent)
{
    busy_ = false;
    record_store_result(result);
    if (stage_ == stage::resigned)
    {
        return;
    }
    switch (result.status)
    {
    case store_status::done:
        become_leader(result.revision, sent);
        return;
    case store_status::conflict:
        if (!result.items.empty())
        {
            const platform::store_item& other = result.items.front();
            on_leader_key(other.revision == 0 ? std::nullopt
                                              : std::optional(other));
        }
        return;
    case store_status::absent: // the lease has expired
        lease_ = 0;
        return;
    case store_status::compacted:
    case store_status::refused:
    case store_status::rejected:
    case store_status::unknown:
        on_claim_failed();
        return;
    }
}

void leader_election::become_leader(std::int64_t revision, time_point sent)
{
    stage_ = stage::leader;
    leader_since_ = boot_clock::now();
    was_leader_ = true;
    expected_revision_ = 0;
    epoch_ = revision;
    confirmed_at_ = sent;
    next_renewal_ = sent + renew_interval;
    leader_ = announced_address(process_.settings);
    callbacks_.elected(epoch_);
    if (!takeover_from_.empty())
    {
        callbacks_.takeover_answered(std::exchange(takeover_from_, {}), epoch_);
    }
}

// ---------------------------------------------------------------------------
// Keeping leadership
// ---------------------------------------------------------------------------

void leader_election::renew()
{
    renewing_ = true;
    next_renewal_ = boot_clock::now() + renew_interval;
    store_.renew_lease(
        lease_, timeout_.value(),
        process_.on_control<store_result>([this](const store_result& result)
                                          { on_renewed(result); }));
}

void leader_election::on_renewed(const store_result& result)
{
    renewing_ = false;
    record_store_result(result);
    if (stage_ != stage::leader)
    {
        return;
    }
    if (result.status == store_status::absent)
    {
        lose_leadership("the lease expired");
        return;
    }
    if (result.status != store_status::done)
    {
        next_renewal_ = boot_clock::now() + retry_delay;
    }
}

// Reads the key: a valid lease does not prove that the key still exists.
void leader_election::check_key()
{
    if (checking_)
    {
        return;
    }
    checking_ = true;
    const time_point sent = boot_clock::now();
    store_.read(
        leader_key, timeout_.value(),
        process_.on_control<store_result>(
            [this, sent](const store_result& result)
            {
                checking_ = false;
                record_store_result(result);
                if (stage_ != stage::leader)
                {
                    return;
                }
                const bool ours = !result.items.empty() &&
                                  result.items.front().revision == epoch_;
                if (result.status == store_status::done && ours)
                {
                    confirm_leadership(sent);
                }
                else if (result.status == store_status::done ||
                         result.status == store_status::absent)
                {
                    lose_leadership("the leader key was deleted or replaced");
                }
            }));
}

void leader_election::confirm_leadership(time_point sent)
{
    confirmed_at_ = std::max(confirmed_at_, sent);
    store_answered_ = std::max(store_answered_, sent);
}

void leader_election::step_down(const char* why)
{
    if (stage_ == stage::leader)
    {
        lose_leadership(why);
    }
}

void leader_election::lose_leadership(const char* why,
                                      const leader_change& next)
{
    log_event(event_id::office_lost,
              {{"epoch", std::to_string(epoch_)},
               {"why", why},
               {"verified_ms_ago", std::to_string(to_milliseconds(
                                       boot_clock::now() - confirmed_at_))}});
    stage_ = stage::follower;
    watch_.refresh();
    lease_ = 0;
    leader_epoch_ = std::max(leader_epoch_, epoch_);
    epoch_ = 0;
    next_attempt_at_ = {};
    leader_.clear();
    nonce_ = random_hex(nonce_bytes);
    callbacks_.lost(next);
}

void leader_election::resign()
{
    const bool was_leading = stage_ == stage::leader;
    stage_ = stage::resigned;
    if (!was_leading)
    {
        return;
    }
    log_event(event_id::office_lost,
              {{"epoch", std::to_string(epoch_)}, {"why", "planned stop"}});
    // Ending the lease deletes the key, so another entry can claim at once.
    store_.revoke_lease(lease_, timeout_.value(), [](const store_result&) {});
    leader_.clear();
    callbacks_.lost({});
}

} // namespace springstair
