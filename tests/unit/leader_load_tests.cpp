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

constexpr milliseconds below_a_gap{5};

// A scheduler whose writes the test takes one by one.
struct writing_holder
{
    // One worker, with capacity for three tasks of step_of().
    writing_holder()
    {
        at.worker("g").worker.capacity = {.cpu_millis = 3000,
                                          .memory_mb = 4000};
        at.say("g");
        at.turn();
    }

    std::optional<commit_batch> next_write()
    {
        at.core.tick(at.now, 0);
        return at.core.next_commit(at.now);
    }

    scheduler_harness at;
};

} // namespace

TEST_CASE("tasks are placed for the next write, not while one is in flight")
{
    writing_holder of;
    of.at.now += milliseconds(25);
    of.at.submit({step_of(1)});
    const auto first = of.next_write();
    REQUIRE(first.has_value());
    CHECK(of.at.core.figures().starts == 1);
    // Without batching, each of these jobs caused a placement pass of its own.
    of.at.submit({step_of(1)});
    of.at.now += milliseconds(30);
    CHECK_FALSE(of.next_write().has_value());
    CHECK(of.at.core.figures().starts == 1);
    of.at.core.committed(*first, ++of.at.revision, of.at.now);
    const auto second = of.next_write();
    REQUIRE(second.has_value());
    CHECK(second->size() == 1);
    CHECK(of.at.core.figures().starts == 2);
}

TEST_CASE("after an idle time a job is placed at once")
{
    writing_holder of;
    of.at.now += seconds(1);
    of.at.core.tick(of.at.now, 0);
    of.at.now += milliseconds(25);
    of.at.submit({step_of(1)});
    CHECK(of.next_write().has_value());
    CHECK(of.at.core.figures().starts == 1);
}

TEST_CASE("ends that nothing waits for are batched into one write")
{
    writing_holder of;
    of.at.submit({step_of(3)});
    of.at.turn();
    of.at.now += seconds(1);
    of.at.end("job1.0.0.0", run_end::done);
    const report_answer early = of.at.say("g");
    CHECK(early.orders.acknowledged == 0);
    CHECK_FALSE(of.next_write().has_value());
    of.at.now += milliseconds(40);
    of.at.end("job1.0.0.1", run_end::done);
    of.at.say("g");
    CHECK_FALSE(of.next_write().has_value());
    of.at.now += milliseconds(25); // 65 ms since the first end
    const auto write = of.next_write();
    REQUIRE(write.has_value());
    CHECK(write->size() == 1);
    // Only committed ends are acknowledged.
    CHECK(of.at.say("g").orders.acknowledged == 0);
    of.at.core.committed(*write, ++of.at.revision, of.at.now);
    CHECK(of.at.say("g").orders.acknowledged == 2);
}

TEST_CASE("the last end of a job is written at once, as its caller waits")
{
    writing_holder of;
    const job what = of.at.submit({step_of(1)});
    of.at.turn();
    of.at.now += seconds(1);
    of.at.end("job1.0.0.0", run_end::done);
    of.at.say("g");
    const auto write = of.next_write();
    REQUIRE(write.has_value());
    CHECK(write->front().state == job_state::succeeded);
}

TEST_CASE("an end that releases the next step is written with its placements")
{
    writing_holder of;
    job_step second = step_of(2);
    second.after = {0};
    of.at.submit({step_of(1), second});
    of.at.turn();
    of.at.now += seconds(1);
    of.at.end("job1.0.0.0", run_end::done);
    of.at.say("g");
    REQUIRE(of.next_write().has_value());
    CHECK(of.at.core.figures().starts == 3);
}

TEST_CASE("a report without lists does not imply that runs are missing")
{
    writing_holder of;
    of.at.submit({step_of(2)});
    of.at.turn();
    worker_report& report = of.at.worker("g");
    const auto running = std::exchange(report.running, {});
    report.whole = false;
    of.at.now += seconds(3); // longer than the wait for a start to appear
    of.at.end("job1.0.0.0", run_end::done);
    const report_answer light = of.at.say("g");
    CHECK(light.holds);
    CHECK(light.permit_ms > 0);
    CHECK(light.orders.starts.empty()); // nothing is missing
    // The end in it counts.
    of.at.turn(milliseconds(100));
    CHECK(of.at.say("g").orders.acknowledged == 1);
    // In a full report, the run is missing: its start is sent again.
    report.whole = true;
    const report_answer whole = of.at.say("g");
    REQUIRE(whole.orders.starts.size() == 1);
    CHECK(whole.orders.starts[0].task == "job1.0.0.1");
}

TEST_CASE("a guard reports its runs to each new leader, then twice a second")
{
    run_reconciler keeper;
    time_point now{std::chrono::hours(1)};
    keeper.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    const auto look = [&](std::vector<ended_task> ended)
    {
        keeper.on_polled(
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
        keeper.on_answer(out, keeper.report(now), now, now);
    };
    answer(5);
    look({});
    CHECK(keeper.report(now).whole);
    CHECK(keeper.report(now).running.size() == 1);
    answer(5);
    now += below_a_gap;
    look({{.number = 1, .task = "j.0.0.1", .run = 1, .how = run_end::done}});
    const worker_report light = keeper.report(now);
    CHECK_FALSE(light.whole);
    CHECK(light.running.empty());
    CHECK(light.ended.size() == 1);
    // Another leader does not know the runs.
    answer(6);
    CHECK(keeper.report(now).whole);
    answer(6);
    CHECK_FALSE(keeper.report(now).whole);
    now += milliseconds(400);
    CHECK(keeper.report(now).whole);
}

TEST_CASE("a confirmed start and a shorter list of ends trigger no report")
{
    run_reconciler keeper;
    time_point now{std::chrono::hours(1)};
    keeper.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    report_answer out{.holds = true, .permit_ms = 4000};
    out.orders = {.epoch = 5,
                  .executor = "w1",
                  .starts = {{.task = "j.0.0.0", .run = 1}}};
    keeper.on_answer(out, keeper.report(now), now, now);
    const auto look = [&](std::vector<ended_task> ended)
    {
        keeper.on_polled(
            "w1", order_result::accepted,
            executor_snapshot{.clock_ms = 1000, .ended = std::move(ended)}, now,
            now);
    };
    const ended_task first{.number = 1, .task = "j.0.0.1", .run = 1};
    const ended_task second{.number = 2, .task = "j.0.0.2", .run = 1};
    look({first});
    CHECK(keeper.take_report_due());
    REQUIRE_FALSE(keeper.due(now).empty());
    keeper.on_started({.order = {.task = "j.0.0.0", .run = 1},
                       .executor = keeper.worker().executor},
                      order_result::accepted, now);
    CHECK_FALSE(keeper.take_report_due());
    look({});
    CHECK_FALSE(keeper.take_report_due());
    look({second});
    CHECK(keeper.take_report_due());
}
