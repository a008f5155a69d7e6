// An operator closes a data centre, because its executors have become cold or
// are about to be removed. From a fixed time after the store has acknowledged
// the closure, nothing may begin there; running tasks continue. In a simulated
// day before closures were implemented, 2,600 runs began in a closed data
// centre within ten seconds.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <springstair/guard.hpp>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

constexpr duration bound = seconds(5);

scheduler_options options_with_closing()
{
    return {.closing = {.close_within = bound},
            .lasting_batch_window = duration{0}};
}

struct two_data_centres : scheduler_harness
{
    two_data_centres() : scheduler_harness(options_with_closing())
    {
        add("g1", "east");
        add("g2", "west");
        set_closures({});
        report_all();
    }

    void add(const std::string& guard, const std::string& data_centre)
    {
        worker_report& report = worker(guard);
        report.worker.data_centre = data_centre;
        report.sent_ms = 1'000'000;
    }

    void set_closures(std::set<std::string> closed)
    {
        core.set_closed({.names = std::move(closed), .as_of = now}, now);
    }

    void report_all()
    {
        for (auto& [guard, report] : reports)
        {
            report_from_guard(guard);
        }
    }

    // Advances the scheduler `count` times; before each, the store lists these
    // closures and all guards report.
    void turns(int count, const std::set<std::string>& closed)
    {
        for (int turn_number = 0; turn_number < count; ++turn_number)
        {
            set_closures(closed);
            report_all();
            advance();
        }
    }

    [[nodiscard]] std::int64_t runs_at(const std::string& guard) const
    {
        return std::ranges::count_if(guard_of, [&](const auto& entry)
                                     { return entry.second == guard; });
    }
};

// A guard, driven step by step, whose executor answers and never restarts.
struct driven_guard
{
    driven_guard()
    {
        reconciler.on_worker(
            {.executor = "x", .service = "s", .capacity = worker_capacity}, 0,
            now);
        reconciler.on_answer({.holds = true,
                              .permit_ms = 4000,
                              .orders = {.epoch = 7, .executor = "x"}},
                             reconciler.report(now), now, now);
        poll();
    }

    void poll(std::vector<running_task> running = {})
    {
        reconciler.on_polled("x", order_result::accepted,
                             executor_snapshot{.running = std::move(running)},
                             now, now);
    }

    void order(bool closed, std::vector<start_order> starts)
    {
        reconciler.on_orders({.epoch = 7,
                              .executor = "x",
                              .starts = std::move(starts),
                              .closed = closed},
                             now);
    }

    template <class Action>
    std::vector<Action> due()
    {
        std::vector<Action> out;
        for (const executor_action& one : reconciler.due(now))
        {
            if (const auto* const found = std::get_if<Action>(&one))
            {
                out.push_back(*found);
            }
        }
        return out;
    }

    time_point now{std::chrono::hours(1)};
    run_reconciler reconciler;
};

} // namespace

TEST_CASE("nothing is placed in a closed data centre; running tasks stay there")
{
    two_data_centres fleet;
    fleet.submit({step_of(4)});
    fleet.turns(2, {});
    const std::int64_t before = fleet.runs_at("g1");
    REQUIRE(before == 2);

    fleet.submit({step_of(3)});
    fleet.turns(8, {"east"});
    CHECK(fleet.runs_at("g1") == before);
    CHECK(fleet.runs_at("g2") == 4);
    CHECK(fleet.stopped.empty());

    SUBCASE("runs are placed there again once it is open")
    {
        fleet.turns(2, {});
        CHECK(fleet.runs_at("g1") == before + 1);
    }
    SUBCASE("a successor knows the closure before its first placement")
    {
        fleet.take_over();
        fleet.turns(8, {"east"});
        CHECK(fleet.runs_at("g1") == before);
    }
    SUBCASE("if all are closed, jobs wait and none fails")
    {
        const job waiting = fleet.submit({step_of(1)});
        fleet.end("job1.0.0.0", run_end::done);
        fleet.turns(8, {"east", "west"});
        CHECK(fleet.shown(waiting.id) == job_state::pending);
    }
}

TEST_CASE("a new worker in a closed data centre is assigned nothing")
{
    two_data_centres fleet;
    fleet.turns(1, {"north"});
    fleet.add("g3", "north");
    fleet.submit({step_of(12)});
    fleet.turns(4, {"north"});
    CHECK(fleet.runs_at("g1") == 4);
    CHECK(fleet.runs_at("g3") == 0);
}

