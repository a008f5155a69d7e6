#pragma once

#include <springstair/detail/scheduler/closure_tracker.hpp>
#include <springstair/detail/scheduler/crash_suspicion.hpp>
#include <springstair/detail/scheduler/disruption_budget.hpp>
#include <springstair/detail/scheduler/fault_detector.hpp>
#include <springstair/detail/scheduler/job_order.hpp>
#include <springstair/detail/scheduler/placement.hpp>
#include <springstair/detail/scheduler/urgent_room.hpp>

#include <optional>

namespace springstair
{

/// @brief Timings and bounds of the leader's scheduling.
struct scheduler_options
{
    placement_options placement;
    order_options order;
    suspicion_options suspicion;
    closing_options closing;
    fault_detector_options failures;
    /// Maximum lease grant in one answer to a guard. Exceeds a guard's restart
    /// and the time for which a VM may freeze; below the platform's maximum.
    duration lease_grant = std::chrono::seconds(4);
    /// No lease grant ends later than this after leadership was last verified.
    /// A successor waits as long for workers that it cannot reach. Exceeds the
    /// longest store outage that tasks should survive, plus a lease grant.
    duration lease_horizon = std::chrono::seconds(10);
    /// Time after the last verification of leadership for which a non-final
    /// state is shown from memory. After a longer pause or partition a
    /// successor may have shown a later state, and callers would see the state
    /// of the job revert. The lease of the leader's key, 2 s, less its renewal
    /// interval.
    duration max_read_age = std::chrono::milliseconds(1500);
    /// A worker's clock may run slower by this share of a lease (platform).
    double clock_drift = 0.02;
    /// Allowance for delays of messages and timers, added to a lease.
    duration lease_slack = std::chrono::milliseconds(300);
    /// Time within which the guards usually report to a new leader: two
    /// reports, and the time to find it.
    duration first_report_wait = std::chrono::milliseconds(1500);
    /// Minimum time between two writes: bounds the calls to the store.
    duration min_commit_interval = std::chrono::milliseconds(20);
    /// Delay of ends that nothing waits for, to batch them with others of their
    /// job: each write contains the whole record. Acknowledgements to workers
    /// are delayed as much. At 160 workers and 440 starts per second, writes
    /// took 43 ms of processor time per second without it, 20 ms with it.
    duration end_batch_delay = std::chrono::milliseconds(60);
    /// Maximum number of jobs per write: each needs a condition and a put of
    /// the store's 32 entries, and the leader's own condition takes one.
    std::size_t jobs_per_commit = 15;
    /// Time before a record that the store rejects by itself is written again:
    /// it may have become smaller.
    duration rejected_backoff = std::chrono::seconds(5);
    /// Maximum size of a stored record: the store's limit of a value.
    std::size_t max_record_bytes = std::size_t{1} << 20U;
    /// Maximum size of the start orders of a worker whose runs no report has
    /// shown: some hundred ordinary starts, a small part of what a guard's VM
    /// holds.
    std::int64_t max_unconfirmed_bytes_per_worker = std::int64_t{1} << 20U;
    /// The same for all workers that report. Each may have one such order
    /// beyond it.
    std::int64_t max_unconfirmed_bytes = std::int64_t{16} << 20U;
    /// Minimum time before the start or stop of a run that its worker does not
    /// list is repeated: two reports of a guard. Stops of listed runs are
    /// repeated in each answer to a report.
    duration order_retry_interval = std::chrono::milliseconds(1000);
    /// Backoff of a refused task: the ledger was wrong, and a report corrects
    /// it in the meantime.
    duration refused_backoff = std::chrono::milliseconds(300);
    /// Maximum time between two placement passes if neither jobs nor free
    /// capacity change. Other inputs, worker samples and clocks, change slowly.
    duration placement_interval = std::chrono::milliseconds(100);
    /// Time for which a faulty executor is first ejected. Doubles with each
    /// ejection, up to the maximum; reset when its fault score is zero.
    duration min_ejection = std::chrono::seconds(2);
    duration max_ejection = std::chrono::seconds(10);
    /// A run without progress for this long is stuck and restarted elsewhere.
    duration stuck_after = std::chrono::milliseconds(2000);
    /// The same for best-effort runs, which may be starved for longer.
    duration stuck_fill_after = std::chrono::milliseconds(5000);
    /// Runs on a leaving worker are stopped when less time than this remains,
    /// long-running ones at once.
    duration leave_margin = std::chrono::milliseconds(1500);
    /// Interval between samples of a worker: each sample averages the preceding
    /// half second.
    duration sample_interval = std::chrono::milliseconds(450);
    /// Maximum time for which a best-effort task of a job without runs waits
    /// for a worker whose latency-critical tasks tolerate it; half of what the
    /// platform allows.
    duration max_interference_wait = std::chrono::milliseconds(1500);
    /// Long-running jobs accepted within this time of one another are placed
    /// together, the largest tasks first. Together with reservations this
    /// reduced the time without workers of the largest tenth of them to a third
    /// (mean of 10 simulated days of 62 workers); a long-running job runs for
    /// at least a minute.
    duration lasting_batch_window = std::chrono::milliseconds(100);
    /// Maximum time for which a long-running job waits for others.
    duration max_lasting_batch_wait = std::chrono::milliseconds(300);
    /// Maximum number of workers reserved for waiting tasks at once. Each
    /// reservation searches all workers; more would slow down a pass with
    /// thousands of workers.
    std::size_t max_reservations = 32;
    /// The same as a share of all workers, plus one worker: the others remain
    /// available to short work, which starts within two seconds.
    double reserved_share = 0.1;
    /// A best-effort run that is throttled below this pace, in percent, is
    /// relocated to a worker that tolerates it, if it can resume from a
    /// checkpoint.
    std::int64_t relocate_below_pace = 50;
    /// Minimum time before a relocated task returns: the cause, a load that
    /// varies over some ten seconds, is unlikely to end earlier.
    duration return_backoff = std::chrono::milliseconds(4000);
    /// Time for which a step that only some workers may run waits, with all of
    /// them full of long-running runs, before one of those is preempted; half
    /// of what the platform allows.
    duration max_blocked_time = std::chrono::milliseconds(1500);
    /// Minimum time between two preemption attempts, and the number of workers
    /// that one attempt considers: each needs a search of all workers.
    duration preemption_interval = std::chrono::milliseconds(500);
    std::size_t max_preemption_searches = 16;
    /// Maximum relocations per report: samples show their effect only half a
    /// second later.
    std::size_t max_relocations_per_report = 3;
    /// A task that waits longer than this has the reason logged. Shorter waits
    /// are due to the intervals of reports and placement passes.
    duration wait_log_threshold = std::chrono::milliseconds(500);
    /// Interval between samples of long-running tasks: guards report twice per
    /// second.
    duration availability_sample_interval = std::chrono::seconds(1);
    /// Minimum time between two log lines about the wait of a step or the
    /// availability of a long-running job: one line per second for every five
    /// that are not served.
    duration min_log_interval = std::chrono::seconds(5);
    /// Interference below this is not reported to guards; unit as in
    /// pair_interference::harm.
    double min_reported_interference = 0.8;
    /// Steps and tasks of an ended job are kept for this time: an order of one
    /// of its runs may be carried out late, and is stopped.
    duration ended_tasks_retention = std::chrono::seconds(20);
    /// After that, the state of an ended job is kept for this time; later it is
    /// read from the store. Callers ask for it for two minutes.
    duration ended_state_retention = std::chrono::seconds(160);

    // Optional features; without a value, decisions are made without them.

    std::optional<urgent_room_options> urgent_room;
    std::optional<overload_order_options> overload_order;
    std::optional<disruption_budget_options> disruption_budget;
};

} // namespace springstair
