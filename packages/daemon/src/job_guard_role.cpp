// A guard of the job system.

#include "leader_watch.hpp"

#include "platform.hpp"

#include <springstair/guard.hpp>

#include <map>
#include <thread>
#include <utility>

namespace springstair
{

namespace
{

constexpr duration timer_step = std::chrono::milliseconds(20);
// Interval between reports without changes; the answer renews the lease grant.
constexpr duration report_interval = std::chrono::milliseconds(500);
// Interval between reports while ends are unacknowledged. The leader batches
// ends for a write to the store; new ends are reported at once, and the answer
// to that report acknowledges earlier ends as well.
constexpr duration ends_report_interval = std::chrono::milliseconds(120);
constexpr duration report_timeout = std::chrono::milliseconds(700);
constexpr duration report_retry = std::chrono::milliseconds(120);
// Ends within this time are batched into one report.
constexpr duration min_report_interval = std::chrono::milliseconds(8);
// The leader's key is watched only while no leader answers.
constexpr duration leader_watch_wait = std::chrono::seconds(2);
constexpr int guard_incarnation_bytes = 6;

run_reconciler_options reconciler_options(const job_settings& settings)
{
    return {.max_lease = settings.max_lease, .stop_time = settings.stop_time};
}

class job_guard_control
{
public:
    explicit job_guard_control(process_context& process)
        : process_(process), store_(process.client, process.settings.store),
          leader_watch_(process, store_, leader_watch_wait,
                        [this](const std::optional<platform::store_item>& item)
                        { on_leader(item); }),
          reconciler_(reconciler_options(process.settings),
                      random_hex(guard_incarnation_bytes), started_),
          pauses_(started_), leader_(process.settings.entries)
    {
        rpc_.add("orders", [this](const json& message)
                 { return take_orders(message.get<guard_orders>()); });
        rpc_.add(leader_changed_method,
                 [this](const json& message)
                 {
                     on_leader_changed(message.get<leader_change>());
                     return json::object();
                 });
    }

    void run()
    {
        http_server executors(
            server_options(process_.settings.executors, process_.settings,
                           server_clients::executor),
            process_.on_request([this](const http_arrival& arrival)
                                { on_executor(arrival); }));
        http_server internal(server_options(internal_address(process_.settings),
                                            process_.settings,
                                            server_clients::processes),
                             process_.on_request([this](http_arrival arrival)
                                                 { on_internal(arrival); }));
        server_upkeep upkeep(
            {{"executors", &executors}, {"internal", &internal}});
        const auto metrics_server = serve_metrics(
            process_, {{"executors", &executors}, {"internal", &internal}});
        log_event(event_id::process_started,
                  {{"role", "job_guard"},
                   {"address", process_.settings.executors},
                   {"incarnation", reconciler_.incarnation()}});
        log_process_limits(process_.settings);
        process_.run_control(timer_step,
                             [&](time_point time)
                             {
                                 tick(now());
                                 upkeep.tick(time);
                             });
    }

private:
    // The time, after the reconciler has been told of a pause before it.
    time_point now()
    {
        const time_point reading = boot_clock::now();
        const duration pause = pauses_.observe(reading);
        if (pause > duration{0})
        {
            reconciler_.on_pause(pause);
            log_event(event_id::guard_paused,
                      {{"length_ms", std::to_string(to_milliseconds(pause))}});
        }
        return reading;
    }

    // Content of the heartbeats of one incarnation of the executor.
    struct executor_contact
    {
        std::string address;
        std::int64_t sequence = -1; ///< -1: none received
    };

    // The executor -----------------------------------------------------------

    void on_executor(const http_arrival& arrival)
    {
        try
        {
            if (const auto heartbeat =
                    platform::decode_heartbeat(arrival.request))
            {
                on_heartbeat(*heartbeat);
            }
            else if (const auto executor =
                         platform::decode_leave(arrival.request))
            {
                reconciler_.on_leave(*executor);
            }
            else
            {
                answer_not_found(*arrival.responder);
                return;
            }
        }
        catch (const document_error& error)
        {
            log_event(event_id::worker_unreadable, {{"why", error.what()}});
        }
        arrival.responder->respond(platform::heartbeat_answer());
    }

