// Runs that nobody wants any more: of cancelled and of unknown jobs, started
// late by their executor, or placed by a holder or guard that is gone.

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

TEST_CASE("a run of a job that nobody knows is stopped until it is gone")
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
    SUBCASE("its order was given up")
    {
        // The guard took it back, the job was cancelled, and then it began.
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
    SUBCASE("a new holder took over in between")
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
    SUBCASE("its guard began another life")
    {
        worker_report& report = at.worker("g1");
        report.incarnation += "i";
        report.sequence = 0;
        report.unknown = {task};
        at.core.cancel(what.id, at.now);
        const report_answer answer = at.say("g1");
        CHECK(stops(answer, task, 1));
    }
    SUBCASE("its executor drains")
    {
        at.worker("g1").worker.draining = true;
        at.core.cancel(what.id, at.now);
        CHECK(stops(at.say("g1"), task, 1));
    }
}

TEST_CASE("a guard stops what it never started, also without a permit")
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

// A guard that may start and has looked at its worker.
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

// Seen in random worlds: a run that its holder had given up began, and went on
// beside its successor although it was to be stopped. The stop named the newest
// run of the task; the guard took that number for the run that it kept, heard
// nothing of its own start any more, and never sent a stop.
TEST_CASE("a stop for a newer run stops the one that the guard keeps")
{
    permitted_guard at;
    at.hear({.starts = {{.task = "j.0.0.0", .run = 1}}});
    at.keeper.due(at.now); // its call is open
    at.hear({.stops = {{.task = "j.0.0.0", .run = 2}}});
    at.keeper.on_started({.order = {.task = "j.0.0.0", .run = 1},
                          .executor = at.keeper.worker().executor},
                         order_result::accepted, at.now);
    CHECK(at.stops_due() == std::set<std::int64_t>{1});
}

// The same where the worker runs an older one beside the run that is kept.
TEST_CASE("an older run beside the one that the guard keeps is stopped")
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
    // Run 3 goes on.
    CHECK(at.stops_due().empty());
}
