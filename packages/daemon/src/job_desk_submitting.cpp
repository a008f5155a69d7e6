// How a submitted job is accepted, also while the store is away.

#include "job_desk.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

// A store that refuses this often in a row is away: the caller is told.
constexpr std::int64_t most_refusals = 3;
// A store that is slow answers the second try, which waits twice as long. One
// that leaves both unanswered is away here: another entry may reach it.
constexpr std::int64_t most_unanswered = 2;
// Another entry writes within milliseconds unless the store is away there too.
// Less the answer's margin, 600 ms hold its first try (250 ms), the pause (40)
// and a second one. A store that needs longer than that second one would have
// answered the second try here, which had 500 ms. With the tries here (250 + 40
// + 500) a caller learns of a silent store 1.4 s after it asked.
constexpr duration forward_timeout = std::chrono::milliseconds(850);
constexpr duration probe_every = std::chrono::milliseconds(250);
constexpr duration probe_timeout = std::chrono::milliseconds(600);
constexpr int good_status = 200;
constexpr int bad_request_status = 400;
constexpr int unavailable_status = 503;

} // namespace

void job_desk::handle(const platform::submit_request& what,
                      const request_ptr& to)
{
    const queue_row* const queue = table_.queue(what.what.queue);
    if (queue->advice && process_.from.advice.empty())
    {
        refuse_submission(what.what, to,
                          "the settings name no service to ask for advice");
        return;
    }
    job taken = what.what;
    taken.accepted_ms = day_milliseconds();
    // The store may turn away this VM only: another entry can write the job.
    store_away_since_ ? forward(taken, to) : submit(taken, to);
}

// ---------------------------------------------------------------------------
// While the store is away
// ---------------------------------------------------------------------------

std::string job_desk::other_entry()
{
    const std::string own = announced_address(process_.from);
    if (!office_.holder().empty() && office_.holder() != own)
    {
        return office_.holder();
    }
    const auto& entries = process_.from.entries;
    for (std::size_t tried = 0; tried < entries.size(); ++tried)
    {
        const std::string& one = entries[++forwarded_ % entries.size()];
        if (one != own)
        {
            return one;
        }
    }
    return {};
}

void job_desk::forward(const job& what, const request_ptr& to)
{
    to->passed_on = true;
    const std::string address = other_entry();
    if (address.empty())
    {
        give_up(what, to, "the store is away");
        return;
    }
    process_.client.send({.method = "POST",
                          .url = "http://" + address + forward_path,
                          .headers = {{"content-type", "application/json"}},
                          .body = make_body(json(what).dump()),
                          .timeout = forward_timeout,
                          .connect_timeout = holder_timeout},
                         process_.on_control<http_result>(
                             [this, what, to](const http_result& result)
                             { on_forward_ended(what, to, result); }));
}

void job_desk::on_forward_ended(const job& what, const request_ptr& to,
                                const http_result& result)
{
    const bool answered = result.how == delivery::answered;
    if (answered && result.response.status == good_status)
    {
        answer(to, platform::accepted_answer());
        return;
    }
    const bool surely_not =
        result.how == delivery::not_sent ||
        (answered && result.response.status == unavailable_status);
    to->may_be_done = to->may_be_done || !surely_not;
    give_up(what, to, "the store is away, here and there");
}

// What may have been written somewhere must not be refused.
void job_desk::give_up(const job& what, const request_ptr& to, const char* why)
{
    to->may_be_done ? answer_unknown(what, to)
                    : refuse_submission(what, to, why);
}

void job_desk::on_forwarded(const http_arrival& arrival)
{
    const time_point now = boot_clock::now();
    auto request = std::make_shared<open_request>(
        open_request{.responder = arrival.responder,
                     .arrived = now,
                     .give_up = now + forward_timeout - answer_margin,
                     .passed_on = true});
    ++open_;
    try
    {
        const job what = json::parse(*arrival.request.body).get<job>();
        if (store_away_since_)
        {
            refuse_submission(what, request, "the store is away");
            return;
        }
        submit(what, request);
    }
    catch (const json::exception& error)
    {
        answer(request,
               json_response(bad_request_status, {{"error", error.what()}}));
    }
}

