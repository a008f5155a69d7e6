#pragma once

#include <springstair/jobs.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace springstair
{

/// @brief Bytes that a start order takes at its guard until the run begins.
std::int64_t bytes_of(const start_order& order) noexcept;

/// @brief Runs of one worker whose start order is not sent yet.
///
/// Jobs take turns, so that one with thousands of runs does not hold up others.
class start_queue
{
public:
    /// @brief Adds a run of a task.
    void push(const task_name& task);
    /// @brief The next task; null if there is none.
    [[nodiscard]] const task_name* front() const;
    /// @brief Removes the task that front() names.
    void pop();

private:
    using tasks_by_job = std::map<std::string, std::deque<task_name>>;

    [[nodiscard]] tasks_by_job::const_iterator next_job() const;

    tasks_by_job tasks_;
    std::string last_job_; ///< whose turn was the last
};

} // namespace springstair
