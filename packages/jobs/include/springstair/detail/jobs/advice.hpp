#pragma once

#include <springstair/detail/jobs/executor_incarnation.hpp>
#include <springstair/detail/jobs/job.hpp>

#include <map>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Which of some workers may run a step? Asked of the service that a
/// queue's row names.
struct advice_query
{
    std::string step; ///< step_group(): job, round and step
    std::vector<executor_incarnation> executors;

    bool operator==(const advice_query&) const = default;
};

/// @brief Tickets; each holds for one life and goes with every start of its
/// step there.
using ticket_map = std::map<executor_incarnation, std::string>;

/// @brief The tickets of those that may.
struct advice_answer
{
    ticket_map tickets;
    std::int64_t valid_ms = 0; ///< from the question on

    bool operator==(const advice_answer&) const = default;
};

} // namespace springstair
