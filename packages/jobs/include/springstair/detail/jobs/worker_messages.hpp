#pragma once

#include <springstair/detail/jobs/executor_incarnation.hpp>
#include <springstair/detail/jobs/job.hpp>

#include <map>
#include <string>
#include <vector>

namespace springstair
{

// ---------------------------------------------------------------------------
// What a worker says of itself
// ---------------------------------------------------------------------------

/// @brief One incarnation of the executor beside a guard.
struct worker_description
{
    executor_incarnation executor; ///< empty: none is known
    std::string service;           ///< the pool that it belongs to
    std::string data_centre;
    std::string rack;
    std::vector<std::string> labels; ///< its kind and its rack among them
    resources capacity;
    bool draining = false;
    std::int64_t leaves_ms = 0; ///< least time that remains; 0: not leaving

    bool operator==(const worker_description&) const = default;
};

/// @brief Progress of a task that is done, and of a lasting one at work.
inline constexpr std::int64_t full_percent = 100;

/// @brief A run that a worker has at work.
struct running_task
{
    std::string task;
    std::int64_t run = 0;
    std::string checkpoint;
    std::int64_t percent = 0; ///< see full_percent
    /// The tail latency in milliseconds of a task that serves; otherwise the
    /// processors in use, in thousandths. A rough figure of half a second.
    std::int64_t load = 0;

    bool operator==(const running_task&) const = default;
};

/// @brief How a run ended.
enum class run_end : std::uint8_t
{
    done,
    failed,
    stopped,
    lapsed,  ///< its lease ran out
    broken,  ///< another member of its gang ended
    alone,   ///< its gang was never complete
    refused, ///< it never ran: the worker refused it for good
    lost     ///< the executor's incarnation is gone, or its lease surely
             ///< ran out
};

/// @brief The wire name of an end.
std::string_view to_string(run_end value) noexcept;

/// @brief A run's end, listed by the worker until it is acknowledged.
struct ended_task
{
    std::int64_t number = 0; ///< counts the ends of one incarnation
    std::string task;
    std::int64_t run = 0;
    run_end how = run_end::failed;
    std::string checkpoint;

    bool operator==(const ended_task&) const = default;
};

/// @brief Why a worker refused a run: its ticket is missing or over.
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
// Guard to scheduler
// ---------------------------------------------------------------------------

/// @brief A run that had begun, or may have, when its executor's incarnation
/// was over.
struct begun_run
{
    std::string task;
    std::int64_t run = 0;
    /// For how long looks at the worker had shown it at work.
    std::int64_t at_work_ms = 0;
    /// Whether the executor took the start or a look showed the run; else the
    /// start got no answer.
    bool is_sure = false;

    bool operator==(const begun_run&) const = default;
};

/// @brief An incarnation of the executor that the guard lived through, and
/// what went with it.
struct past_incarnation
{
    executor_incarnation executor;
    /// When looks at it began to fail, by the clock of worker_report::sent_ms;
    /// 0 if that is not known. An executor that crashes closes its connections,
    /// so it went then; one that falls silent went up to a look earlier.
    std::int64_t lost_ms = 0;
    std::vector<begun_run> begun;