    // Sequence numbers order the heartbeats of one incarnation; the reconciler
    // decides which incarnation is current.
    void on_heartbeat(const platform::worker_heartbeat& heartbeat)
    {
        const executor_incarnation& executor = heartbeat.worker.executor;
        executor_contact& contact = executors_[executor];
        if (heartbeat.sequence <= contact.sequence)
        {
            return;
        }
        contact.sequence = heartbeat.sequence;
        if (!heartbeat.address.empty())
        {
            contact.address = heartbeat.address;
        }
        reconciler_.on_worker(heartbeat.worker, heartbeat.clock_ms, now());
        if (reconciler_.worker().executor != executor)
        {
            log_event(event_id::executor_unproven,
                      {{"life", executor.text()},
                       {"present", reconciler_.worker().executor.text()}});
        }
    }

    void on_polled(const poll_executor& poll, const http_result& result,
                   time_point sent)
    {
        const executor_incarnation before = reconciler_.worker().executor;
        reconciler_.on_polled(poll.executor, platform::decode_result(result),
                              platform::decode_poll(result), sent, now());
        if (reconciler_.worker().executor == before)
        {
            return;
        }
        log_event(event_id::worker_lost,
                  {{"life", before.text()},
                   {"next", reconciler_.worker().executor.text()},
                   {"why", "its address belongs to another incarnation"}});
        std::erase_if(executors_,
                      [&](const auto& one) { return one.first == before; });
    }

    void carry_out(const executor_action& action)
    {
        std::visit([this](const auto& request) { send(request); }, action);
    }

    const std::string& address_of(const executor_incarnation& executor) const
    {
        const auto found = executors_.find(executor);
        const bool known =
            found != executors_.end() && !found->second.address.empty();
        return known ? found->second.address : process_.settings.executor;
    }

    template <class Order, class Done>
    void call_executor(const Order& order, Done done)
    {
        process_.client.send(
            platform::encode(order, address_of(order.executor)),
            process_.on_control<http_result>(std::move(done)));
    }

    static void log_failed_order(const char* order, const std::string& task,
                                 std::int64_t run, order_result result)
    {
        if (result != order_result::accepted)
        {
            log_event(event_id::order_failed,
                      {{"order", order},
                       {"task", task},
                       {"run", std::to_string(run)},
                       {"result", std::string(to_string(result))}});
        }
    }

    void send(const start_run& start)
    {
        call_executor(start,
                      [this, start](const http_result& result)
                      {
                          const auto how = platform::decode_result(result);
                          log_failed_order("start", start.order.task,
                                           start.order.run, how);
                          reconciler_.on_started(start, how, now());
                      });
    }

    void send(const stop_run& stop)
    {
        call_executor(stop,
                      [this, stop](const http_result& result)
                      {
                          const auto how = platform::decode_result(result);
                          log_failed_order("stop", stop.order.task,
                                           stop.order.run, how);
                          reconciler_.on_stopped(stop, how, now());
                      });
    }

    void send(const throttle_run& throttle)
    {
        call_executor(throttle,
                      [this, throttle](const http_result& result) {
                          reconciler_.on_paced(throttle,
                                               platform::decode_result(result));
                      });
    }

    void send(const poll_executor& poll)
    {
        const time_point sent = now();
        http_call call = platform::encode(poll, address_of(poll.executor));
        call.max_answer_bytes = poll_answer_bytes(process_.settings);
        process_.client.send(call,
                             process_.on_control<http_result>(
                                 [this, sent, poll](const http_result& result)
                                 { on_polled(poll, result, sent); }));
    }

    // The leader -------------------------------------------------------------

    void on_leader(const std::optional<platform::store_item>& item)
    {
        const std::string address =
            item ? text_member(try_parse_json(item->value), "address")
                 : std::string();
        if (!address.empty())
        {
            set_leader(address);
        }
    }

    void on_leader_changed(const leader_change& change)
    {
        if (change.epoch > reconciler_.epoch())
        {
            set_leader(change.holder);
        }
    }

