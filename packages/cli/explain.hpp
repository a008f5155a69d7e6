#pragma once
/// @file
/// A job's story, put together from the logs of our processes.

#include <springstair/core.hpp>

#include <istream>
#include <string>
#include <vector>

namespace springstair::cli
{

/// @brief One line of a log: an event with its time and process.
struct log_line
{
    std::string time; ///< as it was written; sorts by itself
    json event;

    bool operator==(const log_line&) const = default;
};

/// @brief Reads the events of a log; other lines are passed over.
std::vector<log_line> read_log(std::istream& from);

/// @brief The lines that tell what became of a job, in order of time.
///
/// Its own lines (the job, its tasks), and between the first and the last of
/// them what happened to the office, the store, and the guards that ran it.
std::vector<log_line> timeline_of(const std::string& job,
                                  std::vector<log_line> lines);

/// @brief Of each data centre that was ever closed or opened, the newest line
/// that says so of a holder, in the order of their names.
std::vector<log_line> closures_in(const std::vector<log_line>& lines);

/// @brief One line of a story for a person.
std::string text_of(const log_line& line);

} // namespace springstair::cli
