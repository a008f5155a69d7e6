// Runs of an executor that is lost together with its guard's process, also when
// the leader changes.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

constexpr duration report_interval = milliseconds(500);

// A run of a long-running task at g1; g2 has capacity for it.
class guarded_run
{
public:
    guarded_run()
    {
        harness_.report_from_guard("g1");
        job_step step = step_of(1);
        step.lasting = true;
        task = harness_.submit({step}).id + ".0.0.0";
        harness_.advance();
        REQUIRE(started_at() == "g1");
        report_for(seconds(1));
    }

    // Begins a guard process at g1, which knows of this executor, and has not
    // polled it. Its id is empty if the guard knows of none.
    void restart_guard(const std::string& executor)
    {
        worker_report& report = harness_.worker("g1");
        report.incarnation += "+";
        report.sequence = 0;
        report.worker.executor = executor;
        report.looked = false;
        report.answering = false;
        lost_ = std::exchange(report.running, {});
        restarted_at_ = harness_.now;
        lease_ends_ = {};
    }

    // The guard holds a grant of a leader, or may have requested a lease.
    void hold_lease(duration left)
    {
        lease_ends_ = std::max(lease_ends_, harness_.now + left);
    }

    // No leader answers for a while, then another entry leads.
    void change_leader(duration without_leader)
    {
        harness_.now += without_leader;
        harness_.take_over();
    }

    // The restarted guard finds the executor of before, with its runs.
    void find_executor()
    {
        worker_report& report = harness_.worker("g1");
        report.worker.executor = "g1-1";
        report.looked = true;
        report.answering = true;
        report.running = lost_;
    }

    void report_for(duration length)
    {
        for (duration passed{0}; passed < length; passed += report_interval)
        {
            update_times();
            const report_answer answer = harness_.report_from_guard("g1");
            hold_lease(milliseconds(answer.permit_ms));
            harness_.report_from_guard("g2");
            harness_.advance(report_interval);
        }
    }

    // Reports until this long after the guard was restarted.
    void report_until(duration since_restart)
    {
        report_for(restarted_at_ + since_restart - harness_.now);
    }

    [[nodiscard]] std::string started_at() const
    {
        return harness_.guard_of.at(task);
    }

    std::string task;

private:
    void update_times()
    {
        worker_report& report = harness_.worker("g1");
        report.uptime_ms = to_milliseconds(harness_.now - restarted_at_);
        report.lease_ms =
            to_milliseconds(std::max(duration{0}, lease_ends_ - harness_.now));
    }

    scheduler_harness harness_;
    std::vector<running_task> lost_;
    time_point restarted_at_ = harness_.now;
    time_point lease_ends_{};
};

// A lease grant, its drift and slack, and a report.
constexpr duration longest_lease = seconds(5);
// Time for which a long-running task may be without a run (platform).
constexpr duration max_absence = seconds(9);

} // namespace

// Guards against a restarted guard that knows no executor: its reports extended
// the lease bound of the executor before, whose runs were never given up.
TEST_CASE("runs of a lost executor are given up if its guard knows none")
{
    guarded_run run;
    run.restart_guard("");
    run.report_for(longest_lease);
    CHECK(run.started_at() == "g2");
}

// Guards against the same by a guard that never reaches the next executor.
TEST_CASE("runs of a lost executor are given up if its guard has not polled "
          "the next one")
{
    guarded_run run;
    run.restart_guard("g1-2");
    run.report_for(longest_lease);
    CHECK(run.started_at() == "g2");
}

TEST_CASE("runs go on if a restarted guard finds their executor in time")
{
    guarded_run run;
    run.restart_guard("");
    run.report_for(seconds(2));
    run.find_executor();
    run.report_for(2 * longest_lease);
    CHECK(run.started_at() == "g1");
}

// Guards against runs that a new leader gave up only 10.5 s after its term
// began, although their executor was lost and their guard restarted before:
// users saw long-running tasks without a run for 14 s.
TEST_CASE("a new leader gives up the runs of a lost executor whose guard "
          "restarted")
{
    // A handover, a leader whose lease expires, and one that was frozen.
    for (const duration without_leader : {seconds(0), seconds(2), seconds(3)})
    {
        for (const duration before : {seconds(0), seconds(1), seconds(3)})
        {
            CAPTURE(to_seconds(without_leader));
            CAPTURE(to_seconds(before));
            guarded_run run;
            run.restart_guard("");
            run.report_for(before);
            run.change_leader(without_leader);
            run.report_until(max_absence);
            CHECK(run.started_at() == "g2");
        }
    }
}

// Guards against the same if the guard received the executor's last heartbeat.
TEST_CASE("a new leader gives up the runs of an executor that the restarted "
          "guard never reached")
{
    guarded_run run;
    run.restart_guard("g1-1");
    run.hold_lease(longest_lease);
    run.change_leader(seconds(2));
    run.report_until(max_absence);
    CHECK(run.started_at() == "g2");
}

// Guards against two runs of one task at once: a lease that an earlier process
// of the guard requested may still be in force.
TEST_CASE("a new leader waits for the leases of earlier guard processes")
{
    guarded_run run;
    run.restart_guard("");
    run.change_leader(seconds(2));
    run.report_until(milliseconds(4300));
    CHECK(run.started_at() == "g1");

    // Each restart could follow another grant.
    run.restart_guard("");
    run.report_until(milliseconds(4300));
    CHECK(run.started_at() == "g1");
    run.report_until(longest_lease);
    CHECK(run.started_at() == "g2");
}

TEST_CASE("a new leader waits for a lease that the restarted guard holds")
{
    guarded_run run;
    run.restart_guard("");
    run.hold_lease(seconds(8));
    run.change_leader(seconds(0));
    run.report_until(milliseconds(7900));
    CHECK(run.started_at() == "g1");
}

TEST_CASE("a new leader adopts runs that the restarted guard finds in time")
{
    guarded_run run;
    run.restart_guard("");
    run.change_leader(seconds(2));
    run.find_executor();
    run.report_for(2 * longest_lease);
    CHECK(run.started_at() == "g1");
}
