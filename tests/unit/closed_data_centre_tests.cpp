// An operator closes a data centre, because its executors have become cold or
// are about to be removed. Once the store has acknowledged the closure, nothing
// may begin there after a fixed bound; running tasks stay. In a simulated day,
// before closures were implemented, 2,600 runs began in a closed data centre
// within ten seconds.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <springstair/guard.hpp>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

constexpr duration bound = seconds(5);

scheduler_options closing_holder()
{
    return {.closing = {.close_within = bound},
            .lasting_batch_window = duration{0}};
}

struct two_data_centres : scheduler_harness
{
    two_data_centres() : scheduler_harness(closing_holder())
    {
        add("g1", "east");
        add("g2", "west");
        hear({});
        say_all();
    }

    void add(const std::string& guard, const std::string& data_centre)
    {
        worker_report& report = worker(guard);
        report.worker.data_centre = data_centre;
        report.sent_ms = 1'000'000;
    }

    void hear(std::set<std::string> closed)
    {
        core.set_closed({.names = std::move(closed), .known_at = now}, now);
    }

    void say_all()
    {
        for (auto& [guard, report] : reports)
        {
            say(guard);
        }
    }

    // Turns in which guards report and the store shows these closures.
    void turns(int count, const std::set<std::string>& closed)
    {
        for (int turn_number = 0; turn_number < count; ++turn_number)
        {
            hear(closed);
            say_all();
            turn();
        }
    }

    [[nodiscard]] std::int64_t runs_at(const std::string& guard) const
    {
        return std::ranges::count_if(where, [&](const auto& entry)
                                     { return entry.second == guard; });
    }
};

// A guard, driven step by step, whose executor answers and never restarts.
struct guard_by_hand
{
    guard_by_hand()
    {
        keeper.on_worker({.executor = "x", .service = "s", .capacity = room}, 0,
                         now);
        keeper.on_answer({.holds = true,
                          .permit_ms = 4000,
                          .orders = {.epoch = 7, .executor = "x"}},
                         keeper.report(now), now, now);
        look();
    }

    void look(std::vector<running_task> running = {})
    {
        keeper.on_polled("x", order_result::accepted,
                         executor_snapshot{.running = std::move(running)}, now,
                         now);
    }

    void order(bool closed, std::vector<start_order> starts)
    {
        keeper.on_orders({.epoch = 7,
                          .executor = "x",
                          .starts = std::move(starts),
                          .closed = closed},
                         now);
    }

    template <class Action>
    std::vector<Action> due()
    {
        std::vector<Action> out;
        for (const executor_action& one : keeper.due(now))
        {
            if (const auto* const found = std::get_if<Action>(&one))
            {
                out.push_back(*found);
            }
        }
        return out;
    }

    time_point now{std::chrono::hours(1)};
    run_reconciler keeper;
};

} // namespace

TEST_CASE("nothing is placed in a closed data centre; running tasks stay there")
{
    two_data_centres with;
    with.submit({step_of(4)});
    with.turns(2, {});
    const std::int64_t before = with.runs_at("g1");
    REQUIRE(before == 2);

    with.submit({step_of(3)});
    with.turns(8, {"east"});
    CHECK(with.runs_at("g1") == before);
    CHECK(with.runs_at("g2") == 4);
    CHECK(with.stopped.empty());

    SUBCASE("runs are placed there again once it is open")
    {
        with.turns(2, {});
        CHECK(with.runs_at("g1") == before + 1);
    }
    SUBCASE("a successor knows the closure before its first placement")
    {
        with.take_over();
        with.turns(8, {"east"});
        CHECK(with.runs_at("g1") == before);
    }
    SUBCASE("if all are closed, jobs wait and none fails")
    {
        const job waits = with.submit({step_of(1)});
        with.end("job1.0.0.0", run_end::done);
        with.turns(8, {"east", "west"});
        CHECK(with.shown(waits.id) == job_state::pending);
    }
}

TEST_CASE("a new worker in a closed data centre is assigned nothing")
{
    two_data_centres with;
    with.turns(1, {"north"});
    with.add("g3", "north");
    with.submit({step_of(12)});
    with.turns(4, {"north"});
    CHECK(with.runs_at("g1") == 4);
    CHECK(with.runs_at("g3") == 0);
}

