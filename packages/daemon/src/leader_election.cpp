#include "leader_election.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

// A dead holder is noticed after this long: short beside the seconds that
// callers wait, long beside a slow store's answer.
constexpr duration lease_ttl = std::chrono::milliseconds(2000);
constexpr duration renew_interval = std::chrono::milliseconds(500);
// A quiet holder reads its key so often; a busy one's writes prove as much.
constexpr duration check_interval = std::chrono::milliseconds(1000);
constexpr duration watch_wait = std::chrono::seconds(8);
// An entry that others go before hears of a new holder from anyone.
constexpr duration long_watch_wait = std::chrono::seconds(20);
constexpr duration pause = std::chrono::milliseconds(150);
constexpr int nonce_bytes = 6;

json leader_value(const process_context& process, const std::string& nonce)
{
    return {{"entry", process.from.name},
            {"address", announced_address(process.from)},
            {"nonce", nonce}};
}

json document_of(const platform::store_item& item)
{
    const json value = json::parse(item.value, nullptr, false);
    return value.is_object() ? value : json::object();
}

std::string address_in(const platform::store_item& item)
{
    return document_of(item).value("address", "");
}

} // namespace

leader_election::leader_election(process_context& process,
                                 platform::store_client& store, callbacks then)
    : process_(process), store_(store), then_(std::move(then)),
      watch_(process, store, watch_wait,
             [this](const std::optional<platform::store_item>& item)
             { follow(item); }),
      nonce_(random_hex(nonce_bytes))
{
}

void leader_election::tick(time_point now)
{
    if (at_ == stage::leader)
    {
        watch_.tick(now);
        if (now >= next_renewal_ && !renewing_)
        {
            renew();
        }
        if (now - verified_ > check_interval)
        {
            check();
        }
        return;
    }
    watch_.tick(now);
    if (busy_)
    {
        return;
    }
    if (at_ == stage::candidate && now >= next_)
    {
        const bool usable = lease_ != 0 && now < lease_fresh_until_;
        usable ? claim() : take();
    }
}

void leader_election::note_answer(const store_result& result)
{
    if (result.status == store_status::unknown)
    {
        timeout_.unanswered();
        return;
    }
    if (result.status != store_status::refused)
    {
        timeout_.answered(result.took);
        store_answered_ = boot_clock::now();
    }
}

// ---------------------------------------------------------------------------
// Following another holder
// ---------------------------------------------------------------------------

void leader_election::follow(const std::optional<platform::store_item>& item)
{
    if (item && item->revision < newest_epoch())
    {
        return; // a newer one is known
    }
    if (at_ == stage::leader)
    {
        const bool newer = item && item->revision > epoch_;
        if (newer)
        {
            lose("another entry holds it",
                 {.epoch = item->revision, .holder = address_in(*item)});
        }
        else if (!item)
        {
            check();
        }
    }
    if (at_ == stage::leader || at_ == stage::resigned)
    {
        return;
    }
    replaces_ = 0;
    if (!item)
    {
        leader_.clear();
        if (at_ == stage::follower)
        {
            next_ = boot_clock::now() + turn_.delay;
        }
        at_ = stage::candidate;
        return;
    }
    if (document_of(*item).value("nonce", "") == nonce_)
    {
        hold(item->revision, boot_clock::now());
        return;
    }
    record_leader(*item);
    if (!takeover_from_.empty())
    {
        // Another one was faster.
        then_.told(std::exchange(takeover_from_, {}), 0);
    }
    if (is_own_previous_incarnation())
    {
        replaces_ = item->revision;
        at_ = stage::candidate;
        return;
    }
    at_ = stage::follower;
}

void leader_election::set_claim_schedule(const claim_schedule& turn)
{
    turn_ = turn;
    watch_.set_wait(turn.is_successor ? watch_wait : long_watch_wait);
}

void leader_election::recheck_leader()
{
    if (at_ == stage::follower)
    {
        watch_.refresh();
    }
}

void leader_election::told(std::int64_t epoch, const std::string& leader)
{
    if (epoch <= newest_epoch() || leader.empty() || at_ == stage::resigned)
    {
        return;
    }
    if (at_ == stage::leader)
    {
        lose("another entry tells of a newer holder",
             {.epoch = epoch, .holder = leader});
    }
    leader_ = leader;
    leader_epoch_ = epoch;
    at_ = stage::follower;
}

// The key of a process of this VM that is gone: this one has its port. It need
// not wait for the end of the lease, 0.8 s of the 1.7 s between a loss of all
// power and the next office (the holders' log of a played day, 62 workers).
bool leader_election::is_own_previous_incarnation() const
{
    return !has_held_ && leader_ == announced_address(process_.from);
}

void leader_election::record_leader(const platform::store_item& item)
{
    leader_ = address_in(item);
    leader_epoch_ = item.revision;
}

// ---------------------------------------------------------------------------
// Taking the office
// ---------------------------------------------------------------------------

