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

/// @brief Settings of an entry's request path.
struct request_options
{
    entry_name name;
    std::string incarnation;
    std::string data_centre;
    any_router router = sampled_router{};
    int max_attempts = 3;
    /// Number of guards without a free slot that a latency-critical request
    /// tries before it may wait in a guard's queue.
    int max_busy_replies = 2;
    std::size_t max_open_requests = 20'000;
    retry_budget_options retries;
    outlier_options outliers;
    directory_options liveness;
    fleet_limit_options limits;
    std::uint64_t seed = 1;
};

/// @brief Identifies a caller's request within its entry.
using request_number = std::uint64_t;

/// @brief A caller's request whose workspace is authenticated.
struct caller_request
{
    request_number number = 0;
    class_name of;
    time_point deadline;
    std::optional<bool>
        repeatable; ///< if absent, the class's table row decides
};

/// @brief The outcome of an attempt as seen by the entry.
struct attempt_result
{
    /// @brief The ways an attempt can end.
    enum class ending : std::uint8_t
    {
        answered, ///< complete answer of the executor
        failed,   ///< complete answer of the executor, status 5xx
        refused,  ///< problem report of the guard
        not_sent, ///< no connection to the guard
        unknown   ///< sent, but no complete answer received
    };

    attempt_name attempt;
    ending how = ending::unknown;
    problem_report refused_with; ///< for `refused`
    std::optional<load_report> load;
};

/// @brief Action: sends an attempt to a guard.
struct send_attempt
{
    request_number number = 0;
    attempt_name attempt;
    guard_name guard;
    std::string address;
    std::string incarnation;
    duration remaining{0};
    bool repeatable = false;
    bool may_wait = true; ///< false: the guard starts it at once or refuses it

    bool operator==(const send_attempt&) const = default;
};

/// @brief Action: forwards the executor's answer to the caller.
struct forward_answer
{
    request_number number = 0;
    attempt_name attempt;

    bool operator==(const forward_answer&) const = default;
};

/// @brief Action: answers the caller with a problem report.
struct answer_problem
{
    request_number number = 0;
    class_name request_class;
    problem_report problem;

    bool operator==(const answer_problem&) const = default;
};

/// @brief Action: logs that a guard joined, is leaving, or was lost, ejected
/// or restored.
struct log_guard
{
    event_id event = event_id::guard_joined;
    guard_name guard;

    bool operator==(const log_guard&) const = default;
};

/// @brief An action that the entry carries out for its callers.
using request_action =
    std::variant<send_attempt, forward_answer, answer_problem, log_guard>;

/// @brief Actions in the order in which they are carried out.
using request_actions = std::vector<request_action>;

/// @brief The state machine of an entry's request path.
///
/// Performs no I/O: takes events with the current time and returns actions.
/// Every request receives exactly one forward_answer or answer_problem.
class request_core
{
public:
    /// @param options from the settings
    explicit request_core(request_options options);

    /// @brief Handles a caller's request.
    request_actions on_request(time_point now, const caller_request& request);
    /// @brief Handles the result of an attempt.
    request_actions on_attempt(time_point now, const attempt_result& result);
    /// @brief Handles a guard's heartbeat.
    request_actions on_heartbeat(time_point now, const guard_report& report);
    /// @brief Handles the platform's list of leaving VMs.
    void on_leaving_list(const std::set<std::string>& addresses);
    /// @brief Handles a peer's exchange and borrows the units it lends.
    void on_exchange(time_point now, const entry_summary& summary);
    /// @brief Handles a peer's answer to the units offered to it.
    void on_exchange_answer(time_point now, const entry_summary& summary);
    /// @brief Applies a newer table; ignores any other.
    /// @return whether the table was applied
    bool on_table(const table& rows);
    /// @brief Ends requests whose deadline has passed, expires unresponsive
    /// guards and entries, and retries repeatable requests from lost guards.
    request_actions on_tick(time_point now);

    /// @brief Adds this entry's limit usage to a summary for a peer.
    /// @param offer whether to lend units: true in calls, false in answers
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
    /// @brief Guards that are ejected because of failures.
    [[nodiscard]] std::set<guard_name> ejected() const
    {
        return outliers_.ejected();
    }
    /// @brief Number of requests that have no final answer yet.
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
        int busy_replies = 0; ///< guards that answered busy
        attempt_name current; ///< empty if none is in flight
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
    /// Attempts in flight.
    std::map<guard_name, outstanding_attempts> outstanding_;
    std::uint64_t next_attempt_ = 0;
};

} // namespace springstair
