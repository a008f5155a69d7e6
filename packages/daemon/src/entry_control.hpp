#pragma once
// The control part of an entry: connects its state machines to the network.

#include "entry_process.hpp"

#include <map>
#include <set>
#include <string>

namespace springstair
{

class entry_control
{
public:
    explicit entry_control(entry_process& process);

    /// Processes events until the supervisor stops the parts.
    void run();

private:
    struct open_request
    {
        http_request request;
        std::shared_ptr<http_responder> responder;
        class_name request_class;
        time_point arrived;
        int attempts = 0; ///< sent to guards so far
    };

    struct peer
    {
        bool exchange_in_flight = false;
        std::string name;
        bool in_settings = false;
        time_point answered_at{};
    };

    /// A committed edit that is not yet acknowledged to the operator.
    struct committed_edit
    {
        std::shared_ptr<http_responder> responder;
        std::int64_t revision = 0;
        std::set<std::string> waiting_for; ///< peers that may not have it yet
        time_point deadline;
    };

    struct task_list
    {
        std::shared_ptr<http_responder> responder;
        json tasks = json::array();
        std::size_t outstanding = 0; ///< queries in flight
        bool complete = true; ///< all shards are known and no query failed
    };

    // Routing of calls.
    void on(http_arrival& arrival);
    void on_caller(http_arrival& arrival);
    void on_operator(http_arrival& arrival);
    [[nodiscard]] bool is_operator(const http_request& request) const;
    [[nodiscard]] std::optional<std::string>
    workspace_of(const http_request& request) const;

    // Requests.
    void on_request(http_arrival& arrival, const std::string& workspace);
    void on(attempt_ended& ended);
    void carry_out(const request_actions& actions);
    void act(const send_attempt& send);
    void act(const forward_answer& forward);
    void act(const answer_problem& answer);
    void act(const log_guard& note);

    // The table.
    void on_edit(http_arrival& arrival);
    void carry_out(const table_actions& actions);
    void act(const store_call& call, store_user user);
    void act(const edit_outcome& ended);
    void act(const table_loaded& loaded);
    void act(const table_rejected& rejected);
    void act(const store_availability& change);
    bool apply_table(const table& rows);
    void apply_peer_table(const json& document);
    void finish_edits(time_point now);
    void on(store_answered& answered);

    // Executes actions, some of which are calls to the store.
    template <class Actions>
    void carry_out_for(store_user user, const Actions& actions)
    {
        for (const auto& action : actions)
        {
            std::visit(
                [this, user](const auto& one)
                {
                    using kind = std::decay_t<decltype(one)>;
                    if constexpr (std::is_same_v<kind, store_call>)
                    {
                        this->act(one, user);
                    }
                    else
                    {
                        this->act(one);
                    }
                },
                action);
        }
    }

    // Other processes.
    json on_heartbeat(const json& message);
    json on_exchange(const json& message);
    entry_summary summary(time_point now, const std::string& peer_name,
                          bool offer);
    void exchange_with(const std::string& address);
    void exchange_with_all();
    void on(exchange_ended& ended);
    void on(vms_listed& listed);
    void learn_addresses(const std::vector<std::string>& addresses);
    [[nodiscard]] std::vector<std::string> known_entries() const;
    [[nodiscard]] std::string own_address() const;

    // Tasks.
    void on_task_call(http_arrival& arrival, const std::string& workspace);
    void on_submit(http_arrival& arrival, const std::string& workspace);
    void on_list(http_arrival& arrival, const std::string& workspace);
    void request_list_parts(std::uint64_t number, const std::string& workspace);
    void on_one_task(http_arrival& arrival, const std::string& workspace,
                     const std::string& task, bool cancel);
    bool forward_task_call(http_arrival& arrival, const std::string& workspace,
                           const std::string& task);
    void carry_out(const task_actions& actions);
    void act(const task_answer& answer);
    void act(const send_start& start);
    void act(const send_stop& stop);
    void act(const log_shard& note);
    void act(const log_unreadable& note);
    void act(const log_task_end& note);
    void on(start_ended& ended);
    void on(stop_ended& ended);
    void on(forward_ended& ended);
    void on(list_part_ended& ended);
    void finish_list(std::uint64_t number);

    // Operators.
    [[nodiscard]] json status(time_point now) const;
    void on_drain_guard(http_arrival& arrival);

    // Periodic work.
    void tick();
    void poll_platform(time_point now);
    void drain_if_requested(time_point now);
    [[nodiscard]] bool serving() const;

    entry_process& process_;
    daemon_clock clock_;
    time_point started_;
    std::string incarnation_;
    request_core requests_;
    table_synchronizer table_;
    task_core tasks_;
    rpc_dispatcher rpc_;
    std::map<request_number, open_request> open_;
    request_number next_number_ = 1;
    const http_result* current_result_ = nullptr; ///< during its event only
    std::map<std::string, peer> peers_;           ///< by address
    std::map<edit_number, std::shared_ptr<http_responder>> edits_;
    std::vector<committed_edit> committed_;
    std::map<store_token, std::shared_ptr<http_responder>> history_calls_;
    std::map<task_call, std::shared_ptr<http_responder>> task_calls_;
    std::map<std::uint64_t, task_list> task_lists_;
    std::set<std::string> listed_vms_; ///< names of all VMs ever listed
    /// Number of consecutive lists without the VM, by name.
    std::map<std::string, int> missed_lists_;
    time_point next_exchange_{};
    time_point next_vms_poll_{};
    bool vms_in_flight_ = false;
    std::optional<time_point> drain_since_;
};

} // namespace springstair
