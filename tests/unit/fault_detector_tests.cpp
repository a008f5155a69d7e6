// Detection of faulty executors among runs that also fail by themselves.
//
// Guards against needless ejections, as in a simulated day of 62 workers where
// 5% of the short runs fail. An executor that had failed everything for seven
// seconds was ejected for 8 s more by a failure already in flight, and for 10 s
// by a single failure long after it had recovered. The previous criterion,
// three failures in a row, was met by chance once in 8,000 runs, that is every
// half minute.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

constexpr std::size_t fleet_size = 62;

struct simulated_fleet
{
    // Runs end on all executors in turn. Returns how many executors were found
    // faulty.
    int run(int ends, double share)
    {
        int found = 0;
        for (int number = 0; number < ends; ++number)
        {
            double& fault_score =
                fault_scores[static_cast<std::size_t>(number) %
                             fault_scores.size()];
            fault_score = detector.fault_score_after(fault_score, fails(share));
            if (detector.is_faulty(fault_score))
            {
                ++found;
                fault_score = detector.fault_score_at_return();
            }
        }
        return found;
    }

    // Returns how many ends of one executor's runs it takes to find it faulty,
    // while the others' runs end as well; 1000 if 200 ends are not enough.
    int ends_to_find(double own_share, double share)
    {
        double fault_score = 0;
        for (int ends = 1; ends <= 200; ++ends)
        {
            fault_score =
                detector.fault_score_after(fault_score, fails(own_share));
            if (detector.is_faulty(fault_score))
            {
                return ends;
            }
            run(static_cast<int>(fleet_size), share);
        }
        return 1000;
    }

    bool fails(double share)
    {
        return std::uniform_real_distribution<double>()(random) < share;
    }

    std::mt19937 random{7};
    fault_detector detector;
    std::vector<double> fault_scores = std::vector<double>(fleet_size);
};

} // namespace

TEST_CASE("independently failing runs eject hardly any executor")
{
    // A simulated day has 17,000 ends of runs.
    for (const double share : {0.005, 0.05, 0.1})
    {
        CAPTURE(share);
        simulated_fleet fleet;
        CHECK(fleet.run(17'000, share) <= 4);
    }
}

TEST_CASE("an executor that fails every run is detected after a few ends")
{
    for (const double share : {0.0, 0.005, 0.05, 0.1})
    {
        CAPTURE(share);
        simulated_fleet fleet;
        fleet.run(2000, share);
        CHECK(fleet.ends_to_find(1.0, share) <= 6);
    }
}

TEST_CASE("an executor that fails half of its runs is detected, streak or not")
{
    int ends = 0;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        simulated_fleet fleet;
        fleet.random.seed(seed);
        fleet.run(2000, 0.05);
        ends += fleet.ends_to_find(0.5, 0.05);
    }
    CHECK(ends / 20 <= 20);
}

TEST_CASE("one failure does not eject an executor that has just returned")
{
    simulated_fleet fleet;
    fleet.run(2000, 0.05);
    double fault_score = fleet.detector.fault_score_at_return();
    fault_score = fleet.detector.fault_score_after(fault_score, true);
    CHECK(!fleet.detector.is_faulty(fault_score));
    fault_score = fleet.detector.fault_score_after(fault_score, true);
    CHECK(fleet.detector.is_faulty(fault_score));
}

TEST_CASE("failures already in flight do not extend an ejection")
{
    scheduler_harness harness;
    for (int guard = 0; guard < 11; ++guard)
    {
        harness.worker("g" + std::to_string(guard)).worker.capacity = {
            .cpu_millis = 64'000, .memory_mb = 64'000};
        harness.report_from_guard("g" + std::to_string(guard));
    }
    std::vector<std::string> jobs;
    jobs.reserve(200);
    for (int number = 0; number < 200; ++number)
    {
        jobs.push_back(harness.submit({step_of(1)}).id);
    }
    harness.advance();
    harness.advance();
    std::vector<std::string> tasks_on_g0;
    for (const std::string& id : jobs)
    {
        const std::string task = id + ".0.0.0";
        if (harness.guard_of.contains(task) &&
            harness.guard_of.at(task) == "g0")
        {
            tasks_on_g0.push_back(task);
        }
    }
    REQUIRE(tasks_on_g0.size() >= 12);
    const auto ejected_until = [&]
    {
        return harness.core.workers().at("g0").ejected_until;
    };
    std::size_t failed = 0;
    while (ejected_until() == time_point{} && failed < tasks_on_g0.size())
    {
        harness.end(tasks_on_g0[failed++], run_end::failed);
        harness.report_from_guard("g0");
    }
    REQUIRE(failed <= 6);
    const time_point until = ejected_until();
    for (std::size_t more = failed; more < failed + 4; ++more)
    {
        harness.advance();
        harness.end(tasks_on_g0[more], run_end::failed);
        harness.report_from_guard("g0");
    }
    CHECK(ejected_until() == until);
}

// Failure: a restart cleared the fault score but not the job of the last
// counted failure, so that job's first failure on the next incarnation was not
// counted.
TEST_CASE("an executor's next incarnation starts without the last failed job")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(2)});
    harness.advance();
    REQUIRE(harness.has_started(definition.id + ".0.0.1"));
    harness.end(definition.id + ".0.0.0", run_end::failed);
    harness.report_from_guard("g1");
    const worker_record& worker = harness.core.workers().at("g1");
    REQUIRE(worker.failed_job == definition.id);
    worker_report& report = harness.worker("g1");
    report.worker.executor = {"g1-2"};
    report.running.clear();
    report.ended.clear();
    harness.report_from_guard("g1");
    CHECK(worker.fault_score == 0);
    CHECK(worker.failed_job.empty());
    harness.advance();
    harness.advance();
    REQUIRE(harness.guard_of.at(definition.id + ".0.0.1") == "g1");
    report.ended = {{.number = 1,
                     .task = definition.id + ".0.0.1",
                     .run = harness.started.at(definition.id + ".0.0.1").run,
                     .how = run_end::failed}};
    report.running.clear();
    harness.report_from_guard("g1");
    CHECK(worker.fault_score > 0);
}
