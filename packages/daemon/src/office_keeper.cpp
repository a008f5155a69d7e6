#include "office_keeper.hpp"

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
constexpr duration renew_every = std::chrono::milliseconds(500);
// A quiet holder reads its key so often; a busy one's writes prove as much.
constexpr duration check_every = std::chrono::milliseconds(1000);
constexpr duration watch_wait = std::chrono::seconds(8);
constexpr duration pause = std::chrono::milliseconds(150);
constexpr int nonce_bytes = 6;
// An entry with this many times the holder's processors asks for the office:
// the holder's work grows with the fleet, and a small VM falls behind.
constexpr double much_larger = 1.5;
// A new holder is left alone for this long: others may start just now.
constexpr duration settling = std::chrono::milliseconds(500);
// Between two requests to the same holder.
constexpr duration request_every = std::chrono::seconds(5);
constexpr duration request_timeout = std::chrono::milliseconds(300);
// Who gave the office up leaves it to others for this long: three lookups.
constexpr duration stand_back = std::chrono::seconds(3);

json holder_value(const job_process& process, const std::string& nonce)
{
    return {{"entry", process.from.name},
            {"address", announced_address(process.from)},
            {"nonce", nonce},
            {"processors", process.from.processors}};
}

} // namespace

office_keeper::office_keeper(job_process& process,
                             platform::store_client& store, callbacks then)
    : process_(process), store_(store), then_(std::move(then)),
      watch_(process, store, watch_wait,
             [this](const std::optional<platform::store_item>& item)
             { follow(item); }),
      nonce_(random_hex(nonce_bytes))
{
}

void office_keeper::tick(time_point now)
{
    if (at_ == stage::holding)
    {
        watch_.tick(now);
        if (now >= next_renewal_ && !renewing_)
        {
            renew();
        }
        if (now - verified_ > check_every)
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
    if (at_ == stage::taking && now >= next_)
    {
        const bool usable = lease_ != 0 && now < lease_fresh_until_;
        usable ? claim() : take();
    }
    if (at_ == stage::watching && !holder_.empty() && now >= next_request_ &&
        process_.from.processors >= much_larger * holder_processors_)
    {
        ask_for_office();
    }
}

void office_keeper::note_answer(const store_result& result)
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

void office_keeper::follow(const std::optional<platform::store_item>& item)
{
    if (item && item->revision < newest_epoch())
    {
        return; // a newer one is known
    }
    if (at_ == stage::holding)
    {
        const bool newer = item && item->revision > epoch_;
        if (newer)
        {
            lose("another entry holds it");
        }
        else if (!item)
        {
            check();
        }
    }
    if (at_ == stage::holding || at_ == stage::retired)
    {
        return;
    }
    replaces_ = 0;
    if (!item)
    {
        holder_.clear();
        at_ = stage::taking;
        return;
    }
    const json value = json::parse(item->value, nullptr, false);
    const json document = value.is_object() ? value : json::object();
    if (document.value("nonce", "") == nonce_)
    {
        hold(item->revision, boot_clock::now());
        return;
    }
    note_holder(*item, document);
    if (is_of_former_process())
    {
        replaces_ = item->revision;
        at_ = stage::taking;
        return;
    }
    at_ = stage::watching;
}

void office_keeper::told(std::int64_t epoch, const std::string& holder)
{
    if (epoch <= newest_epoch() || holder.empty() || at_ == stage::retired)
    {
        return;
    }
    if (at_ == stage::holding)
    {
        lose("another entry tells of a newer holder");
    }
    holder_ = holder;
    holder_epoch_ = epoch;
    holder_processors_ = process_.from.processors;
    next_request_ = boot_clock::now() + settling;
    at_ = stage::watching;
}

// The key of a process of this VM that is gone: this one has its port. It need
// not wait for the end of the lease, 0.8 s of the 1.7 s between a loss of all
// power and the next office (the holders' log of a played day, 62 workers).
bool office_keeper::is_of_former_process() const
{
    return !has_held_ && holder_ == announced_address(process_.from);
}

void office_keeper::note_holder(const platform::store_item& item,
                                const json& document)
{
    if (item.revision != holder_epoch_)
    {
        next_request_ = boot_clock::now() + settling;
    }
    holder_ = document.value("address", "");
    holder_epoch_ = item.revision;
    holder_processors_ = document.value("processors", process_.from.processors);
}

// ---------------------------------------------------------------------------
// From a small VM to a large one
// ---------------------------------------------------------------------------

// A lease first: it shows that the store answers here, and the claim that
// follows needs it.
void office_keeper::ask_for_office()
{
    next_request_ = boot_clock::now() + request_every;
    busy_ = true;
    store_.grant_lease(lease_ttl, timeout_.value(),
                       process_.on_control<store_result>(
                           [this](const store_result& result)
                           {
                               on_lease(result);
                               if (lease_ != 0 && at_ == stage::watching)
                               {
                                   send_request();
                               }
                           }));
}

void office_keeper::send_request()
{
    log_event(event_id::office_asked_for,
              {{"holder", holder_}, {"epoch", std::to_string(holder_epoch_)}});
    process_.client.send(
        {.method = "POST",
         .url = "http://" + holder_ + wire::rpc_path,
         .headers = {{"content-type", "application/json"}},
         .body = make_body(
             rpc_request(wire::hand_over_method, {{"epoch", holder_epoch_}})),
         .timeout = request_timeout},
        [](const http_result&) {}); // the key tells what came of it
}

bool office_keeper::hand_over(std::int64_t epoch)
{
    if (at_ != stage::holding || epoch != epoch_)
    {
        return false;
    }
    store_.end_lease(lease_, timeout_.value(), [](const store_result&) {});
    lose("a larger entry takes over");
    next_ = boot_clock::now() + stand_back;
    return true;
}

// ---------------------------------------------------------------------------
// Taking the office
// ---------------------------------------------------------------------------

void office_keeper::take()
{
    busy_ = true;
    store_.grant_lease(
        lease_ttl, timeout_.value(),
        process_.on_control<store_result>([this](const store_result& result)
                                          { on_lease(result); }));
}

void office_keeper::on_lease(const store_result& result)
{
    busy_ = false;
    note_answer(result);
    if (result.status != store_status::done)
    {
        next_ = boot_clock::now() + pause;
        return;
    }
    lease_ = result.lease;
    lease_fresh_until_ = boot_clock::now() + lease_ttl / 2;
}

// The same claim is repeated until its outcome is known: it is conditioned on
// the key's absence, or on one revision of it, so it takes effect once at most.
void office_keeper::claim()
{
    busy_ = true;
    const time_point sent = boot_clock::now();
    store_.transact({.compares = {{.key = holder_key,
                                   .of = kv_compare::number::mod_revision,
                                   .equals = replaces_}},
                     .puts = {{.key = holder_key,
                               .value = holder_value(process_, nonce_).dump(),
                               .lease = lease_}}},
                    timeout_.value(),
                    process_.on_control<store_result>(
                        [this, sent](const store_result& result)
                        { on_claim(result, sent); }));
}

void office_keeper::on_claim(const store_result& result, time_point sent)
{
    busy_ = false;
    note_answer(result);
    if (at_ == stage::retired)
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
        next_ = boot_clock::now() + pause;
        return;
    }
}

