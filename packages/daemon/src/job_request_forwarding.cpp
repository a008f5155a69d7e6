// Requests that an entry forwards to others while the store is unavailable to
// it, and requests forwarded by others.

#include "job_request_handler.hpp"

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

// Another entry writes within milliseconds unless the store is unavailable to
// it as well. Less answer_margin, 600 ms remain for its first try (250 ms), the
// retry delay (40 ms) and a second try. A store too slow for that second try
// would have answered this entry's second try, whose timeout is 500 ms.
// Together with the tries of this entry (250 + 40 + 500 ms), a caller is
// informed of an unresponsive store 1.4 s after its request.
constexpr duration forward_timeout = std::chrono::milliseconds(850);
constexpr duration probe_interval = std::chrono::milliseconds(250);
constexpr duration probe_timeout = std::chrono::milliseconds(600);
// Maximum number of entries that one request is forwarded to. An entry that
// cannot serve it refuses within milliseconds, or is unreachable.
constexpr std::size_t max_peers_per_request = 4;
// No request is forwarded to an entry for this time after it failed.
constexpr duration failed_peer_backoff = std::chrono::seconds(2);
constexpr int ok_status = 200;
constexpr int conflict_status = 409;
constexpr int gone_status = 410;
constexpr int bad_request_status = 400;
constexpr int too_many_status = 429;
constexpr int unavailable_status = 503;

bool is_served(const http_result& result)
{
    return result.how == delivery::answered &&
           (result.response.status == ok_status ||
            result.response.status == conflict_status ||
            result.response.status == gone_status);
}

bool is_answered_with(const http_result& result, int status)
{
    return result.how == delivery::answered && result.response.status == status;
}

bool is_known_not_done(const http_result& result)
{
    return result.how == delivery::not_sent ||
           is_answered_with(result, unavailable_status);
}

// Argument of a forwarded submission that the sender has admitted.
constexpr const char* admitted_argument = "admitted";

} // namespace

std::string
job_request_handler::forwarded_path(const forwarded_request& forwarded)
{
    const std::string path(forward_path);
    if (forwarded.method == "POST")
    {
        return forwarded.is_admitted ? path + "?" + admitted_argument + "=1"
                                     : path;
    }
    return path + "/" + forwarded.job.id +
           "?queue=" + percent_encoded(forwarded.job.queue);
}

// The leader first, since it reaches the store or resigns; then the peers that
// it reported; then the entries in the settings.
std::string
job_request_handler::next_forward_target(const open_request& request) const
{
    std::vector<std::string> candidates{leader_election_.leader()};
    const auto& peers = leader_heartbeat_.peers();
    const auto& entries = process_.settings.entries;
    candidates.insert(candidates.end(), peers.begin(), peers.end());
    candidates.insert(candidates.end(), entries.begin(), entries.end());
    const std::string own = announced_address(process_.settings);
    const time_point now = boot_clock::now();
    const auto can_serve = [&](const std::string& address)
    {
        const auto found = failed_peers_.find(address);
        const bool is_in_backoff = found != failed_peers_.end() &&
                                   now - found->second < failed_peer_backoff;
        return !address.empty() && address != own && !is_in_backoff &&
               std::ranges::find(request.tried_peers, address) ==
                   request.tried_peers.end();
    };
    const auto found = std::ranges::find_if(candidates, can_serve);
    return found == candidates.end() ||
                   request.tried_peers.size() >= max_peers_per_request
               ? std::string()
               : *found;
}

void job_request_handler::forward_request(
    const forwarded_request& forwarded, const request_ptr& request,
    std::function<void()> on_forward_failed)
{
    request->forwarded = true;
    const std::string address = next_forward_target(*request);
    const duration left = request->deadline - boot_clock::now();
    if (address.empty() || left <= duration{0})
    {
        on_forward_failed();
        return;
    }
    request->tried_peers.push_back(address);
    process_.client.send(
        {.method = forwarded.method,
         .url = "http://" + address + forwarded_path(forwarded),
         .headers = {{"content-type", "application/json"}},
         .body = forwarded.body,
         .timeout = std::min(left, forward_timeout),
         .connect_timeout = leader_timeout},
        process_.on_control<http_result>(
            [this, forwarded, request,
             on_forward_failed =
                 std::move(on_forward_failed)](const http_result& result) {
                on_forward_result(forwarded, request, result,
                                  on_forward_failed);
            }));
}

