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
worker_report restart(scheduler_harness& harness, const std::string& guard)
{
    worker_report& report = harness.worker(guard);
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
    scheduler_harness harness;
    harness.report_from_guard("g1");
    worker_report stale = restart(harness, "g1");
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    harness.advance();
    REQUIRE(harness.has_started(definition.id + ".0.0.0"));
    harness.report_from_guard("g1");
    const worker_record before = harness.core.workers().at("g1");
    stale.sequence += 5;
    stale.worker.draining = true;
    const report_answer answer =
        harness.core.report(stale, harness.now, harness.verified);
    CHECK(answer.permit_ms == 0);
    CHECK(answer.orders.empty());
    const worker_record& after = harness.core.workers().at("g1");
    CHECK(after.description == before.description);
    CHECK(after.assigned_tasks == before.assigned_tasks);
    CHECK(after.used == before.used);
    CHECK(after.lease_ends == before.lease_ends);
    CHECK(after.reported == before.reported);
    CHECK(harness.core.figures().lost == 0);
}

TEST_CASE("a new leader rejects a stale report of a past incarnation")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    worker_report stale = restart(harness, "g1");
    harness.core.begin_term(8, harness.now);
    harness.core.set_table(scheduler_harness::table());
    harness.core.begin(harness.now);
    SUBCASE("that arrives after the next incarnation's") {}
    SUBCASE("that arrives first")
    {
        harness.core.report(stale, harness.now, harness.verified);
    }
    harness.report_from_guard("g1");
    stale.sequence += 5;
    harness.core.report(stale, harness.now, harness.verified);
    CHECK(harness.core.workers().at("g1").description.executor == "g1-1i");
    // The leader still accepts the live guard's reports.
    harness.submit({step_of(1)});
    harness.advance();
    CHECK(harness.started.size() == 1);
}

TEST_CASE("a stale heartbeat does not replace a live executor")
{
    run_reconciler reconciler;
    time_point now{std::chrono::hours(1)};
    const worker_description live{.executor = "w2", .service = "s"};
    const worker_description other{.executor = "w1", .service = "s"};
    reconciler.on_worker(live, 5, now);
    reconciler.on_answer(
        {.holds = true, .permit_ms = 4000, .orders = {.epoch = 5}},
        reconciler.report(now), now, now);
    static_cast<void>(reconciler.due(now));
    reconciler.on_polled("w2", order_result::accepted, executor_snapshot{}, now,
                         now);
    reconciler.on_worker(other, 9000, now);
    CHECK(reconciler.worker().executor == "w2");
    CHECK(reconciler.report(now).looked);
    // The guard polls that address to learn which incarnation is there.
    const auto actions = reconciler.due(now + milliseconds(1));
    const auto polls =
        std::count_if(actions.begin(), actions.end(),
                      [](const executor_action& one)
                      {
                          const auto* const poll =
                              std::get_if<poll_executor>(&one);
                          return poll != nullptr && poll->executor == "w1" &&
                                 !poll->deadline_ms && poll->acknowledged == 0;
                      });
    CHECK(polls == 1);
    SUBCASE("another incarnation answers")
    {
        reconciler.on_polled("w1", order_result::other_life, {}, now, now);
        CHECK(reconciler.worker().executor == "w2");
    }
    SUBCASE("nobody answers")
    {
        reconciler.on_polled("w1", order_result::unanswered, {}, now, now);
        CHECK(reconciler.worker().executor == "w2");
    }
    SUBCASE("it answers")
    {
        reconciler.on_polled("w1", order_result::accepted, executor_snapshot{},
                             now, now);
        CHECK(reconciler.worker().executor == "w1");
        CHECK(reconciler.report(now).looked);
        // So w2 has certainly ended.
        reconciler.on_worker(live, 7, now);
        for (const executor_action& one : reconciler.due(now + milliseconds(1)))
        {
            const auto* const poll = std::get_if<poll_executor>(&one);
            CHECK((poll == nullptr || poll->executor == "w1"));
        }
    }
}

TEST_CASE("an incarnation that never answered is dropped for another one")
{
    run_reconciler reconciler;
    time_point now{std::chrono::hours(1)};
    reconciler.on_worker({.executor = "w1", .service = "s"}, 9000, now);
    reconciler.on_answer(
        {.holds = true, .permit_ms = 4000, .orders = {.epoch = 5}},
        reconciler.report(now), now, now);
    static_cast<void>(reconciler.due(now));
    reconciler.on_polled("w1", order_result::other_life, {}, now, now);
    CHECK(reconciler.worker().executor.empty());
    reconciler.on_worker({.executor = "w2", .service = "s"}, 5, now);
    CHECK(reconciler.worker().executor == "w2");
}
