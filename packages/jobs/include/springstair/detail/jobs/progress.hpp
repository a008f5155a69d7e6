#pragma once

#include <springstair/detail/jobs/executor_incarnation.hpp>
#include <springstair/detail/jobs/job.hpp>

namespace springstair
{

/// @brief Stored progress of one task of a job.
struct task_progress
{
    task_position position;
    bool done = false;
    std::int64_t runs = 0;     ///< number of the newest run; 0: none yet
    std::int64_t failures = 0; ///< number of failed runs
    /// Newest failed run of a gang: the other members' ends of it do not count.
    std::int64_t failed_run = 0;
    std::string guard; ///< where the newest run may be; empty: nowhere
    executor_incarnation executor; ///< incarnation that it was placed on
    std::string checkpoint;        ///< to resume from; empty: none
    std::int64_t suspicion = 0;    ///< of crashing the executors that start it
    std::int64_t crashes = 0;      ///< confirmed executor crashes under it
    std::int64_t judged_run = 0;   ///< newest run whose loss is counted
    std::int64_t losses = 0; ///< executors lost with a start, confirmed or not

    bool operator==(const task_progress&) const = default;
};

/// @brief Stored progress of a job.
///
/// Tasks that were never placed are left out.
struct job_progress
{
    job_state state = job_state::pending;
    std::vector<task_progress> tasks;

    bool operator==(const job_progress&) const = default;
};

/// @brief The stored form of a record; short, as it is written frequently.
std::string encode(const job_progress& progress);

/// @brief A stored form of limited size.
struct limited_record
{
    std::string text;
    /// Tasks whose checkpoint was left out: they start again without it if the
    /// leader changes before their worker reports it again.
    std::size_t checkpoints_left_out = 0;

    bool operator==(const limited_record&) const = default;
};

/// @brief The stored form of a record within the store's limit of a value.
///
/// Executors choose the size of checkpoints. If there is no space for all of
/// them, those of waiting tasks are kept first: a running task's worker reports
/// its checkpoint to the next leader. Without any, the record of the largest
/// job has half a megabyte.
/// @param max_bytes of the text
limited_record encode_within(const job_progress& progress,
                             std::size_t max_bytes);

/// @brief Reads a stored record.
/// @throw document_error 102 if the text is not a valid record
job_progress decode_progress(const std::string& text);

} // namespace springstair
