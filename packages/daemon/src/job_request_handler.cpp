// Requests to show and count jobs. job_request_submission.cpp has submissions,
// job_request_cancellation.cpp cancellations.

#include "job_request_handler.hpp"

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

constexpr duration retry_delay = std::chrono::milliseconds(40);
// An operator has to restore the record first.
constexpr duration unreadable_retry_after = std::chrono::seconds(5);

// The state in a stored progress record; nothing if it cannot be parsed.
std::optional<job_state> state_in(const platform::store_item& item)
{
    try
    {
        return decode_progress(item.value).state;
    }
    catch (const document_error& error)
    {
        log_event(event_id::record_unreadable,
                  {{"key", item.key}, {"why", error.what()}});
        return std::nullopt;
    }
}

} // namespace

job_request_handler::job_request_handler(process_context& process,
                                         platform::store_client& store,
                                         leader_election& election,
                                         job_scheduler& scheduler,
                                         leader_heartbeat& heartbeat,
                                         const leader_handover& handover)
    : process_(process), store_(store), leader_election_(election),
      job_scheduler_(scheduler), leader_heartbeat_(heartbeat),
      leader_handover_(handover)
{
}

void job_request_handler::set_table(const queue_table& table)
{
    table_ = table;
}

void job_request_handler::on_request(const http_arrival& arrival)
{
    const time_point now = boot_clock::now();
    auto request = std::make_shared<open_request>(
        open_request{.responder = arrival.responder,
                     .arrived = now,
                     .deadline = now + platform::timeout_of(arrival.request) -
                                 answer_margin});
    ++open_;
    try
    {
        const auto decoded = platform::decode_request(arrival.request, table_);
        std::visit([&](const auto& one) { handle(one, request); }, decoded);
    }
    catch (const std::exception& error)
    {
        log_event(event_id::message_failed,
                  {{"path", arrival.request.path}, {"why", error.what()}});
        answer(request,
               platform::unknown_answer("the request could not be handled"));
    }
}

void job_request_handler::answer(const request_ptr& request,
                                 http_response response)
{
    if (std::exchange(request->answered, true))
    {
        return;
    }
    --open_;
    open_job_bytes_ -= request->job_bytes;
    request->responder->respond(std::move(response));
}

duration job_request_handler::call_timeout(const request_ptr& request) const
{
    const duration left = request->deadline - boot_clock::now();
    return std::clamp<duration>(left, std::chrono::milliseconds(20),
                                timeout_.value());
}

bool job_request_handler::delay(const request_ptr& request,
                                std::function<void()> action)
{
    const time_point retry_at = boot_clock::now() + retry_delay;
    const bool is_in_time = retry_at < request->deadline;
    if (is_in_time)
    {
        delayed_.emplace_back(retry_at, std::move(action));
    }
    return is_in_time;
}

void job_request_handler::retry_later(const request_ptr& request,
                                      std::function<void()> action)
{
    if (delay(request, std::move(action)))
    {
        return;
    }
    answer(request, not_served(*request, "the store is away"));
}

http_response job_request_handler::not_served(const open_request& request,
                                              const char* why) const
{
    return request.may_be_written
               ? platform::unknown_answer("the store gave no answer")
               : platform::refused_answer(retry_after(), why);
}

// The retry time of a caller whose request this entry could not serve.
duration job_request_handler::retry_after() const
{
    return process_.settings.outage_backoff
               ? outage_backoff(*process_.settings.outage_backoff)
                     .retry_after(store_unavailable_since_, boot_clock::now())
               : caller_retry_after;
}

void job_request_handler::tick(time_point now)
{
    probe(now);
    while (!delayed_.empty() && delayed_.front().first <= now)
    {
        const auto action = std::move(delayed_.front().second);
        delayed_.pop_front();
        action();
    }
}

void job_request_handler::handle(const platform::refused_request& refused,
                                 const request_ptr& request)
{
    answer(request, refused.answer);
}

// ---------------------------------------------------------------------------
// Showing
// ---------------------------------------------------------------------------

void job_request_handler::handle(const platform::show_request& message,
                                 const request_ptr& request)
{
    show(message.job, request);
}

// Whether a caller that names a queue means a job of @p queue. A job whose
// queue was removed or renamed is found under any name.
bool job_request_handler::is_in_queue(const std::string& queue,
                                      const job_reference& asked) const
{
    return asked.queue.empty() || queue == asked.queue ||
           table_.queue(queue) == nullptr;
}

// Whether a stored job is in another queue than the caller named. One that
// cannot be read is shown and cancelled under any name.
bool job_request_handler::is_other_job(const store_result& result,
                                       const job_reference& asked) const
{
    const auto stored = std::ranges::find(result.items, job_key(asked.id),
                                          &platform::store_item::key);
    return stored != result.items.end() &&
           !is_in_queue(text_member(try_parse_json(stored->value), "queue"),
                        asked);
}

// The state known to this entry; nothing if it is not the leader, or if the
// caller means another job.
std::optional<job_state>
job_request_handler::shown(const job_reference& asked) const
{
    const job_record* const record = job_scheduler_.core().find(asked.id);
    return record != nullptr && is_in_queue(record->definition().queue, asked)
               ? job_scheduler_.shown(asked.id)
               : std::nullopt;
}

