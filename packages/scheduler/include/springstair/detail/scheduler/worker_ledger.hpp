#pragma once

#include <springstair/jobs.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace springstair
{

/// @brief An end that is applied but may not be kept in the store yet.
struct noted_end
{
    std::int64_t number = 0;
    std::string job;
    std::int64_t change = 0; ///< the job's change that holds it

    bool operator==(const noted_end&) const = default;
};

/// @brief What the holder knows of one worker.
struct worker_record
{
    std::string guard;
    std::string address; ///< of its guard
    worker_description description;
    resources used;             ///< by runs that may be there
    resources lasting_used;     ///< the part of it that lasting runs have
    resources claimed;          ///< kept free for a task that waits
    std::int64_t fill_cpu = 0;  ///< asked for by runs that fill
    std::int64_t fill_runs = 0; ///< their number
    std::set<task_name> assigned_tasks; ///< tasks whose newest run may be there
    /// Of those, the ones not yet seen at work for a while.
    std::set<task_name> unproven;
    /// Of the unproven, those that are suspected of crashing executors.
    std::set<task_name> suspects;
    /// Of those, the suspect for which nothing else is started there.
    std::optional<task_name> isolated_suspect;
    /// The suspect that waits for the others there to prove themselves, and
    /// until when: nothing else is started meanwhile.
    std::optional<task_name> reserved_for;
    time_point reserved_until{};
    /// Former lives that its guard still tells of and that were judged.
    std::set<executor_incarnation> judged_incarnations;
    /// The guard process that told of its executor's life last: of what goes
    /// with that life, it knows.
    std::string witness;
    /// When its executor's life was first reported.
    time_point incarnation_since{};
    /// When looks at its executor began to fail, or its guard fell silent.
    time_point lost_at{};
    time_point previously_lost_at{}; ///< the same of its executor's former life
    std::string incarnation;         ///< of its guard
    std::int64_t sequence = 0;       ///< of the newest report
    std::int64_t offered = 0;        ///< newest admission number
    std::string offered_to;          ///< incarnation that it was given to
    bool answering = true;           ///< its guard hears from it
    bool closed = false;             ///< its data centre takes no new runs
    /// Its lease has to run out before anything listed there is acknowledged.
    bool lease_must_expire = false;
    /// Its guard's clock reads at least so much more than ours.
    std::int64_t clock_ahead_ms = 0;
    time_point reported{}; ///< when its last report came
    /// Starts for it are void from then on, by its guard's clock: no later
    /// than its runs are given up by ours.
    std::int64_t starts_until_ms = 0;
    time_point lease_ends{};       ///< by then its lease has surely run out
    std::int64_t noted = 0;        ///< ends up to here are applied
    std::int64_t acknowledged = 0; ///< ends up to here are kept
    std::deque<noted_end> uncommitted_ends;
    double fault_score = 0; ///< that it is sound; see fault_detector
    std::string failed_job; ///< the last job that failed here
    time_point ejected_until{};
    std::int64_t ejections = 0;
    std::map<std::string, std::int64_t> of_step; ///< runs by job and step
    /// Tasks that serve, by image, by the ledger.
    std::map<std::string, std::int64_t> serving_runs;
    std::int64_t serving_cpu = 0; ///< reserved by tasks that serve
    /// Processors that fills ask for, by image, by the ledger.
    std::map<std::string, std::int64_t> fill_cpu_of;
    std::map<std::string, std::int64_t> paces; ///< of images slowed there
    time_point learnt{}; ///< when its figures were last learnt from
    /// Least headroom (target by tail) that serving tasks of an image would
    /// have without fills, by the newest figures.
    std::map<std::string, double> headroom_alone;
    std::map<std::string, double> filling; ///< newest use, share of capacity

    /// @brief What is left, by the ledger.
    [[nodiscard]] resources free_capacity() const noexcept;
    /// @brief What is left for others than the task that has a claim.
    [[nodiscard]] resources unreserved_capacity() const noexcept;
    /// @brief What would be left if all runs but lasting ones had ended.
    [[nodiscard]] resources eventual_capacity() const noexcept;
};

/// @brief What a run takes from a worker's room: a run that fills reserves
/// no processors.
resources reserved_by(const job_step& step) noexcept;

/// @brief Enters a run into a worker's ledger.
void reserve(worker_record& at, const job_step& step, const task_name& task);

/// @brief Takes a run out of a worker's ledger, if it is in there.
void release(worker_record& at, const job_step& step, const task_name& task);

/// @brief A run has shown that it does not crash its executor at its start,
/// or is gone: what was closed for it is open again.
void end_isolation(worker_record& at, const task_name& task);

/// @brief The text that groups the runs of one step of one round.
std::string step_group(const std::string& job, const task_position& at);

} // namespace springstair
