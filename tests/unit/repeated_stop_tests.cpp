// Stop orders that are lost on their way to the guard.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

// Guards against a cancelled task that starts seconds later: the order to stop
// it was lost, and not repeated while the guard had not started the run yet.
TEST_CASE("a lost stop of a run that its guard has not started is repeated")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    REQUIRE(harness.has_started(task));
    worker_report& report = harness.worker("g1");
    report.running.clear();
    report.starting = {task};

    harness.core.cancel(definition.id, harness.now);
    harness.advance();
    REQUIRE(harness.stops.at(task) == 1);
    harness.stops.clear(); // lost
    const report_answer answer = harness.report_from_guard("g1");
    REQUIRE(answer.orders.stops.size() == 1);
    CHECK(answer.orders.stops.front() == stop_order{.task = task, .run = 1});
    CHECK(answer.orders.starts.empty());

    // Until the guard no longer has it.
    report.starting.clear();
    report.refused = {{.task = task, .run = 1, .reason = "stopped"}};
    harness.report_from_guard("g1");
    harness.stops.clear();
    harness.advance(milliseconds(1500));
    harness.report_from_guard("g1");
    CHECK(harness.stops.empty());
}
