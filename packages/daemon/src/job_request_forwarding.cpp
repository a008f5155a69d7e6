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
constexpr std::size_t most_asked = 4;
// An entry that could not help is passed over for so long.
constexpr duration failed_peer_backoff = std::chrono::seconds(2);
constexpr int good_status = 200;
constexpr int gone_status = 410;
constexpr int bad_request_status = 400;
constexpr int unavailable_status = 503;

bool is_served(const http_result& result)
{
    return result.how == delivery::answered &&
           (result.response.status == good_status ||
            result.response.status == gone_status);
}

bool is_surely_not_done(const http_result& result)
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
job_request_handler::next_forward_target(const open_request& of) const
{
    std::vector<std::string> known{leader_election_.leader()};
    const auto& peers = contact_.peers();
    const auto& entries = process_.from.entries;
    known.insert(known.end(), peers.begin(), peers.end());
    known.insert(known.end(), entries.begin(), entries.end());
    const std::string own = announced_address(process_.from);
    const time_point now = boot_clock::now();
    const auto may_help = [&](const std::string& one)
    {
        const auto found = failed_peers_.find(one);
        const bool is_helpless = found != failed_peers_.end() &&
                                 now - found->second < failed_peer_backoff;
        return !one.empty() && one != own && !is_helpless &&
               std::ranges::find(of.asked, one) == of.asked.end();
    };
    const auto found = std::ranges::find_if(known, may_help);
    return found == known.end() || of.asked.size() >= most_asked ? std::string()
                                                                 : *found;
}

void job_request_handler::forward_request(const forwarded_request& what,
                                          const request_ptr& to,
                                          std::function<void()> in_vain)
{
    to->passed_on = true;
    const std::string address = next_forward_target(*to);
    const duration left = to->give_up - boot_clock::now();
    if (address.empty() || left <= duration{0})
    {
        in_vain();
        return;
    }
    to->asked.push_back(address);
    process_.client.send(
        {.method = what.method,
         .url = "http://" + address + path_of(what.method, what.job),
         .headers = {{"content-type", "application/json"}},
         .body = what.body,
         .timeout = std::min(left, forward_timeout),
         .connect_timeout = leader_timeout},
        process_.on_control<http_result>(
            [this, what, to,
             in_vain = std::move(in_vain)](const http_result& result)
            { on_forward_result(what, to, result, in_vain); }));
}

void job_request_handler::on_forward_result(const forwarded_request& what,
                                            const request_ptr& to,
                                            const http_result& result,
                                            std::function<void()> in_vain)
{
    log_event(event_id::job_passed_on,
              {{"job", what.job},
               {"request", what.method},
               {"to", to->asked.back()},
               {"answer", result.how == delivery::answered
                              ? std::to_string(result.response.status)
                              : "none"}});
    if (is_served(result))
    {
        answer(to, {.status = result.response.status,
                    .headers = {{"content-type", "application/json"}},
                    .body = result.response.body});
        return;
    }
    if (is_surely_not_done(result))
    {
        failed_peers_[to->asked.back()] = boot_clock::now();
        forward_request(what, to, std::move(in_vain));
        return;
    }
    to->may_be_done = true;
    in_vain();
}

// What another entry can do in place of this one. If none can, it is done here
// once the store is back.
void job_request_handler::forward_or_retry(const char* method,
                                           const std::string& id,
                                           const request_ptr& to,
                                           std::function<void()> later_here)
{
    if (to->passed_on)
    {
        again(to, std::move(later_here));
        return;
    }
    forward_request({.method = method, .job = id}, to,
                    [this, to, later_here = std::move(later_here)]
                    { again(to, later_here); });
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
                     .give_up = now + forward_timeout - answer_margin,
                     .passed_on = true});
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

void job_request_handler::serve_forwarded(const http_request& what,
                                          const request_ptr& to)
{
    const std::string id = what.path.size() > forward_path.size()
                               ? what.path.substr(forward_path.size() + 1)
                               : std::string();
    const bool is_shown = what.method == "GET" && job_scheduler_.shown(id);
    if (store_unavailable_since_ && !is_shown)
    {
        answer(to, platform::not_taken_answer(caller_retry_after,
                                              "the store is away here, too"));
        return;
    }
    if (what.method == "POST")
    {
        submit(json::parse(*what.body).get<job>(), to);
        return;
    }
    what.method == "DELETE" ? cancel(id, to) : show(id, to);
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
                        note_store(result);
                    }));
}

// One thing is known of the store: whether it answers this process.
void job_request_handler::note_store(const store_result& result)
{
    const bool away = result.status == store_status::unknown ||
                      result.status == store_status::refused;
    if (!away)
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
