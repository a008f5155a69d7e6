// Runs of an executor that is lost together with its guard's process.

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
        report.incarnation = "restarted";
        report.sequence = 0;
        report.worker.executor = executor;
        report.looked = false;
        report.answering = false;
        lost_ = std::exchange(report.running, {});
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
            harness_.report_from_guard("g1");
            harness_.report_from_guard("g2");
            harness_.advance(report_interval);
        }
    }

    [[nodiscard]] std::string started_at() const
    {
        return harness_.guard_of.at(task);
    }

    std::string task;

private:
    scheduler_harness harness_;
    std::vector<running_task> lost_;
};

// A lease grant, its drift and slack, and a report.
constexpr duration longest_lease = seconds(5);

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
