#pragma once

#include <springstair/detail/jobs/executor_incarnation.hpp>
#include <springstair/detail/jobs/job.hpp>
#include <springstair/detail/jobs/shared_text.hpp>

#include <map>
#include <string>
#include <vector>

namespace springstair
{

// ---------------------------------------------------------------------------
// Description of a worker
// ---------------------------------------------------------------------------

/// @brief One incarnation of the executor of a guard.
struct worker_description
{
    executor_incarnation executor; ///< empty: none is known
    std::string service;           ///< name of its pool
    std::string data_centre;
    std::string rack;
    std::vector<std::string> labels; ///< including its kind and its rack
    resources capacity;
    bool draining = false;
    std::int64_t leaves_ms = 0; ///< minimum time that remains; 0: not leaving

    bool operator==(const worker_description&) const = default;
};

/// @brief Progress of a task that is done, or of a long-running task that is
/// running normally.
inline constexpr std::int64_t full_percent = 100;

/// @brief A run that a worker executes.
struct running_task
{
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; ///< progress; see full_percent
    /// Tail latency in milliseconds of a latency-critical task; otherwise the
    /// processors in use, in thousandths. A coarse average over half a second.
    std::int64_t load = 0;

    bool operator==(const running_task&) const = default;
};

/// @brief How a run ended.
enum class run_end : std::uint8_t
{
    done,
    failed,
    stopped,
    lapsed,  ///< its lease expired
    broken,  ///< another member of its gang ended
    alone,   ///< its gang was never complete
    refused, ///< it never began: the worker refused it permanently
    /// The executor's incarnation ended, or its lease has certainly expired.
    lost
};

/// @brief The wire name of a way to end.
std::string_view to_string(run_end value) noexcept;

/// @brief The end of a run; the worker lists it until it is acknowledged.
struct ended_task
{
    std::int64_t number = 0; ///< counts the ends of one incarnation
    std::string task;
    std::int64_t run = 0;
    run_end how = run_end::failed;
    std::string checkpoint;

    bool operator==(const ended_task&) const = default;
};

/// @brief Reason of a refusal: the run's ticket is missing or has expired.
inline constexpr const char* no_ticket_reason = "no_ticket";

/// @brief A run that a worker refused and will never begin.
struct refused_run
{
    std::string task;
    std::int64_t run = 0;
    std::string reason;

    bool operator==(const refused_run&) const = default;
};

// ---------------------------------------------------------------------------
// Guard to leader
// ---------------------------------------------------------------------------

/// @brief A run that had begun, or may have, when the incarnation of its
/// executor ended.
struct begun_run
{
    std::string task;
    std::int64_t run = 0;
    /// How long polls had shown it running.
    std::int64_t at_work_ms = 0;
    /// Whether the executor confirmed the start or a poll showed the run;
    /// otherwise the start got no answer.
    bool is_sure = false;

    bool operator==(const begun_run&) const = default;
};

/// @brief An incarnation of the executor whose end the guard observed, and the
/// runs lost with it.
struct past_incarnation
{
    executor_incarnation executor;
    /// When polls of it began to fail, by the clock of worker_report::sent_ms;
    /// 0 if unknown. A crashing executor closes its connections, so it crashed
    /// at that time; an unresponsive one failed up to one poll earlier.
    std::int64_t lost_ms = 0;
    std::vector<begun_run> begun;

