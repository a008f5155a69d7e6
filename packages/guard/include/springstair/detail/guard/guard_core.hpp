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

/// @brief What a guard is told by its settings.
struct guard_options
{
    guard_name name;
    std::string incarnation;
    admission_options admission;
    /// How long attempt names are remembered after they ended.
    duration remember_attempts = std::chrono::minutes(1);
    /// What a dead predecessor sent has reached the executor by then.
    duration settle = std::chrono::milliseconds(300);
    std::uint64_t seed = 1;
};

/// @brief One attempt of a request, as an entry sent it.
struct attempt_request
{
    attempt_name attempt;
    std::string entry; ///< that sent it
    class_name of;
    std::string incarnation; ///< the one the entry believes it talks to
    duration remaining{0};   ///< until the caller's deadline
    bool may_wait = true;    ///< else it starts at once or is refused
};

/// @brief What the executor did with an attempt.
enum class executor_result : std::uint8_t
{
    answered, ///< a whole answer, 4xx included
    failed,   ///< a whole answer of 5xx
    not_sent, ///< no connection to the executor
    unknown   ///< sent, no whole answer
};

/// @brief Hand the attempt to the executor now.
struct run_attempt
{
    attempt_name attempt;
    bool operator==(const run_attempt&) const = default;
};

/// @brief Give the entry the executor's answer.
struct reply_answer
{
    attempt_name attempt;
    bool operator==(const reply_answer&) const = default;
};

/// @brief Give the entry a problem instead.
struct reply_problem
{
    attempt_name attempt;
    problem_report what;
    bool operator==(const reply_problem&) const = default;
};

/// @brief What a guard does next.
using guard_action = std::variant<run_attempt, reply_answer, reply_problem>;

/// @brief Several of them, in order.
using guard_actions = std::vector<guard_action>;

/// @brief The state machine of a guard's request path.
///
/// No I/O: events with the present time go in, actions come out. An
/// attempt that was refused `not_run` is taken from the queue in the same
/// step, so nothing can start it afterwards.
class guard_core
{
public:
    /// @param options from the settings @param now when the process began
    guard_core(guard_options options, time_point now);

    /// @brief An entry sent an attempt.
    guard_actions on_attempt(time_point now, const attempt_request& request);
    /// @brief The executor is done with an attempt.
    guard_actions on_executor(time_point now, const attempt_name& attempt,
                              executor_result result);
    /// @brief The worker lists the attempts its executor works on.
    /// @param asked when the worker was asked
    guard_actions on_executor_list(time_point now, time_point asked,
                                   const std::set<std::string>& attempts);
    /// @brief A newer table; an older one is passed over.
    /// @return whether it is in force now
    bool on_table(const table& rows);
    /// @brief A planned stop began.
    void on_drain() noexcept;
    /// @brief Time passes: gives up what can no longer meet its deadline.
    guard_actions on_tick(time_point now);

    /// @brief Whether a planned stop began.
    [[nodiscard]] bool draining() const noexcept
    {
        return draining_;
    }
    /// @brief Whether what runs on the worker is known.
    [[nodiscard]] bool ready() const noexcept
    {
        return listed_ && table_.revision() > 0;
    }
    /// @brief Whether the executor may work on attempts not known here.
    [[nodiscard]] bool has_orphans() const noexcept
    {
        return !orphans_.empty() || !in_doubt_.empty();
    }
    /// @brief Whether nothing runs or waits.
    [[nodiscard]] bool idle() const;
    /// @brief What runs and waits.
    /// @param entry that is told
    [[nodiscard]] load_report load(const std::string& entry) const;
    /// @brief The table in force.
    [[nodiscard]] const table& rows() const noexcept
    {
        return table_;
    }
    /// @brief When an attempt in the slots started, for metrics.
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
                         problem_report why);
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
    /// Attempts that came, and how they were refused if they were.
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
