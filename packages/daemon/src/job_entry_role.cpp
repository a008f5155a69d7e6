// An entry of the job system.

#include "job_request_handler.hpp"
#include "job_scheduler.hpp"
#include "leader_election.hpp"
#include "leader_handover.hpp"
#include "leader_heartbeat.hpp"
#include "operator_watch.hpp"

#include <thread>
#include <utility>

namespace springstair
{

namespace
{

constexpr int ready_status = 200;
constexpr int unready_status = 503;
// Resolution of timers only: the mailbox delivers work without delay.
constexpr duration timer_step = std::chrono::milliseconds(10);
// An entry that neither the store nor the leader has answered for longer than
// this plus 5 s (see is_ready) is not ready. The load balancer then needs two
// failed checks to send callers to other entries.
constexpr duration store_outage_tolerance = std::chrono::milliseconds(1500);
// Maximum age of the leader's information on the operator's changes: its watch
// returns after 0.7 s.
constexpr duration leader_info_max_age = std::chrono::milliseconds(1500);
// Time within which the leader reports a change that an entry's own watch
// misses: a second in which watches report nothing, plus a watch and a
// heartbeat.
constexpr duration notified_within = std::chrono::milliseconds(4000);
// After draining begins, the load balancer needs up to two checks, a second
// apart, to send new connections elsewhere.
constexpr duration balancer_notice = std::chrono::milliseconds(2600);
// A requested successor is elected after some tens of milliseconds; there is
// time to request two.
constexpr duration handover_timeout = std::chrono::milliseconds(1000);
// The process exits this long before the grace period ends.
constexpr duration grace_margin = std::chrono::milliseconds(700);

class job_entry_control
{
public:
    explicit job_entry_control(process_context& process)
        : process_(process), store_(process.client, process.settings.store),
          leader_election_(process, store_, leader_election_callbacks()),
          handover_(process, store_, leader_election_),
          leader_heartbeat_(process, store_, leader_election_),
          job_scheduler_(process, store_, leader_election_),
          job_request_handler_(process, store_, leader_election_,
                               job_scheduler_, leader_heartbeat_, handover_),
          operator_(process, store_,
                    {.table =
                         [this](const queue_table& table)
                     {
                         job_scheduler_.set_table(table);
                         job_request_handler_.set_table(table);
                     },
                     .closed =
                         [this](const closed_data_centres& closed)
                     {
                         job_scheduler_.set_closed(closed);
                     }})
    {
        rpc_.add("report",
                 [this](const json& message) {
                     return json(
                         job_scheduler_.report(message.get<worker_report>()));
                 });
        rpc_.add("show", [this](const json& message)
                 { return job_request_handler_.show_for_peer(message); });
        rpc_.add("accepted",
                 [this](const json& message)
                 {
                     job_scheduler_.job_was_accepted(read_job(message));
                     return json::object();
                 });
        rpc_.add("cancelled",
                 [this](const json& message)
                 {
                     job_scheduler_.job_was_cancelled(message.value("id", ""));
                     return json::object();
                 });
        rpc_.add(take_over_method,
                 [this](const json& message)
                 {
                     leader_election_.take_over(
                         message.get<take_over_request>());
                     return json::object();
                 });
        rpc_.add(took_over_method,
                 [this](const json& message)
                 {
                     handover_.on_result(message.get<take_over_result>());
                     return json::object();
                 });
        rpc_.add(count_method, [this](const json& message)
                 { return job_request_handler_.count_for_peer(message); });
        rpc_.add(
            entry_heartbeat_method, [this](const json& message)
            { return json(answer_heartbeat(message.get<entry_heartbeat>())); });
    }

    void run()
    {
        http_server callers(
            server_options(process_.settings.callers, process_.settings,
                           server_clients::callers),
            process_.on_request([this](const http_arrival& arrival)
                                { job_request_handler_.on_request(arrival); }));
        http_server readiness(
            server_options(process_.settings.readiness, process_.settings,
                           server_clients::operators),
            process_.on_request([this](const http_arrival& arrival)
                                { answer_readiness(*arrival.responder); }));
        http_server internal(
            server_options(internal_address(process_.settings),
                           process_.settings, server_clients::processes),
            process_.on_request([this](http_arrival arrival)
                                { answer_internal(arrival); }));
        server_upkeep upkeep({{"callers", &callers},
                              {"readiness", &readiness},
                              {"internal", &internal}});
        const auto metrics_server = serve_metrics(
            process_, {{"callers", &callers}, {"internal", &internal}});
        log_event(
            event_id::process_started,
            {{"role", "job_entry"}, {"address", process_.settings.callers}});
        log_process_limits(process_.settings);
        process_.run_control(timer_step,
                             [&](time_point now)
                             {
                                 tick(now);
                                 follow_limits(callers);
                                 upkeep.tick(now);
                             });
    }

private:
    leader_election::callbacks leader_election_callbacks()
    {
        return {.elected =
                    [this](std::int64_t epoch)
                {
                    handover_.begin();
                    job_scheduler_.begin(epoch);
                },
                .lost = [this](const leader_change& next)
                { job_scheduler_.end(next); },
                .takeover_answered =
                    [this](const std::string& requester, std::int64_t epoch)
                {
                    send_takeover_result(requester, epoch);
                }};
    }

