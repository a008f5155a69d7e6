// What an entry passes on to others while the store gives no service here, and
// what others pass on to it.

#include "job_request_handler.hpp"

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

using platform::store_result;
using platform::store_status;

// Another entry writes within milliseconds unless the store is away there too.
// Less the answer's margin, 600 ms hold its first try (250 ms), the pause (40)
// and a second one. A store that needs longer than that second one would have
// answered the second try here, which had 500 ms. With the tries here (250 + 40
// + 500) a caller learns of a silent store 1.4 s after it asked.
constexpr duration forward_timeout = std::chrono::milliseconds(850);
constexpr duration probe_interval = std::chrono::milliseconds(250);
constexpr duration probe_timeout = std::chrono::milliseconds(600);
// Of the entries that could help, so many are asked for one request: each of
// them says within milliseconds that it cannot, or is not reached.
constexpr std::size_t max_peers_per_request = 4;
// An entry that could not help is passed over for so long.
constexpr duration failed_peer_backoff = std::chrono::seconds(2);
constexpr int ok_status = 200;
constexpr int gone_status = 410;
constexpr int bad_request_status = 400;
constexpr int unavailable_status = 503;

bool is_served(const http_result& result)
{
    return result.how == delivery::answered &&
           (result.response.status == ok_status ||
            result.response.status == gone_status);
}

bool is_known_not_done(const http_result& result)
{
    return result.how == delivery::not_sent ||
           (result.how == delivery::answered &&
            result.response.status == unavailable_status);
}

std::string path_of(const std::string& method, const std::string& job)
{
    const std::string path(forward_path);
    return method == "POST" ? path : path + "/" + job;
}

} // namespace

// The holder reaches the store, or gives its office up; then those that it
// told of, then those of the settings.
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
         .url = "http://" + address + path_of(forwarded.method, forwarded.job),
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
              {{"job", forwarded.job},
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
    if (is_known_not_done(result))
    {
        failed_peers_[request->tried_peers.back()] = boot_clock::now();
        forward_request(forwarded, request, std::move(on_forward_failed));
        return;
    }
    request->may_be_written = true;
    on_forward_failed();
}

// What another entry can do in place of this one. If none can, it is done here
// once the store is back.
void job_request_handler::forward_or_retry(const char* method,
                                           const std::string& id,
                                           const request_ptr& request,
                                           std::function<void()> retry_here)
{
    if (request->forwarded)
    {
        retry_later(request, std::move(retry_here));
        return;
    }
    forward_request({.method = method, .job = id}, request,
                    [this, request, retry_here = std::move(retry_here)]
                    { retry_later(request, retry_here); });
}

// ---------------------------------------------------------------------------
// For others
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
    catch (const json::exception& error)
    {
        answer(request,
               json_response(bad_request_status, {{"error", error.what()}}));
    }
}

void job_request_handler::serve_forwarded(const http_request& incoming,
                                          const request_ptr& request)
{
    const std::string id = incoming.path.size() > forward_path.size()
                               ? incoming.path.substr(forward_path.size() + 1)
                               : std::string();
    const bool is_shown = incoming.method == "GET" && job_scheduler_.shown(id);
    if (store_unavailable_since_ && !is_shown)
    {
        answer(request, platform::not_taken_answer(
                            caller_retry_after,
                            "the store is unavailable here as well"));
        return;
    }
    if (incoming.method == "POST")
    {
        submit(json::parse(*incoming.body).get<job>(), request);
        return;
    }
    incoming.method == "DELETE" ? cancel(id, request) : show(id, request);
}

// ---------------------------------------------------------------------------
// The store
// ---------------------------------------------------------------------------

// Finds out whether the store is back without a caller's request at stake.
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

// One thing is known of the store: whether it answers this process.
void job_request_handler::record_store_result(const store_result& result)
{
    const bool unavailable = result.status == store_status::unknown ||
                             result.status == store_status::refused;
    if (!unavailable)
    {
        timeout_.answered(result.took);
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