    bool operator==(const past_incarnation&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(begun_run, task, run,
                                                at_work_ms, is_sure)

/// @brief Orders the incarnations of one guard for one leader.
///
/// A network partition can delay a report until after the end of its sender and
/// after the first report of the next incarnation at the same address. Names of
/// incarnations are random and have no order, clocks may be set back, and a new
/// leader has not seen any of them. So the leader answers an unknown
/// incarnation with a number and accepts its reports only once it repeats the
/// newest number: only an incarnation that outlived its predecessors can have
/// received it. This costs one more exchange of each guard with each leader.
struct guard_admission
{
    std::int64_t epoch = 0;  ///< of the leader that issued it
    std::int64_t number = 0; ///< from 1; 0: none

    bool operator==(const guard_admission&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(guard_admission, epoch, number)

/// @brief A guard's report. If looked and whole are set, its lists are
/// complete: a run or an end that is not listed is not at the worker.
struct worker_report
{
    std::string guard;
    std::string address;       ///< where the guard accepts orders
    std::int64_t epoch = 0;    ///< newest epoch that the guard knows
    std::string incarnation;   ///< of the guard process
    std::int64_t sequence = 0; ///< increases with each report of an incarnation
    std::int64_t sent_ms = 0;  ///< by the clock of the guard's VM, since boot
    /// How long the guard process has run, without paused_ms; 0: unknown.
    /// Earlier processes on its VM had ended before, and received no lease
    /// grant since.
    std::int64_t uptime_ms = 0;
    /// For how long in all the process did not run since its start. Its VM may
    /// have been suspended then, and leases there last longer by this time.
    std::int64_t paused_ms = 0;
    /// The newest admission that a leader gave this incarnation.
    guard_admission admission;
    worker_description worker;
    /// Whether running and ended are from a poll of this executor incarnation;
    /// false as long as the guard has not polled it.
    bool looked = false;
    /// Age of running and ended: for an unresponsive worker they are from the
    /// last successful poll.
    std::int64_t lists_age_ms = 0;
    /// How long polls have failed; 0 if the newest one was answered.
    std::int64_t failing_ms = 0;
    /// Whether running, starting and unknown are included. Ends that are
    /// reported between two such reports are sent without them.
    bool whole = true;
    bool answering = false; ///< whether the worker has recently answered
    /// Whether every lease that the guard requested has certainly expired
    /// without an answer: nothing runs at this incarnation any more.
    bool lapsed = false;
    /// Remaining time of the worker's lease, at most, as known to this guard.
    std::int64_t lease_ms = 0;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    std::vector<refused_run> refused;
    /// Pace of each throttled image, in percent of full speed.
    std::map<std::string, std::int64_t> paces;
    std::vector<std::string> starting; ///< ordered, not yet seen running
    /// Running, but never described to the guard.
    std::vector<std::string> unknown;
    /// Incarnations that ended recently; repeated for some seconds, so that
    /// none is missed when the leader changes.
    std::vector<past_incarnation> former;

    bool operator==(const worker_report&) const = default;
};

// ---------------------------------------------------------------------------
// Leader to guard
// ---------------------------------------------------------------------------

/// @brief Starts a run once; also describes a run that is there already.
struct start_order
{
    std::string task;
    std::int64_t run = 0;
    shared_text payload;
    std::string checkpoint;
    std::string ticket;
    bool fills = false;
    std::int64_t latency_target_ms = 0; ///< 0: not latency-critical
    shared_text image;
    /// The incarnation of the guard that the start was first sent to. It knows
    /// every duplicate of the start that it has sent; any other incarnation
    /// must expect an unknown one. Empty: sent by a previous leader to an
    /// unknown incarnation.
    std::string told_incarnation;

    bool operator==(const start_order&) const = default;
};

/// @brief Stops a run, and prevents its start if it has not begun.
struct stop_order
{
    std::string task;
    std::int64_t run = 0;

    bool operator==(const stop_order&) const = default;
};

/// @brief Orders of the leader to a guard.
struct guard_orders
{
    std::int64_t epoch = 0;
    executor_incarnation executor; ///< the executor that they are meant for
    /// The guard incarnation that they are meant for: no other accepts the
    /// starts. A delayed duplicate may be of a run that the guard has refused,
    /// which its next process does not know.
    std::string incarnation;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::int64_t acknowledged = 0; ///< ends up to this number are committed
    /// Starts are void from this time on, by the clock of the guard's VM; 0: no
    /// bound. Orders delayed by a partition arrive when it ends; by then the
    /// leader may have declared the runs there lost.
    std::int64_t starts_until_ms = 0;
    /// The worker's data centre is closed: no start of any order begins.
    bool closed = false;

    bool operator==(const guard_orders&) const = default;

    /// @brief Whether there are no starts and no stops.
    [[nodiscard]] bool empty() const noexcept
    {
        return starts.empty() && stops.empty();
    }
};

/// @brief Interference of best-effort tasks of one image with latency-critical
/// tasks of another on the same worker.
struct pair_interference
{
    std::string serving;
    std::string filling;
    /// Headroom that the latency-critical tasks would lose if the best-effort
    /// tasks used all of the worker's processors.
    double harm = 0;

    bool operator==(const pair_interference&) const = default;
};

/// @brief The leader's answer to a report.
struct report_answer
{
    bool holds = false; ///< false: ask @ref holder instead
    std::string holder; ///< address of the leader, if known
    /// Lease grant, counted from the time at which the report was sent.
    std::int64_t permit_ms = 0;
    guard_orders orders;
    std::vector<pair_interference> harms; ///< of pairs that run at this worker
    /// To be repeated in the next report. If set, the report was not accepted:
    /// there is no lease grant and there are no orders.
    guard_admission admission;

    bool operator==(const report_answer&) const = default;
};

void to_json(json& to, const worker_description& from);
void from_json(const json& from, worker_description& to);
void to_json(json& to, const past_incarnation& from);
void from_json(const json& from, past_incarnation& to);
void to_json(json& to, const guard_orders& from);
void from_json(const json& from, guard_orders& to);
void to_json(json& to, const running_task& from);
void from_json(const json& from, running_task& to);
void to_json(json& to, const ended_task& from);
void from_json(const json& from, ended_task& to);
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(refused_run, task, run, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(
    worker_report, guard, address, epoch, incarnation, sequence, sent_ms,
    uptime_ms, paused_ms, admission, worker, looked, lists_age_ms, failing_ms,
    whole, answering, lapsed, lease_ms, running, ended, refused, paces,
    starting, unknown, former)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(start_order, task, run, payload,
                                                checkpoint, ticket, fills,
                                                latency_target_ms, image,
                                                told_incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(stop_order, task, run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(pair_interference, serving,
                                                filling, harm)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(report_answer, holds, holder,
                                                permit_ms, orders, harms,
                                                admission)

} // namespace springstair
