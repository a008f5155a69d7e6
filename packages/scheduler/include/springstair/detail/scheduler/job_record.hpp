#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace springstair
{

/// @brief The newest run of a task that may still be at some worker.
struct task_run
{
    std::int64_t number = 0;
    std::string guard;
    executor_incarnation executor; ///< of the executor
    std::string ticket; ///< of the advice that let it run there; or empty
    std::int64_t placed_in = 0;    ///< the job's change that recorded it
    bool ordered = false;          ///< a start was sent in this office
    std::string told_incarnation;  ///< guard process of that; see start_order
    bool seen = false;             ///< a report showed it running
    time_point last_seen{};        ///< by the newest report that showed it
    time_point ordered_at{};       ///< or when this holder adopted it
    bool stopping = false;         ///< it is to end; a stop is repeated
    std::int64_t percent = -1;     ///< progress in the newest report
    time_point last_progress_at{}; ///< when that progress last changed
    std::int64_t repeats = 0;      ///< of its order, since a report showed it
    bool over_target = false;      ///< its tail, by the newest report

    bool operator==(const task_run&) const = default;
};

/// @brief A worker that a task has just left, to run elsewhere.
struct departed_worker
{
    std::string guard;
    time_point until; ///< no return earlier if any other worker takes it

    bool operator==(const departed_worker&) const = default;
};

/// @brief One task of a job.
struct job_task
{
    bool done = false;
    std::int64_t runs = 0;
    std::int64_t failures = 0;
    std::int64_t suspicion = 0;  ///< of crashing executors; crash_suspicion.hpp
    std::int64_t crashes = 0;    ///< of executors, surely under it
    std::int64_t judged_run = 0; ///< the newest whose crash is in there
    std::int64_t losses = 0; ///< executors that went with a start, sure or not
    std::optional<task_run> run;
    std::string checkpoint;
    std::set<std::string> avoided; ///< guards where it failed or stood still
    std::optional<departed_worker> departed; ///< by its newest move
    time_point not_before{};  ///< no start earlier; after a refusal
    time_point ready_since{}; ///< since when its turn has come

    /// @brief Whether it is at no worker and not done.
    [[nodiscard]] bool is_waiting() const noexcept
    {
        return !done && !run;
    }
};

/// @brief One job as its holder knows it, with all of its tasks.
class job_record
{
public:
    /// @brief A job of which nothing has run.
    explicit job_record(job what);

    [[nodiscard]] const job& definition() const noexcept
    {
        return definition_;
    }
    [[nodiscard]] job_state state() const noexcept
    {
        return state_;
    }

    /// @brief Moves to another state. Final states are kept.
    void enter(job_state next) noexcept;

    /// @brief The task at a position, or null if the job has none there.
    job_task* find(const task_position& at);
    /// @brief The tasks of one step of one round.
    std::span<job_task> tasks_of(std::int64_t round, std::int64_t step);
    [[nodiscard]] std::span<const job_task> tasks_of(std::int64_t round,
                                                     std::int64_t step) const;
    /// @brief All tasks.
    [[nodiscard]] std::span<job_task> tasks() noexcept
    {
        return tasks_;
    }
    [[nodiscard]] std::span<const job_task> tasks() const noexcept
    {
        return tasks_;
    }
    /// @brief The position of a task of this record.
    [[nodiscard]] task_position position_of(const job_task& task) const;
    /// @brief The step of a task.
    [[nodiscard]] const job_step& step_at(const task_position& at) const;

    /// @brief Whether every step before this one is done in that round.
    [[nodiscard]] bool is_open(std::int64_t round, std::int64_t step) const;
    /// @brief Whether every task is done.
    [[nodiscard]] bool all_done() const;
    /// @brief Whether any run may still be at a worker.
    [[nodiscard]] bool has_runs() const;

    /// @brief What is to be kept of it: of a job that has ended everywhere
    /// its state alone, so that a successor reads little.
    [[nodiscard]] job_progress progress() const;
    /// @brief Takes over what an earlier holder kept.
    void restore(const job_progress& kept);

    // Bookkeeping of what the store has.

    std::int64_t change = 0;           ///< counts changes worth keeping
    std::int64_t committed_change = 0; ///< the newest change that the store has
    std::int64_t revision = 0;         ///< of the stored progress; 0: none
    /// Whether a start or a caller waits for the newest change to be kept.
    bool urgent_commit = false;
    /// Changes of other jobs, by their id, that the store must have no later
    /// than this record: ends whose room its placements use.
    std::map<std::string, std::int64_t> required_changes;
    time_point uncommitted_since{}; ///< of the oldest change to be written
    job_state shown = job_state::pending;  ///< what callers may see
    job_state sent = job_state::pending;   ///< what the store may have
    std::int64_t order = 0;                ///< in which jobs were accepted
    time_point accepted{};                 ///< when this holder learnt of it
    std::optional<time_point> first_start; ///< when a task was first placed
    bool begun = false;                    ///< some task was seen running
    std::int64_t critical_path_ms = 0; ///< its longest chain, by the guesses

private:
    job definition_;
    job_state state_ = job_state::pending;
    std::vector<std::size_t> first_of_step_; ///< offsets within a round
    std::size_t tasks_per_round_ = 0;
    std::vector<job_task> tasks_;
};

} // namespace springstair
