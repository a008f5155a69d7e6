// Orphans: runs of cancelled or unknown jobs, runs that their executor started
// late, and runs placed by a previous leader or a past incarnation of a guard.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <springstair/guard.hpp>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

bool stops(const report_answer& answer, const std::string& task,
           std::int64_t run)
{
    return std::find(answer.orders.stops.begin(), answer.orders.stops.end(),
                     stop_order{.task = task, .run = run}) !=
           answer.orders.stops.end();
}

} // namespace

TEST_CASE("stops are repeated until a run of an unknown job is gone")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.worker("g1").running = {{.task = "ghost.0.0.0", .run = 3}};
    for (int turn = 0; turn < 3; ++turn)
    {
        CHECK(stops(harness.report_from_guard("g1"), "ghost.0.0.0", 3));
        harness.advance(milliseconds(400));
    }
    harness.worker("g1").running.clear();
    CHECK_FALSE(stops(harness.report_from_guard("g1"), "ghost.0.0.0", 3));
}

TEST_CASE("a late start of a cancelled job is stopped")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    REQUIRE(harness.has_started(task));
    SUBCASE("its order was refused")
    {
        // The guard refused it, the job was cancelled, and then the run began.
        harness.worker("g1").running.clear();
        harness.worker("g1").refused = {
            {.task = task, .run = 1, .reason = "unanswered"}};
        harness.core.cancel(definition.id, harness.now);
        harness.report_from_guard("g1");
        harness.advance();
        harness.worker("g1").refused.clear();
        harness.worker("g1").running = {{.task = task, .run = 1}};
        CHECK(stops(harness.report_from_guard("g1"), task, 1));
    }
    SUBCASE("a new leader took over in between")
    {
        harness.core.cancel(definition.id, harness.now);
        harness.advance();
        harness.core.begin_term(8, harness.now);
        harness.core.set_table(scheduler_harness::table());
        harness.core.adopt(definition, std::nullopt, 0, harness.now, 0);
        harness.core.begin(harness.now);
        harness.core.cancel(definition.id, harness.now);
        CHECK(stops(harness.report_from_guard("g1"), task, 1));
    }
    SUBCASE("its guard restarted")
    {
        worker_report& report = harness.worker("g1");
        report.incarnation += "i";
        report.sequence = 0;
        report.unknown = {task};
        harness.core.cancel(definition.id, harness.now);
        const report_answer answer = harness.report_from_guard("g1");
        CHECK(stops(answer, task, 1));
    }
    SUBCASE("its executor is draining")
    {
        harness.worker("g1").worker.draining = true;
        harness.core.cancel(definition.id, harness.now);
        CHECK(stops(harness.report_from_guard("g1"), task, 1));
    }
}

TEST_CASE("a guard stops runs it never started, also without a lease grant")
{
    run_reconciler reconciler;
    time_point now{std::chrono::hours(1)};
    reconciler.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    report_answer answer{.holds = true, .permit_ms = 0, .orders = {.epoch = 5}};
    answer.orders.executor = "w1";
    answer.orders.stops = {{.task = "ghost.0.0.0", .run = 3}};
    reconciler.on_answer(answer, reconciler.report(now), now, now);
    for (int call = 0; call < 3; ++call)
    {
        const auto actions = reconciler.due(now);
        const auto asked = std::count_if(
            actions.begin(), actions.end(),
            [](const executor_action& one)
            {
                const auto* const stop = std::get_if<stop_run>(&one);
                return stop != nullptr &&
                       stop->order ==
                           stop_order{.task = "ghost.0.0.0", .run = 3};
            });
        CHECK(asked == 1);
        reconciler.on_stopped({.order = {.task = "ghost.0.0.0", .run = 3},
                               .executor = reconciler.worker().executor},
                              order_result::unanswered, now);
        now += seconds(1);
    }
    reconciler.on_stopped({.order = {.task = "ghost.0.0.0", .run = 3},
                           .executor = reconciler.worker().executor},
                          order_result::accepted, now);
}

namespace
{

// A guard that has a lease grant and has polled its executor.
struct ready_guard
{
    ready_guard()
    {
        reconciler.on_worker({.executor = "w1", .service = "s"}, 1000, now);
        receive_orders({});
    }

    void receive_orders(guard_orders orders)
    {
        orders.epoch = 5;
        orders.executor = "w1";
        report_answer answer{.holds = true, .permit_ms = 4000};
        answer.orders = std::move(orders);
        reconciler.on_answer(answer, reconciler.report(now), now, now);
    }

    void poll_shows(std::vector<running_task> running)
    {
        reconciler.on_polled(
            "w1", order_result::accepted,
            executor_snapshot{.clock_ms = 1000, .running = std::move(running)},
            now, now);
    }

    std::set<std::int64_t> stops_due()
    {
        std::set<std::int64_t> runs;
        for (const executor_action& one : reconciler.due(now))
        {
            if (const auto* const stop = std::get_if<stop_run>(&one))
            {
                runs.insert(stop->order.run);
            }
        }
        return runs;
    }

    time_point now{std::chrono::hours(1)};
    run_reconciler reconciler;
};

} // namespace

// Found by simulation: a run that the leader had replaced began late and kept
// running beside the task's next run, although it was to be stopped. The stop
// order carried the newest run's number; the guard assigned that number to the
// run that it tracked, ignored the answer to its own start, and never sent a
// stop.
TEST_CASE("a stop order for a newer run stops the run that the guard tracks")
{
    ready_guard guard;
    guard.receive_orders({.starts = {{.task = "j.0.0.0", .run = 1}}});
    guard.reconciler.due(guard.now); // its call is in flight
    guard.receive_orders({.stops = {{.task = "j.0.0.0", .run = 2}}});
    guard.reconciler.on_started(
        {.order = {.task = "j.0.0.0", .run = 1},
         .executor = guard.reconciler.worker().executor},
        order_result::accepted, guard.now);
    CHECK(guard.stops_due() == std::set<std::int64_t>{1});
}

// The same failure, with an older run on the worker beside the tracked one.
TEST_CASE("an older run beside the one that the guard tracks is stopped")
{
    ready_guard guard;
    guard.receive_orders({.starts = {{.task = "j.0.0.0", .run = 3}}});
    guard.reconciler.due(guard.now);
    guard.reconciler.on_started(
        {.order = {.task = "j.0.0.0", .run = 3},
         .executor = guard.reconciler.worker().executor},
        order_result::accepted, guard.now);
    guard.poll_shows(
        {{.task = "j.0.0.0", .run = 1}, {.task = "j.0.0.0", .run = 3}});
    guard.receive_orders({.stops = {{.task = "j.0.0.0", .run = 1}}});
    CHECK(guard.stops_due() == std::set<std::int64_t>{1});
    // Run 3 continues.
    CHECK(guard.stops_due().empty());
}
