// Steps that only some workers may run, while long-running tasks fill those
// workers.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

// Two workers. Long-running tasks fill the first, the only one with the
// label.
class blocked_step_fleet
{
public:
    explicit blocked_step_fleet(std::int64_t most_missing)
    {
        harness.worker("g1").worker.labels = {"a"};
        harness.report_from_guard("g1");
        job_step step = step_of(4);
        step.lasting = true;
        step.most_missing = most_missing;
        long_running_job = harness.submit({step}).id;
        harness.advance();
        harness.report_from_guard("g2");
        job_step wanted = step_of(1, 2000);
        wanted.label = "a";
        blocked = harness.submit({wanted}).id + ".0.0.0";
    }

    // Advances the time; workers end the runs that are to be stopped.
    void run(duration length)
    {
        const time_point until = harness.now + length;
        while (harness.now < until)
        {
            max_stops = std::max(max_stops, harness.stops.size());
            for (const auto& [task, run] : std::exchange(harness.stops, {}))
            {
                ++stopped;
                harness.end(task, run_end::stopped);
            }
            report("g1");
            report("g2");
            harness.advance(milliseconds(100));
        }
    }

    scheduler_harness harness;
    std::string long_running_job;
    std::string blocked; ///< the task that may only run on the first worker
    int stopped = 0;
    std::size_t max_stops = 0; ///< most stop orders between two reports

private:
    void report(const std::string& guard)
    {
        for (running_task& row : harness.worker(guard).running)
        {
            row.percent = full_percent;
        }
        harness.report_from_guard(guard);
    }
};

} // namespace

// Guards against a job that waits indefinitely because long-running tasks fill
// the only worker that may run it, although another worker has free capacity
// for them.
TEST_CASE("long-running tasks are preempted for a step with no other worker")
{
    blocked_step_fleet fixture(0);
    fixture.run(seconds(1));
    CHECK(fixture.stopped == 0);
    fixture.run(milliseconds(1500));
    CHECK(fixture.harness.guard_of[fixture.blocked] == "g1");
    CHECK(fixture.stopped == 2);
    int elsewhere = 0;
    for (int index = 0; index < 4; ++index)
    {
        const std::string task =
            fixture.long_running_job + ".0.0." + std::to_string(index);
        elsewhere += fixture.harness.guard_of.at(task) == "g2" ? 1 : 0;
    }
    CHECK(elsewhere == 2);
}

TEST_CASE("preemption stops at most most_missing tasks of a step at once")
{
    blocked_step_fleet fixture(1);
    fixture.run(milliseconds(2500));
    CHECK(fixture.max_stops == 1);
    CHECK(fixture.harness.guard_of[fixture.blocked] == "g1");
}

TEST_CASE("long-running tasks are not preempted without another worker")
{
    blocked_step_fleet fixture(0);
    fixture.harness.worker("g2").worker.draining = true;
    fixture.run(seconds(5));
    CHECK(fixture.stopped == 0);
}
