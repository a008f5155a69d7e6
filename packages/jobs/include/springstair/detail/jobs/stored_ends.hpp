#pragma once

#include <springstair/detail/jobs/worker_messages.hpp>

#include <string>
#include <vector>

namespace springstair
{

// Ends of runs of a job that the leader holds: it has not loaded the job, so it
// cannot write its progress. It stores the ends beside the progress, and the
// leader that loads the job applies them.

/// @brief The stored form of ends.
std::string encode(const std::vector<ended_task>& ends);

/// @brief Reads stored ends.
/// @throw document_error 102 if the text is not a valid list
std::vector<ended_task> decode_ends(const std::string& text);

} // namespace springstair