void job_request_handler::show(const job_reference& asked,
                               const request_ptr& request)
{
    if (const auto state = shown(asked))
    {
        answer(request, platform::state_answer(*state));
        return;
    }
    query_leader("show", asked,
                 [this, asked, request](const std::optional<json>& known)
                 {
                     const auto state = from_string<job_state>(
                         text_member(known.value_or(json()), "state"));
                     if (state)
                     {
                         answer(request, platform::state_answer(*state));
                         return;
                     }
                     show_from_store(asked, request);
                 });
}

json job_request_handler::show_for_peer(const json& message) const
{
    const auto state = shown(message.get<job_reference>());
    return state ? json{{"state", std::string(to_string(*state))}}
                 : json::object();
}

void job_request_handler::query_leader(
    const char* method, const json& message,
    std::function<void(std::optional<json>)> done)
{
    const std::string& address = leader_election_.leader();
    if (address.empty() || leader_election_.is_leader())
    {
        done(std::nullopt);
        return;
    }
    process_.client.send({.method = "POST",
                          .url = "http://" + address + wire::rpc_path,
                          .headers = {{"content-type", "application/json"}},
                          .body = make_body(rpc_request(method, message)),
                          .timeout = leader_timeout},
                         process_.on_control<http_result>(
                             [done = std::move(done)](const http_result& result)
                             { done(rpc_result_of(result)); }));
}

void job_request_handler::show_from_store(const job_reference& asked,
                                          const request_ptr& request)
{
    if (store_unavailable_since_ && !request->forwarded)
    {
        forward_or_retry("GET", asked, request,
                         [this, asked, request]
                         { show_from_store(asked, request); });
        return;
    }
    store_.range(job_key(asked.id), {}, call_timeout(request),
                 process_.on_control<store_result>(
                     [this, asked, request](const store_result& result)
                     { on_job_read(asked, request, result); }));
}

void job_request_handler::on_job_read(const job_reference& asked,
                                      const request_ptr& request,
                                      const store_result& result)
{
    record_store_result(result);
    if (result.status != store_status::done)
    {
        forward_or_retry("GET", asked, request,
                         [this, asked, request]
                         { show_from_store(asked, request); });
        return;
    }
    if (result.items.empty() || is_other_job(result, asked))
    {
        answer(request, platform::no_such_job_answer());
        return;
    }
    const bool cancelled =
        std::any_of(result.items.begin(), result.items.end(),
                    [](const platform::store_item& item)
                    { return parse_job_key(item.key).cancellation; });
    show_progress(asked, cancelled, request);
}

// A job that ended before it was cancelled keeps its final state. The job's own
// record is not needed: one that cannot be read is shown and cancelled as well.
void job_request_handler::show_progress(const job_reference& asked,
                                        bool cancelled,
                                        const request_ptr& request)
{
    store_.read(
        progress_key(asked.id), call_timeout(request),
        process_.on_control<store_result>(
            [this, asked, cancelled, request](const store_result& result)
            {
                record_store_result(result);
                const bool absent = result.status == store_status::absent;
                const bool read = result.status == store_status::done &&
                                  !result.items.empty();
                if (!absent && !read)
                {
                    forward_or_retry(
                        "GET", asked, request,
                        [this, asked, cancelled, request]
                        { show_progress(asked, cancelled, request); });
                    return;
                }
                const auto stored = absent ? std::optional(job_state::pending)
                                           : state_in(result.items.front());
                if (!stored)
                {
                    answer(request, platform::refused_answer(
                                        unreadable_retry_after,
                                        "the job's progress cannot be read"));
                    return;
                }
                const bool stopped = cancelled && !is_final(*stored);
                answer(request, platform::state_answer(
                                    stopped ? job_state::cancelled : *stored));
            }));
}

// ---------------------------------------------------------------------------
// Counting
// ---------------------------------------------------------------------------

void job_request_handler::handle(const platform::count_request& message,
                                 const request_ptr& request)
{
    count(message.queue, request);
}

void job_request_handler::count(const std::string& queue,
                                const request_ptr& request)
{
    if (const auto own = job_scheduler_.waiting(queue))
    {
        answer(request, platform::count_answer(own->waiting));
        return;
    }
    query_leader(count_method, waiting_count_query{queue},
                 [this, queue, request,
                  sent = boot_clock::now()](const std::optional<json>& known)
                 {
                     if (const auto counted = message_in<waiting_count>(known))
                     {
                         waiting_counts_.record(
                             queue, counted->waiting,
                             sent - std::chrono::milliseconds(counted->age_ms));
                     }
                     answer_count(queue, request);
                 });
}

// Without a recent count, asks again until the deadline: the next leader is
// usually elected by then. That takes the store.
void job_request_handler::answer_count(const std::string& queue,
                                       const request_ptr& request)
{
    const time_point now = boot_clock::now();
    if (const auto recent = waiting_counts_.recent(queue, now))
    {
        answer(request, platform::count_answer(*recent));
        return;
    }
    const bool is_delayed =
        !store_.is_unavailable() &&
        delay(request, [this, queue, request] { count(queue, request); });
    if (!is_delayed)
    {
        answer(request, platform::refused_answer(
                            retry_after(), "no leader counts the queue now"));
    }
}

json job_request_handler::count_for_peer(const json& message) const
{
    const auto counted =
        job_scheduler_.waiting(message.get<waiting_count_query>().queue);
    return counted ? json(*counted) : json::object();
}

} // namespace springstair