    bool operator==(const past_incarnation&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(begun_run, task, run,
                                                at_work_ms, is_sure)

/// @brief What orders the incarnations of one guard, before one holder.
///
/// A report can be held back by a cut until after its sender's end, and come
/// when another incarnation has reported from the same address. Random names
/// of incarnations have no order, clocks step, and a new holder has seen none
/// of them. So a holder answers an incarnation that it does not know with a
/// number, and believes it once it repeats the newest one: only who is alive
/// after its predecessors can have heard that. It costs one more exchange of
/// each guard with each holder.
struct guard_admission
{
    std::int64_t epoch = 0;  ///< of the holder that gave it
    std::int64_t number = 0; ///< from 1; 0: none

    bool operator==(const guard_admission&) const = default;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(guard_admission, epoch, number)

/// @brief A guard's report. Its lists are whole: what one leaves out is not
/// there.
struct worker_report
{
    std::string guard;
    std::string address;       ///< where the guard takes orders
    std::int64_t epoch = 0;    ///< newest holder that the guard knows
    std::string incarnation;   ///< of the guard itself
    std::int64_t sequence = 0; ///< grows with each report of an incarnation
    std::int64_t sent_ms = 0;  ///< on the clock of the guard's VM, since boot
    /// The newest admission that a holder gave this incarnation.
    guard_admission admission;
    worker_description worker;
    /// Whether running and ended are a look at this incarnation; false in a
    /// guard that has not yet seen its worker's lists.
    bool looked = false;
    /// How old running and ended are: a worker that does not answer is told
    /// of by the last look at it.
    std::int64_t lists_age_ms = 0;
    /// For how long looks at it have failed; 0 if the newest one was answered.
    std::int64_t failing_ms = 0;
    /// Whether it tells what runs: running, starting and unknown. Ends that
    /// are told between two such reports travel without.
    bool whole = true;
    bool answering = false; ///< whether the worker has answered lately
    /// Whether every lease that the guard asked for has surely run out
    /// without an answer: nothing runs at this incarnation any more.
    bool lapsed = false;
    /// The worker's lease may last so long still, by what this guard knows.
    std::int64_t lease_ms = 0;
    std::vector<running_task> running;
    std::vector<ended_task> ended;
    std::vector<refused_run> refused;
    std::map<std::string, std::int64_t> paces; ///< of images that are slowed
    std::vector<std::string> starting; ///< ordered, not yet seen running
    std::vector<std::string> unknown;  ///< running, but never described to it
    /// Incarnations that were over lately; told for some seconds, so that a
    /// change of holder loses none.
    std::vector<past_incarnation> former;

    bool operator==(const worker_report&) const = default;
};

// ---------------------------------------------------------------------------
// Scheduler to guard
// ---------------------------------------------------------------------------

/// @brief Start a run, once; also describes a run that is there already.
struct start_order
{
    std::string task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    bool fills = false;
    std::int64_t latency_target_ms = 0; ///< 0: it serves nobody
    std::string image;
    /// The incarnation of the guard that was told first. It knows each copy of
    /// the start that it has sent; any other has to count on one that it does
    /// not know of. Empty: an earlier holder told, nobody knows whom.
    std::string told_incarnation;

    bool operator==(const start_order&) const = default;
};

/// @brief Stop a run, and never begin it if it is not there.
struct stop_order
{
    std::string task;
    std::int64_t run = 0;

    bool operator==(const stop_order&) const = default;
};

/// @brief What a holder has a guard do.
struct guard_orders
{
    std::int64_t epoch = 0;
    executor_incarnation executor; ///< that is meant
    /// The guard's incarnation that is meant: no other takes the starts. A
    /// copy that comes late may be of a run that the guard has given back, of
    /// which its next process knows nothing.
    std::string incarnation;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    std::int64_t acknowledged = 0; ///< ends up to this number are kept
    /// Starts are void from then on, by the clock of the guard's VM: orders
    /// that a cut held back arrive when it heals, and the holder has given up
    /// by then what it last heard of before. 0: no bound.
    std::int64_t starts_until_ms = 0;
    /// The worker's data centre is closed: no start of any order begins.
    bool closed = false;

    bool operator==(const guard_orders&) const = default;

    /// @brief Whether there is nothing to do.
    [[nodiscard]] bool empty() const noexcept
    {
        return starts.empty() && stops.empty();
    }
};

/// @brief How much tasks of one image that fill harm tasks of another that
/// serve, on the same worker.
struct pair_interference
{
    std::string serving;
    std::string filling;
    /// Growth of the logarithm of the serving tasks' tail if the fills took
    /// all of the worker's processors.
    double harm = 0;

    bool operator==(const pair_interference&) const = default;
};

/// @brief A holder's answer to a report.
struct report_answer
{
    bool holds = false;         ///< false: ask @ref holder instead
    std::string holder;         ///< address of the holder, if known
    std::int64_t permit_ms = 0; ///< the worker's lease may last so long,
                                ///< counted from the report's sending
    guard_orders orders;
    std::vector<pair_interference> harms; ///< of pairs that run at this worker
    /// To be repeated in the next report. With a number, the report was not
    /// believed: there is no permit and there are no orders.
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
    admission, worker, looked, lists_age_ms, failing_ms, whole, answering,
    lapsed, lease_ms, running, ended, refused, paces, starting, unknown, former)
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
