#pragma once

#include <springstair/detail/jobs/queue_row.hpp>
#include <springstair/membership.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief One step of a job: a number of identical tasks.
struct job_step
{
    std::int64_t count = 0;
    resources demand; ///< of each task
    /// The caller's estimate of a task's run time.
    std::int64_t estimate_ms = 0;
    std::vector<std::size_t> after;   ///< indices of steps to be done first
    bool gang = false;                ///< the tasks must run at the same time
    bool same_rack = false;           ///< a gang that runs slower across racks
    std::string label;                ///< a worker must have it; empty: none
    std::string data_rack;            ///< tasks run slower on any other rack
    std::int64_t most_per_worker = 0; ///< 0: no bound
    bool copies_allowed = false; ///< a task may have several runs at a time
    bool lasting = false;        ///< runs until the job is cancelled
    std::string image;           ///< tasks of one image behave alike
    /// Tail latency target of a long-running task; 0: none.
    std::int64_t latency_target_ms = 0;
    /// Best-effort: uses processors left over by others, reserves none.
    bool fills = false;
    /// Maximum number of its long-running tasks that may be missing, including
    /// the one that is being preempted; 0: no bound.
    std::int64_t most_missing = 0;
    bool checkpoints = false; ///< a stopped run can be resumed

    bool operator==(const job_step&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    job_step, count, demand, estimate_ms, after, gang, same_rack, label,
    data_rack, most_per_worker, copies_allowed, lasting, image,
    latency_target_ms, fills, most_missing, checkpoints)

/// @brief Times at which the steps of a job are repeated.
struct job_schedule
{
    std::int64_t first_due_ms = 0; ///< Unix time of the first round
    std::int64_t interval_ms = 0;
    std::int64_t count = 0; ///< number of rounds; 0: one round, at once

    bool operator==(const job_schedule&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_schedule, first_due_ms,
                                                interval_ms, count)

/// @brief A job as submitted by a caller. It never changes.
struct job
{
    std::string id;
    std::string queue; ///< name of a row of the queue table
    std::string payload;
    std::vector<job_step> steps;
    job_schedule schedule;
    std::int64_t accepted_ms = 0; ///< Unix time at which an entry accepted it
    /// The row of its queue then: it applies once the table has none. Nothing
    /// if an earlier version accepted the job.
    std::optional<queue_row> accepted_under;

    bool operator==(const job&) const = default;

    /// @brief Number of rounds: one, or the schedule's count.
    [[nodiscard]] std::int64_t rounds() const noexcept
    {
        return std::max<std::int64_t>(1, schedule.count);
    }

    /// @brief The longest chain of dependent steps, by the estimates.
    [[nodiscard]] std::int64_t critical_path_ms() const;
};

void to_json(json& to, const job& from);
void from_json(const json& from, job& to);

/// @brief Bounds of a job; a larger one is refused with findings.
///
/// No sum over the tasks of a job, or over the runs of a worker, and no time in
/// microseconds leaves the range of 64 bits within these bounds.
struct job_bounds
{
    std::size_t payload_bytes = 4000; ///< the platform's own bound
    std::size_t steps = 256;          ///< keeps a job's record below 1 MB
    std::int64_t tasks = 10'000; ///< over all steps and rounds; same reason
    /// Of each resource of a task, in the units of `resources`.
    std::int64_t demand = 1'000'000'000;
    std::int64_t estimate_ms = 31'622'400'000;    ///< of a task: 366 days
    std::int64_t latency_target_ms = 86'400'000;  ///< a day
    std::int64_t unix_ms = 253'402'300'799'999;   ///< the end of the year 9999
    std::int64_t interval_ms = 3'162'240'000'000; ///< 100 years
};

/// @brief All errors in a job; empty if it is valid.
findings check_job(const job& definition, const job_bounds& bounds = {});

/// @brief Reads a job that is stored or that another process sent.
///
/// Earlier versions accepted numbers beyond the bounds. Those that make no task
/// are moved to the nearest bound, so that a running job goes on.
/// @throw document_error if it is invalid
job read_job(const json& document, const job_bounds& bounds = {});

/// @brief Position of a task in its job.
struct task_position
{
    std::int64_t round = 0; ///< of the schedule; 0 without one
    std::int64_t step = 0;
    std::int64_t index = 0;

    auto operator<=>(const task_position&) const = default; // NOLINT
};

/// @brief Unique name of a task in the fleet: `job.round.step.index`.
struct task_name
{
    std::string job;
    task_position position;

    auto operator<=>(const task_name&) const = default; // NOLINT

    /// @brief The text form.
    [[nodiscard]] std::string text() const;
    /// @brief Parses the text form; nothing if it is malformed.
    static std::optional<task_name> parse(std::string_view text);
};

/// @brief State of a job as shown to callers.
enum class job_state : std::uint8_t
{
    pending, ///< accepted, no task has begun
    running,
    succeeded,
    failed,
    cancelled
};

/// @brief The wire name of a state.
std::string_view to_string(job_state value) noexcept;

/// @brief Whether a job never leaves this state.
constexpr bool is_final(job_state value) noexcept
{
    return value == job_state::succeeded || value == job_state::failed ||
           value == job_state::cancelled;
}

} // namespace springstair