// Finds out whether the store is back without a caller's request at stake.
void job_desk::probe(time_point now)
{
    if (!store_away_since_ || probing_ || now < next_probe_)
    {
        return;
    }
    probing_ = true;
    next_probe_ = now + probe_every;
    store_.read(holder_key, probe_timeout,
                process_.on_control<store_result>(
                    [this](const store_result& result)
                    {
                        probing_ = false;
                        note_store(result);
                    }));
}

void job_desk::refuse_submission(const job& what, const request_ptr& to,
                                 const char* why)
{
    process_.numbers.count("job_not_taken", {what.queue, "job"}, why);
    const duration away = store_away_since_
                              ? boot_clock::now() - *store_away_since_
                              : duration{0};
    log_event(event_id::job_not_taken,
              {{"job", what.id},
               {"why", why},
               {"tries", std::to_string(to->tries)},
               {"store_away_ms", std::to_string(to_milliseconds(away))}});
    answer(to, platform::not_taken_answer(come_back, why));
}

// One thing is known of the store: whether it answers this process.
void job_desk::note_store(const store_result& result)
{
    const bool away = result.status == store_status::unknown ||
                      result.status == store_status::refused;
    if (!away)
    {
        timeout_.answered(result.took);
        if (store_away_since_)
        {
            log_event(event_id::store_back);
        }
        store_away_since_.reset();
        return;
    }
    if (result.status == store_status::unknown)
    {
        timeout_.unanswered();
    }
    if (!store_away_since_)
    {
        store_away_since_ = boot_clock::now();
        log_event(event_id::store_lost,
                  {{"refused",
                    result.status == store_status::refused ? "yes" : "no"}});
    }
}

void job_desk::submit(const job& what, const request_ptr& to)
{
    ++to->tries;
    store_.transact(acceptance_of(what), call_time(to),
                    process_.on_control<store_result>(
                        [this, what, to](const store_result& result)
                        { on_submitted(what, to, result); }));
}

// The job is created if it is not there. A conflict shows that it is: this
// request, or an earlier one for the same job, was done.
void job_desk::on_submitted(const job& what, const request_ptr& to,
                            const store_result& result)
{
    note_store(result);
    if (result.status == store_status::done ||
        result.status == store_status::conflict)
    {
        log_event(event_id::job_accepted,
                  {{"job", what.id},
                   {"queue", what.queue},
                   {"table_version", std::to_string(table_.version)},
                   {"revision", std::to_string(result.revision)},
                   {"took_ms", std::to_string(to_milliseconds(
                                   boot_clock::now() - to->arrived))}});
        process_.numbers.observe("accept", {what.queue, "job"},
                                 boot_clock::now() - to->arrived);
        answer(to, platform::accepted_answer());
        if (result.status == store_status::done)
        {
            tell_holder(what);
        }
        return;
    }
    if (result.status == store_status::unknown)
    {
        to->may_be_done = true;
        ++to->unanswered;
    }
    if (to->unanswered >= most_unanswered)
    {
        on_unanswered(what, to);
        return;
    }
    if (!to->may_be_done && to->tries >= most_refusals)
    {
        refuse_submission(what, to, "the store refuses");
        return;
    }
    again(to, [this, what, to] { submit(what, to); });
}

// The job may be written here or not; written by another entry it is the same
// job. If none can, the caller is told at once, and asks again elsewhere.
void job_desk::on_unanswered(const job& what, const request_ptr& to)
{
    if (!to->passed_on)
    {
        forward(what, to);
        return;
    }
    answer_unknown(what, to);
}

void job_desk::answer_unknown(const job& what, const request_ptr& to)
{
    process_.numbers.count("job_not_taken", {what.queue, "job"}, "unknown");
    log_event(event_id::job_not_taken,
              {{"job", what.id},
               {"why", "the store gave no answer; it may have the job"},
               {"tries", std::to_string(to->tries)}});
    answer(to, platform::unknown_answer("the store gave no answer"));
}

// Saves the time until the holder finds the job in the store.
void job_desk::tell_holder(const job& what)
{
    if (holder_.ready())
    {
        holder_.job_was_accepted(what);
        return;
    }
    ask_holder("accepted", what, [](const std::optional<json>&) {});
}

} // namespace springstair
