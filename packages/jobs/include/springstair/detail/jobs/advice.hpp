#pragma once

#include <springstair/detail/jobs/job.hpp>

#include <map>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Which of some workers may run a step? Asked of the service that a
/// queue's row names.
struct advice_question
{
    std::string step;               ///< step_group(): job, round and step
    std::vector<std::string> lives; ///< incarnations of executors

    bool operator==(const advice_question&) const = default;
};

/// @brief The tickets of those that may; each holds for one incarnation and
/// goes with every start of the step there.
struct advice_answer
{
    std::map<std::string, std::string> tickets; ///< by incarnation
    std::int64_t valid_ms = 0;                  ///< from the question on

    bool operator==(const advice_answer&) const = default;
};

} // namespace springstair