    void update_leader_watch(time_point now)
    {
        const bool needed = leader_.needs_store();
        if (needed && !is_watching_)
        {
            leader_watch_.refresh();
        }
        is_watching_ = needed;
        if (needed)
        {
            leader_watch_.tick(now);
        }
    }

    void set_leader(const std::string& address)
    {
        if (leader_.follow(address))
        {
            log_event(event_id::holder_found, {{"holder", address}});
            next_report_ = {};
        }
    }

    json take_orders(const guard_orders& orders)
    {
        const bool taken = reconciler_.on_orders(orders, now());
        return {{"taken", taken}};
    }

    void on_internal(http_arrival& arrival)
    {
        if (arrival.request.path != wire::rpc_path)
        {
            answer_not_found(*arrival.responder);
            return;
        }
        answer_rpc(arrival, rpc_);
    }

    void send_report(time_point now)
    {
        const std::string target = leader_.target();
        if (target.empty())
        {
            return;
        }
        reporting_ = true;
        worker_report report = reconciler_.report(now);
        report.guard = process_.settings.name;
        report.address = announced_address(process_.settings);
        report.sequence = ++report_sequence_;
        process_.client.send(
            {.method = "POST",
             .url = "http://" + target + wire::rpc_path,
             .headers = {{"content-type", "application/json"}},
             .body = make_body(rpc_request("report", report)),
             .timeout = report_timeout},
            process_.on_control<http_result>(
                [this, report, target, now](const http_result& result)
                { on_answer(report, target, now, result); }));
    }

    void on_answer(const worker_report& report, const std::string& target,
                   time_point sent, const http_result& result)
    {
        reporting_ = false;
        const time_point received = now();
        const auto answer = rpc_answer_of<report_answer>(result);
        if (answer && answer->holds)
        {
            leader_.answered();
            next_report_ = sent + (reconciler_.has_ends() ? ends_report_interval
                                                          : report_interval);
            set_leader(target);
            reconciler_.on_answer(*answer, report, sent, received);
            return;
        }
        next_report_ = received + report_retry;
        if (leader_.failed())
        {
            log_event(event_id::holder_lost,
                      {{"target", target}, {"why", result.error}});
        }
        if (answer)
        {
            set_leader(answer->holder);
        }
    }

    void tick(time_point now)
    {
        update_leader_watch(now);
        for (const executor_action& action : reconciler_.due(now))
        {
            carry_out(action);
        }
        for (const pace_change& one : reconciler_.take_pace_changes())
        {
            log_event(event_id::worker_paced,
                      {{"filling", one.filling},
                       {"pace", std::to_string(static_cast<int>(one.pace))},
                       {"serving", one.serving},
                       {"headroom_percent",
                        std::to_string(static_cast<int>(100 * one.headroom))},
                       {"pair_known", one.known ? "yes" : "no"},
                       {"use_percent",
                        std::to_string(static_cast<int>(100 * one.use))}});
        }
        if (reconciler_.take_report_due() && !leader_.has_failed())
        {
            next_report_ = std::min(next_report_, now + min_report_interval);
        }
        if (!reporting_ && now >= next_report_)
        {
            send_report(now);
        }
        if (process_.drain)
        {
            log_event(event_id::process_draining);
            process_.threads.stop();
        }
    }

    process_context& process_;
    platform::store_client store_;
    leader_watch leader_watch_;
    const time_point started_ = boot_clock::now();
    run_reconciler reconciler_;
    pause_detector pauses_;
    leader_finder leader_;
    rpc_dispatcher rpc_;
    std::map<executor_incarnation, executor_contact> executors_;
    std::int64_t report_sequence_ = 0;
    bool reporting_ = false;
    bool is_watching_ = false; ///< the leader's key, as no leader answers
    time_point next_report_{};
};

} // namespace

void run_job_guard(const job_settings& own_settings,
                   const std::atomic<bool>& drain)
{
    process_context process(own_settings, drain);
    process.threads.add("control",
                        [&]
                        {
                            job_guard_control control(process);
                            control.run();
                        });
    process.threads.run();
    log_event(event_id::process_stopped);
}

} // namespace springstair
