#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Timings of asking for advice.
struct ticket_options
{
    /// Workers in one question; the latency objective allows for so many.
    std::size_t max_workers = 30;
    /// A ticket is used no more when this little of its time remains: a start
    /// waits for the store and travels to its worker.
    duration reserve = std::chrono::milliseconds(400);
    /// Before a question without an answer is asked again. Workers that were
    /// not good are not asked about again: the verdict does not change.
    duration pause = std::chrono::milliseconds(300);
};

/// @brief What the holder knows of who may run steps of queues with advice.
///
/// The service takes one question at a time, so one is out at a time.
class ticket_cache
{
public:
    explicit ticket_cache(ticket_options options = {}) : options_(options) {}

    /// @brief The tickets of a step that still hold.
    ticket_map tickets(const std::string& step, time_point now) const;
    /// @brief A step needs a worker. Notes a question about those that were
    /// not asked about, unless one for the step waits already.
    void request_tickets(const std::string& step,
                         const std::vector<executor_incarnation>& executors,
                         time_point now);
    /// @brief The question that has waited longest; nothing while one is out
    /// or none waits.
    std::optional<advice_query> next_question(time_point now);
    /// @brief What came of the question that is out; nothing if no answer.
    void answered(const std::optional<advice_answer>& answer, time_point now);
    /// @brief A worker did not take its ticket: it is asked about again.
    void refused(const std::string& step, const executor_incarnation& executor);
    /// @brief The step needs no worker any more.
    void forget(const std::string& step);

private:
    struct ticket
    {
        std::string text;
        time_point until;
    };
    struct step_record
    {
        std::map<executor_incarnation, ticket> good;
        std::set<executor_incarnation> asked; ///< have a verdict, good or not
        /// To ask about; empty: nothing.
        std::vector<executor_incarnation> wanted;
        time_point since{}; ///< when wanted was noted
        time_point not_before{};
    };

    ticket_options options_;
    std::map<std::string, step_record> steps_;
    std::optional<advice_query> out_;
    time_point out_since_{};
};

} // namespace springstair
