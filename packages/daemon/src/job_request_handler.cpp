// What callers are answered; what they submit is in job_desk_submitting.cpp.

#include "job_request_handler.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

constexpr duration retry_pause = std::chrono::milliseconds(40);

} // namespace

job_request_handler::job_request_handler(process_context& process,
                                         platform::store_client& store,
                                         leader_election& election,
                                         job_scheduler& scheduler,
                                         const leader_heartbeat& contact)
    : process_(process), store_(store), leader_election_(election),
      job_scheduler_(scheduler), contact_(contact)
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
                     .give_up = now + platform::timeout_of(arrival.request) -
                                answer_margin});
    ++open_;
    const auto what = platform::decode_request(arrival.request, table_);
    std::visit([&](const auto& one) { handle(one, request); }, what);
}

void job_request_handler::answer(const request_ptr& to, http_response with)
{
    --open_;
    to->responder->respond(std::move(with));
}

duration job_request_handler::call_time(const request_ptr& to) const
{
    const duration left = to->give_up - boot_clock::now();
    return std::clamp<duration>(left, std::chrono::milliseconds(20),
                                timeout_.value());
}

void job_request_handler::again(const request_ptr& to,
                                std::function<void()> what)
{
    const time_point at = boot_clock::now() + retry_pause;
    if (at < to->give_up)
    {
        later_.emplace_back(at, std::move(what));
        return;
    }
    answer(to, to->may_be_done
                   ? platform::unknown_answer("the store gave no answer")
                   : platform::not_taken_answer(caller_retry_after,
                                                "the store is away"));
}

void job_request_handler::tick(time_point now)
{
    probe(now);
    while (!later_.empty() && later_.front().first <= now)
    {
        const auto what = std::move(later_.front().second);
        later_.pop_front();
        what();
    }
}

void job_request_handler::handle(const platform::refused_request& what,
                                 const request_ptr& to)
{
    answer(to, what.answer);
}

// ---------------------------------------------------------------------------
// Showing
// ---------------------------------------------------------------------------

void job_request_handler::handle(const platform::show_request& what,
                                 const request_ptr& to)
{
    show(what.id, to);
}

void job_request_handler::show(const std::string& id, const request_ptr& to)
{
    if (const auto state = job_scheduler_.shown(id))
    {
        answer(to, platform::state_answer(*state));
        return;
    }
    query_leader("show", {{"id", id}},
                 [this, id, to](const std::optional<json>& known)
                 {
                     const auto state =
                         known
                             ? from_string<job_state>(known->value("state", ""))
                             : std::nullopt;
                     if (state)
                     {
                         answer(to, platform::state_answer(*state));
                         return;
                     }
                     show_from_store(id, to);
                 });
}

