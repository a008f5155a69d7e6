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
    scheduler_harness at;
    at.say("g1");
    at.worker("g1").running = {{.task = "ghost.0.0.0", .run = 3}};
    for (int turn = 0; turn < 3; ++turn)
    {
        CHECK(stops(at.say("g1"), "ghost.0.0.0", 3));
        at.turn(milliseconds(400));
    }
    at.worker("g1").running.clear();
    CHECK_FALSE(stops(at.say("g1"), "ghost.0.0.0", 3));
}

TEST_CASE("a late start of a cancelled job is stopped")
{
    scheduler_harness at;
    at.say("g1");
    const job what = at.submit({step_of(1)});
    const std::string task = what.id + ".0.0.0";
    at.turn();
    REQUIRE(at.runs(task));
    SUBCASE("its order was refused")
    {
        // The guard refused it, the job was cancelled, and then the run began.
        at.worker("g1").running.clear();
        at.worker("g1").refused = {
            {.task = task, .run = 1, .reason = "unanswered"}};
        at.core.cancel(what.id, at.now);
        at.say("g1");
        at.turn();
        at.worker("g1").refused.clear();
        at.worker("g1").running = {{.task = task, .run = 1}};
        CHECK(stops(at.say("g1"), task, 1));
    }
    SUBCASE("a new leader took over in between")
    {
        at.core.cancel(what.id, at.now);
        at.turn();
        at.core.begin_term(8, at.now);
        at.core.set_table(scheduler_harness::table());
        at.core.adopt(what, std::nullopt, 0, at.now, 0);
        at.core.begin(at.now);
        at.core.cancel(what.id, at.now);
        CHECK(stops(at.say("g1"), task, 1));
    }
    SUBCASE("its guard restarted")
    {
        worker_report& report = at.worker("g1");
        report.incarnation += "i";
        report.sequence = 0;
        report.unknown = {task};
        at.core.cancel(what.id, at.now);
        const report_answer answer = at.say("g1");
        CHECK(stops(answer, task, 1));
    }
    SUBCASE("its executor is draining")
    {
        at.worker("g1").worker.draining = true;
        at.core.cancel(what.id, at.now);
        CHECK(stops(at.say("g1"), task, 1));
    }
}

TEST_CASE("a guard stops runs it never started, also without a lease grant")
{
    run_reconciler keeper;
    time_point now{std::chrono::hours(1)};
    keeper.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    report_answer answer{.holds = true, .permit_ms = 0, .orders = {.epoch = 5}};
    answer.orders.executor = "w1";
    answer.orders.stops = {{.task = "ghost.0.0.0", .run = 3}};
    keeper.on_answer(answer, keeper.report(now), now, now);
    for (int call = 0; call < 3; ++call)
    {
        const auto actions = keeper.due(now);
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
        keeper.on_stopped({.order = {.task = "ghost.0.0.0", .run = 3},
                           .executor = keeper.worker().executor},
                          order_result::unanswered, now);
        now += seconds(1);
    }
    keeper.on_stopped({.order = {.task = "ghost.0.0.0", .run = 3},
                       .executor = keeper.worker().executor},
                      order_result::accepted, now);
}

namespace
{

// A guard that has a lease grant and has polled its executor.
struct permitted_guard
{
    permitted_guard()
    {
        keeper.on_worker({.executor = "w1", .service = "s"}, 1000, now);
        hear({});
    }

    void hear(guard_orders orders)
    {
        orders.epoch = 5;
        orders.executor = "w1";
        report_answer answer{.holds = true, .permit_ms = 4000};
        answer.orders = std::move(orders);
        keeper.on_answer(answer, keeper.report(now), now, now);
    }

    void look_shows(std::vector<running_task> running)
    {
        keeper.on_polled(
            "w1", order_result::accepted,
            executor_snapshot{.clock_ms = 1000, .running = std::move(running)},
            now, now);
    }

    std::set<std::int64_t> stops_due()
    {
        std::set<std::int64_t> runs;
        for (const executor_action& one : keeper.due(now))
        {
            if (const auto* const stop = std::get_if<stop_run>(&one))
            {
                runs.insert(stop->order.run);
            }
        }
        return runs;
    }

    time_point now{std::chrono::hours(1)};
    run_reconciler keeper;
};

} // namespace

// Found by simulation: a run that the leader had replaced began late and kept
// running beside the task's next run, although it was to be stopped. The stop
// order carried the newest run's number; the guard assigned that number to the
// run that it tracked, ignored the answer to its own start, and never sent a
// stop.
TEST_CASE("a stop order for a newer run stops the run that the guard tracks")
{
    permitted_guard at;
    at.hear({.starts = {{.task = "j.0.0.0", .run = 1}}});
    at.keeper.due(at.now); // its call is in flight
    at.hear({.stops = {{.task = "j.0.0.0", .run = 2}}});
    at.keeper.on_started({.order = {.task = "j.0.0.0", .run = 1},
                          .executor = at.keeper.worker().executor},
                         order_result::accepted, at.now);
    CHECK(at.stops_due() == std::set<std::int64_t>{1});
}

// The same, where the worker runs an older run beside the tracked one.
TEST_CASE("an older run beside the one that the guard tracks is stopped")
{
    permitted_guard at;
    at.hear({.starts = {{.task = "j.0.0.0", .run = 3}}});
    at.keeper.due(at.now);
    at.keeper.on_started({.order = {.task = "j.0.0.0", .run = 3},
                          .executor = at.keeper.worker().executor},
                         order_result::accepted, at.now);
    at.look_shows(
        {{.task = "j.0.0.0", .run = 1}, {.task = "j.0.0.0", .run = 3}});
    at.hear({.stops = {{.task = "j.0.0.0", .run = 1}}});
    CHECK(at.stops_due() == std::set<std::int64_t>{1});
    // Run 3 continues.
    CHECK(at.stops_due().empty());
}
