#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Ends of runs of held jobs, until they are stored.
///
/// A leader holds a job that it cannot load. Its workers list the ends of the
/// job's runs until these are acknowledged, and the next leader counts every
/// run in the job's progress. So the ends are stored as they come, for the
/// leader that loads the job.
class held_ends
{
public:
    /// @brief Ends to store in one record.
    struct record
    {
        std::string job;
        std::string text;
        std::int64_t change = 0; ///< newest end that text contains

        bool operator==(const record&) const = default;
    };

    /// @brief Holds a job.
    void hold(const std::string& job);
    /// @brief Whether a job is held.
    [[nodiscard]] bool contains(const std::string& job) const;
    /// @brief Adds the end of a run of a held job.
    /// @return its number, for is_stored()
    std::int64_t add(const std::string& job, const ended_task& end);
    /// @brief Whether a held job has no end up to @p change that is not stored.
    [[nodiscard]] bool is_stored(const std::string& job,
                                 std::int64_t change) const;
    /// @brief The ends of one job to store next, the oldest first; nothing if
    /// there are none.
    /// @param max_bytes of the record's text. A checkpoint that makes one end
    /// larger is left out.
    [[nodiscard]] std::optional<record> next(std::size_t max_bytes) const;
    /// @brief A record of next() is stored.
    void stored(const std::string& job, std::int64_t change);

private:
    struct numbered_end
    {
        std::int64_t change = 0;
        ended_task end;
    };

    std::map<std::string, std::vector<numbered_end>> unstored_; ///< by job
    std::int64_t newest_ = 0; ///< number of the newest end
};

} // namespace springstair
