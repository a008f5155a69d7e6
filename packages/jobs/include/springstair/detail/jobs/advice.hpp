#pragma once

#include <springstair/detail/jobs/executor_incarnation.hpp>
#include <springstair/detail/jobs/job.hpp>

#include <map>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Query to the advice service of a queue's row: which of these
/// executors may run the step?
struct advice_query
{
    std::string step; ///< step_group(): job, round and step
    std::vector<executor_incarnation> executors;

    bool operator==(const advice_query&) const = default;
};

/// @brief Tickets by incarnation. Each is valid for that incarnation alone, and
/// is sent with every start of its step there.
using ticket_map = std::map<executor_incarnation, std::string>;

/// @brief The tickets of the executors that may run the step.
struct advice_answer
{
    ticket_map tickets;
    std::int64_t valid_ms = 0; ///< validity, counted from the query

    bool operator==(const advice_answer&) const = default;
};

} // namespace springstair
