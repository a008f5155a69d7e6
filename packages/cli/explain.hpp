#pragma once
/// @file
/// The timeline of a job, assembled from the logs of the processes.

#include <springstair/core.hpp>

#include <istream>
#include <string>
#include <vector>

namespace springstair::cli
{

/// @brief One line of a log: an event with its time and process.
struct log_line
{
    std::string time; ///< as logged; sorts lexicographically
    json event;

    bool operator==(const log_line&) const = default;
};

/// @brief Reads the events of a log; other lines are skipped.
std::vector<log_line> read_log(std::istream& log);

/// @brief The lines that concern a job, ordered by time.
///
/// These are the events of the job and its tasks, and between the first and the
/// last of them the events that affect many jobs (leadership, store,
/// configuration, closures, withheld starts) and those of the guards that ran
/// its tasks.
std::vector<log_line> timeline_of(const std::string& job,
                                  std::vector<log_line> lines);

/// @brief The newest closure_in_force event of each data centre, ordered by the
/// names of the data centres.
std::vector<log_line> closures_in(const std::vector<log_line>& lines);

/// @brief Formats a timeline line for display.
std::string text_of(const log_line& line);

} // namespace springstair::cli