void job_request_handler::on_forward_result(
    const forwarded_request& forwarded, const request_ptr& request,
    const http_result& result, std::function<void()> on_forward_failed)
{
    log_event(event_id::job_passed_on,
              {{"job", forwarded.job.id},
               {"request", forwarded.method},
               {"to", request->tried_peers.back()},
               {"answer", result.how == delivery::answered
                              ? std::to_string(result.response.status)
                              : "none"}});
    if (is_served(result))
    {
        answer(request, {.status = result.response.status,
                         .headers = {{"content-type", "application/json"}},
                         .body = result.response.body});
        return;
    }
    if (is_answered_with(result, too_many_status))
    {
        answer(request, not_served(*request, "there is no memory for the job"));
        return;
    }
    if (is_known_not_done(result))
    {
        failed_peers_[request->tried_peers.back()] = boot_clock::now();
        forward_request(forwarded, request, std::move(on_forward_failed));
        return;
    }
    request->may_be_written = true;
    on_forward_failed();
}

// Forwards a request to another entry. If none can serve it, retries here after
// a delay.
void job_request_handler::forward_or_retry(const char* method,
                                           const job_reference& asked,
                                           const request_ptr& request,
                                           std::function<void()> retry_here)
{
    if (request->forwarded)
    {
        retry_later(request, std::move(retry_here));
        return;
    }
    forward_request({.method = method, .job = asked}, request,
                    [this, request, retry_here = std::move(retry_here)]
                    { retry_later(request, retry_here); });
}

// ---------------------------------------------------------------------------
// Requests from other entries
// ---------------------------------------------------------------------------

void job_request_handler::on_forwarded(const http_arrival& arrival)
{
    const time_point now = boot_clock::now();
    auto request = std::make_shared<open_request>(
        open_request{.responder = arrival.responder,
                     .arrived = now,
                     .deadline = now + forward_timeout - answer_margin,
                     .forwarded = true});
    ++open_;
    try
    {
        serve_forwarded(arrival.request, request);
    }
    catch (const std::exception& error) // malformed, or out of bounds
    {
        answer(request,
               json_response(bad_request_status, {{"error", error.what()}}));
    }
}

void job_request_handler::serve_forwarded(const http_request& incoming,
                                          const request_ptr& request)
{
    const job_reference asked{
        .id = incoming.path.size() > forward_path.size()
                  ? incoming.path.substr(forward_path.size() + 1)
                  : std::string(),
        .queue = incoming.argument("queue")};
    const bool is_shown = incoming.method == "GET" && shown(asked);
    if (store_unavailable_since_ && !is_shown)
    {
        answer(request,
               not_served(*request, "the store is unavailable here as well"));
        return;
    }
    if (incoming.method == "POST")
    {
        serve_forwarded_submission(
            decode_job(*incoming.body),
            !incoming.argument(admitted_argument).empty(), request);
        return;
    }
    incoming.method == "DELETE" ? cancel(asked, request) : show(asked, request);
}

// The job may be too large for the entry that forwarded it to decide. If that
// entry has admitted it, only the write is left to do: it may even be under way
// already.
void job_request_handler::serve_forwarded_submission(const job& definition,
                                                     bool is_admitted,
                                                     const request_ptr& request)
{
    if (is_admitted || admit(definition, request))
    {
        submit(definition, request);
        return;
    }
    answer(request, json_response(too_many_status,
                                  {{"error", "no memory for the job"}}));
}

// ---------------------------------------------------------------------------
// The store
// ---------------------------------------------------------------------------

// Detects the end of a store outage without risking a caller's request.
void job_request_handler::probe(time_point now)
{
    if (!store_unavailable_since_ || probing_ || now < next_probe_)
    {
        return;
    }
    probing_ = true;
    next_probe_ = now + probe_interval;
    store_.read(leader_key, probe_timeout,
                process_.on_control<store_result>(
                    [this](const store_result& result)
                    {
                        probing_ = false;
                        record_store_result(result);
                    }));
}

// Tracks whether the store is available to this process.
void job_request_handler::record_store_result(const store_result& result)
{
    const bool unavailable = result.status == store_status::unknown ||
                             result.status == store_status::refused;
    if (!unavailable)
    {
        timeout_.answered(result.latency);
        if (store_unavailable_since_)
        {
            log_event(event_id::store_back);
        }
        store_unavailable_since_.reset();
        return;
    }
    if (result.status == store_status::unknown)
    {
        timeout_.unanswered();
    }
    if (!store_unavailable_since_)
    {
        store_unavailable_since_ = boot_clock::now();
        log_event(event_id::store_lost,
                  {{"refused",
                    result.status == store_status::refused ? "yes" : "no"}});
    }
}

} // namespace springstair
