// The leader's work per report and per end of a run.
//
// 160 workers that report each end send some 900 reports and 450 ends per
// second. A placement pass after each report, a write for each end and a list
// of all runs in each report took 0.31 of a processor; the VM has 0.5
// (bench/office.cpp). Once the processor is saturated, reports wait longer than
// the guards' timeout, lease grants expire, and healthy runs are lost.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <springstair/guard.hpp>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

constexpr milliseconds short_interval{5};

// A scheduler whose writes the test takes one by one.
struct write_fixture
{
    // One worker, with capacity for three tasks of step_of().
    write_fixture()
    {
        harness.worker("g").worker.capacity = {.cpu_millis = 3000,
                                               .memory_mb = 4000};
        harness.report_from_guard("g");
        harness.advance();
    }

    std::optional<commit_batch> next_write()
    {
        harness.core.tick(harness.now, 0);
        return harness.core.next_commit(harness.now);
    }

    scheduler_harness harness;
};

} // namespace

TEST_CASE("tasks are placed for the next write, not while one is in flight")
{
    write_fixture fixture;
    fixture.harness.now += milliseconds(25);
    fixture.harness.submit({step_of(1)});
    const auto first = fixture.next_write();
    REQUIRE(first.has_value());
    CHECK(fixture.harness.core.figures().starts == 1);
    // Without batching, each of these jobs caused a placement pass of its own.
    fixture.harness.submit({step_of(1)});
    fixture.harness.now += milliseconds(30);
    CHECK_FALSE(fixture.next_write().has_value());
    CHECK(fixture.harness.core.figures().starts == 1);
    fixture.harness.core.committed(*first, ++fixture.harness.revision,
                                   fixture.harness.now);
    const auto second = fixture.next_write();
    REQUIRE(second.has_value());
    CHECK(second->size() == 1);
    CHECK(fixture.harness.core.figures().starts == 2);
}

TEST_CASE("after an idle time a job is placed at once")
{
    write_fixture fixture;
    fixture.harness.now += seconds(1);
    fixture.harness.core.tick(fixture.harness.now, 0);
    fixture.harness.now += milliseconds(25);
    fixture.harness.submit({step_of(1)});
    CHECK(fixture.next_write().has_value());
    CHECK(fixture.harness.core.figures().starts == 1);
}

TEST_CASE("ends that nothing waits for are batched into one write")
{
    write_fixture fixture;
    fixture.harness.submit({step_of(3)});
    fixture.harness.advance();
    fixture.harness.now += seconds(1);
    fixture.harness.end("job1.0.0.0", run_end::done);
    const report_answer early = fixture.harness.report_from_guard("g");
    CHECK(early.orders.acknowledged == 0);
    CHECK_FALSE(fixture.next_write().has_value());
    fixture.harness.now += milliseconds(40);
    fixture.harness.end("job1.0.0.1", run_end::done);
    fixture.harness.report_from_guard("g");
    CHECK_FALSE(fixture.next_write().has_value());
    fixture.harness.now += milliseconds(25); // 65 ms since the first end
    const auto write = fixture.next_write();
    REQUIRE(write.has_value());
    CHECK(write->size() == 1);
    // Only committed ends are acknowledged.
    CHECK(fixture.harness.report_from_guard("g").orders.acknowledged == 0);
    fixture.harness.core.committed(*write, ++fixture.harness.revision,
                                   fixture.harness.now);
    CHECK(fixture.harness.report_from_guard("g").orders.acknowledged == 2);
}

TEST_CASE("the last end of a job is written at once, as its caller waits")
{
    write_fixture fixture;
    const job definition = fixture.harness.submit({step_of(1)});
    fixture.harness.advance();
    fixture.harness.now += seconds(1);
    fixture.harness.end("job1.0.0.0", run_end::done);
    fixture.harness.report_from_guard("g");
    const auto write = fixture.next_write();
    REQUIRE(write.has_value());
    CHECK(write->front().state == job_state::succeeded);
}

