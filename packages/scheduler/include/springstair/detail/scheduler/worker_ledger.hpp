#pragma once

#include <springstair/jobs.hpp>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace springstair
{

/// @brief An end that is applied but may not be committed to the store yet.
struct applied_end
{
    std::int64_t number = 0;
    std::string job;
    std::int64_t change = 0; ///< the job's change that contains it

    bool operator==(const applied_end&) const = default;
};

/// @brief A run on a worker that is expected to end by itself.
struct short_run
{
    time_point expected_end;
    resources capacity; ///< that it reserves

    bool operator==(const short_run&) const = default;
};

/// @brief Capacity of a long-running run that yields to urgent tasks.
struct urgent_hold
{
    task_name task;
    std::int64_t run = 0;
    resources capacity; ///< that no urgent task has taken yet
    time_point ordered_at;
    /// When the hold ends; nothing while the stop is under way.
    std::optional<time_point> until;

    bool operator==(const urgent_hold&) const = default;
};

/// @brief The leader's view of one worker.
struct worker_record
{
    std::string guard;
    std::string address; ///< of the guard
    worker_description description;
    resources used;         ///< by runs that may be there
    resources lasting_used; ///< share of long-running tasks in it
    resources reserved;     ///< for a waiting task
    /// From when a reservation for a long-running step also binds urgent tasks;
    /// see urgent_room. Nothing for other steps: theirs always does.
    std::optional<time_point> reserved_firmly_from;
    resources held; ///< free capacity that is held for urgent tasks
    std::vector<urgent_hold> urgent_holds; ///< of runs that yield or did
    /// Runs with a known expected end, kept only with urgent_room_options.
    std::map<task_name, short_run> short_runs;
    std::int64_t fill_cpu_millis = 0;   ///< demand of its best-effort runs
    std::int64_t fill_runs = 0;         ///< number of best-effort runs
    std::set<task_name> assigned_tasks; ///< tasks whose newest run may be there
    /// Those of them whose run is not proven yet.
    std::set<task_name> unproven;
    /// Those of the unproven that are suspected of crashing executors.
    std::set<task_name> suspects;
    /// The isolated one of the suspects: nothing else is started there.
    std::optional<task_name> isolated_suspect;
    /// A suspect for which the worker is reserved until the other runs there
    /// are proven, and until when. Nothing else is started meanwhile.
    std::optional<task_name> reserved_for;
    time_point reserved_until{};
    /// Past incarnations that its guard still reports and that are judged
    /// already.
    std::set<executor_incarnation> judged_incarnations;
    /// The guard process that last reported a poll of the executor's current
    /// incarnation. It can tell which runs had begun when that one ends; a
    /// process that only received a heartbeat of it cannot.
    std::string witness_incarnation;
    /// When the executor's current incarnation was first reported.
    time_point incarnation_since{};
    /// When polls of its executor began to fail; if they succeeded, when the
    /// newest report was received. An unresponsive guard leaves it unchanged.
    time_point lost_at{};
    time_point previously_lost_at{};   ///< same, of the past incarnation
    std::string incarnation;           ///< of its guard
    std::int64_t sequence = 0;         ///< of the newest report
    std::int64_t admission_number = 0; ///< newest one offered
    std::string offered_to;            ///< guard incarnation that received it
    bool answering = true;             ///< its executor answers the guard
    bool closed = false;               ///< its data centre accepts no new runs
    /// Its lease must expire before any end listed there is acknowledged.
    bool lease_must_expire = false;
    /// Reading of its guard's clock at the newest report minus the leader's at
    /// its receipt: a lower bound of the difference of the clocks.
    std::int64_t clock_ahead_ms = 0;
    time_point reported{}; ///< when its last report was received
    /// Starts for it are void from this time on, by its guard's clock. The
    /// leader does not declare its runs lost by an expired grant earlier.
    std::int64_t starts_until_ms = 0;
    time_point lease_ends{};       ///< its lease has certainly expired by then
    std::int64_t paused_ms = 0;    ///< of the guard process, in its last report
    std::int64_t applied_ends = 0; ///< ends up to this number are applied
    std::int64_t acknowledged = 0; ///< ends up to this number are committed
    std::deque<applied_end> uncommitted_ends;
    double fault_score = 0; ///< evidence that it is faulty; see fault_detector
    /// Job of the last failed run that was counted as evidence here. Cleared
    /// with the fault score: when the end of a run brings it to 0, and when the
    /// executor restarts.
    std::string failed_job;
    time_point ejected_until{};
    std::int64_t ejections = 0; ///< since its fault score was last zero
    /// Of start orders that were sent and whose run no report has shown.
    std::int64_t unconfirmed_bytes = 0;
    /// Runs by job, round and step.
    std::map<std::string, std::int64_t> runs_of_step;
    /// Number of runs of latency-critical tasks, by image.
    std::map<std::string, std::int64_t> serving_runs;
    std::int64_t serving_cpu_millis = 0; ///< reserved by latency-critical tasks
    /// Processors demanded by best-effort runs, in thousandths, by image.
    std::map<std::string, std::int64_t> fill_cpu_millis_by_image;
    /// Paces of images that are throttled there, in percent of full speed.
    std::map<std::string, std::int64_t> paces;
    /// When the interference model last used its samples.
    time_point last_sampled_at{};
    /// Lowest headroom (latency target divided by tail latency) that
    /// latency-critical tasks of an image would have without best-effort work,
    /// by the newest samples.
    std::map<std::string, double> headroom_alone;
    /// Newest processor use by best-effort image, share of capacity.
    std::map<std::string, double> best_effort_use;

    /// @brief Capacity that no run reserves.
    [[nodiscard]] resources free_capacity() const noexcept;
    /// @brief Free capacity that is not reserved for a waiting task.
    /// Long-running tasks may use the reserved capacity, too; see can_take().
    [[nodiscard]] resources unreserved_capacity() const noexcept;
    /// @brief Free capacity once all runs but the long-running ones have ended.
    [[nodiscard]] resources eventual_capacity() const noexcept;
};

/// @brief Capacity that a run of a step reserves. Best-effort runs reserve no
/// processors.
resources reserved_by(const job_step& step) noexcept;

/// @brief Reserves a worker's capacity for a run.
void reserve(worker_record& worker, const job_step& step,
             const task_name& task);

/// @brief Releases the capacity reserved for a run, if there is any.
void release(worker_record& worker, const job_step& step,
             const task_name& task);

/// @brief Ends the isolation of a task whose run is proven or has ended: its
/// worker accepts other runs again.
void end_isolation(worker_record& worker, const task_name& task);

/// @brief The key that groups the runs of one step of one round.
std::string step_group(const std::string& job, const task_position& position);

} // namespace springstair
