// Acceptance of submitted jobs, including while the store is unavailable.

#include "job_request_handler.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

// A slow store answers the second try, whose timeout is twice as long. A store
// that answers neither is unavailable to this entry; another may reach it.
constexpr std::int64_t max_unanswered = 2;
constexpr const char* store_away = "the store is away";
constexpr const char* no_memory = "the leader has no memory for the job";

} // namespace

job_memory job_request_handler::memory_for_jobs() const
{
    return leader_handover_.memory_for_jobs(
        job_scheduler_.core().held_bytes().total + open_job_bytes_,
        boot_clock::now());
}

// Whether the leader will have memory for a job: a job that it knows needs no
// more, and is never refused when its submission is repeated. An entry that is
// not the leader decides that for small jobs only, within its allotment.
bool job_request_handler::admit(const job& definition,
                                const request_ptr& request)
{
    if (job_scheduler_.knows(definition.id))
    {
        request->is_admitted = true;
        return true;
    }
    const std::int64_t bytes = job_record::memory_bytes(definition);
    request->is_admitted = job_scheduler_.ready()
                               ? memory_for_jobs().admits(bytes)
                               : leader_heartbeat_.allotment().take(bytes);
    if (request->is_admitted)
    {
        request->job_bytes = bytes;
        open_job_bytes_ += bytes;
    }
    return request->is_admitted;
}

void job_request_handler::handle(const platform::submit_request& message,
                                 const request_ptr& request)
{
    const queue_row* const queue = table_.queue(message.definition.queue);
    if (queue->advice && process_.settings.advice.empty())
    {
        fail_submission(message.definition, request,
                        "the settings name no service to ask for advice");
        return;
    }
    job accepted = message.definition;
    accepted.accepted_ms = unix_milliseconds();
    accepted.accepted_under = *queue;
    if (store_unavailable_since_)
    {
        // It may be unavailable to this VM only; another entry can then write
        // the job.
        forward_submission(accepted, request, store_away);
        return;
    }
    if (admit(accepted, request))
    {
        submit(accepted, request);
        return;
    }
    job_scheduler_.ready() ? fail_submission(accepted, request, no_memory)
                           : forward_submission(accepted, request, no_memory);
}

// The other entry creates the same job or finds that it exists.
void job_request_handler::forward_submission(const job& definition,
                                             const request_ptr& request,
                                             const char* why)
{
    forward_request({.method = "POST",
                     .job = {.id = definition.id, .queue = definition.queue},
                     .body = make_body(json(definition).dump()),
                     .is_admitted = request->is_admitted},
                    request,
                    [this, definition, request, why]
                    { fail_submission(definition, request, why); });
}

void job_request_handler::fail_submission(const job& definition,
                                          const request_ptr& request,
                                          const char* why)
{
    const char* const label = request->may_be_written ? "unknown" : why;
    process_.process_metrics.count("job_not_taken", {definition.queue, "job"},
                                   label);
    const duration outage = store_unavailable_since_
                                ? boot_clock::now() - *store_unavailable_since_
                                : duration{0};
    log_event(event_id::job_not_taken,
              {{"job", definition.id},
               {"why", why},
               {"may_be_stored", request->may_be_written ? "yes" : "no"},
               {"tries", std::to_string(request->tries)},
               {"store_away_ms", std::to_string(to_milliseconds(outage))}});
    answer(request, not_served(*request, why));
}

void job_request_handler::submit(const job& definition,
                                 const request_ptr& request)
{
    ++request->tries;
    store_.transact(acceptance_of(definition), call_timeout(request),
                    process_.on_control<store_result>(
                        [this, definition, request](const store_result& result)
                        { on_submitted(definition, request, result); }));
}

// The write creates the job unless it exists or was cancelled before. Any other
// conflict means that it exists: this request, or an earlier one for the same
// job, was committed. Tasks are
// named by the id of their job alone, so two queues cannot share one.
void job_request_handler::on_submitted(const job& definition,
                                       const request_ptr& request,
                                       const store_result& result)
{
    record_store_result(result);
    if (result.status == store_status::conflict &&
        has_tombstone(result.items, definition))
    {
        log_event(event_id::job_not_taken,
                  {{"job", definition.id},
                   {"why", "it was cancelled before it was stored"},
                   {"tries", std::to_string(request->tries)}});
        answer(request, platform::cancelled_job_answer());
        return;
    }
    if (result.status == store_status::conflict &&
        is_other_job(result, {.id = definition.id, .queue = definition.queue}))
    {
        answer(request, platform::id_taken_answer(definition.id));
        return;
    }
    if (result.status == store_status::done ||
        result.status == store_status::conflict)
    {
        log_event(event_id::job_accepted,
                  {{"job", definition.id},
                   {"queue", definition.queue},
                   {"table_version", std::to_string(table_.version)},
                   {"revision", std::to_string(result.revision)},
                   {"took_ms", std::to_string(to_milliseconds(
                                   boot_clock::now() - request->arrived))}});
        process_.process_metrics.observe("accept", {definition.queue, "job"},
                                         boot_clock::now() - request->arrived);
        answer(request, platform::accepted_answer());
        if (result.status == store_status::done)
        {
            notify_leader(definition);
        }
        return;
    }
    if (result.status == store_status::unknown)
    {
        request->may_be_written = true;
        ++request->unanswered_tries;
    }
    if (request->unanswered_tries >= max_unanswered)
    {
        on_store_failed(definition, request);
        return;
    }
    if (result.status == store_status::refused)
    {
        on_store_failed(definition, request);
        return;
    }
    if (result.status == store_status::rejected)
    {
        fail_submission(definition, request, store_rejects);
        return;
    }
    retry_later(request,
                [this, definition, request] { submit(definition, request); });
}

// The write's outcome may be unknown, but another entry writes the same job. If
// no entry can, the caller is answered at once and may retry elsewhere.
void job_request_handler::on_store_failed(const job& definition,
                                          const request_ptr& request)
{
    request->forwarded
        ? fail_submission(definition, request, "the store refuses")
        : forward_submission(definition, request, store_away);
}

// Saves the time until the leader finds the job in the store.
void job_request_handler::notify_leader(const job& definition)
{
    if (job_scheduler_.ready())
    {
        job_scheduler_.job_was_accepted(definition);
        return;
    }
    query_leader("accepted", definition, [](const std::optional<json>&) {});
}

} // namespace springstair
