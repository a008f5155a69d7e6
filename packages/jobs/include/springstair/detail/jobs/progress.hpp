#pragma once

#include <springstair/detail/jobs/executor_incarnation.hpp>
#include <springstair/detail/jobs/job.hpp>

namespace springstair
{

/// @brief Where one task of a job stands, as it is kept in the store.
struct task_progress
{
    task_position at;
    bool done = false;
    std::int64_t runs = 0;     ///< number of the newest run; 0: none yet
    std::int64_t failures = 0; ///< runs that ended by a failure
    std::string guard;         ///< where the newest run may be; empty: nowhere
    executor_incarnation executor; ///< of the executor there
    std::string checkpoint;        ///< to resume from; empty: none
    std::int64_t suspicion = 0;    ///< of crashing the executors that start it
    std::int64_t crashes = 0;      ///< of executors, surely under it
    std::int64_t judged_run = 0;   ///< the newest whose crash is in there
    std::int64_t losses = 0; ///< executors that went with a start, sure or not

    bool operator==(const task_progress&) const = default;
};

/// @brief What is kept of a job beside the job itself.
///
/// Tasks that were never placed are left out.
struct job_progress
{
    job_state state = job_state::pending;
    std::vector<task_progress> tasks;

    bool operator==(const job_progress&) const = default;
};

/// @brief The stored text of a record; short, it is written often.
std::string encode(const job_progress& from);

/// @brief Reads a stored record.
/// @throw document_error 102 if it is not one
job_progress decode_progress(const std::string& text);

} // namespace springstair