json job_request_handler::show_for_peer(const json& message) const
{
    const auto state = job_scheduler_.shown(message.value("id", ""));
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

void job_request_handler::show_from_store(const std::string& id,
                                          const request_ptr& to)
{
    if (store_unavailable_since_ && !to->passed_on)
    {
        forward_or_retry("GET", id, to,
                         [this, id, to] { show_from_store(id, to); });
        return;
    }
    store_.range(job_key(id), {}, call_time(to),
                 process_.on_control<store_result>(
                     [this, id, to](const store_result& result)
                     { on_job_read(id, to, result); }));
}

void job_request_handler::on_job_read(const std::string& id,
                                      const request_ptr& to,
                                      const store_result& result)
{
    note_store(result);
    if (result.status != store_status::done)
    {
        forward_or_retry("GET", id, to,
                         [this, id, to] { show_from_store(id, to); });
        return;
    }
    if (result.items.empty())
    {
        answer(to, platform::no_such_job_answer());
        return;
    }
    const bool cancelled =
        std::any_of(result.items.begin(), result.items.end(),
                    [](const platform::store_item& item)
                    { return parse_job_key(item.key).cancellation; });
    show_progress(id, cancelled, to);
}

// A job that ended before its cancellation came keeps its state.
void job_request_handler::show_progress(const std::string& id, bool cancelled,
                                        const request_ptr& to)
{
    store_.read(
        progress_key(id), call_time(to),
        process_.on_control<store_result>(
            [this, id, cancelled, to](const store_result& result)
            {
                note_store(result);
                const bool absent = result.status == store_status::absent;
                const bool read = result.status == store_status::done &&
                                  !result.items.empty();
                if (!absent && !read)
                {
                    forward_or_retry("GET", id, to,
                                     [this, id, cancelled, to]
                                     { show_progress(id, cancelled, to); });
                    return;
                }
                const job_state kept =
                    absent ? job_state::pending
                           : decode_progress(result.items.front().value).state;
                const bool stopped = cancelled && !is_final(kept);
                answer(to, platform::state_answer(stopped ? job_state::cancelled
                                                          : kept));
            }));
}

// ---------------------------------------------------------------------------
// Cancelling
// ---------------------------------------------------------------------------

void job_request_handler::handle(const platform::cancel_request& what,
                                 const request_ptr& to)
{
    cancel(what.id, to);
}

void job_request_handler::cancel(const std::string& id, const request_ptr& to)
{
    if (store_unavailable_since_ && !to->passed_on)
    {
        forward_or_retry("DELETE", id, to, [this, id, to] { cancel(id, to); });
        return;
    }
    if (job_scheduler_.core().find(id) != nullptr)
    {
        write_cancellation(id, to);
        return;
    }
    store_.read(job_key(id), call_time(to),
                process_.on_control<store_result>(
                    [this, id, to](const store_result& result)
                    { on_cancel_read(id, to, result); }));
}

void job_request_handler::on_cancel_read(const std::string& id,
                                         const request_ptr& to,
                                         const store_result& result)
{
    note_store(result);
    if (result.status == store_status::absent)
    {
        answer(to, platform::no_such_job_answer());
        return;
    }
    if (result.status != store_status::done)
    {
        forward_or_retry("DELETE", id, to, [this, id, to] { cancel(id, to); });
        return;
    }
    write_cancellation(id, to);
}

void job_request_handler::write_cancellation(const std::string& id,
                                             const request_ptr& to)
{
    store_.transact(cancellation_of(id), call_time(to),
                    process_.on_control<store_result>(
                        [this, id, to](const store_result& result)
                        {
                            note_store(result);
                            if (result.status != store_status::done)
                            {
                                to->may_be_done = true;
                                forward_or_retry("DELETE", id, to,
                                                 [this, id, to] {
                                                     write_cancellation(id, to);
                                                 });
                                return;
                            }
                            log_event(event_id::job_cancelled, {{"job", id}});
                            job_scheduler_.job_was_cancelled(id);
                            query_leader("cancelled", {{"id", id}},
                                         [](const std::optional<json>&) {});
                            answer(to, platform::accepted_answer());
                        }));
}

// ---------------------------------------------------------------------------
// Counting
// ---------------------------------------------------------------------------

void job_request_handler::handle(const platform::count_request& what,
                                 const request_ptr& to)
{
    const std::string queue = what.queue;
    if (job_scheduler_.ready())
    {
        answer(to,
               platform::count_answer(job_scheduler_.core().waiting(queue)));
        return;
    }
    query_leader(
        "count", {{"queue", queue}},
        [this, queue, to](const std::optional<json>& known)
        {
            if (known && known->contains("waiting"))
            {
                last_counts_[queue] = known->at("waiting");
            }
            else if (!last_counts_.contains(queue))
            {
                answer(to, platform::not_taken_answer(
                               caller_retry_after, "the holder is not known"));
                return;
            }
            answer(to, platform::count_answer(last_counts_[queue]));
        });
}

json job_request_handler::count_for_peer(const json& message) const
{
    if (!job_scheduler_.ready())
    {
        return json::object();
    }
    return {
        {"waiting", job_scheduler_.core().waiting(message.value("queue", ""))}};
}

} // namespace springstair
