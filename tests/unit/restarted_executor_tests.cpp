// Tests of executors that restart under the same id.
//
// Failure: runs began after a successful end was acknowledged, and tasks waited
// forever although workers were free. The ends of the next incarnation had
// numbers that were already recorded for the past one.

#include "restarting_executor.hpp"
#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

// Three ends are recorded and acknowledged; then the executor restarts.
void finish_job_and_restart(one_worker_fleet& fleet)
{
    const std::string before = fleet.submit(3);
    fleet.advance(seconds(5));
    REQUIRE(fleet.shown(before) == job_state::succeeded);
    fleet.executor.restart(fleet.now);
}

} // namespace

// Failure: the next incarnation numbers its ends from 1, so its first ends were
// ignored as already recorded. Their runs were ordered again and again and
// refused as stale each time.
TEST_CASE("the ends of an executor's next incarnation are recorded")
{
    one_worker_fleet fleet;
    finish_job_and_restart(fleet);
    const std::string after = fleet.submit(2);
    fleet.advance(seconds(10));
    CHECK(fleet.shown(after) == job_state::succeeded);
}

// Failure: once the next incarnation's end numbers exceeded the past one's, its
// guard acknowledged all its ends. Those that no leader had received were
// dropped, and their tasks ran again.
TEST_CASE("no end of an executor's next incarnation is acknowledged unread")
{
    one_worker_fleet fleet;
    finish_job_and_restart(fleet);
    const std::string first = fleet.submit(2);
    fleet.advance(seconds(2));
    const std::string second = fleet.submit(4);
    fleet.advance(seconds(10));
    CHECK(fleet.shown(first) == job_state::succeeded);
    CHECK(fleet.shown(second) == job_state::succeeded);
    CHECK(fleet.executor.began_after_done == std::vector<std::string>{});
}

// ---------------------------------------------------------------------------
// Runs of the past incarnation
// ---------------------------------------------------------------------------

namespace
{

// A leader that has placed one run on g1, whose executor then restarts.
class restarted_worker
{
public:
    restarted_worker()
    {
        harness.worker("g1").worker.executor = {"i-1", 1};
        harness.report_from_guard("g1");
        harness.submit({step_of(1)});
        harness.advance();
        harness.advance();
        REQUIRE(harness.has_started(task));
        harness.worker("g2");
        harness.report_from_guard("g2");
        row = harness.worker("g1").running.at(0);
        harness.worker("g1").worker.executor = {"i-1", 2};
        harness.worker("g1").running.clear();
        harness.started.clear();
    }

    void deliver_report()
    {
        harness.report_from_guard("g1");
        harness.advance();
        harness.advance();
    }

    const std::string task = "job1.0.0.0";
    scheduler_harness harness;
    running_task row;
};

} // namespace

TEST_CASE("a run that the next incarnation lists is the recorded run")
{
    restarted_worker fixture;
    SUBCASE("running")
    {
        fixture.harness.worker("g1").running = {fixture.row};
        fixture.deliver_report();
        CHECK_FALSE(fixture.harness.has_started(fixture.task));
        fixture.harness.started[fixture.task] = {.task = fixture.task,
                                                 .run = 1};
        fixture.harness.end(fixture.task, run_end::done);
    }
    SUBCASE("ended")
    {
        fixture.harness.worker("g1").ended = {{.number = 1,
                                               .task = fixture.task,
                                               .run = 1,
                                               .how = run_end::done}};
    }
    fixture.deliver_report();
    CHECK(fixture.harness.shown("job1") == job_state::succeeded);
    CHECK(fixture.harness.stopped.empty());
}

TEST_CASE("a run whose start may reach the next incarnation is stopped first")
{
    restarted_worker fixture;
    worker_report& report = fixture.harness.worker("g1");
    SUBCASE("its guard reports that a start may be in flight")
    {
        report.starting = {fixture.task};
    }
    SUBCASE("a previous guard process sent it")
    {
        report.incarnation = "another";
    }
    fixture.deliver_report();
    CHECK(fixture.harness.stops[fixture.task] == 1);
    CHECK_FALSE(fixture.harness.has_started(fixture.task));
    report.starting.clear();
    report.refused = {{.task = fixture.task, .run = 1, .reason = "stopped"}};
    fixture.deliver_report();
    fixture.harness.advance(seconds(1));
    fixture.harness.report_from_guard("g2");
    fixture.harness.advance();
    REQUIRE(fixture.harness.has_started(fixture.task));
    CHECK(fixture.harness.started.at(fixture.task).run == 2);
}

