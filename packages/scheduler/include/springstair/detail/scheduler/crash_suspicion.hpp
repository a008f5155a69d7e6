#pragma once

#include <springstair/core.hpp>

#include <cstdint>

namespace springstair
{

/// @file
/// @brief What a lost run says of its task.
///
/// A task can crash each executor that starts it. An executor that crashes
/// lists no end, and takes along whatever ran beside its culprit. So each task
/// bears a suspicion, kept with its progress, that grows with each executor
/// lost under it, by how likely it was the task. A suspect of one crash goes
/// where fewest others are new; one of two runs where nothing else is started
/// until it has proved itself: a third crash then names it, and those that were
/// only beside it go on. To run apart from the first crash on cost 0.02 of all
/// worth on days with crashes by themselves (32 pairs of days, 11 workers).
/// A task that crashes executors is given up after three of them, where it ran
/// apart at the third, and else after four or five. Only crashes of runs that
/// surely began, which the guard beside the executor lived through, are sure;
/// others raise the suspicion alone. A lapsed lease or a change of the holder
/// says nothing of a task.

/// @brief Bounds of suspicion and of the trial of suspects.
struct suspicion_options
{
    /// A run that a report shows at work so long after its order hardly
    /// crashes its executor any more. Above the time that an order takes.
    duration proven_after = std::chrono::milliseconds(300);
    /// The same for sure, and for a suspect. A task that crashes executors
    /// only after more work than this is not found out.
    duration surely_proven_after = std::chrono::milliseconds(1000);
    /// A run at work for so long clears its task: crashes of executors by
    /// themselves do not add up over the life of what lasts.
    duration sound_after = std::chrono::seconds(3);
    /// Share of the workers that may be closed for suspects at once; the
    /// others stay with all other work.
    double closed_share = 0.2;
    /// A worker is kept for a suspect no longer than this, until the others
    /// there have proved themselves or ended.
    duration max_isolation_wait = std::chrono::seconds(3);
    /// A suspect that has waited for so long may close any worker: a job may
    /// have nothing running for three seconds at most.
    duration share_bound_for = std::chrono::milliseconds(1500);
    /// Executors of a rack that went within this time of one another went
    /// for one reason, their own. A look at one that crashed fails at once.
    duration same_fault = std::chrono::milliseconds(300);
    /// Pause of a task with four crashes of which too few are known to have
    /// been under it. What hides them, lost answers, may pass.
    duration unnamed_pause = std::chrono::seconds(3);
    /// A suspect does not return to the worker that it left for so long.
    duration return_backoff = std::chrono::seconds(10);
};

/// @brief What else went when an executor crashed.
enum class crash_scope : std::uint8_t
{
    executor, ///< others of its rack stand: it may be a task's doing
    rack      ///< half of the rack or more: hardly
};

/// @brief Suspicion from which on a task is a suspect: one crash right after
/// its start.
inline constexpr std::int64_t suspect_threshold = 2;
/// @brief Suspicion from which on a suspect runs apart: two of them.
inline constexpr std::int64_t isolation_threshold = 4;
/// @brief Suspicion from which on a crash that nothing else there can have
/// caused gives the task up, if two crashes are known to have been under it:
/// the third crash, where it ran apart. Executors crash by themselves, too.
inline constexpr std::int64_t blame_threshold = 6;
/// @brief More suspicion than three crashes add: from here on two crashes that
/// were surely under a task give it up, whatever ran beside it.
inline constexpr std::int64_t four_crashes = 7;
/// @brief Executors that went with a start of a task, from which on one of them
/// that surely went under it gives it up, with the suspicion of four crashes.
/// The platform allows two starts more after the third.
inline constexpr std::int64_t max_losses = 5;
/// @brief Crashes that must surely have been under a task before its job may
/// be told that it failed (platform).
inline constexpr std::int64_t min_crashes = 2;
/// @brief Crashes surely under a task that give it up, at the suspicion of
/// three whatever ran beside it, at less if it ran apart: the platform counts
/// starts from here on, and a verdict can be lost with its holder before it is
/// written.
inline constexpr std::int64_t naming_crashes = 3;

/// @brief One run that went with its executor.
struct lost_run_facts
{
    std::int64_t suspicion = 0; ///< of its task, before
    duration at_work{0};        ///< for how long looks had shown it
    crash_scope scope = crash_scope::rack;
    bool beside_suspect = false; ///< a suspect there had not proved itself
};

/// @brief How long the run of a task must have been shown at work for its
/// worker to take other runs again.
[[nodiscard]] constexpr duration
proof_time(std::int64_t suspicion, const suspicion_options& options) noexcept
{
    return suspicion >= suspect_threshold ? options.surely_proven_after
                                          : options.proven_after;
}

/// @brief Whether a run is among the likely causes of the loss.
[[nodiscard]] constexpr bool
is_likely_cause(const lost_run_facts& of,
                const suspicion_options& options) noexcept
{
    return of.at_work < options.proven_after;
}

/// @brief Whether a run may have caused the loss at all.
[[nodiscard]] constexpr bool
is_unproven(const lost_run_facts& of, const suspicion_options& options) noexcept
{
    return of.at_work < proof_time(of.suspicion, options);
}

/// @brief Whether a run is that of a suspect that may have caused the loss.
[[nodiscard]] constexpr bool
is_unproven_suspect(const lost_run_facts& of,
                    const suspicion_options& options) noexcept
{
    return of.suspicion >= suspect_threshold && is_unproven(of, options);
}

/// @brief What a loss adds to the suspicion of the run's task. A crash has one
/// culprit at most: where a suspect is there, the others are hardly it.
[[nodiscard]] constexpr std::int64_t
added_suspicion(const lost_run_facts& of,
                const suspicion_options& options) noexcept
{
    const bool suspect = of.suspicion >= suspect_threshold;
    const bool alone = of.scope == crash_scope::executor && !of.beside_suspect;
    if (is_likely_cause(of, options))
    {
        return alone || suspect ? 2 : 1;
    }
    if (of.at_work < options.surely_proven_after)
    {
        return (alone ? 1 : 0) + (suspect ? 1 : 0);
    }
    return 0;
}

/// @brief What is known of a task once a crash is counted.
struct crash_verdict
{
    std::int64_t suspicion = 0;
    std::int64_t crashes = 0; ///< surely under it
    std::int64_t losses = 0;  ///< executors that went with a start of it
    /// All that ran beside it had proved itself; members of a gang, which are
    /// not run apart, count as if it had.
    bool is_sole = false;
    bool is_sure = false; ///< it had surely begun
};

/// @brief Whether a task is given up. A crash beside others does not name it,
/// nor does a start that may never have begun: with those, tasks that were only
/// beside crashes were told to have failed. Where answers are lost so often
/// that only one of five crashes is sure, coincidence is less likely than the
/// task.
[[nodiscard]] constexpr bool is_given_up(const crash_verdict& of) noexcept
{
    if (of.crashes < min_crashes)
    {
        return of.crashes > 0 && of.losses >= max_losses &&
               of.suspicion >= four_crashes;
    }
    const bool alone = of.is_sole && of.is_sure;
    const bool thrice = of.crashes >= naming_crashes;
    const bool named = of.suspicion >= blame_threshold && (alone || thrice);
    return named || (alone && thrice) || of.suspicion >= four_crashes;
}

} // namespace springstair
