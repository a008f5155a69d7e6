#pragma once
// The control part of a guard: connects its state machines to the network.

#include "role_support.hpp"

#include <springstair/guard.hpp>

#include <map>
#include <optional>
#include <string>
#include <variant>

namespace springstair
{

/// The call of an attempt to the executor ended.
struct executor_ended
{
    attempt_name attempt;
    http_result result;
};

/// The query for the worker's list ended; no list if it failed.
struct worker_listed
{
    time_point requested_at;
    std::optional<worker_list> list;
};

/// A heartbeat to an entry ended, answered or not.
struct heartbeat_ended
{
    std::string address;
    bool announced_leaving = false; ///< it said that the guard is leaving
    http_result result;
};

using guard_event =
    std::variant<http_arrival, executor_ended, worker_listed, heartbeat_ended>;

/// State shared by the parts of a guard.
struct guard_process
{
    const settings& own_settings;
    const std::atomic<bool>& drain;
    supervisor parts;
    mailbox<guard_event> events;
    metrics numbers;
    http_client client;

    guard_process(const settings& all, const std::atomic<bool>& drain_flag)
        : own_settings(all), drain(drain_flag)
    {
    }
};

class guard_control
{
public:
    explicit guard_control(guard_process& process);

    /// Processes events until the supervisor stops the parts.
    void run();

private:
    struct open_attempt
    {
        http_request request;
        std::shared_ptr<http_responder> responder;
        class_name request_class;
        time_point arrived;
    };

    struct known_entry
    {
        bool heartbeat_in_flight = false;
        std::string name;
        time_point answered_at{};
        /// It has answered a heartbeat that announced that the guard leaves.
        bool knows_leaving = false;
    };

    guard_options core_options() const;

    // Requests.
    void on(http_arrival& arrival);
    void on_execute(http_arrival& arrival);
    void on(executor_ended& ended);
    void carry_out(const guard_actions& actions);
    void act(const run_attempt& run);
    void act(const reply_answer& reply);
    void act(const reply_problem& answer);
    void reply(http_responder& responder, const http_request& request,
               const attempt_name& attempt, const problem_report& problem);
    void add_attempt_headers(http_response& response,
                             const http_request& request,
                             const attempt_name& attempt, const char* ending);

    // Tasks.
    json start_task_rpc(const json& message);
    json stop_task_rpc(const json& message);
    void carry_out(const worker_actions& actions);
    void on(worker_listed& listed);
    void poll_worker(time_point now);

    // Heartbeats.
    guard_report report(time_point now, const std::string& entry) const;
    void send_heartbeats(time_point now);
    void on(heartbeat_ended& ended);
    void apply_table(const json& document);

    // Periodic work.
    void begin_drain();
    [[nodiscard]] bool is_leave_known(time_point now) const;
    void tick();

    guard_process& process_;
    daemon_clock clock_;
    std::string incarnation_;
    guard_core core_;
    attempt_tracker tracker_;
    worker_client worker_;
    rpc_dispatcher rpc_;
    std::map<attempt_name, open_attempt> open_;
    const http_result* current_result_ = nullptr; ///< during its event only
    std::map<std::string, known_entry> entries_;
    time_point next_heartbeat_{};
    time_point next_poll_{};
    bool polling_ = false;
    std::optional<time_point> stop_since_;
};

} // namespace springstair