    void tick(time_point now)
    {
        follow_operator(now);
        leader_election_.set_claim_schedule(
            leader_heartbeat_.own_claim_schedule());
        leader_election_.tick(now);
        handover_.tick(now, drain_started_at_.has_value());
        leader_heartbeat_.tick(now);
        job_scheduler_.tick(now);
        job_request_handler_.tick(now);
        if (process_.drain && !drain_started_at_)
        {
            begin_drain(now);
        }
        if (drain_started_at_)
        {
            resign_leadership(now);
            if (may_end(now))
            {
                process_.threads.stop();
            }
        }
    }

    void follow_limits(http_server& callers)
    {
        const queue_table& table = job_request_handler_.table();
        if (table.version != limits_version_)
        {
            limits_version_ = table.version;
            callers.set_limits(limits_of(table.bounds));
        }
    }

    entry_heartbeat_answer answer_heartbeat(const entry_heartbeat& heartbeat)
    {
        entry_heartbeat_answer answer = handover_.answer(heartbeat);
        const bool is_fresh =
            boot_clock::now() - operator_.fresh_at() < leader_info_max_age;
        answer.operator_change = is_fresh ? operator_.newest_change() : 0;
        if (answer.holds && job_scheduler_.ready())
        {
            answer.job_allotment_bytes =
                job_request_handler_.memory_for_jobs().allotment(
                    handover_.entry_count());
        }
        return answer;
    }

    void follow_operator(time_point now)
    {
        const bool has_fresh_info =
            !leader_election_.is_leader() &&
            leader_heartbeat_.is_operator_change_fresh(now);
        operator_.use_long_poll(has_fresh_info &&
                                process_.settings.apply_within >=
                                    notified_within);
        if (has_fresh_info)
        {
            operator_.on_remote_change(leader_heartbeat_.operator_change());
        }
        operator_.tick(now);
    }

    // Sent because the requester may be unable to read the leader's key: it may
    // be disconnected from the store, or draining.
    void send_takeover_result(const std::string& requester, std::int64_t epoch)
    {
        const take_over_result result{
            .epoch = epoch, .by = announced_address(process_.settings)};
        process_.client.send(
            {.method = "POST",
             .url = "http://" + requester + wire::rpc_path,
             .headers = {{"content-type", "application/json"}},
             .body = make_body(rpc_request(took_over_method, result)),
             .timeout = leader_timeout},
            [](const http_result&) {}); // the key shows it as well
    }

    void begin_drain(time_point now)
    {
        drain_started_at_ = now;
        log_event(event_id::process_draining,
                  {{"open", std::to_string(job_request_handler_.open())}});
    }

    // Remains the leader until a successor is elected. If none is elected in
    // time, resigns, and any entry may claim leadership.
    void resign_leadership(time_point now)
    {
        if (!leader_election_.is_leader() ||
            now - *drain_started_at_ > handover_timeout)
        {
            leader_election_.resign();
        }
    }

    [[nodiscard]] bool may_end(time_point now) const
    {
        const duration since = now - *drain_started_at_;
        const bool noticed =
            since > balancer_notice && job_request_handler_.open() == 0;
        return noticed || since > process_.settings.grace - grace_margin;
    }

    [[nodiscard]] bool is_ready(time_point now) const
    {
        return !drain_started_at_ && job_request_handler_.table().version > 0 &&
               now - std::max({leader_election_.store_answered(),
                               operator_.fresh_at(),
                               leader_heartbeat_.answered_at()}) <
                   store_outage_tolerance + std::chrono::seconds(5);
    }

    void answer_readiness(http_responder& responder)
    {
        const bool ready = is_ready(boot_clock::now());
        if (ready != was_ready_)
        {
            was_ready_ = ready;
            log_event(ready ? event_id::entry_ready : event_id::entry_unready,
                      {{"stopping", drain_started_at_ ? "yes" : "no"},
                       {"table_version",
                        std::to_string(job_request_handler_.table().version)}});
        }
        responder.respond({.status = ready ? ready_status : unready_status});
    }

    void answer_internal(http_arrival& arrival)
    {
        if (arrival.request.path.starts_with(forward_path))
        {
            job_request_handler_.on_forwarded(arrival);
            return;
        }
        if (arrival.request.path != wire::rpc_path)
        {
            answer_not_found(*arrival.responder);
            return;
        }
        answer_rpc(arrival, rpc_);
    }

    process_context& process_;
    platform::store_client store_;
    leader_election leader_election_;
    leader_handover handover_;
    leader_heartbeat leader_heartbeat_;
    job_scheduler job_scheduler_;
    job_request_handler job_request_handler_;
    operator_watch operator_;
    rpc_dispatcher rpc_;
    std::optional<time_point> drain_started_at_;
    bool was_ready_ = false;
    std::int64_t limits_version_ = 0; ///< of the table whose limits are in use
};

} // namespace

void run_job_entry(const job_settings& own_settings,
                   const std::atomic<bool>& drain)
{
    process_context process(own_settings, drain);
    process.threads.add("control",
                        [&]
                        {
                            job_entry_control control(process);
                            control.run();
                        });
    process.threads.run();
    log_event(event_id::process_stopped);
}

} // namespace springstair
