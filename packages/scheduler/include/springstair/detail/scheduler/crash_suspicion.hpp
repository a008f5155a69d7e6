#pragma once

#include <springstair/core.hpp>

#include <cstdint>

namespace springstair
{

/// @file
/// @brief Attribution of executor crashes to tasks.
///
/// A task can crash every executor that starts it. A crashed executor reports
/// no ends, and all of its runs are lost, not only the one that caused the
/// crash. So each task has a suspicion, stored with its progress, that grows
/// with each executor lost under it, by how likely the task was the cause.
///
/// After one crash, a suspect is placed where the fewest other runs are
/// unproven. After two, it is isolated: nothing else is started on its worker
/// until it is proven. A third crash then identifies it, and tasks that only
/// ran beside it continue. Isolation after the first crash cost 0.02 of the
/// total value of all jobs on days with spontaneous crashes (32 pairs of days,
/// 11 workers).
///
/// A task that crashes executors is blamed after three crashes if it was
/// isolated at the third, otherwise after four or five. A crash is confirmed
/// only if the run had certainly begun and the executor's guard outlived it;
/// other losses only raise the suspicion. An expired lease or a leader change
/// is no evidence against a task.

/// @brief Bounds of suspicion and of the isolation of suspects.
struct suspicion_options
{
    /// A run that a report shows running this long after its start order is
    /// unlikely to crash its executor. Exceeds the time that an order takes.
    duration proven_after = std::chrono::milliseconds(300);
    /// The same with certainty, and for suspects. A task that crashes executors
    /// only after a longer run time is not detected.
    duration surely_proven_after = std::chrono::milliseconds(1000);
    /// A run that has been running for this long clears its task: spontaneous
    /// executor crashes must not add up over the run time of a long-running
    /// task.
    duration cleared_after = std::chrono::seconds(3);
    /// Maximum share of the workers that are isolated with suspects or reserved
    /// for them at once, but at least one worker; the others remain available
    /// to all other work.
    double isolated_share = 0.2;
    /// Maximum time for which a worker is reserved for a suspect, until the
    /// other runs there are proven or have ended.
    duration max_isolation_wait = std::chrono::seconds(3);
    /// A suspect that has waited this long may reserve a worker even if the
    /// share is exceeded: a job may have nothing running for at most three
    /// seconds.
    duration isolated_share_timeout = std::chrono::milliseconds(1500);
    /// Executors of a rack that were lost within this time of one another had a
    /// common cause, and no task is it. A poll of a crashed executor fails at
    /// once.
    duration common_cause_window = std::chrono::milliseconds(300);
    /// Backoff of a task with the suspicion of four crashes, too few of them
    /// confirmed. Their cause is hidden by lost answers, which may be
    /// temporary.
    duration unidentified_backoff = std::chrono::seconds(3);
    /// Minimum time before a suspect returns to the worker that it left.
    duration return_backoff = std::chrono::seconds(10);
};

/// @brief What else was lost when an executor crashed.
enum class crash_scope : std::uint8_t
{
    executor, ///< others of its rack are up: a task may be the cause
    rack      ///< half of the rack or more: a task is hardly the cause
};

/// @brief Minimum suspicion of a suspect: one crash right after its start.
inline constexpr std::int64_t suspect_threshold = 2;
/// @brief Minimum suspicion at which a suspect is isolated: two such crashes.
inline constexpr std::int64_t isolation_threshold = 4;
/// @brief Minimum suspicion at which a task is blamed for a crash that nothing
/// else on the worker can have caused, if at least two crashes are confirmed:
/// the third crash of an isolated task. Executors also crash spontaneously.
inline constexpr std::int64_t blame_threshold = 6;
/// @brief More suspicion than three crashes add: from here on two confirmed
/// crashes are enough to blame a task, whatever ran beside it.
inline constexpr std::int64_t strong_blame_threshold = 7;
/// @brief Minimum number of executors lost with a start of a task at which one
/// confirmed crash is enough to blame it, given the suspicion of four crashes.
/// The platform allows two more starts after the third.
inline constexpr std::int64_t blame_losses = 5;
/// @brief Minimum number of confirmed crashes under a task before its job may
/// be reported as failed (platform). @ref blame_losses is the exception.
inline constexpr std::int64_t min_crashes = 2;
/// @brief Confirmed crashes at which a task is blamed: with the suspicion of
/// three crashes, whatever ran beside it; with less, if nothing else can have
/// caused the last one. The platform counts starts from here on, and a verdict
/// can be lost with its leader before it is written.
inline constexpr std::int64_t blame_crashes = 3;

/// @brief One run that was lost with its executor.
struct lost_run_facts
{
    std::int64_t suspicion = 0; ///< of its task, before this loss
    duration run_time{0};       ///< how long polls had shown it running
    crash_scope scope = crash_scope::rack;
    bool beside_suspect = false; ///< an unproven suspect ran on the worker, too
};

/// @brief How long a run must have been shown running to be proven. The worker
/// of an isolated suspect then accepts other runs again.
[[nodiscard]] constexpr duration
proof_time(std::int64_t suspicion, const suspicion_options& options) noexcept
{
    return suspicion >= suspect_threshold ? options.surely_proven_after
                                          : options.proven_after;
}

/// @brief Whether a run is among the likely causes of the loss.
[[nodiscard]] constexpr bool
is_likely_cause(const lost_run_facts& facts,
                const suspicion_options& options) noexcept
{
    return facts.run_time < options.proven_after;
}

/// @brief Whether a run can have caused the loss at all.
[[nodiscard]] constexpr bool
is_unproven(const lost_run_facts& facts,
            const suspicion_options& options) noexcept
{
    return facts.run_time < proof_time(facts.suspicion, options);
}

/// @brief Whether a run belongs to a suspect and can have caused the loss.
[[nodiscard]] constexpr bool
is_unproven_suspect(const lost_run_facts& facts,
                    const suspicion_options& options) noexcept
{
    return facts.suspicion >= suspect_threshold && is_unproven(facts, options);
}

/// @brief Suspicion that a loss adds to the run's task. A crash has at most one
/// cause: beside a suspect, other runs are unlikely to be it.
[[nodiscard]] constexpr std::int64_t
added_suspicion(const lost_run_facts& facts,
                const suspicion_options& options) noexcept
{
    const bool suspect = facts.suspicion >= suspect_threshold;
    const bool is_strong =
        facts.scope == crash_scope::executor && !facts.beside_suspect;
    if (is_likely_cause(facts, options))
    {
        return is_strong || suspect ? 2 : 1;
    }
    if (facts.run_time < options.surely_proven_after)
    {
        return (is_strong ? 1 : 0) + (suspect ? 1 : 0);
    }
    return 0;
}

/// @brief What is known of a task once a crash is counted.
struct crash_verdict
{
    std::int64_t suspicion = 0;
    std::int64_t crashes = 0; ///< confirmed ones, under this task
    std::int64_t losses = 0;  ///< executors lost with a start of it
    /// Everything that ran beside it was proven. Members of a gang, which are
    /// not isolated, count as if it was.
    bool is_only_unproven = false;
    bool is_confirmed = false; ///< its run had certainly begun
};

/// @brief Whether a task is blamed. A crash beside other unproven runs does not
/// identify it, nor does a start that may never have begun: when those counted,
/// jobs failed whose tasks had only run beside crashes. If lost answers leave
/// only one of five crashes confirmed, coincidence is less likely than the task
/// being the cause.
[[nodiscard]] constexpr bool is_blamed(const crash_verdict& verdict) noexcept
{
    if (verdict.crashes < min_crashes)
    {
        return verdict.crashes > 0 && verdict.losses >= blame_losses &&
               verdict.suspicion >= strong_blame_threshold;
    }
    const bool is_only_cause = verdict.is_only_unproven && verdict.is_confirmed;
    const bool has_enough_crashes = verdict.crashes >= blame_crashes;
    const bool is_identified = verdict.suspicion >= blame_threshold &&
                               (is_only_cause || has_enough_crashes);
    return is_identified || (is_only_cause && has_enough_crashes) ||
           verdict.suspicion >= strong_blame_threshold;
}

} // namespace springstair