TEST_CASE("a closure while a placement is being written prevents its start")
{
    two_data_centres with;
    with.submit({step_of(1, 4000)});
    with.now += milliseconds(25);
    with.core.tick(with.now, 0);
    const auto batch = with.core.next_commit(with.now);
    REQUIRE(batch);
    with.now += milliseconds(800);
    with.hear({"east", "west"});
    with.core.committed(*batch, 1, with.now);
    for (const addressed_orders& one : with.core.take_orders())
    {
        CHECK(one.orders.starts.empty());
        CHECK(one.orders.stops.size() == 1);
    }
}

TEST_CASE("a lost start is not repeated in a closed data centre")
{
    two_data_centres with;
    with.submit({step_of(1, 4000)});
    with.turns(2, {});
    REQUIRE(with.where.size() == 1);
    const auto [task, guard] = *with.where.begin();
    with.worker(guard).running.clear(); // the order never arrived
    with.started.clear();
    with.turns(60, {"east", "west"});
    CHECK(with.started.empty());
    CHECK(with.stopped.contains(task));
}

TEST_CASE("starts expire before they could violate an unknown closure")
{
    two_data_centres with;
    with.submit({step_of(1)});
    with.turns(2, {});
    // The store is unavailable from here on; guards still report.
    const time_point heard = with.now;
    with.submit({step_of(6)});
    bool all_void = false;
    while (with.now - heard < bound)
    {
        for (auto& [guard, report] : with.reports)
        {
            report.sent_ms += 25;
            const guard_orders orders = with.say(guard).orders;
            const std::int64_t since = to_milliseconds(with.now - heard);
            const std::int64_t heard_by_guard = report.sent_ms - since;
            CHECK(orders.starts_until_ms > 0);
            CHECK(orders.starts_until_ms < heard_by_guard + 5000 - 1000);
        }
        const std::size_t before = with.started.size();
        with.turn();
        all_void = with.now - heard > seconds(4);
        CHECK((!all_void || with.started.size() == before));
    }
    CHECK(all_void);
}

TEST_CASE("a leader that does not know the closures yet places nothing")
{
    scheduler_harness with(closing_holder());
    with.say("g1");
    const job what = with.submit({step_of(1)});
    with.turn();
    with.say("g1");
    with.turn();
    CHECK(with.started.empty());
    with.core.set_closed({.known_at = with.now}, with.now);
    with.say("g1");
    with.turn();
    CHECK(with.runs(what.id + ".0.0.0"));
}

TEST_CASE("a guard starts nothing in a closed data centre")
{
    guard_by_hand with;
    with.order(true, {{.task = "j.0.0.0", .run = 1}});
    CHECK(with.due<start_run>().empty());
    const worker_report report = with.keeper.report(with.now);
    REQUIRE(report.refused.size() == 1);
    CHECK(report.refused.front().reason == "data_centre_closed");

    SUBCASE("once it is open again, the guard starts the next run")
    {
        with.order(false, {{.task = "j.0.0.0", .run = 2}});
        CHECK(with.due<start_run>().size() == 1);
    }
}

TEST_CASE("an unanswered start is stopped in a closed data centre")
{
    guard_by_hand with;
    with.order(false, {{.task = "j.0.0.0", .run = 1}});
    REQUIRE(with.due<start_run>().size() == 1);
    with.keeper.on_started({.order = {.task = "j.0.0.0", .run = 1},
                            .executor = with.keeper.worker().executor},
                           order_result::unanswered, with.now);
    with.order(true, {});
    with.now += milliseconds(200);
    CHECK(with.due<stop_run>().size() == 1);
    CHECK(with.due<start_run>().empty());
}

TEST_CASE("a run continues in a closed data centre")
{
    guard_by_hand with;
    with.order(false, {{.task = "j.0.0.0", .run = 1}});
    REQUIRE(with.due<start_run>().size() == 1);
    with.keeper.on_started({.order = {.task = "j.0.0.0", .run = 1},
                            .executor = with.keeper.worker().executor},
                           order_result::accepted, with.now);
    with.look({{.task = "j.0.0.0", .run = 1}});
    with.order(true, {});
    with.now += milliseconds(200);
    CHECK(with.due<stop_run>().empty());
    CHECK(with.keeper.report(with.now).refused.empty());
}
