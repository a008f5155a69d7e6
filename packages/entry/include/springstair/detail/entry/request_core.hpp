#pragma once

#include <springstair/policy.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief What an entry is told by its settings about requests.
struct request_options
{
    entry_name name;
    std::string incarnation;
    std::string data_centre;
    any_router router = sampled_router{};
    int most_attempts = 3;
    /// How many guards a latency-critical request may find busy before it
    /// waits in a queue.
    int max_busy_replies = 2;
    std::size_t max_open_requests = 20'000;
    retry_budget_options retries;
    outlier_options outliers;
    directory_options liveness;
    fleet_limit_options limits;
    std::uint64_t seed = 1;
};

/// @brief Names one caller's request within its entry.
using request_number = std::uint64_t;

/// @brief A caller's request, its workspace already authenticated.
struct caller_request
{
    request_number number = 0;
    class_name of;
    time_point deadline;
    std::optional<bool> repeatable; ///< the table decides if absent
};

/// @brief What became of an attempt, as the entry learnt it.
struct attempt_result
{
    /// @brief The ways an attempt can end.
    enum class ending : std::uint8_t
    {
        answered, ///< the executor's whole answer
        failed,   ///< the executor's whole answer, 5xx
        refused,  ///< the guard's problem
        not_sent, ///< no connection to the guard
        unknown   ///< sent, no whole answer
    };

    attempt_name attempt;
    ending how = ending::unknown;
    problem_report refused_with; ///< for `refused`
    std::optional<load_report> load;
};

/// @brief Send an attempt to a guard.
struct send_attempt
{
    request_number number = 0;
    attempt_name attempt;
    guard_name guard;
    std::string address;
    std::string incarnation;
    duration remaining{0};
    bool repeatable = false;
    bool may_wait = true; ///< for a slot; else it starts at once or not

    bool operator==(const send_attempt&) const = default;
};

/// @brief Give the caller the executor's answer to this attempt.
struct forward_answer
{
    request_number number = 0;
    attempt_name attempt;

    bool operator==(const forward_answer&) const = default;
};

/// @brief Give the caller a problem.
struct answer_problem
{
    request_number number = 0;
    class_name of;
    problem_report what;

    bool operator==(const answer_problem&) const = default;
};

/// @brief A guard's standing changed; for the log.
struct log_guard
{
    event_id event = event_id::guard_joined;
    guard_name guard;

    bool operator==(const log_guard&) const = default;
};

/// @brief What an entry does next for its callers.
using request_action =
    std::variant<send_attempt, forward_answer, answer_problem, log_guard>;

/// @brief Several of them, in order.
using request_actions = std::vector<request_action>;

/// @brief The state machine of an entry's request path.
///
/// No I/O: events with the present time go in, actions come out. Every
/// request that comes in gets exactly one forward_answer or answer_problem.
class request_core
{
public:
    /// @param options from the settings
    explicit request_core(request_options options);

    /// @brief A caller asks.
    request_actions on_request(time_point now, const caller_request& request);
    /// @brief An attempt ended.
    request_actions on_attempt(time_point now, const attempt_result& result);
    /// @brief A guard's heartbeat came in.
    request_actions on_heartbeat(time_point now, const guard_report& report);
    /// @brief The platform's list of leaving VMs.
    void on_leaving_list(const std::set<std::string>& addresses);
    /// @brief Another entry's exchange came in, as call or as answer.
    void on_exchange(time_point now, const entry_summary& summary);
    /// @brief Another entry answered what was offered to it.
    void on_exchange_answer(time_point now, const entry_summary& summary);
    /// @brief A newer table; an older one is passed over.
    bool on_table(const table& rows);
    /// @brief Time passes: gives up requests whose deadline has come.
    request_actions on_tick(time_point now);

    /// @brief What this entry tells another one about limits.
    /// @param offer whether to lend: true in calls, false in answers
    void fill_summary(time_point now, entry_summary& summary,
                      const std::string& peer, bool offer);

    /// @brief The table in force.
    [[nodiscard]] const table& rows() const noexcept
    {
        return table_;
    }
    /// @brief The guards known here.
    [[nodiscard]] const guard_directory& guards() const noexcept
    {
        return guards_;
    }
    /// @brief The entries known here.
    [[nodiscard]] const entry_directory& entries() const noexcept
    {
        return entries_;
    }
    /// @brief Guards that are left alone for their failures.
    [[nodiscard]] std::set<guard_name> ejected() const
    {
        return outliers_.ejected();
    }
    /// @brief Requests that have no final answer yet.
    [[nodiscard]] std::size_t open() const noexcept
    {
        return requests_.size();
    }

private:
    struct open_request
    {
        caller_request request;
        bool repeatable = false;
        class_kind kind = class_kind::heavy;
        int attempts = 0;
        int busy_replies = 0; ///< guards that had no slot free at once
        attempt_name current; ///< empty while none is out
        guard_name current_guard;
        std::set<guard_name> tried;
        bool may_have_run = false;
    };
    struct sent_attempt
    {
        request_number number = 0;
        guard_name guard;
    };

    [[nodiscard]] std::vector<route_candidate>
    candidates(time_point now, const open_request& pending) const;
    [[nodiscard]] outstanding_attempts
    outstanding_at(const guard_name& guard) const;
    void adjust_outstanding(const open_request& pending,
                            const guard_name& guard, int change);
    bool route(time_point now, open_request& pending, request_actions& actions);
    void send_to(time_point now, open_request& pending, const guard_name& guard,
                 bool may_wait, request_actions& actions);
    void refuse(request_number number, problem_report problem,
                request_actions& actions);
    void retry_or_refuse(time_point now, open_request& pending,
                         problem_report problem, bool from_budget,
                         request_actions& actions);
    void record_result(time_point now, const attempt_result& result,
                       const sent_attempt& sent, request_actions& actions);
    void handle_refusal(time_point now, open_request& pending,
                        problem_report problem, request_actions& actions);
    void record_timeout(time_point now, const open_request& pending,
                        request_actions& actions);
    void retry_from_lost_guards(time_point now,
                                const std::vector<guard_name>& lost,
                                request_actions& actions);
    void close(request_number number);
    void abandon_attempt(open_request& pending);

    request_options options_;
    table table_;
    guard_directory guards_;
    entry_directory entries_;
    outlier_detector outliers_;
    retry_budget retries_;
    fleet_limits limits_;
    random_source random_;
    std::map<request_number, open_request> requests_;
    std::map<attempt_name, sent_attempt> attempts_;
    std::set<std::pair<time_point, request_number>> deadlines_;
    std::map<guard_name, outstanding_attempts>
        outstanding_; ///< not yet answered
    std::uint64_t next_attempt_ = 0;
};

} // namespace springstair
