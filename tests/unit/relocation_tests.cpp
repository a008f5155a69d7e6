// Relocation of best-effort runs that are throttled.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

// Failure: after one run for which there was no other worker, the further runs
// of its image stayed throttled although another worker tolerated them.
TEST_CASE("a run without another worker does not keep others of its image")
{
    scheduler_harness harness;
    harness.worker("g1").worker.labels = {"a"};
    harness.report_from_guard("g1");
    job_step bound = best_effort_step(2);
    bound.checkpoints = true;
    bound.label = "a"; // only g1 may run it
    job_step free = best_effort_step(1);
    free.checkpoints = true;
    const job first = harness.submit({bound});
    const job second = harness.submit({free});
    harness.advance();
    harness.report_from_guard("g1"); // reports the runs
    harness.report_from_guard("g2");
    harness.worker("g1").paces = {{"f", 0}};
    harness.report_from_guard("g1");
    CHECK_FALSE(harness.stopped.contains(first.id + ".0.0.0"));
    CHECK_FALSE(harness.stopped.contains(first.id + ".0.0.1"));
    CHECK(harness.stopped.contains(second.id + ".0.0.0"));
}
