// Translates calls, heartbeats and worker lists to the state machines of a
// guard, and their actions to calls.

#include "guard_control.hpp"

#include <utility>

namespace springstair
{

namespace
{

constexpr int server_error = 500;
constexpr duration busy_poll = std::chrono::milliseconds(200);
constexpr duration idle_poll = std::chrono::seconds(1);
constexpr duration entry_timeout = std::chrono::milliseconds(1500);
constexpr duration min_drain_time = std::chrono::milliseconds(500);

executor_result classify(const http_result& result)
{
    switch (result.how)
    {
    case delivery::not_sent:
    case delivery::no_eligible_connection:
        return executor_result::not_sent;
    case delivery::unknown:
        return executor_result::unknown;
    case delivery::answered:
        break;
    }
    return result.response.status >= server_error ? executor_result::failed
                                                  : executor_result::answered;
}

} // namespace

guard_control::guard_control(guard_process& process)
    : process_(process), incarnation_(random_hex(incarnation_bytes)),
      core_(core_options(), clock_.now()),
      tracker_({.incarnation = incarnation_,
                .capacity = process.own_settings.guard.capacity}),
      worker_(process.client, process.own_settings.guard.worker,
              process.own_settings.guard.task_lease)
{
    for (const std::string& address : process.own_settings.common.entries)
    {
        entries_[address];
    }
    rpc_.add(wire::start_task_method,
             [this](const json& message) { return start_task_rpc(message); });
    rpc_.add(wire::stop_task_method,
             [this](const json& message) { return stop_task_rpc(message); });
    rpc_.add(wire::drain_method,
             [this](const json&)
             {
                 begin_drain();
                 return json{{"draining", true}};
             });
}

void guard_control::run()
{
    while (!process_.parts.stopping())
    {
        for (guard_event& event : process_.events.drain(tick_length))
        {
            std::visit([this](auto& one) { on(one); }, event);
        }
        tick();
    }
}

guard_options guard_control::core_options() const
{
    return {.name = {process_.own_settings.common.name},
            .incarnation = incarnation_,
            .admission = {.slots = process_.own_settings.guard.slots,
                          .reserve = process_.own_settings.guard.reserve_slots},
            .seed = std::hash<std::string>{}(incarnation_)};
}

// ---------------------------------------------------------------------------
// Requests
// ---------------------------------------------------------------------------

void guard_control::on(http_arrival& arrival)
{
    const std::string& path = arrival.request.path;
    if (path == wire::execute_path)
    {
        on_execute(arrival);
    }
    else if (path == wire::rpc_path)
    {
        answer_rpc(arrival, rpc_);
    }
    else if (path == "/metrics")
    {
        answer_metrics(*arrival.responder, process_.numbers);
    }
    else
    {
        answer_not_found(*arrival.responder);
    }
}

void guard_control::on_execute(http_arrival& arrival)
{
    const http_request& request = arrival.request;
    const attempt_request attempt{
        .attempt = {request.header(wire::attempt)},
        .entry = request.header(wire::entry),
        .request_class = {.workspace = request.header(wire::workspace),
                          .work_class = request.header(wire::work_class)},
        .incarnation = request.header(wire::incarnation),
        .remaining = std::chrono::milliseconds(std::strtoll(
            request.header(wire::deadline_ms).c_str(), nullptr, 10)),
        .may_wait = request.header(wire::may_wait) != "false"};
    const time_point now = clock_.now();
    if (open_.contains(attempt.attempt))
    {
        reply(*arrival.responder, request, attempt.attempt,
              problem_report{.result = outcome::unknown,
                             .reason = refusal::duplicate});
        return;
    }
    open_[attempt.attempt] = {.request = std::move(arrival.request),
                              .responder = arrival.responder,
                              .request_class = attempt.request_class,
                              .arrived = now};
    carry_out(core_.on_attempt(now, attempt));
}

void guard_control::on(executor_ended& ended)
{
    const auto found = open_.find(ended.attempt);
    if (found != open_.end())
    {
        if (const auto started = core_.started(ended.attempt))
        {
            process_.numbers.observe("service", found->second.request_class,
                                     clock_.now() - *started);
        }
    }
    current_result_ = &ended.result;
    carry_out(
        core_.on_executor(clock_.now(), ended.attempt, classify(ended.result)));
    current_result_ = nullptr;
}

void guard_control::carry_out(const guard_actions& actions)
{
    for (const guard_action& action : actions)
    {
        std::visit([this](const auto& one) { act(one); }, action);
    }
}

void guard_control::act(const run_attempt& run)
{
    const auto found = open_.find(run.attempt);
    if (found == open_.end())
    {
        return;
    }
    const open_attempt& attempt = found->second;
    process_.numbers.observe("queue", attempt.request_class,
                             clock_.now() - attempt.arrived);
    header_map headers = end_to_end_headers(attempt.request.headers);
    headers[wire::attempt] = run.attempt.value;
    headers[wire::workspace] = attempt.request_class.workspace;
    headers[wire::work_class] = attempt.request_class.work_class;
    std::string path = attempt.request.header(wire::path);
    process_.client.send(
        {.method = "POST",
         .url = "http://" + process_.own_settings.guard.executor +
                (path.empty() ? "/" : path),
         .headers = std::move(headers),
         .body = attempt.request.body,
         .timeout = process_.own_settings.guard.max_service_time,
         .dedicated_connection =
             attempt.request.header(wire::repeatable) != "true",
         .max_open_calls = max_requests_open},
        [&process = process_, name = run.attempt](http_result result) {
            process.events.post(executor_ended{name, std::move(result)});
        });
}

void guard_control::act(const reply_answer& reply)
{
    const auto found = open_.find(reply.attempt);
    if (found == open_.end() || current_result_ == nullptr)
    {
        return;
    }
    http_response response = current_result_->response;
    const bool failed = response.status >= server_error;
    response.headers = end_to_end_headers(response.headers);
    add_attempt_headers(response, found->second.request, reply.attempt,
                        failed ? wire::ending_failed : wire::ending_answered);
    found->second.responder->respond(std::move(response));
    open_.erase(found);
}

void guard_control::act(const reply_problem& answer)
{
    const auto found = open_.find(answer.attempt);
    if (found == open_.end())
    {
        return;
    }
    process_.numbers.count("refused", found->second.request_class,
                           to_string(answer.problem.reason));
    reply(*found->second.responder, found->second.request, answer.attempt,
          answer.problem);
    open_.erase(found);
}

void guard_control::reply(http_responder& responder,
                          const http_request& request,
                          const attempt_name& attempt,
                          const problem_report& problem)
{
    http_response response = to_response(problem);
    add_attempt_headers(response, request, attempt, wire::ending_refused);
    responder.respond(std::move(response));
}

void guard_control::add_attempt_headers(http_response& response,
                                        const http_request& request,
                                        const attempt_name& attempt,
                                        const char* ending)
{
    response.headers[wire::ending] = ending;
    response.headers[wire::attempt] = attempt.value;
    response.headers[wire::load] =
        to_header(core_.load(request.header(wire::entry)));
}

// ---------------------------------------------------------------------------
// Tasks
// ---------------------------------------------------------------------------

json guard_control::start_task_rpc(const json& message)
{
    worker_actions actions;
    const task_reply reply =
        tracker_.on_start(clock_.now(), message.get<start_task>(), actions);
    carry_out(actions);
    return reply;
}

json guard_control::stop_task_rpc(const json& message)
{
    worker_actions actions;
    const task_reply reply =
        tracker_.on_stop(clock_.now(), message.get<stop_task>(), actions);
    carry_out(actions);
    return reply;
}

void guard_control::carry_out(const worker_actions& actions)
{
    for (const worker_action& action : actions)
    {
        worker_.execute(action);
        next_poll_ = time_point{};
    }
}

void guard_control::on(worker_listed& listed)
{
    polling_ = false;
    if (!listed.list)
    {
        return;
    }
    const time_point now = clock_.now();
    worker_actions actions;
    tracker_.on_worker_list(now, listed.list->clock, listed.list->tasks,
                            actions);
    carry_out(actions);
    carry_out(core_.on_executor_list(now, listed.requested_at,
                                     listed.list->requests));
}

void guard_control::poll_worker(time_point now)
{
    if (polling_ || now < next_poll_)
    {
        return;
    }
    const bool busy =
        !core_.ready() || core_.has_orphans() || !tracker_.reports().empty();
    next_poll_ = now + (busy ? busy_poll : idle_poll);
    polling_ = true;
    worker_.list(
        [&process = process_, now](std::optional<worker_list> list) {
            process.events.post(worker_listed{now, std::move(list)});
        });
}

// ---------------------------------------------------------------------------
// Heartbeats
// ---------------------------------------------------------------------------

guard_report guard_control::report(time_point now,
                                   const std::string& entry) const
{
    guard_report own{.guard = {process_.own_settings.common.name},
                     .incarnation = incarnation_,
                     .data_centre = process_.own_settings.common.data_centre,
                     .rack = process_.own_settings.common.rack,
                     .address =
                         process_.own_settings.common.address + ":" +
                         std::to_string(process_.own_settings.common.port),
                     .leaving = core_.draining(),
                     .ready = core_.ready(),
                     .tasks_ready = tracker_.ready(),
                     .load = core_.load(entry),
                     .table_revision = core_.rows().revision(),
                     .capacity = tracker_.capacity(),
                     .free = tracker_.free(),
                     .attempts = tracker_.reports()};
    for (const auto& [address, known] : entries_)
    {
        if (now - known.answered_at <= entry_timeout)
        {
            own.entries_heard.push_back(known.name);
        }
    }
    return own;
}

void guard_control::send_heartbeats(time_point now)
{
    next_heartbeat_ = now + process_.own_settings.guard.heartbeat;
    for (auto& [address, entry] : entries_)
    {
        if (std::exchange(entry.heartbeat_in_flight, true))
        {
            continue;
        }
        process_.client.send(
            make_rpc_call(address, process_.own_settings.common.fleet_key,
                          wire::heartbeat_method, report(now, entry.name)),
            [&process = process_, target = address,
             leaving = core_.draining()](http_result result) {
                process.events.post(
                    heartbeat_ended{target, leaving, std::move(result)});
            });
    }
}

void guard_control::on(heartbeat_ended& ended)
{
    known_entry& entry = entries_[ended.address];
    entry.heartbeat_in_flight = false;
    const auto received = rpc_answer_of<heartbeat_answer>(ended.result);
    if (!received)
    {
        return;
    }
    const heartbeat_answer& answer = *received;
    const time_point now = clock_.now();
    entry.name = answer.entry.value;
    entry.answered_at = now;
    entry.knows_leaving = ended.announced_leaving;
    for (const std::string& address : answer.entries)
    {
        entries_[address];
    }
    if (answer.table.is_object())
    {
        apply_table(answer.table);
    }
    worker_actions actions;
    tracker_.on_acked(now, answer.acked, actions);
    carry_out(actions);
}

void guard_control::apply_table(const json& document)
{
    const auto rows = table_of_peer(document);
    if (rows && core_.on_table(*rows))
    {
        log_event(event_id::table_in_force,
                  {{"revision", std::to_string(core_.rows().revision())}});
    }
}

// ---------------------------------------------------------------------------
// Periodic work
// ---------------------------------------------------------------------------

void guard_control::begin_drain()
{
    if (!core_.draining())
    {
        log_event(event_id::process_draining);
        core_.on_drain();
        tracker_.on_drain();
        send_heartbeats(clock_.now());
    }
}

// Whether every entry that answers knows that this guard is leaving. A
// heartbeat that was sent before the drain began tells nobody.
bool guard_control::is_leave_known(time_point now) const
{
    bool any_answers = false;
    bool all_know = true;
    for (const auto& [address, entry] : entries_)
    {
        const bool answers = now - entry.answered_at <= entry_timeout;
        any_answers = any_answers || answers;
        all_know = all_know && (!answers || entry.knows_leaving);
    }
    return any_answers && all_know;
}

void guard_control::tick()
{
    const time_point now = clock_.now();
    carry_out(core_.on_tick(now));
    worker_actions actions;
    tracker_.on_tick(now, actions);
    carry_out(actions);
    poll_worker(now);
    if (process_.drain && !stop_since_)
    {
        stop_since_ = now;
        begin_drain();
    }
    if (now >= next_heartbeat_)
    {
        send_heartbeats(now);
    }
    const bool leave_announced =
        stop_since_ && now - *stop_since_ >= min_drain_time &&
        (is_leave_known(now) || now - *stop_since_ >= entry_timeout);
    if (leave_announced && core_.idle() && open_.empty())
    {
        process_.parts.stop();
    }
}

} // namespace springstair