// The claim names the holder's revision: of several entries, one takes it.
void leader_election::take_over(const take_over_request& what)
{
    if (at_ != stage::follower || what.epoch < newest_epoch())
    {
        then_.told(what.from, 0);
        return;
    }
    takeover_from_ = what.from;
    replaces_ = what.epoch;
    at_ = stage::candidate;
    next_ = {};
}

// Who was asked to take an office and cannot says so: another one can.
void leader_election::note_unserved()
{
    next_ = boot_clock::now() + pause;
    if (takeover_from_.empty())
    {
        return;
    }
    replaces_ = 0;
    at_ = stage::follower;
    then_.told(std::exchange(takeover_from_, {}), 0);
}

void leader_election::take()
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
    note_answer(result);
    if (result.status != store_status::done)
    {
        note_unserved();
        return;
    }
    lease_ = result.lease;
    lease_fresh_until_ = boot_clock::now() + lease_ttl / 2;
}

// The same claim is repeated until its outcome is known: it is conditioned on
// the key's absence, or on one revision of it, so it takes effect once at most.
void leader_election::claim()
{
    busy_ = true;
    const time_point sent = boot_clock::now();
    store_.transact({.compares = {{.key = leader_key,
                                   .target = kv_compare::number::mod_revision,
                                   .equals = replaces_}},
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
    note_answer(result);
    if (at_ == stage::resigned)
    {
        return;
    }
    switch (result.status)
    {
    case store_status::done:
        hold(result.revision, sent);
        return;
    case store_status::conflict:
        if (!result.items.empty())
        {
            const platform::store_item& other = result.items.front();
            follow(other.revision == 0 ? std::nullopt : std::optional(other));
        }
        return;
    case store_status::absent: // the lease is over
        lease_ = 0;
        return;
    case store_status::compacted:
    case store_status::refused:
    case store_status::unknown:
        note_unserved();
        return;
    }
}

void leader_election::hold(std::int64_t revision, time_point sent)
{
    at_ = stage::leader;
    held_since_ = boot_clock::now();
    has_held_ = true;
    replaces_ = 0;
    epoch_ = revision;
    verified_ = sent;
    next_renewal_ = sent + renew_interval;
    leader_ = announced_address(process_.from);
    then_.taken(epoch_);
    if (!takeover_from_.empty())
    {
        then_.told(std::exchange(takeover_from_, {}), epoch_);
    }
}

// ---------------------------------------------------------------------------
// Keeping it
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
    note_answer(result);
    if (at_ != stage::leader)
    {
        return;
    }
    if (result.status == store_status::absent)
    {
        lose("its lease is over");
        return;
    }
    if (result.status != store_status::done)
    {
        next_renewal_ = boot_clock::now() + pause;
    }
}

// A lease that lives does not prove that the key is still there.
void leader_election::check()
{
    if (checking_)
    {
        return;
    }
    checking_ = true;
    const time_point sent = boot_clock::now();
    store_.read(leader_key, timeout_.value(),
                process_.on_control<store_result>(
                    [this, sent](const store_result& result)
                    {
                        checking_ = false;
                        note_answer(result);
                        if (at_ != stage::leader)
                        {
                            return;
                        }
                        const bool ours =
                            !result.items.empty() &&
                            result.items.front().revision == epoch_;
                        if (result.status == store_status::done && ours)
                        {
                            verified(sent);
                        }
                        else if (result.status == store_status::done ||
                                 result.status == store_status::absent)
                        {
                            lose("its key is gone");
                        }
                    }));
}

void leader_election::verified(time_point sent)
{
    verified_ = std::max(verified_, sent);
    store_answered_ = std::max(store_answered_, sent);
}

void leader_election::superseded(const char* why)
{
    if (at_ == stage::leader)
    {
        lose(why);
    }
}

void leader_election::lose(const char* why, const leader_change& next)
{
    log_event(event_id::office_lost,
              {{"epoch", std::to_string(epoch_)},
               {"why", why},
               {"verified_ms_ago", std::to_string(to_milliseconds(
                                       boot_clock::now() - verified_))}});
    at_ = stage::follower;
    watch_.refresh();
    lease_ = 0;
    leader_epoch_ = std::max(leader_epoch_, epoch_);
    epoch_ = 0;
    next_ = {};
    leader_.clear();
    nonce_ = random_hex(nonce_bytes);
    then_.lost(next);
}

void leader_election::retire()
{
    const bool held = at_ == stage::leader;
    at_ = stage::resigned;
    if (!held)
    {
        return;
    }
    log_event(event_id::office_lost,
              {{"epoch", std::to_string(epoch_)}, {"why", "a planned stop"}});
    // The key goes with its lease, and another entry takes over at once.
    store_.end_lease(lease_, timeout_.value(), [](const store_result&) {});
    leader_.clear();
    then_.lost({});
}

} // namespace springstair
