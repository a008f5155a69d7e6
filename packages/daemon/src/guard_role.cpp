#include "role_support.hpp"

#include <springstair/guard.hpp>

#include <chrono>
#include <map>
#include <thread>
#include <utility>
#include <variant>

namespace springstair
{

namespace
{

constexpr int server_error = 500;
constexpr int good = 200;
constexpr duration busy_poll = std::chrono::milliseconds(200);
constexpr duration idle_poll = std::chrono::seconds(1);
constexpr duration entry_silence = std::chrono::milliseconds(1500);
constexpr duration shortest_farewell = std::chrono::milliseconds(500);

struct executor_ended
{
    attempt_name attempt;
    http_result result;
};

struct worker_listed
{
    time_point asked;
    std::optional<worker_list> list;
};

struct heartbeat_ended
{
    std::string address;
    http_result result;
};

using guard_event =
    std::variant<http_arrival, executor_ended, worker_listed, heartbeat_ended>;

executor_result classify(const http_result& result)
{
    switch (result.how)
    {
    case delivery::not_sent:
        return executor_result::not_sent;
    case delivery::unknown:
        return executor_result::unknown;
    case delivery::answered:
        break;
    }
    return result.response.status >= server_error ? executor_result::failed
                                                  : executor_result::answered;
}

// What the parts of a guard share.
struct guard_process
{
    const settings& from;
    const std::atomic<bool>& drain;
    supervisor parts;
    mailbox<guard_event> events;
    metrics numbers;
    http_client client;

    guard_process(const settings& all, const std::atomic<bool>& drain_flag)
        : from(all), drain(drain_flag)
    {
    }
};

// ---------------------------------------------------------------------------
// The control part: binds the state machines to the network
// ---------------------------------------------------------------------------

class guard_control
{
public:
    explicit guard_control(guard_process& process)
        : process_(process), incarnation_(random_hex(incarnation_bytes)),
          core_(core_options(), clock_.now()),
          keeper_({.incarnation = incarnation_,
                   .capacity = process.from.guard.capacity}),
          worker_(process.client, process.from.guard.worker,
                  process.from.guard.task_lease)
    {
        for (const std::string& address : process.from.common.entries)
        {
            entries_[address];
        }
        rpc_.add(wire::start_task_method, [this](const json& message)
                 { return start_task_rpc(message); });
        rpc_.add(wire::stop_task_method, [this](const json& message)
                 { return stop_task_rpc(message); });
        rpc_.add(wire::drain_method,
                 [this](const json&)
                 {
                     begin_drain();
                     return json{{"draining", true}};
                 });
    }

    void run()
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

private:
    struct open_attempt
    {
        http_request request;
        std::shared_ptr<http_responder> responder;
        class_name of;
        time_point arrived;
    };

    struct known_entry
    {
        bool asked = false; ///< a heartbeat is on its way
        std::string name;
        time_point answered{};
    };

    guard_options core_options() const
    {
        return {.name = {process_.from.common.name},
                .incarnation = incarnation_,
                .admission = {.slots = process_.from.guard.slots,
                              .reserve = process_.from.guard.reserve_slots},
                .seed = std::hash<std::string>{}(incarnation_)};
    }

    // Requests ---------------------------------------------------------------

    void on(http_arrival& arrival)
    {
        const std::string& path = arrival.request.path;
        if (path == wire::execute_path)
        {
            on_execute(arrival);
        }
        else if (path == wire::rpc_path)
        {
            const std::string answer = rpc_.handle(*arrival.request.body);
            arrival.responder->respond(
                {.status = good,
                 .headers = {{"content-type", "application/json"}},
                 .body = make_body(answer)});
        }
        else if (path == "/metrics")
        {
            arrival.responder->respond(
                {.status = good,
                 .headers = {{"content-type", "text/plain"}},
                 .body = make_body(process_.numbers.text())});
        }
        else
        {
            answer_not_found(*arrival.responder);
        }
    }

