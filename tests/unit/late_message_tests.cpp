// Stale reports and heartbeats of a past incarnation that arrive after those of
// the next one.
//
// A network partition can delay a message beyond the lifetime of its sender. It
// arrives when the partition heals, after another incarnation has registered at
// the same address. If such a report were accepted, its leader would take
// running tasks for lost and start them twice.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <springstair/guard.hpp>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// Restarts the guard and its executor; returns the last report before that.
worker_report restart(scheduler_harness& at, const std::string& guard)
{
    worker_report& report = at.worker(guard);
    worker_report before = report;
    report = {.guard = guard,
              .address = before.address,
              .incarnation = before.incarnation + "i",
              .worker = before.worker,
              .looked = true,
              .answering = true};
    report.worker.executor.id += "i";
    return before;
}

} // namespace

TEST_CASE("a stale report of a past incarnation changes no state")
{
    scheduler_harness at;
    at.say("g1");
    worker_report late = restart(at, "g1");
    at.say("g1");
    const job what = at.submit({step_of(1)});
    at.turn();
    REQUIRE(at.runs(what.id + ".0.0.0"));
    at.say("g1");
    const worker_record before = at.core.workers().at("g1");
    late.sequence += 5;
    late.worker.draining = true;
    const report_answer answer = at.core.report(late, at.now, at.verified);
    CHECK(answer.permit_ms == 0);
    CHECK(answer.orders.empty());
    const worker_record& after = at.core.workers().at("g1");
    CHECK(after.description == before.description);
    CHECK(after.assigned_tasks == before.assigned_tasks);
    CHECK(after.used == before.used);
    CHECK(after.lease_ends == before.lease_ends);
    CHECK(after.reported == before.reported);
    CHECK(at.core.figures().lost == 0);
}

TEST_CASE("a new leader rejects a stale report of a past incarnation")
{
    scheduler_harness at;
    at.say("g1");
    worker_report late = restart(at, "g1");
    at.core.begin_term(8, at.now);
    at.core.set_table(scheduler_harness::table());
    at.core.begin(at.now);
    SUBCASE("that arrives after the next incarnation's") {}
    SUBCASE("that arrives first")
    {
        at.core.report(late, at.now, at.verified);
    }
    at.say("g1");
    late.sequence += 5;
    at.core.report(late, at.now, at.verified);
    CHECK(at.core.workers().at("g1").description.executor == "g1-1i");
    // The leader still accepts the live guard's reports.
    at.submit({step_of(1)});
    at.turn();
    CHECK(at.started.size() == 1);
}

TEST_CASE("a stale heartbeat does not replace a live executor")
{
    run_reconciler keeper;
    time_point now{std::chrono::hours(1)};
    const worker_description live{.executor = "w2", .service = "s"};
    const worker_description former{.executor = "w1", .service = "s"};
    keeper.on_worker(live, 5, now);
    keeper.on_answer({.holds = true, .permit_ms = 4000, .orders = {.epoch = 5}},
                     keeper.report(now), now, now);
    static_cast<void>(keeper.due(now));
    keeper.on_polled("w2", order_result::accepted, executor_snapshot{}, now,
                     now);
    keeper.on_worker(former, 9000, now);
    CHECK(keeper.worker().executor == "w2");
    CHECK(keeper.report(now).looked);
    // The guard polls that address to learn which incarnation is there.
    const auto actions = keeper.due(now + milliseconds(1));
    const auto asks =
        std::count_if(actions.begin(), actions.end(),
                      [](const executor_action& one)
                      {
                          const auto* const look =
                              std::get_if<poll_executor>(&one);
                          return look != nullptr && look->executor == "w1" &&
                                 !look->deadline_ms && look->acknowledged == 0;
                      });
    CHECK(asks == 1);
    SUBCASE("another incarnation answers")
    {
        keeper.on_polled("w1", order_result::other_life, {}, now, now);
        CHECK(keeper.worker().executor == "w2");
    }
    SUBCASE("nobody answers")
    {
        keeper.on_polled("w1", order_result::unanswered, {}, now, now);
        CHECK(keeper.worker().executor == "w2");
    }
    SUBCASE("it is alive")
    {
        keeper.on_polled("w1", order_result::accepted, executor_snapshot{}, now,
                         now);
        CHECK(keeper.worker().executor == "w1");
        CHECK(keeper.report(now).looked);
        // The incarnation before it has certainly ended.
        keeper.on_worker(live, 7, now);
        for (const executor_action& one : keeper.due(now + milliseconds(1)))
        {
            const auto* const look = std::get_if<poll_executor>(&one);
            CHECK((look == nullptr || look->executor == "w1"));
        }
    }
}

TEST_CASE("an incarnation that never answered is dropped for another one")
{
    run_reconciler keeper;
    time_point now{std::chrono::hours(1)};
    keeper.on_worker({.executor = "w1", .service = "s"}, 9000, now);
    keeper.on_answer({.holds = true, .permit_ms = 4000, .orders = {.epoch = 5}},
                     keeper.report(now), now, now);
    static_cast<void>(keeper.due(now));
    keeper.on_polled("w1", order_result::other_life, {}, now, now);
    CHECK(keeper.worker().executor.empty());
    keeper.on_worker({.executor = "w2", .service = "s"}, 5, now);
    CHECK(keeper.worker().executor == "w2");
}