TEST_CASE("an end that releases the next step is written with its placements")
{
    write_fixture fixture;
    job_step second = step_of(2);
    second.after = {0};
    fixture.harness.submit({step_of(1), second});
    fixture.harness.advance();
    fixture.harness.now += seconds(1);
    fixture.harness.end("job1.0.0.0", run_end::done);
    fixture.harness.report_from_guard("g");
    REQUIRE(fixture.next_write().has_value());
    CHECK(fixture.harness.core.figures().starts == 3);
}

TEST_CASE("a report without lists does not imply that runs are missing")
{
    write_fixture fixture;
    fixture.harness.submit({step_of(2)});
    fixture.harness.advance();
    worker_report& report = fixture.harness.worker("g");
    const auto running = std::exchange(report.running, {});
    report.whole = false;
    fixture.harness.now +=
        seconds(3); // longer than the wait for a start to appear
    fixture.harness.end("job1.0.0.0", run_end::done);
    const report_answer partial = fixture.harness.report_from_guard("g");
    CHECK(partial.holds);
    CHECK(partial.permit_ms > 0);
    CHECK(partial.orders.starts.empty()); // nothing is missing
    // The end that it lists is recorded nevertheless.
    fixture.harness.advance(milliseconds(100));
    CHECK(fixture.harness.report_from_guard("g").orders.acknowledged == 1);
    // In a full report, the run is missing: its start is sent again.
    report.whole = true;
    const report_answer full = fixture.harness.report_from_guard("g");
    REQUIRE(full.orders.starts.size() == 1);
    CHECK(full.orders.starts[0].task == "job1.0.0.1");
}

TEST_CASE("a guard reports its runs to each new leader, then twice a second")
{
    run_reconciler reconciler;
    time_point now{std::chrono::hours(1)};
    reconciler.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    const auto poll = [&](std::vector<ended_task> ended)
    {
        reconciler.on_polled(
            "w1", order_result::accepted,
            executor_snapshot{.clock_ms = 1000,
                              .running = {{.task = "j.0.0.0", .run = 1}},
                              .ended = std::move(ended)},
            now, now);
    };
    const auto answer = [&](std::int64_t epoch)
    {
        report_answer out{.holds = true, .permit_ms = 4000};
        out.orders.epoch = epoch;
        out.orders.executor = "w1";
        reconciler.on_answer(out, reconciler.report(now), now, now);
    };
    answer(5);
    poll({});
    CHECK(reconciler.report(now).whole);
    CHECK(reconciler.report(now).running.size() == 1);
    answer(5);
    now += short_interval;
    poll({{.number = 1, .task = "j.0.0.1", .run = 1, .how = run_end::done}});
    const worker_report partial = reconciler.report(now);
    CHECK_FALSE(partial.whole);
    CHECK(partial.running.empty());
    CHECK(partial.ended.size() == 1);
    // Another leader does not know the runs.
    answer(6);
    CHECK(reconciler.report(now).whole);
    answer(6);
    CHECK_FALSE(reconciler.report(now).whole);
    now += milliseconds(400);
    CHECK(reconciler.report(now).whole);
}

TEST_CASE("a confirmed start and a shorter list of ends trigger no report")
{
    run_reconciler reconciler;
    time_point now{std::chrono::hours(1)};
    reconciler.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    report_answer out{.holds = true, .permit_ms = 4000};
    out.orders = {.epoch = 5,
                  .executor = "w1",
                  .starts = {{.task = "j.0.0.0", .run = 1}}};
    reconciler.on_answer(out, reconciler.report(now), now, now);
    const auto poll = [&](std::vector<ended_task> ended)
    {
        reconciler.on_polled(
            "w1", order_result::accepted,
            executor_snapshot{.clock_ms = 1000, .ended = std::move(ended)}, now,
            now);
    };
    const ended_task first{.number = 1, .task = "j.0.0.1", .run = 1};
    const ended_task second{.number = 2, .task = "j.0.0.2", .run = 1};
    poll({first});
    CHECK(reconciler.take_report_due());
    REQUIRE_FALSE(reconciler.due(now).empty());
    reconciler.on_started({.order = {.task = "j.0.0.0", .run = 1},
                           .executor = reconciler.worker().executor},
                          order_result::accepted, now);
    CHECK_FALSE(reconciler.take_report_due());
    poll({});
    CHECK_FALSE(reconciler.take_report_due());
    poll({second});
    CHECK(reconciler.take_report_due());
}