TEST_CASE("a run lost with its executor is placed again at once")
{
    restarted_worker fixture;
    fixture.deliver_report();
    REQUIRE(fixture.harness.has_started(fixture.task));
    CHECK(fixture.harness.started.at(fixture.task).run == 2);
    CHECK(fixture.harness.stopped.empty());
}

TEST_CASE("a new leader also stops a run of the past incarnation first")
{
    restarted_worker fixture;
    fixture.harness.take_over();
    fixture.deliver_report();
    CHECK(fixture.harness.stops[fixture.task] == 1);
    CHECK_FALSE(fixture.harness.has_started(fixture.task));
}

// Records and guards of an older version do not contain start times.
TEST_CASE("an incarnation without a start time may be the current one")
{
    restarted_worker fixture;
    fixture.harness.worker("g1").worker.executor = executor_incarnation("i-1");
    fixture.harness.worker("g1").running = {fixture.row};
    fixture.deliver_report();
    fixture.harness.worker("g1").worker.executor = {"i-1", 2};
    fixture.deliver_report();
    CHECK_FALSE(fixture.harness.has_started(fixture.task));
    CHECK(fixture.harness.stopped.empty());
}

TEST_CASE("a guard stops in the next incarnation what may have started there")
{
    time_point now{std::chrono::hours(1)};
    run_reconciler reconciler({}, "guard process");
    const worker_description description{.executor = {"i-1", 1},
                                         .service = "s"};
    const auto poll = [&](std::int64_t born)
    {
        reconciler.on_polled(
            reconciler.worker().executor, order_result::accepted,
            executor_snapshot{.clock_ms = 5, .born_ms = born}, now, now);
    };
    reconciler.on_worker(description, 5, now);
    const guard_orders orders{
        .epoch = 7,
        .executor = description.executor,
        .incarnation = "guard process",
        .starts = {{.task = "j.0.0.0",
                    .run = 1,
                    .told_incarnation = "guard process"}}};
    report_answer answer{.holds = true, .permit_ms = 4000, .orders = orders};
    reconciler.on_answer(answer, reconciler.report(now), now, now);
    poll(1);
    REQUIRE(reconciler.due(now).size() == 2); // the start and a poll
    reconciler.on_started(
        {.order = orders.starts.at(0), .executor = description.executor},
        order_result::unanswered, now);
    poll(2);
    CHECK(reconciler.worker().executor == executor_incarnation("i-1", 2));
    CHECK(reconciler.worker().service.empty());
    CHECK_FALSE(reconciler.report(now).looked);
    now += milliseconds(20);
    std::vector<stop_run> stops;
    for (const executor_action& one : reconciler.due(now))
    {
        if (const auto* const stop = std::get_if<stop_run>(&one))
        {
            stops.push_back(*stop);
        }
    }
    REQUIRE(stops.size() == 1);
    CHECK(stops.at(0).executor == executor_incarnation("i-1", 2));
    poll(2);
    CHECK(reconciler.report(now).starting ==
          std::vector<std::string>{"j.0.0.0"});
    reconciler.on_stopped(stops.at(0), order_result::accepted, now);
    now += seconds(1);
    poll(2);
    REQUIRE(reconciler.report(now).refused.size() == 1);
    CHECK(reconciler.report(now).refused.at(0).reason == "executor_restarted");
    // Its own heartbeat reports what it can run.
    reconciler.on_worker({.executor = {"i-1", 2}, .service = "s"}, 5, now);
    CHECK(reconciler.worker().service == "s");
}

// ---------------------------------------------------------------------------
// Leases across incarnations. A lease is a time on the clock of one
// incarnation. Failure: the next incarnation accepted a lease meant for the
// past one and kept it for the maximum time, longer than the guard and its
// leader assumed. If the guard then became unresponsive, its tasks were started
// elsewhere while they still ran.
// ---------------------------------------------------------------------------

