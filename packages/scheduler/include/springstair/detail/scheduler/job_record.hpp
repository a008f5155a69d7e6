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

/// @brief The newest run of a task, as long as it may be at some worker.
struct task_run
{
    std::int64_t number = 0;
    std::string guard;
    executor_incarnation executor; ///< incarnation that it was placed on
    std::string ticket;         ///< of the advice service; empty: none needed
    std::int64_t placed_in = 0; ///< the job's change that recorded it
    /// A start or stop was sent in this term, or a previous leader placed the
    /// run: no first start is sent any more.
    bool ordered = false;
    bool queued = false; ///< its first start waits to be sent
    /// Guard process that the start was first sent to; see start_order.
    std::string told_incarnation;
    /// Of its start order, while no report has shown the run; see
    /// worker_record.
    std::int64_t unconfirmed_bytes = 0;
    bool seen = false;      ///< a report showed it running
    time_point last_seen{}; ///< by the newest report that showed it
    /// When lists of its worker last did not show it: it had not begun then.
    time_point last_absent{};
    /// When its start was sent, or this leader adopted it.
    time_point ordered_at{};
    bool stopping = false;     ///< the stop is repeated until it ends
    std::int64_t percent = -1; ///< progress in the newest report
    /// Start of the timeouts of stuck and missing runs. Set at the placement,
    /// by each order and repetition, at adoption by a new leader or executor
    /// incarnation, when percent changes, and by each report of a long-running
    /// task at full progress.
    time_point last_progress_at{};
    /// Repetitions of the start order since a report last showed the run.
    std::int64_t repeats = 0;
    bool over_target = false; ///< its tail latency, by the newest report
    /// Whether this leader saw all of it, from its first order, without
    /// throttling and without a checkpoint to resume from.
    bool observed_whole = false;
    /// Progress is extrapolated from this time and percentage on.
    std::optional<time_point> observed_since;
    std::int64_t observed_from = 0;
    bool stop_held = false; ///< a stop of it has waited for the budget

    bool operator==(const task_run&) const = default;
};

/// @brief A worker that a task has just left, to run elsewhere.
struct departed_worker
{
    std::string guard;
    time_point until; ///< no earlier return if any other worker can run it

    bool operator==(const departed_worker&) const = default;
};

/// @brief One task of a job.
struct job_task
{
    bool done = false;
    std::int64_t runs = 0;
    std::int64_t failures = 0;
    std::int64_t failed_run = 0; ///< newest failed run of a gang
    /// Suspicion of crashing executors; see crash_suspicion.hpp.
    std::int64_t suspicion = 0;
    std::int64_t crashes = 0;    ///< confirmed executor crashes under it
    std::int64_t judged_run = 0; ///< newest run whose loss is counted
    std::int64_t losses = 0; ///< executors lost with a start, confirmed or not
    heap_optional<task_run> run; ///< few of the tasks of a job have one
    std::string checkpoint;
    duration observed_work{0};     ///< run time at full speed; 0: unknown
    std::set<std::string> avoided; ///< guards where it failed or got stuck
    /// By its newest relocation, or its newest crash as a suspect.
    heap_optional<departed_worker> departed;
    /// Earliest next start: backoff after a refusal, or of a strong suspect.
    time_point not_before{};
    /// When its job was accepted, its step opened or its last run (or that of
    /// another member of its gang) ended, whichever was last. The due time of
    /// its round is not considered.
    time_point ready_since{};

    /// @brief Whether it is not done and has no run.
    [[nodiscard]] bool is_waiting() const noexcept
    {
        return !done && !run;
    }
};

/// @brief One job as the leader knows it, with all of its tasks.
class job_record
{
public:
    /// @brief A job without any runs yet.
    explicit job_record(job definition);

    /// @brief Bytes that the record of a job may hold until it ends, with a run
    /// of each task.
    static std::int64_t memory_bytes(const job& definition);
    /// @brief Bytes that are counted for this record.
    [[nodiscard]] std::int64_t memory_bytes() const noexcept
    {
        return memory_bytes_;
    }

    [[nodiscard]] const job& definition() const noexcept
    {
        return definition_;
    }
    [[nodiscard]] job_state state() const noexcept
    {
        return state_;
    }

    /// @brief Enters another state. Final states do not change.
    void enter(job_state next) noexcept;

    /// @brief The task at a position, or null if the job has none there.
    job_task* find(const task_position& position);
    /// @brief The tasks of one step of one round.
    std::span<job_task> tasks_of(std::int64_t round, std::int64_t step);
    [[nodiscard]] std::span<const job_task> tasks_of(std::int64_t round,
                                                     std::int64_t step) const;
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
    [[nodiscard]] const job_step& step_at(const task_position& position) const;

    /// @brief Whether every step that this one depends on is done in that
    /// round.
    [[nodiscard]] bool is_open(std::int64_t round, std::int64_t step) const;
    [[nodiscard]] bool all_done() const;
    /// @brief Whether any run may still be at a worker.
    [[nodiscard]] bool has_runs() const;

    /// @brief What is stored of the job. Once a job is final and has no runs,
    /// this is its state alone, so that a successor has little to read.
    [[nodiscard]] job_progress progress() const;
    /// @brief Whether the job is final and nothing of it may run any more.
    [[nodiscard]] bool has_ended() const;
    /// @brief Drops the steps and tasks of a job that has ended.
    void release();
    /// @brief Restores what a previous leader stored.
    void restore(const job_progress& progress);

    // State of the record in the store.

    std::int64_t change = 0; ///< number of the newest change to be stored
    std::int64_t committed_change = 0; ///< newest change that is committed
    std::int64_t revision = 0;         ///< of the stored progress; 0: none
    /// Whether a start or a caller waits for the newest change to be committed.
    bool urgent_commit = false;
    /// It was in a batch that the store rejected: it is written by itself.
    bool write_alone = false;
    /// Earliest next write, once the store has rejected it by itself.
    std::optional<time_point> set_aside_until;
    time_point next_left_out_log{}; ///< of checkpoints that are not stored
    /// Changes of other jobs, by job id, that must be committed before or with
    /// this record: ends that freed the capacity its placements use.
    std::map<std::string, std::int64_t> required_changes;
    /// When the oldest uncommitted change was made.
    time_point uncommitted_since{};
    job_state shown = job_state::pending; ///< state that callers may see
    job_state sent = job_state::pending;  ///< state that the store may have
    std::int64_t order = 0;               ///< number in order of acceptance
    time_point accepted{}; ///< when it was accepted, on the leader's clock
    std::optional<time_point> first_start; ///< when a task was first placed
    /// By its forecast it could not meet its objective any more; set once.
    bool deferred = false;
    /// A task has certainly begun: it was seen running or has ended.
    bool begun = false;
    /// Longest chain of dependent steps, by the caller's estimates.
    std::int64_t critical_path_ms = 0;

private:
    job definition_;
    job_state state_ = job_state::pending;
    std::vector<std::size_t> first_of_step_; ///< offsets within a round
    std::size_t tasks_per_round_ = 0;
    std::vector<job_task> tasks_;
    std::int64_t memory_bytes_ = 0;
};

} // namespace springstair
