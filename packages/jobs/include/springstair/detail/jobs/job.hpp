#pragma once

#include <springstair/membership.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief One step of a job: tasks that are alike.
struct job_step
{
    std::int64_t count = 0;
    resources demand;               ///< of each task
    std::int64_t estimate_ms = 0;   ///< the caller's guess of a task's run time
    std::vector<std::size_t> after; ///< steps that must be done before
    bool gang = false;              ///< the tasks only run all together
    bool same_rack = false;         ///< a gang that is slow across racks
    std::string label;              ///< a worker must have it, unless empty
    std::string data_rack;          ///< work is slower on any other rack
    std::int64_t most_per_worker = 0; ///< 0: no bound
    bool copies_allowed = false; ///< a task may run more than once at a time
    bool lasting = false;        ///< runs until the job is cancelled
    std::string image;           ///< tasks of one image behave alike
    std::int64_t latency_target_ms = 0; ///< of a lasting task's own users
    bool fills = false;            ///< uses leftover processors, reserves none
    std::int64_t most_missing = 0; ///< lasting tasks we may take away at once
    bool checkpoints = false;      ///< a stopped run can be resumed

    bool operator==(const job_step&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    job_step, count, demand, estimate_ms, after, gang, same_rack, label,
    data_rack, most_per_worker, copies_allowed, lasting, image,
    latency_target_ms, fills, most_missing, checkpoints)

/// @brief Times at which the steps of a job are repeated.
struct job_schedule
{
    std::int64_t first_due_ms = 0; ///< since 1970, by the time of day
    std::int64_t interval_ms = 0;
    std::int64_t count = 0; ///< 0: the steps run once, at once

    bool operator==(const job_schedule&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job_schedule, first_due_ms,
                                                interval_ms, count)

/// @brief What a caller submitted. It never changes.
struct job
{
    std::string id;
    std::string queue; ///< a row of the queue table
    std::string payload;
    std::vector<job_step> steps;
    job_schedule schedule;
    std::int64_t accepted_ms = 0; ///< when an entry took it, since 1970

    bool operator==(const job&) const = default;

    /// @brief How often the steps run: once, or the schedule's count.
    [[nodiscard]] std::int64_t rounds() const noexcept
    {
        return std::max<std::int64_t>(1, schedule.count);
    }

    /// @brief The longest chain of dependent steps, by the caller's guesses.
    [[nodiscard]] std::int64_t critical_path_ms() const;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(job, id, queue, payload, steps,
                                                schedule, accepted_ms)

/// @brief Bounds of a job; a larger one is refused with its findings.
struct job_bounds
{
    std::size_t payload_bytes = 4000; ///< the platform's own bound
    std::size_t steps = 256;          ///< keeps a job's record below 1 MB
    std::int64_t tasks = 10'000;      ///< over all steps and rounds; as above
};

/// @brief Everything wrong with a job; empty for a good one.
findings check_job(const job& what, const job_bounds& bounds = {});

/// @brief Where a task stands in its job.
struct task_position
{
    std::int64_t round = 0; ///< of the schedule; 0 without one
    std::int64_t step = 0;
    std::int64_t index = 0;

    auto operator<=>(const task_position&) const = default; // NOLINT
};

/// @brief Names a task in the fleet: `job.round.step.index`.
struct task_name
{
    std::string job;
    task_position at;

    auto operator<=>(const task_name&) const = default; // NOLINT

    /// @brief The text form.
    [[nodiscard]] std::string text() const;
    /// @brief Reads the text form; nothing if it is not one.
    static std::optional<task_name> parse(std::string_view text);
};

/// @brief What a caller is shown of a job.
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

/// @brief Whether a state is the last one of a job.
constexpr bool is_final(job_state value) noexcept
{
    return value == job_state::succeeded || value == job_state::failed ||
           value == job_state::cancelled;
}

} // namespace springstair
