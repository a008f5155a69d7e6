#pragma once

#include <springstair/detail/scheduler/job_record.hpp>

#include <cstdint>
#include <span>
#include <string_view>

namespace springstair
{

/// @brief Bounds of the disruption budget. None is a setting: each step states
/// how many of its tasks may be missing.
struct disruption_budget_options
{
    /// A stuck run is stopped without the budget once it has waited this long
    /// for it: otherwise two stuck runs of a step would wait for each other
    /// forever. A waiting long-running task starts within 3 s if there is
    /// capacity, so the others of its step have had the time to return.
    duration max_stuck_hold = std::chrono::milliseconds(3000);
    /// A run that a previous leader placed counts as unavailable until it has
    /// been known for this long, two reports of a guard: the previous leader
    /// may have ordered its stop, which no record contains.
    duration inherited_settling = std::chrono::milliseconds(1000);
    /// A run that reports have not shown for longer than this counts as
    /// unavailable: two reports of a guard and some delay.
    duration max_silence = std::chrono::milliseconds(1300);

    bool operator==(const disruption_budget_options&) const = default;
};

/// @brief Why a long-running run is stopped on purpose.
enum class stop_reason : std::uint8_t
{
    preemption, ///< a step that only some workers may run needs its worker
    yield,      ///< urgent tasks need its capacity
    relocation, ///< it is throttled where it runs
    stuck,      ///< it makes no progress
    leaving     ///< its worker is about to leave
};

/// @brief The name of a reason, as shown in logs.
std::string_view to_string(stop_reason value) noexcept;

/// @brief Whether a task of a long-running step is not known to be at work: it
/// has no run, or its run was not seen yet, is being stopped, has not reached
/// full progress by its newest report, has not been reported recently, or was
/// taken over from a previous leader just now. Tasks that are done are not
/// missed.
bool is_unavailable(const job_task& task, time_point now,
                    const disruption_budget_options& options) noexcept;

/// @brief The disruption budget of one long-running step at one moment: whether
/// one more of its tasks may be taken away on purpose.
///
/// It serves fleets in which several mechanisms take long-running tasks away at
/// the same time, while workers leave or crash. Computed from the present
/// records; whatever made a task unavailable, it counts. Closed data centres
/// need no budget: the leader stops only runs there that have not begun or have
/// vanished, which are unavailable already.
class disruption_budget
{
public:
    /// @param tasks of the step, in one round
    disruption_budget(const job_step& step, std::span<const job_task> tasks,
                      time_point now, const disruption_budget_options& options);

    /// @brief Number of tasks that are unavailable now.
    [[nodiscard]] std::int64_t unavailable() const noexcept
    {
        return unavailable_;
    }
    /// @brief Number of further tasks that may become unavailable; the maximum
    /// of the type if the step has no limit.
    [[nodiscard]] std::int64_t room() const noexcept;
    /// @brief Whether a task may be taken away: with it, at most
    /// job_step::most_missing tasks are unavailable. A gang stops as a whole.
    [[nodiscard]] bool allows(const job_task& task) const noexcept;

private:
    const job_step& step_;
    time_point now_;
    disruption_budget_options options_;
    std::int64_t unavailable_ = 0;
    std::int64_t not_done_ = 0;
};

} // namespace springstair