void office_keeper::hold(std::int64_t revision, time_point sent)
{
    at_ = stage::holding;
    has_held_ = true;
    replaces_ = 0;
    epoch_ = revision;
    verified_ = sent;
    next_renewal_ = sent + renew_every;
    holder_ = announced_address(process_.from);
    then_.taken(epoch_);
}

// ---------------------------------------------------------------------------
// Keeping it
// ---------------------------------------------------------------------------

void office_keeper::renew()
{
    renewing_ = true;
    next_renewal_ = boot_clock::now() + renew_every;
    store_.renew_lease(
        lease_, timeout_.value(),
        process_.on_control<store_result>([this](const store_result& result)
                                          { on_renewed(result); }));
}

void office_keeper::on_renewed(const store_result& result)
{
    renewing_ = false;
    note_answer(result);
    if (at_ != stage::holding)
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
void office_keeper::check()
{
    if (checking_)
    {
        return;
    }
    checking_ = true;
    const time_point sent = boot_clock::now();
    store_.read(holder_key, timeout_.value(),
                process_.on_control<store_result>(
                    [this, sent](const store_result& result)
                    {
                        checking_ = false;
                        note_answer(result);
                        if (at_ != stage::holding)
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

void office_keeper::verified(time_point sent)
{
    verified_ = std::max(verified_, sent);
    store_answered_ = std::max(store_answered_, sent);
}

void office_keeper::superseded(const char* why)
{
    if (at_ == stage::holding)
    {
        lose(why);
    }
}

void office_keeper::lose(const char* why)
{
    log_event(event_id::office_lost,
              {{"epoch", std::to_string(epoch_)},
               {"why", why},
               {"verified_ms_ago", std::to_string(to_milliseconds(
                                       boot_clock::now() - verified_))}});
    at_ = stage::watching;
    watch_.refresh();
    lease_ = 0;
    holder_epoch_ = std::max(holder_epoch_, epoch_);
    epoch_ = 0;
    next_ = {};
    holder_.clear();
    nonce_ = random_hex(nonce_bytes);
    then_.lost();
}

void office_keeper::retire()
{
    const bool held = at_ == stage::holding;
    at_ = stage::retired;
    if (!held)
    {
        return;
    }
    log_event(event_id::office_lost,
              {{"epoch", std::to_string(epoch_)}, {"why", "a planned stop"}});
    // The key goes with its lease, and another entry takes over at once.
    store_.end_lease(lease_, timeout_.value(), [](const store_result&) {});
    holder_.clear();
    then_.lost();
}

} // namespace springstair
