// Requests to cancel jobs.

#include "job_request_handler.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

} // namespace

void job_request_handler::handle(const platform::cancel_request& message,
                                 const request_ptr& request)
{
    cancel(message.job, request);
}

void job_request_handler::cancel(const job_reference& asked,
                                 const request_ptr& request)
{
    if (store_unavailable_since_ && !request->forwarded)
    {
        retry_cancellation(asked, request);
        return;
    }
    const job_record* const record = job_scheduler_.core().find(asked.id);
    if (record != nullptr && is_in_queue(record->definition().queue, asked))
    {
        write_cancellation(asked, request);
        return;
    }
    store_.read(job_key(asked.id), call_timeout(request),
                process_.on_control<store_result>(
                    [this, asked, request](const store_result& result)
                    { on_cancel_read(asked, request, result); }));
}

void job_request_handler::on_cancel_read(const job_reference& asked,
                                         const request_ptr& request,
                                         const store_result& result)
{
    record_store_result(result);
    if (result.status == store_status::absent)
    {
        write_tombstone(asked, request);
        return;
    }
    if (is_other_job(result, asked))
    {
        answer(request, platform::no_such_job_answer());
        return;
    }
    if (result.status != store_status::done)
    {
        retry_cancellation(asked, request);
        return;
    }
    write_cancellation(asked, request);
}

void job_request_handler::write_cancellation(const job_reference& asked,
                                             const request_ptr& request)
{
    store_.transact(
        cancellation_of(asked.id), call_timeout(request),
        process_.on_control<store_result>(
            [this, asked, request](const store_result& result)
            {
                record_store_result(result);
                if (result.status == store_status::rejected)
                {
                    answer(request, not_served(*request, store_rejects));
                    return;
                }
                if (result.status != store_status::done)
                {
                    request->may_be_written = true;
                    forward_or_retry("DELETE", asked, request,
                                     [this, asked, request]
                                     { write_cancellation(asked, request); });
                    return;
                }
                log_event(event_id::job_cancelled, {{"job", asked.id}});
                job_scheduler_.job_was_cancelled(asked.id);
                query_leader("cancelled", asked,
                             [](const std::optional<json>&) {});
                answer(request, platform::accepted_answer());
            }));
}

// ---------------------------------------------------------------------------
// Jobs that do not exist yet
// ---------------------------------------------------------------------------

// The job's submission may still be under way: unread in a socket, at another
// entry, or as a write that the store does late. Once its cancellation is
// answered, it must not create the job.
void job_request_handler::write_tombstone(const job_reference& asked,
                                          const request_ptr& request)
{
    const std::int64_t lease = tombstone_lease_.usable_at(boot_clock::now());
    lease == 0 ? request_tombstone_lease(asked, request)
               : write_tombstone_under(lease, asked, request);
}

void job_request_handler::write_tombstone_under(std::int64_t lease,
                                                const job_reference& asked,
                                                const request_ptr& request)
{
    store_.transact(tombstone_of(asked, lease), call_timeout(request),
                    process_.on_control<store_result>(
                        [this, asked, request](const store_result& result)
                        { on_tombstone_written(asked, request, result); }));
}

void job_request_handler::request_tombstone_lease(const job_reference& asked,
                                                  const request_ptr& request)
{
    store_.grant_lease(
        tombstone_lease::ttl, call_timeout(request),
        process_.on_control<store_result>(
            [this, asked, request,
             requested = boot_clock::now()](const store_result& result)
            {
                record_store_result(result);
                if (result.status != store_status::done)
                {
                    retry_cancellation(asked, request);
                    return;
                }
                tombstone_lease_.use(result.lease,
                                     std::chrono::milliseconds(result.ttl_ms),
                                     requested);
                // Also if the store has granted it for a shorter time.
                write_tombstone_under(result.lease, asked, request);
            }));
}

void job_request_handler::on_tombstone_written(const job_reference& asked,
                                               const request_ptr& request,
                                               const store_result& result)
{
    record_store_result(result);
    switch (result.status)
    {
    case store_status::done:
        log_event(event_id::job_cancelled,
                  {{"job", asked.id}, {"known", "no"}});
        answer(request, platform::no_such_job_answer());
        return;
    case store_status::conflict: // the job was created meanwhile
        is_other_job(result, asked)
            ? answer(request, platform::no_such_job_answer())
            : write_cancellation(asked, request);
        return;
    case store_status::absent: // the lease has expired
        tombstone_lease_.forget();
        break;
    case store_status::unknown:
        request->may_be_written = true;
        break;
    case store_status::rejected:
        answer(request, not_served(*request, store_rejects));
        return;
    case store_status::compacted:
    case store_status::refused:
        break;
    }
    retry_cancellation(asked, request);
}

void job_request_handler::retry_cancellation(const job_reference& asked,
                                             const request_ptr& request)
{
    forward_or_retry("DELETE", asked, request,
                     [this, asked, request] { cancel(asked, request); });
}

} // namespace springstair