namespace
{

// A guard that has polled the first incarnation of its executor.
struct leased_worker
{
    leased_worker()
    {
        heartbeat(1);
        reconciler.on_answer(
            {.holds = true, .permit_ms = 4000, .orders = {.epoch = 7}},
            reconciler.report(now), now, now);
        answer(due_poll(), 1);
    }

    void heartbeat(std::int64_t born)
    {
        reconciler.on_worker({.executor = {"i-1", born}, .service = "s"},
                             clock_ms, now);
    }

    poll_executor due_poll()
    {
        now += milliseconds(20);
        for (const executor_action& one : reconciler.due(now))
        {
            if (const auto* const poll = std::get_if<poll_executor>(&one))
            {
                return *poll;
            }
        }
        FAIL("no poll is due");
        return {};
    }

    void answer(const poll_executor& poll, std::int64_t born)
    {
        reconciler.on_polled(
            poll.executor, order_result::accepted,
            executor_snapshot{.clock_ms = clock_ms, .born_ms = born}, now, now);
    }

    void fail_poll(const poll_executor& poll)
    {
        reconciler.on_polled(poll.executor, order_result::unanswered,
                             std::nullopt, now, now);
    }

    static constexpr std::int64_t clock_ms = 5;
    time_point now{std::chrono::hours(1)};
    const run_reconciler_options options;
    run_reconciler reconciler{options, "guard process"};
};

} // namespace

TEST_CASE("a call for a past incarnation is below the next one's fence")
{
    leased_worker guard;
    const poll_executor held_back = guard.due_poll();
    REQUIRE(held_back.deadline_ms.has_value());
    guard.answer(held_back, 2); // the next incarnation answers
    const poll_executor first = guard.due_poll();
    REQUIRE(first.executor == executor_incarnation("i-1", 2));
    CHECK(first.fence > held_back.fence);
    // Until the executor has received that fence, it may accept any earlier
    // call, so the guard reports a lease longer than max_lease.
    guard.now += seconds(3);
    guard.answer(first, 2);
    CHECK(guard.reconciler.report(guard.now).lease_ms >
          to_milliseconds(guard.options.max_lease));
    // Later guard processes have higher fences, and so have later leaders.
    const auto fence_of = [&](guard_admission admission)
    {
        run_reconciler next(guard.options, "another");
        next.on_worker({.executor = {"i-1", 2}, .service = "s"}, 5, guard.now);
        next.on_answer({.holds = true,
                        .orders = {.epoch = admission.epoch},
                        .admission = admission},
                       next.report(guard.now), guard.now, guard.now);
        return next.fence();
    };
    CHECK(fence_of({.epoch = 7, .number = 1}) > first.fence);
    CHECK(fence_of({.epoch = 8, .number = 1}) >
          fence_of({.epoch = 7, .number = 900}));
}

// The lease would be a time on the past incarnation's clock, far ahead on the
// new one.
TEST_CASE("an incarnation gets no lease before its clock is known")
{
    leased_worker guard;
    guard.answer(guard.due_poll(), 2);
    const poll_executor first = guard.due_poll();
    CHECK_FALSE(first.deadline_ms.has_value());
    guard.answer(first, 2);
    const poll_executor second = guard.due_poll();
    REQUIRE(second.deadline_ms.has_value());
    CHECK(*second.deadline_ms <=
          guard.clock_ms + 20 + to_milliseconds(guard.options.lease));
}

// Polls are accepted but not answered: the next incarnation may have received
// all starts and leases meant for the past one.
TEST_CASE("a worker that may have restarted gets no lease until it answers")
{
    leased_worker guard;
    const poll_executor unanswered = guard.due_poll();
    guard.heartbeat(2);
    guard.fail_poll(unanswered);
    guard.now += guard.options.poll_retry;
    CHECK_FALSE(guard.due_poll().deadline_ms.has_value());
    for (int beats = 0; beats < 10; ++beats)
    {
        guard.now += seconds(1);
        guard.heartbeat(2);
    }
    const worker_report report = guard.reconciler.report(guard.now);
    CHECK_FALSE(report.lapsed);
    CHECK(report.lease_ms > to_milliseconds(guard.options.max_lease));
}