TEST_CASE("a closure while a placement is being written prevents its start")
{
    two_data_centres fleet;
    fleet.submit({step_of(1, 4000)});
    fleet.now += milliseconds(25);
    fleet.core.tick(fleet.now, 0);
    const auto batch = fleet.core.next_commit(fleet.now);
    REQUIRE(batch);
    fleet.now += milliseconds(800);
    fleet.set_closures({"east", "west"});
    fleet.core.committed(*batch, 1, fleet.now);
    for (const addressed_orders& one : fleet.core.take_orders())
    {
        CHECK(one.orders.starts.empty());
        CHECK(one.orders.stops.size() == 1);
    }
}

TEST_CASE("a lost start is not repeated in a closed data centre")
{
    two_data_centres fleet;
    fleet.submit({step_of(1, 4000)});
    fleet.turns(2, {});
    REQUIRE(fleet.guard_of.size() == 1);
    const auto [task, guard] = *fleet.guard_of.begin();
    fleet.worker(guard).running.clear(); // the order never arrived
    fleet.started.clear();
    fleet.turns(60, {"east", "west"});
    CHECK(fleet.started.empty());
    CHECK(fleet.stopped.contains(task));
}

TEST_CASE("starts expire before they could violate an unknown closure")
{
    two_data_centres fleet;
    fleet.submit({step_of(1)});
    fleet.turns(2, {});
    // The store is unavailable from here on; guards still report.
    const time_point last_contact = fleet.now;
    fleet.submit({step_of(6)});
    bool all_expired = false;
    while (fleet.now - last_contact < bound)
    {
        for (auto& [guard, report] : fleet.reports)
        {
            report.sent_ms += 25;
            const guard_orders orders = fleet.report_from_guard(guard).orders;
            const std::int64_t since =
                to_milliseconds(fleet.now - last_contact);
            const std::int64_t last_contact_at_guard = report.sent_ms - since;
            CHECK(orders.starts_until_ms > 0);
            CHECK(orders.starts_until_ms < last_contact_at_guard + 5000 - 1000);
        }
        const std::size_t before = fleet.started.size();
        fleet.advance();
        all_expired = fleet.now - last_contact > seconds(4);
        CHECK((!all_expired || fleet.started.size() == before));
    }
    CHECK(all_expired);
}

TEST_CASE("a leader that does not know the closures yet places nothing")
{
    scheduler_harness harness(options_with_closing());
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    harness.advance();
    harness.report_from_guard("g1");
    harness.advance();
    CHECK(harness.started.empty());
    harness.core.set_closed({.as_of = harness.now}, harness.now);
    harness.report_from_guard("g1");
    harness.advance();
    CHECK(harness.has_started(definition.id + ".0.0.0"));
}

TEST_CASE("a guard starts nothing in a closed data centre")
{
    driven_guard guard;
    guard.order(true, {{.task = "j.0.0.0", .run = 1}});
    CHECK(guard.due<start_run>().empty());
    const worker_report report = guard.reconciler.report(guard.now);
    REQUIRE(report.refused.size() == 1);
    CHECK(report.refused.front().reason == "data_centre_closed");

    SUBCASE("once it is open again, the guard starts the next run")
    {
        guard.order(false, {{.task = "j.0.0.0", .run = 2}});
        CHECK(guard.due<start_run>().size() == 1);
    }
}

TEST_CASE("an unanswered start is stopped in a closed data centre")
{
    driven_guard guard;
    guard.order(false, {{.task = "j.0.0.0", .run = 1}});
    REQUIRE(guard.due<start_run>().size() == 1);
    guard.reconciler.on_started(
        {.order = {.task = "j.0.0.0", .run = 1},
         .executor = guard.reconciler.worker().executor},
        order_result::unanswered, guard.now);
    guard.order(true, {});
    guard.now += milliseconds(200);
    CHECK(guard.due<stop_run>().size() == 1);
    CHECK(guard.due<start_run>().empty());
}

TEST_CASE("a run continues in a closed data centre")
{
    driven_guard guard;
    guard.order(false, {{.task = "j.0.0.0", .run = 1}});
    REQUIRE(guard.due<start_run>().size() == 1);
    guard.reconciler.on_started(
        {.order = {.task = "j.0.0.0", .run = 1},
         .executor = guard.reconciler.worker().executor},
        order_result::accepted, guard.now);
    guard.poll({{.task = "j.0.0.0", .run = 1}});
    guard.order(true, {});
    guard.now += milliseconds(200);
    CHECK(guard.due<stop_run>().empty());
    CHECK(guard.reconciler.report(guard.now).refused.empty());
}
