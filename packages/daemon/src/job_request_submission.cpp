// How a submitted job is accepted, also while the store is away.

#include "job_request_handler.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

// A store that is slow answers the second try, which waits twice as long. One
// that leaves both unanswered is away here: another entry may reach it.
constexpr std::int64_t max_unanswered = 2;
} // namespace

void job_request_handler::handle(const platform::submit_request& what,
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
    store_unavailable_since_ ? forward(taken, to) : submit(taken, to);
}

// Another entry writes the same job, or finds it.
void job_request_handler::forward(const job& what, const request_ptr& to)
{
    forward_request(
        {.method = "POST",
         .job = what.id,
         .body = make_body(json(what).dump())},
        to, [this, what, to] { give_up(what, to, "the store is away"); });
}

// What may have been written somewhere must not be refused.
void job_request_handler::give_up(const job& what, const request_ptr& to,
                                  const char* why)
{
    to->may_be_done ? answer_unknown(what, to)
                    : refuse_submission(what, to, why);
}

void job_request_handler::refuse_submission(const job& what,
                                            const request_ptr& to,
                                            const char* why)
{
    process_.numbers.count("job_not_taken", {what.queue, "job"}, why);
    const duration away = store_unavailable_since_
                              ? boot_clock::now() - *store_unavailable_since_
                              : duration{0};
    log_event(event_id::job_not_taken,
              {{"job", what.id},
               {"why", why},
               {"tries", std::to_string(to->tries)},
               {"store_away_ms", std::to_string(to_milliseconds(away))}});
    answer(to, platform::not_taken_answer(caller_retry_after, why));
}

void job_request_handler::submit(const job& what, const request_ptr& to)
{
    ++to->tries;
    store_.transact(acceptance_of(what), call_time(to),
                    process_.on_control<store_result>(
                        [this, what, to](const store_result& result)
                        { on_submitted(what, to, result); }));
}

// The job is created if it is not there. A conflict shows that it is: this
// request, or an earlier one for the same job, was done.
void job_request_handler::on_submitted(const job& what, const request_ptr& to,
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
            notify_leader(what);
        }
        return;
    }
    if (result.status == store_status::unknown)
    {
        to->may_be_done = true;
        ++to->unanswered;
    }
    if (to->unanswered >= max_unanswered)
    {
        on_unserved(what, to);
        return;
    }
    if (result.status == store_status::refused)
    {
        on_unserved(what, to);
        return;
    }
    again(to, [this, what, to] { submit(what, to); });
}

// The job may be written here or not; written by another entry it is the same
// job. If none can, the caller is told at once, and asks again elsewhere.
void job_request_handler::on_unserved(const job& what, const request_ptr& to)
{
    to->passed_on ? give_up(what, to, "the store refuses") : forward(what, to);
}

void job_request_handler::answer_unknown(const job& what, const request_ptr& to)
{
    process_.numbers.count("job_not_taken", {what.queue, "job"}, "unknown");
    log_event(event_id::job_not_taken,
              {{"job", what.id},
               {"why", "the store gave no answer; it may have the job"},
               {"tries", std::to_string(to->tries)}});
    answer(to, platform::unknown_answer("the store gave no answer"));
}

// Saves the time until the holder finds the job in the store.
void job_request_handler::notify_leader(const job& what)
{
    if (job_scheduler_.ready())
    {
        job_scheduler_.job_was_accepted(what);
        return;
    }
    query_leader("accepted", what, [](const std::optional<json>&) {});
}

} // namespace springstair
