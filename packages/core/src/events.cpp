#include <springstair/core.hpp>

#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <mutex>

namespace springstair
{

namespace
{

namespace trivial = boost::log::trivial;

constexpr std::array<event_description, 74> catalogue{{
    {event_id::process_started, severity::info, "process_started",
     "The process accepts requests; fields give its name, role and address."},
    {event_id::process_draining, severity::info, "process_draining",
     "A planned stop has begun; no new work is admitted."},
    {event_id::process_stopped, severity::info, "process_stopped",
     "All requests in flight are answered and the process exits."},
    {event_id::settings_refused, severity::error, "settings_refused",
     "The settings are invalid; nothing was started."},
    {event_id::part_restarted, severity::warning, "part_restarted",
     "A component ended with an exception and was restarted."},
    {event_id::part_given_up, severity::error, "part_given_up",
     "A component failed too often; the process exits."},
    {event_id::process_bounds, severity::info, "process_bounds",
     "Resource limits of the process, from its settings, and what each of "
     "its servers, and its jobs as a leader, may use."},
    {event_id::message_failed, severity::error, "message_failed",
     "Handling a request ended with an exception; only that request failed."},
    {event_id::requests_refused, severity::warning, "requests_refused",
     "A server refused requests for their size or for lack of memory, or "
     "closed "
     "connections; at most one line per server in 5 s."},
    {event_id::table_in_force, severity::info, "table_in_force",
     "This process now uses a newer revision of the table."},
    {event_id::table_refused, severity::error, "table_refused",
     "An invalid table was rejected; the last valid one stays in use."},
    {event_id::store_lost, severity::warning, "store_lost",
     "The platform's store does not answer or refuses service; requests are "
     "still accepted."},
    {event_id::store_back, severity::info, "store_back",
     "The platform's store is available again."},
    {event_id::connection_silent, severity::warning, "connection_silent",
     "A call on a persistent connection received no answer. If the connection "
     "is dead, or after two such calls in a row, idle connections to that peer "
     "are closed."},
    {event_id::connection_not_opened, severity::error, "connection_not_opened",
     "A socket could not be opened, or its acknowledgement timeout could not "
     "be set."},
    {event_id::guard_joined, severity::info, "guard_joined",
     "First heartbeat of a guard, of a new incarnation, or after the guard was "
     "lost."},
    {event_id::guard_leaving, severity::info, "guard_leaving",
     "A guard is leaving; it receives no new work."},
    {event_id::guard_lost, severity::warning, "guard_lost",
     "A guard's heartbeats stopped; it receives no new work."},
    {event_id::guard_ejected, severity::warning, "guard_ejected",
     "An executor fails the requests sent to it; it is ejected for a limited "
     "time."},
    {event_id::guard_restored, severity::info, "guard_restored",
     "A probe of an ejected executor succeeded."},
    {event_id::stranger_refused, severity::warning, "stranger_refused",
     "A call without the fleet key was rejected on an internal port."},
    {event_id::shard_taken, severity::info, "shard_taken",
     "This entry owns a shard of tasks and has read its journal."},
    {event_id::shard_lost, severity::warning, "shard_lost",
     "This entry no longer owns a shard: it released it, its lease expired, or "
     "another entry owns it."},
    {event_id::task_ended, severity::info, "task_ended",
     "A task reached its final state."},
    {event_id::shard_unreadable, severity::error, "shard_unreadable",
     "A stored record of a shard of tasks is missing or cannot be parsed. The "
     "shard's ended tasks are shown; other calls about its tasks are refused "
     "until the record, whose key is given, is restored."},
    {event_id::office_taken, severity::info, "office_taken",
     "This entry is the leader and has loaded all jobs from the store."},
    {event_id::office_lost, severity::warning, "office_lost",
     "This entry is no longer the leader; the reason is given."},
    {event_id::entry_ready, severity::info, "entry_ready",
     "The entry accepts callers' requests."},
    {event_id::entry_unready, severity::warning, "entry_unready",
     "The entry's readiness check fails, so that it receives no new "
     "connections; fields give the reason."},
    {event_id::office_offered, severity::info, "office_offered",
     "The leader asks another entry to take over leadership; the reason is "
     "given."},
    {event_id::configuration_in_force, severity::info, "configuration_in_force",
     "This process now uses a newer configuration."},
    {event_id::configuration_refused, severity::error, "configuration_refused",
     "A configuration cannot be parsed; the previous one stays in use."},
    {event_id::record_unreadable, severity::error, "record_unreadable",
     "A stored job, or its progress, cannot be read or scheduled; the job is "
     "left out."},
    {event_id::advice_came, severity::info, "advice_came",
     "The advice service reported which workers may run a step, or gave no "
     "answer."},
    {event_id::data_centre_closed, severity::info, "data_centre_closed",
     "This entry read from the store that no run may begin in a data centre."},
    {event_id::data_centre_opened, severity::info, "data_centre_opened",
     "This entry read from the store that runs may begin in a data centre "
     "again."},
    {event_id::closure_in_force, severity::info, "closure_in_force",
     "The leader stops or resumes placing tasks in a data centre; fields give "
     "the age of its information and the number of runs there."},
    {event_id::starts_withheld, severity::warning, "starts_withheld",
     "The leader starts no runs: its information on closed data centres is too "
     "old."},
    {event_id::job_accepted, severity::info, "job_accepted",
     "A job is committed to the store and its caller was notified."},
    {event_id::job_not_taken, severity::warning, "job_not_taken",
     "A job was refused, or its acceptance is unknown; the reason is given, "
     "and whether the job may be stored."},
    {event_id::job_known, severity::info, "job_known",
     "The leader received a job and will place its tasks."},
    {event_id::job_ended, severity::info, "job_ended",
     "A job reached its final state; fields give the cause."},
    {event_id::job_cancelled, severity::info, "job_cancelled",
     "A cancellation is committed to the store and its caller was notified."},
    {event_id::job_service, severity::info, "job_service",
     "A long-running job was not fully served since its last such event; "
     "shares are percentages of its tasks' time."},
    {event_id::job_passed_on, severity::info, "job_passed_on",
     "The store is unavailable to this entry, so it forwarded a caller's "
     "request to another entry; fields give that entry and its answer."},
    {event_id::run_unwanted, severity::warning, "run_unwanted",
     "A worker executes an orphan, a run that is not the current one of its "
     "task, and is ordered to stop it. Fields give the state of the task."},
    {event_id::run_placed, severity::info, "run_placed",
     "A task was placed on a guard's worker; its start is ordered after the "
     "write is committed."},
    {event_id::run_ended, severity::info, "run_ended",
     "A worker reports the end of a run; fields give the outcome and whether "
     "it counts."},
    {event_id::run_refused, severity::warning, "run_refused",
     "A worker or guard will never begin a run; the task waits again."},
    {event_id::run_stuck, severity::warning, "run_stuck",
     "A run made no progress for too long and is stopped."},
    {event_id::order_failed, severity::warning, "order_failed",
     "An order to a guard or worker was not accepted; fields give the answer "
     "or error."},
    {event_id::run_moved, severity::info, "run_moved",
     "A run is stopped to continue on another worker: it is throttled to "
     "protect other tasks, or is long-running and blocks a step that can run "
     "nowhere else."},
    {event_id::tasks_wait, severity::info, "tasks_wait",
     "Tasks of a step find no worker; fields give the reason and the largest "
     "free capacity of any worker."},
    {event_id::run_lost, severity::warning, "run_lost",
     "A run has certainly ended without a reported end; fields give the "
     "reason, how long reports showed it running, and how many runs were lost "
     "with it."},
    {event_id::task_suspected, severity::warning, "task_suspected",
     "A task may have caused an executor crash; from suspicion 4 it runs "
     "isolated; from 6, or after three confirmed crashes, it can be blamed, "
     "which fails its job."},
    {event_id::run_missing, severity::warning, "run_missing",
     "A worker's reports no longer list a run, or never did; its order is "
     "repeated. Fields give the run's end if the report lists it, and the "
     "numbers of the last ends applied and acknowledged."},
    {event_id::worker_known, severity::info, "worker_known",
     "First report of a guard to this leader."},
    {event_id::worker_lost, severity::warning, "worker_lost",
     "All runs of a worker have certainly ended; its tasks wait again."},
    {event_id::worker_ejected, severity::warning, "worker_ejected",
     "A worker fails the runs it starts and receives none for a limited time. "
     "Fields give the current failure share of the fleet."},
    {event_id::worker_unreadable, severity::error, "worker_unreadable",
     "A worker's message cannot be parsed and is ignored."},
    {event_id::worker_paced, severity::info, "worker_paced",
     "Best-effort tasks run at another pace, to protect latency-critical "
     "tasks."},
    {event_id::guard_unproven, severity::info, "guard_unproven",
     "A report of another incarnation of a guard arrived: a new one, or a past "
     "one whose report is late. It is accepted once it repeats the admission "
     "it was sent."},
    {event_id::executor_unproven, severity::info, "executor_unproven",
     "A guard received a heartbeat of another executor incarnation, possibly "
     "late; the address is polled to identify the incarnation running there."},
    {event_id::lease_awaited, severity::warning, "lease_awaited",
     "A worker reports the success of a run that was declared lost, while its "
     "lease is still valid; it receives no work until the lease has expired."},
    {event_id::guard_paused, severity::info, "guard_paused",
     "A guard's process did not run for a while; its VM may have been "
     "suspended. It takes the leases there to last longer by this time."},
    {event_id::holder_lost, severity::warning, "holder_lost",
     "A guard's reports reach no leader."},
    {event_id::holder_found, severity::info, "holder_found",
     "A guard now reports to this leader."},
    {event_id::commit_uncertain, severity::warning, "commit_uncertain",
     "A write to the store was not answered, or the store was unavailable; it "
     "is sent again."},
    {event_id::write_rejected, severity::error, "write_rejected",
     "The store rejects a write of the leader and would reject it again; its "
     "records are written one by one, and those that are rejected again wait "
     "for some seconds. Fields give the number of records and the first one's "
     "job."},
    {event_id::checkpoints_left_out, severity::warning, "checkpoints_left_out",
     "A job's record has no space for all checkpoints; if the leader changes, "
     "tasks that run nowhere then start again without theirs."},
    {event_id::run_yielded, severity::info, "run_yielded",
     "A long-running run is stopped so that waiting urgent tasks can use its "
     "capacity; fields give the job that waits longest and how many tasks the "
     "capacity serves."},
    {event_id::job_deferred, severity::info, "job_deferred",
     "By its forecast, a job can't meet its latency objective any more; jobs "
     "that can go first. Fields give its age, its chain of steps and what is "
     "left of it."},
    {event_id::stop_held, severity::info, "stop_held",
     "A deliberate stop of a long-running run waits for the disruption budget "
     "of its step; fields give the reason of the stop and how many tasks of "
     "the step are unavailable."},
    {event_id::stop_forced, severity::warning, "stop_forced",
     "A long-running run is stopped beyond the disruption budget of its step: "
     "its worker is about to leave, or it has been stuck for too long."},
}};

const event_description& describe(event_id id)
{
    const auto* const found =
        std::find_if(catalogue.begin(), catalogue.end(),
                     [id](const auto& row) { return row.id == id; });
    return *found;
}

trivial::severity_level to_boost(severity level)
{
    switch (level)
    {
    case severity::info:
        return trivial::info;
    case severity::warning:
        return trivial::warning;
    case severity::error:
        break;
    }
    return trivial::error;
}

// A pipe that poll() reports writable accepts PIPE_BUF bytes without blocking.
bool is_stdout_writable() noexcept
{
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

struct log_state
{
    std::mutex mutex;
    log_rate_limiter rate_limiter;
    std::atomic<bool> started = false;
    std::int64_t reported_dropped = 0; ///< dropped lines already logged
};

log_state& shared_log()
{
    static log_state state;
    return state;
}

// Whether a line may be written, and how many were dropped since the last one.
std::pair<bool, std::int64_t> admit_log_line()
{
    log_state& log = shared_log();
    const std::lock_guard<std::mutex> lock(log.mutex);
    if (!log.started)
    {
        return {true, 0}; // tests and tools: no rate limit
    }
    if (!log.rate_limiter.admit(boot_clock::now(), is_stdout_writable()))
    {
        return {false, 0};
    }
    const std::int64_t dropped =
        log.rate_limiter.dropped() - log.reported_dropped;
    log.reported_dropped = log.rate_limiter.dropped();
    return {true, dropped};
}

std::string& process_name()
{
    static std::string name;
    return name;
}

} // namespace

std::span<const event_description> event_catalogue() noexcept
{
    return catalogue;
}

void log_event(event_id id, std::initializer_list<event_field> fields)
{
    log_event(id, std::span<const event_field>(fields.begin(), fields.size()));
}

void log_event(event_id id, std::span<const event_field> fields)
{
    const auto [admitted, dropped] = admit_log_line();
    if (!admitted)
    {
        return;
    }
    const event_description& row = describe(id);
    nlohmann::ordered_json line;
    line["event"] = static_cast<int>(id);
    line["name"] = row.name;
    line["process"] = process_name();
    for (const event_field& field : fields)
    {
        line[std::string(field.name)] = field.value;
    }
    if (dropped > 0)
    {
        line["lines_left_out_before"] = dropped;
    }
    const std::string text = line.dump(
        -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
    if (!shared_log().started)
    {
        std::cerr << text + '\n'; // a tool's stdout is for its result
        return;
    }
    boost::log::sources::severity_logger_mt<trivial::severity_level> logger;
    BOOST_LOG_SEV(logger, to_boost(row.level)) << text;
}

std::int64_t dropped_log_lines() noexcept
{
    const std::lock_guard<std::mutex> lock(shared_log().mutex);
    return shared_log().rate_limiter.dropped();
}

void start_log(const std::string& process)
{
    process_name() = process;
    boost::log::add_common_attributes();
    {
        const std::lock_guard<std::mutex> lock(shared_log().mutex);
        shared_log().started = true;
    }
    boost::log::add_console_log(std::cout,
                                boost::log::keywords::format =
                                    "%TimeStamp% %Severity% %Message%",
                                boost::log::keywords::auto_flush = true);
}

std::string_view version() noexcept
{
    return SPRINGSTAIR_VERSION;
}

} // namespace springstair
