#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Timings of queries to the advice service.
struct ticket_options
{
    /// Maximum number of workers per query; the latency objective allows for
    /// it.
    std::size_t max_workers = 30;
    /// Remaining validity below which a ticket is not used: a start waits for
    /// the store and must travel to its worker.
    duration min_validity = std::chrono::milliseconds(400);
    /// Backoff before an unanswered query is repeated. Workers that were
    /// rejected are not queried again: the verdict does not change.
    duration retry_backoff = std::chrono::milliseconds(300);
};

/// @brief Tickets of steps whose queue has an advice service.
///
/// The service handles one query at a time, so at most one is in flight.
class ticket_cache
{
public:
    explicit ticket_cache(ticket_options options = {}) : options_(options) {}

    /// @brief The tickets of a step that are still valid.
    ticket_map tickets(const std::string& step, time_point now) const;
    /// @brief Queues a query for a step about the workers without a verdict or
    /// with an expired ticket, unless one for the step is waiting or in flight.
    void request_tickets(const std::string& step,
                         const std::vector<executor_incarnation>& executors,
                         time_point now);
    /// @brief Returns the query that has waited longest, now in flight; nothing
    /// while one is in flight or none waits.
    std::optional<advice_query> next_query(time_point now);
    /// @brief Handles the answer to the query in flight; nothing if there was
    /// none.
    void on_answer(const std::optional<advice_answer>& answer, time_point now);
    /// @brief A worker refused its ticket: it may be queried again.
    void on_refused(const std::string& step,
                    const executor_incarnation& executor);
    /// @brief Drops everything about a step that needs no worker any more.
    void forget(const std::string& step);

private:
    struct ticket
    {
        std::string text;
        time_point until;
    };
    struct step_record
    {
        std::map<executor_incarnation, ticket> tickets;
        /// Incarnations with a verdict, positive or not.
        std::set<executor_incarnation> decided;
        /// To be queried; empty: none.
        std::vector<executor_incarnation> pending;
        time_point since{}; ///< when pending was filled
        time_point not_before{};
    };

    ticket_options options_;
    std::map<std::string, step_record> steps_;
    std::optional<advice_query> in_flight_;
    time_point sent_at_{};
};

} // namespace springstair