TEST_CASE("a guard accepts the orders of a leader that knows no start times")
{
    const time_point now{std::chrono::hours(1)};
    run_reconciler reconciler({}, "guard process");
    reconciler.on_worker({.executor = {"i-1", 1}, .service = "s"}, 5, now);
    guard_orders orders{.epoch = 7,
                        .executor = executor_incarnation("i-1"),
                        .incarnation = "guard process",
                        .starts = {{.task = "j.0.0.0", .run = 1}}};
    CHECK(reconciler.on_orders(orders, now));
    CHECK(reconciler.report(now).starting.size() == 1);
    orders.executor = {"i-1", 2};
    CHECK_FALSE(reconciler.on_orders(orders, now));
    orders.executor = executor_incarnation("i-2");
    CHECK_FALSE(reconciler.on_orders(orders, now));
}

// The executor has forgotten the end, the leader has recorded it, and a
// duplicate of the order arrives late.
TEST_CASE("a duplicate order for an ended run starts nothing")
{
    time_point now{std::chrono::hours(1)};
    run_reconciler reconciler({}, "guard process");
    const worker_description description{.executor = {"i-1", 1},
                                         .service = "s"};
    reconciler.on_worker(description, 5, now);
    guard_orders orders{.epoch = 7,
                        .executor = description.executor,
                        .incarnation = "guard process",
                        .starts = {{.task = "j.0.0.0",
                                    .run = 1,
                                    .told_incarnation = "guard process"}}};
    report_answer answer{.holds = true, .permit_ms = 4000, .orders = orders};
    reconciler.on_answer(answer, reconciler.report(now), now, now);
    const auto poll = [&](std::vector<ended_task> ended)
    {
        reconciler.on_polled(description.executor, order_result::accepted,
                             executor_snapshot{.clock_ms = 5,
                                               .born_ms = 1,
                                               .ended = std::move(ended)},
                             now, now);
    };
    const auto starts_due = [&]
    {
        return std::ranges::count_if(
            reconciler.due(now), [](const executor_action& one)
            { return std::holds_alternative<start_run>(one); });
    };
    poll({{.number = 1, .task = "j.0.0.0", .run = 1, .how = run_end::done}});
    reconciler.on_orders(orders, now);
    CHECK(starts_due() == 0);
    now += seconds(2);
    poll({});
    reconciler.on_orders(orders, now);
    CHECK(starts_due() == 0);
}

// Guards against a task that runs again after its successful end was recorded.
// Its executor restarts and accepts the start meant for the past incarnation,
// with a lease on the past one's clock; its guard is disconnected before it can
// report. The leader counts the run as lost when the lease that it knows of
// expires, and starts the task elsewhere. The reconnected guard lists the run's
// end while the longer lease is still in force.
TEST_CASE(
    "the end of a run counted as lost is accepted once its lease has expired")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const std::string task = harness.submit({step_of(1)}).id + ".0.0.0";
    harness.advance();
    REQUIRE(harness.guard_of.at(task) == "g1");
    harness.report_from_guard("g2");
    for (int turn = 0; turn < 60; ++turn)
    {
        harness.advance(milliseconds(100));
        harness.report_from_guard("g2");
    }
    REQUIRE(harness.guard_of.at(task) == "g2");
    worker_report& back = harness.worker("g1");
    back.worker.executor = executor_incarnation("g1-1", 5);
    back.running.clear();
    back.ended = {{.number = 1, .task = task, .run = 1, .how = run_end::done}};
    back.lease_ms = 1500;
    const std::string next = harness.submit({step_of(4)}).id;
    for (int turn = 0; turn < 3; ++turn)
    {
        const report_answer answer = harness.report_from_guard("g1");
        harness.advance();
        CHECK(answer.permit_ms == 0);
        CHECK(answer.orders.acknowledged == 0);
    }
    for (int index = 0; index < 4; ++index)
    {
        const std::string other = next + ".0.0." + std::to_string(index);
        CHECK((!harness.has_started(other) ||
               harness.guard_of.at(other) == "g2"));
    }
    back.lease_ms = 0;
    harness.report_from_guard("g1");
    harness.advance();
    const report_answer final_answer = harness.report_from_guard("g1");
    CHECK(final_answer.permit_ms > 0);
    CHECK(final_answer.orders.acknowledged == 1);
    // Later reports may still list the end, with a new lease.
    back.lease_ms = 4000;
    CHECK(harness.report_from_guard("g1").permit_ms > 0);
}
