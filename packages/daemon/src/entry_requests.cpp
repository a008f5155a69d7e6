// Callers' requests: translates between HTTP and the state machine.

#include "entry_control.hpp"

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr std::string_view request_path = "/v1/request";
constexpr std::int64_t default_deadline_ms = 10'000;
constexpr std::int64_t max_deadline_ms = 600'000;
constexpr duration answer_margin = std::chrono::milliseconds(250);

std::optional<std::int64_t> deadline_of(const http_request& request)
{
    const std::string text = request.header(wire::deadline_ms);
    if (text.empty())
    {
        return default_deadline_ms;
    }
    const bool digits =
        text.find_first_not_of("0123456789") == std::string::npos;
    if (!digits || text.size() > 9)
    {
        return std::nullopt;
    }
    return std::min<std::int64_t>(std::stoll(text), max_deadline_ms);
}

std::optional<bool> repeatable_of(const http_request& request)
{
    const std::string text = request.header(wire::repeatable);
    if (text.empty())
    {
        return std::nullopt;
    }
    return text == "true";
}

attempt_result classify(const attempt_ended& ended)
{
    using ending = attempt_result::ending;
    attempt_result result{.attempt = ended.attempt};
    if (ended.result.how == delivery::not_sent)
    {
        result.how = ending::not_sent;
        return result;
    }
    const header_map& headers = ended.result.response.headers;
    const auto value = [&](const char* name)
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    };
    // A response that does not name the attempt does not answer it.
    const bool is_own_answer = ended.result.how == delivery::answered &&
                               value(wire::attempt) == ended.attempt.value;
    if (!is_own_answer)
    {
        result.how = ending::unknown;
        return result;
    }
    result.load = load_of_header(value(wire::load));
    const std::string how = value(wire::ending);
    if (how == wire::ending_answered)
    {
        result.how = ending::answered;
    }
    else if (how == wire::ending_failed)
    {
        result.how = ending::failed;
    }
    else if (const auto problem = problem_of(ended.result.response);
             problem && how == wire::ending_refused)
    {
        result.how = ending::refused;
        result.refused_with = *problem;
    }
    return result;
}

} // namespace

void entry_control::on_request(http_arrival& arrival,
                               const std::string& workspace)
{
    const auto deadline_ms = deadline_of(arrival.request);
    const std::string work_class = arrival.request.header(wire::work_class);
    if (!deadline_ms || work_class.empty())
    {
        arrival.responder->respond(to_response(
            {.reason = refusal::bad_request,
             .detail = deadline_ms
                           ? "springstair-class is required"
                           : "springstair-deadline-ms must be a number"}));
        return;
    }
    const time_point now = clock_.now();
    const class_name request_class{.workspace = workspace,
                                   .work_class = work_class};
    if (drain_since_ &&
        now - *drain_since_ > process_.own_settings.entry.drain_grace)
    {
        arrival.responder->respond(
            to_response({.reason = refusal::draining,
                         .retry_after = std::chrono::milliseconds(200)}));
        return;
    }
    const request_number number = next_number_++;
    const caller_request request{
        .number = number,
        .of = request_class,
        .deadline = now + std::chrono::milliseconds(*deadline_ms),
        .repeatable = repeatable_of(arrival.request)};
    open_[number] = {.request = std::move(arrival.request),
                     .responder = arrival.responder,
                     .request_class = request_class,
                     .arrived = now};
    carry_out(requests_.on_request(now, request));
}

void entry_control::on(attempt_ended& ended)
{
    current_result_ = &ended.result;
    carry_out(requests_.on_attempt(clock_.now(), classify(ended)));
    current_result_ = nullptr;
}

void entry_control::carry_out(const request_actions& actions)
{
    for (const request_action& action : actions)
    {
        std::visit([this](const auto& one) { act(one); }, action);
    }
}

void entry_control::act(const send_attempt& send)
{
    open_request& open = open_.at(send.number);
    if (++open.attempts > 1)
    {
        process_.numbers.count("retries", open.request_class,
                               send.may_wait ? "retry" : "busy");
    }
    header_map headers = end_to_end_headers(open.request.headers);
    headers[wire::fleet_key] = process_.own_settings.common.fleet_key;
    headers[wire::attempt] = send.attempt.value;
    headers[wire::entry] = process_.own_settings.common.name;
    headers[wire::incarnation] = send.incarnation;
    headers[wire::workspace] = open.request_class.workspace;
    headers[wire::work_class] = open.request_class.work_class;
    headers[wire::repeatable] = send.repeatable ? "true" : "false";
    headers[wire::may_wait] = send.may_wait ? "true" : "false";
    headers[wire::deadline_ms] =
        std::to_string(to_milliseconds(send.remaining));
    headers[wire::path] = open.request.path.substr(request_path.size());
    if (headers[wire::path].empty())
    {
        headers.erase(wire::path);
    }
    process_.client.send(
        {.method = "POST",
         .url = "http://" + send.address + wire::execute_path,
         .headers = std::move(headers),
         .body = open.request.body,
         .timeout = send.remaining + answer_margin,
         .dedicated_connection = !send.repeatable,
         .max_open_calls = max_requests_open},
        [&process = process_, name = send.attempt](http_result result) {
            process.events.post(attempt_ended{name, std::move(result)});
        });
}

void entry_control::act(const forward_answer& forward)
{
    const auto found = open_.find(forward.number);
    http_response response = current_result_->response;
    response.headers = end_to_end_headers(response.headers);
    process_.numbers.observe("request", found->second.request_class,
                             clock_.now() - found->second.arrived);
    found->second.responder->respond(std::move(response));
    open_.erase(found);
}

void entry_control::act(const answer_problem& answer)
{
    const auto found = open_.find(answer.number);
    process_.numbers.count("refused", answer.request_class,
                           to_string(answer.problem.reason));
    found->second.responder->respond(to_response(answer.problem));
    open_.erase(found);
}

void entry_control::act(const log_guard& note)
{
    log_event(note.event, {{"guard", note.guard.value}});
    process_.numbers.set("guards_ejected",
                         static_cast<double>(requests_.ejected().size()));
}

} // namespace springstair