    void on_execute(http_arrival& arrival)
    {
        const http_request& request = arrival.request;
        const attempt_request attempt{
            .attempt = {request.header(wire::attempt)},
            .entry = request.header(wire::entry),
            .of = {.workspace = request.header(wire::workspace),
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
                                  .of = attempt.of,
                                  .arrived = now};
        carry_out(core_.on_attempt(now, attempt));
    }

    void on(executor_ended& ended)
    {
        const auto found = open_.find(ended.attempt);
        if (found != open_.end())
        {
            if (const auto started = core_.started(ended.attempt))
            {
                process_.numbers.observe("service", found->second.of,
                                         clock_.now() - *started);
            }
        }
        answer_ = &ended.result;
        carry_out(core_.on_executor(clock_.now(), ended.attempt,
                                    classify(ended.result)));
        answer_ = nullptr;
    }

    void carry_out(const guard_actions& actions)
    {
        for (const guard_action& action : actions)
        {
            std::visit([this](const auto& one) { act(one); }, action);
        }
    }

    void act(const run_attempt& run)
    {
        const auto found = open_.find(run.attempt);
        if (found == open_.end())
        {
            return;
        }
        const open_attempt& attempt = found->second;
        process_.numbers.observe("queue", attempt.of,
                                 clock_.now() - attempt.arrived);
        header_map headers = end_to_end_headers(attempt.request.headers);
        headers[wire::attempt] = run.attempt.value;
        headers[wire::workspace] = attempt.of.workspace;
        headers[wire::work_class] = attempt.of.work_class;
        std::string path = attempt.request.header(wire::path);
        process_.client.send(
            {.method = "POST",
             .url = "http://" + process_.from.guard.executor +
                    (path.empty() ? "/" : path),
             .headers = std::move(headers),
             .body = attempt.request.body,
             .timeout = process_.from.guard.longest_service,
             .exactly_one_connection =
                 attempt.request.header(wire::repeatable) != "true"},
            [&process = process_, name = run.attempt](http_result result) {
                process.events.post(executor_ended{name, std::move(result)});
            });
    }

    void act(const reply_answer& reply)
    {
        const auto found = open_.find(reply.attempt);
        if (found == open_.end() || answer_ == nullptr)
        {
            return;
        }
        http_response response = answer_->response;
        const bool failed = response.status >= server_error;
        response.headers = end_to_end_headers(response.headers);
        mark(response, found->second.request, reply.attempt,
             failed ? wire::ending_failed : wire::ending_answered);
        found->second.responder->respond(std::move(response));
        open_.erase(found);
    }

    void act(const reply_problem& problem)
    {
        const auto found = open_.find(problem.attempt);
        if (found == open_.end())
        {
            return;
        }
        process_.numbers.count("refused", found->second.of,
                               to_string(problem.what.reason));
        reply(*found->second.responder, found->second.request, problem.attempt,
              problem.what);
        open_.erase(found);
    }

    void reply(http_responder& responder, const http_request& to,
               const attempt_name& attempt, const problem_report& what)
    {
        http_response response = to_response(what);
        mark(response, to, attempt, wire::ending_refused);
        responder.respond(std::move(response));
    }

    void mark(http_response& response, const http_request& to,
              const attempt_name& attempt, const char* ending)
    {
        response.headers[wire::ending] = ending;
        response.headers[wire::attempt] = attempt.value;
        response.headers[wire::load] =
            to_header(core_.load(to.header(wire::entry)));
    }

    // Tasks ------------------------------------------------------------------

    json start_task_rpc(const json& message)
    {
        worker_actions actions;
        const task_reply reply =
            keeper_.on_start(clock_.now(), message.get<start_task>(), actions);
        carry_out(actions);
        return reply;
    }

    json stop_task_rpc(const json& message)
    {
        worker_actions actions;
        const task_reply reply =
            keeper_.on_stop(clock_.now(), message.get<stop_task>(), actions);
        carry_out(actions);
        return reply;
    }

    void carry_out(const worker_actions& actions)
    {
        for (const worker_action& action : actions)
        {
            worker_.carry_out(action);
            next_poll_ = time_point{};
        }
    }

    void on(worker_listed& listed)
    {
        polling_ = false;
        if (!listed.list)
        {
            return;
        }
        const time_point now = clock_.now();
        worker_actions actions;
        keeper_.on_worker_list(now, listed.list->clock, listed.list->tasks,
                               actions);
        carry_out(actions);
        carry_out(
            core_.on_executor_list(now, listed.asked, listed.list->requests));
    }

    void poll_worker(time_point now)
    {
        if (polling_ || now < next_poll_)
        {
            return;
        }
        const bool busy =
            !core_.ready() || core_.has_foreign() || !keeper_.reports().empty();
        next_poll_ = now + (busy ? busy_poll : idle_poll);
        polling_ = true;
        worker_.list(
            [&process = process_, now](std::optional<worker_list> list) {
                process.events.post(worker_listed{now, std::move(list)});
            });
    }

    // Heartbeats -------------------------------------------------------------

    guard_report report(time_point now, const std::string& entry) const
    {
        guard_report all{.guard = {process_.from.common.name},
                         .incarnation = incarnation_,
                         .data_centre = process_.from.common.data_centre,
                         .rack = process_.from.common.rack,
                         .address = process_.from.common.address + ":" +
                                    std::to_string(process_.from.common.port),
                         .leaving = core_.draining(),
                         .ready = core_.ready(),
                         .tasks_ready = keeper_.ready(),
                         .load = core_.load(entry),
                         .table_revision = core_.rows().revision(),
                         .capacity = keeper_.capacity(),
                         .free = keeper_.free(),
                         .attempts = keeper_.reports()};
        for (const auto& [address, entry] : entries_)
        {
            if (now - entry.answered <= entry_silence)
            {
                all.entries_heard.push_back(entry.name);
            }
        }
        return all;
    }

    void send_heartbeats(time_point now)
    {
        next_heartbeat_ = now + process_.from.guard.heartbeat;
        for (auto& [address, entry] : entries_)
        {
            if (std::exchange(entry.asked, true))
            {
                continue;
            }
            process_.client.send(
                make_rpc_call(address, process_.from.common.fleet_key,
                              wire::heartbeat_method, report(now, entry.name)),
                [&process = process_, to = address](http_result result) {
                    process.events.post(heartbeat_ended{to, std::move(result)});
                });
        }
    }

    void on(heartbeat_ended& ended)
    {
        known_entry& entry = entries_[ended.address];
        entry.asked = false;
        const auto said = rpc_answer_of<heartbeat_answer>(ended.result);
        if (!said)
        {
            return;
        }
        const heartbeat_answer& answer = *said;
        const time_point now = clock_.now();
        entry.name = answer.entry.value;
        entry.answered = now;
        told_ = told_ || core_.draining();
        for (const std::string& address : answer.entries)
        {
            entries_[address];
        }
        if (answer.table.is_object())
        {
            take_table(answer.table);
        }
        worker_actions actions;
        keeper_.on_acked(now, answer.acked, actions);
        carry_out(actions);
    }

    void take_table(const json& document)
    {
        const auto rows = table_of_peer(document);
        if (rows && core_.on_table(*rows))
        {
            log_event(event_id::table_in_force,
                      {{"revision", std::to_string(core_.rows().revision())}});
        }
    }

    // Time -------------------------------------------------------------------

    void begin_drain()
    {
        if (!core_.draining())
        {
            log_event(event_id::process_draining);
            core_.on_drain();
            keeper_.on_drain();
            send_heartbeats(clock_.now());
        }
    }

    void tick()
    {
        const time_point now = clock_.now();
        carry_out(core_.on_tick(now));
        worker_actions actions;
        keeper_.on_tick(now, actions);
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
        const bool farewell_said =
            stop_since_ && now - *stop_since_ >= shortest_farewell &&
            (told_ || now - *stop_since_ >= entry_silence);
        if (farewell_said && core_.idle() && open_.empty())
        {
            process_.parts.stop();
        }
    }

    guard_process& process_;
    daemon_clock clock_;
    std::string incarnation_;
    guard_core core_;
    task_keeper keeper_;
    worker_client worker_;
    rpc_dispatcher rpc_;
    std::map<attempt_name, open_attempt> open_;
    const http_result* answer_ = nullptr;
    std::map<std::string, known_entry> entries_;
    time_point next_heartbeat_{};
    time_point next_poll_{};
    bool polling_ = false;
    bool told_ = false; ///< an entry has heard that this guard leaves
    std::optional<time_point> stop_since_;
};

// ---------------------------------------------------------------------------
// The traffic part
// ---------------------------------------------------------------------------

void serve(guard_process& process)
{
    const common_settings& common = process.from.common;
    const http_server server(
        {.address = common.address,
         .port = common.port,
         .threads = common.threads,
         .most_body_bytes = common.most_body_bytes},
        [&](http_request request, http_responder responder)
        {
            if (!has_fleet_key(request, common.fleet_key))
            {
                log_event(event_id::stranger_refused, {{"path", request.path}});
                answer_not_found(responder);
                return;
            }
            process.events.post(http_arrival{
                std::move(request),
                std::make_shared<http_responder>(std::move(responder))});
        });
    log_event(
        event_id::process_started,
        {{"role", "guard"},
         {"address", common.address + ":" + std::to_string(server.port())}});
    while (!process.parts.stopping())
    {
        std::this_thread::sleep_for(tick_length);
    }
}

} // namespace

void run_guard(const settings& from, const std::atomic<bool>& drain)
{
    guard_process process(from, drain);
    process.parts.add("traffic", [&] { serve(process); });
    process.parts.add("control",
                      [&]
                      {
                          guard_control control(process);
                          control.run();
                      });
    process.parts.run();
    log_event(event_id::process_stopped);
}

} // namespace springstair
