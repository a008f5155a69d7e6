#pragma once

#include <springstair/policy.hpp>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief Settings of a guard_core.
struct guard_options
{
    guard_name name;
    std::string incarnation;
    admission_options admission;
    /// Time for which an attempt is remembered, from its admission or refusal,
    /// to detect duplicates.
    duration remember_attempts = std::chrono::minutes(1);
    /// Time after which whatever a previous guard process sent has reached the
    /// executor.
    duration settle = std::chrono::milliseconds(300);
    std::uint64_t seed = 1;
};

/// @brief One attempt of a request, as an entry sent it.
struct attempt_request
{
    attempt_name attempt;
    std::string entry; ///< sender
    class_name request_class;
    std::string incarnation; ///< of the guard, as known to the entry
    duration remaining{0};   ///< until the caller's deadline
    bool may_wait = true;    ///< false: start at once or refuse
};

/// @brief Outcome of an attempt at the executor.
enum class executor_result : std::uint8_t
{
    answered, ///< complete answer, including 4xx
    failed,   ///< complete answer with 5xx
    not_sent, ///< no connection to the executor
    unknown   ///< sent, but no complete answer
};

/// @brief Send the attempt to the executor now.
struct run_attempt
{
    attempt_name attempt;
    bool operator==(const run_attempt&) const = default;
};

/// @brief Send the executor's answer to the entry.
struct reply_answer
{
    attempt_name attempt;
    bool operator==(const reply_answer&) const = default;
};

/// @brief Send the entry a problem report instead of an answer.
struct reply_problem
{
    attempt_name attempt;
    problem_report problem;
    bool operator==(const reply_problem&) const = default;
};

/// @brief An action for the caller of guard_core to carry out.
using guard_action = std::variant<run_attempt, reply_answer, reply_problem>;

/// @brief Actions in the order in which to carry them out.
using guard_actions = std::vector<guard_action>;

/// @brief State machine of a guard's request path.
///
/// Does no I/O: it receives events with the current time and returns actions.
/// An attempt refused as `not_run` leaves the queue in the same step, so
/// nothing can start it afterwards.
class guard_core
{
public:
    /// @param options from the settings
    /// @param now when the process started
    guard_core(guard_options options, time_point now);

    /// @brief Handles an attempt from an entry.
    guard_actions on_attempt(time_point now, const attempt_request& request);
    /// @brief Handles the outcome of an attempt at the executor.
    guard_actions on_executor(time_point now, const attempt_name& attempt,
                              executor_result result);
    /// @brief Applies the worker's list of attempts that its executor works on.
    /// @param asked when the worker was asked for the list
    guard_actions on_executor_list(time_point now, time_point asked,
                                   const std::set<std::string>& attempts);
    /// @brief Applies a table unless it is no newer than the current one.
    /// @return whether it was applied
    bool on_table(const table& rows);
    /// @brief Begins to drain: further attempts are refused.
    void on_drain() noexcept;
    /// @brief Refuses queued attempts that can no longer meet their deadline.
    guard_actions on_tick(time_point now);

    /// @brief Whether the guard drains.
    [[nodiscard]] bool draining() const noexcept
    {
        return draining_;
    }
    /// @brief Whether the attempts on the worker are known and a table is in
    /// force.
    [[nodiscard]] bool ready() const noexcept
    {
        return listed_ && table_.revision() > 0;
    }
    /// @brief Whether the executor may work on attempts that this guard does
    /// not track as running: orphans, or attempts whose outcome is unknown.
    /// Each occupies a slot.
    [[nodiscard]] bool has_orphans() const noexcept
    {
        return !orphans_.empty() || !in_doubt_.empty();
    }
    /// @brief Whether no attempt runs or waits.
    [[nodiscard]] bool idle() const;
    /// @brief Numbers of running and queued attempts.
    /// @param entry the entry that receives the report; its own attempts are
    /// also counted separately
    [[nodiscard]] load_report load(const std::string& entry) const;
    /// @brief The table in force.
    [[nodiscard]] const table& rows() const noexcept
    {
        return table_;
    }
    /// @brief Start time of an attempt that occupies a slot, for metrics.
    [[nodiscard]] std::optional<time_point>
    started(const attempt_name& attempt) const;

private:
    struct admitted_attempt
    {
        std::string entry;
        bool critical = false;
    };

    struct running_attempt
    {
        class_name of;
        time_point started;
    };

    [[nodiscard]] std::optional<problem_report>
    refuse_outright(const attempt_request& request);
    void remember(time_point now, const attempt_name& attempt,
                  std::optional<problem_report> refused);
    guard_actions refuse(time_point now, const attempt_name& attempt,
                         problem_report problem);
    guard_action refuse_queued(const attempt_name& attempt,
                               problem_report problem);
    guard_actions answer_duplicate(const attempt_name& attempt);
    void start_ready(time_point now, guard_actions& actions);
    void count_orphans();

    guard_options options_;
    admission admission_;
    table table_;
    random_source random_;
    void admit(const attempt_request& request);
    void dismiss(const attempt_name& attempt);

    std::map<attempt_name, running_attempt> running_;
    std::map<attempt_name, admitted_attempt> admitted_;
    std::map<std::string, load_report> by_entry_;
    /// Attempts received; with the refusal if refused.
    std::map<attempt_name, std::optional<problem_report>> seen_;
    std::map<time_point, std::vector<attempt_name>> forget_at_;
    std::set<std::string> orphans_;
    std::map<std::string, time_point> in_doubt_;
    time_point started_;
    time_point last_asked_{};
    bool listed_ = false;
    bool draining_ = false;
};

} // namespace springstair
