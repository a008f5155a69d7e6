#pragma once

#include <springstair/detail/scheduler/job_record.hpp>
#include <springstair/detail/scheduler/run_time_model.hpp>

namespace springstair
{

/// @brief How long a job takes without waits, as far as it is known now.
struct job_forecast
{
    duration chain{0};      ///< its longest chain of dependent steps
    duration remaining{0};  ///< what is left of its longest chain
    bool has_begun = false; ///< some task is done or has a run

    bool operator==(const job_forecast&) const = default;
};

/// @brief Forecasts a job that has no schedule. Tasks that are done, or whose
/// progress was observed, count with the observed run time: a job with one very
/// long task has a later objective than its estimates say.
job_forecast forecast(const job_record& record, const run_time_model& model);

/// @brief Records the progress of a run in its task. @param slowed the run is
/// throttled, so its progress says nothing about the work
void observe_progress(job_task& task, std::int64_t percent, bool slowed,
                      time_point now);

/// @brief Records in the task that its run is done. Returns the run time if it
/// was observed from the start at full speed, otherwise 0.
duration observe_done(job_task& task, time_point now);

} // namespace springstair
