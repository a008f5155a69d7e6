// VMs that are suspended: the steady clock of the executor stands still, the
// guard's boot clock goes on.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <springstair/guard.hpp>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

constexpr duration suspension = milliseconds(3500);
constexpr std::int64_t grant_ms = 4000;

// A guard and its executor, with a run; the executor's lease has 3 s left.
class suspended_guard
{
public:
    suspended_guard()
    {
        reconciler.on_worker(
            {.executor = "w1", .service = "s", .capacity = worker_capacity},
            clock(), now);
        renew();
        static_cast<void>(reconciler.due(now));
        answer_poll();
        now += seconds(7); // the lease assumed at the first poll has expired
        answer_poll();
        renew();
        lease = requested_lease();
        REQUIRE(lease.has_value());
    }

    // The leader grants leases.
    void renew()
    {
        report_answer answer{.holds = true, .permit_ms = grant_ms};
        answer.orders.epoch = 5;
        answer.orders.executor = "w1";
        reconciler.on_answer(answer, reconciler.report(now), now, now);
    }

    void answer_poll()
    {
        reconciler.on_polled("w1", order_result::accepted,
                             executor_snapshot{.clock_ms = clock()}, now, now);
    }

    // End of the lease that the next poll requests, on the executor's clock.
    std::optional<std::int64_t> requested_lease()
    {
        for (const executor_action& one : reconciler.due(now))
        {
            if (const auto* poll = std::get_if<poll_executor>(&one))
            {
                return poll->deadline_ms;
            }
        }
        return std::nullopt;
    }

    void suspend(duration length)
    {
        now += length;
        suspended += length;
        reconciler.on_pause(length);
    }

    [[nodiscard]] std::int64_t clock() const
    {
        return to_milliseconds(now - started_at - suspended);
    }

    [[nodiscard]] worker_report report() const
    {
        return reconciler.report(now);
    }

    time_point now{std::chrono::hours(1)};
    time_point started_at = now;
    duration suspended{0};
    run_reconciler reconciler{{}, "i", now};
    std::optional<std::int64_t> lease;
};

} // namespace

// Guards against two runs of one task at once: a guard reported its executor's
// lease as expired after a suspension, and the leader took that as proof.
TEST_CASE("a suspension is not taken for the end of a lease")
{
    suspended_guard guard;
    guard.suspend(suspension);
    CHECK_FALSE(guard.report().lapsed);
    CHECK(guard.report().lease_ms >= *guard.lease - guard.clock());
}

TEST_CASE("a lease expires after a suspension if the executor stays silent")
{
    suspended_guard guard;
    guard.suspend(suspension);
    guard.now += seconds(4);
    CHECK(guard.report().lapsed);
}

// Guards against a lease that outlasts what guard and leader believe: its
// deadline was set by a clock that had gone on during the suspension.
TEST_CASE("a lease requested after a suspension is no longer than granted")
{
    suspended_guard guard;
    guard.suspend(milliseconds(1000));
    guard.renew();
    guard.answer_poll();
    guard.suspend(milliseconds(1000));
    const auto lease = guard.requested_lease();
    REQUIRE(lease.has_value());
    CHECK(*lease - guard.clock() <= grant_ms);
    CHECK(guard.report().lease_ms >= *lease - guard.clock());
}

// Guards against runs that a new leader gives up while they go on: it took a
// guard process without a lease that had outlived a grant as proof that none is
// in force, but the process had outlived it while its VM was suspended.
TEST_CASE("the uptime of a guard does not count a suspension")
{
    suspended_guard guard;
    const std::int64_t before = guard.report().uptime_ms;
    guard.suspend(suspension);
    CHECK(guard.report().uptime_ms == before);
    CHECK(guard.report().paused_ms == to_milliseconds(suspension));
}

namespace
{

// A run at g1, whose guard restarts; the VM is suspended before the new process
// has heard of its executor.
class restarted_and_suspended
{
public:
    restarted_and_suspended()
    {
        harness.report_from_guard("g1");
        job_step step = step_of(1);
        step.lasting = true;
        task = harness.submit({step}).id + ".0.0.0";
        harness.advance();
        harness.report_from_guard("g1");
        harness.report_from_guard("g2");
        worker_report& report = harness.worker("g1");
        report.incarnation = "next";
        report.worker.executor = {};
        report.looked = false;
        report.answering = false;
        report.running.clear();
        harness.advance(milliseconds(300));
        harness.report_from_guard("g1");
    }

    // The VM wakes; reports follow until the executor's next heartbeat.
    void suspend(duration length)
    {
        harness.now += length;
        harness.worker("g1").paused_ms = to_milliseconds(length);
        report_for(milliseconds(1000));
    }

    void report_for(duration length)
    {
        const time_point until = harness.now + length;
        while (harness.now < until)
        {
            harness.report_from_guard("g1");
            harness.report_from_guard("g2");
            harness.advance(milliseconds(100));
        }
    }

    scheduler_harness harness;
    std::string task;
};

} // namespace

// Guards against two runs of one task at once: the leader gave up the runs of a
// restarted guard although its VM, and the lease there, had been suspended.
TEST_CASE("a lease lasts longer by a suspension that a new guard reports")
{
    restarted_and_suspended fixture;
    fixture.suspend(suspension);
    CHECK(fixture.harness.guard_of.at(fixture.task) == "g1");
    fixture.report_for(seconds(5));
    CHECK(fixture.harness.guard_of.at(fixture.task) == "g2");
}

TEST_CASE("a pause is a long interval between two readings of the clock")
{
    time_point now{std::chrono::hours(1)};
    pause_detector pauses(now);
    now += pause_detector::max_interval;
    CHECK(pauses.observe(now) == duration{0});
    now += suspension;
    CHECK(pauses.observe(now) == suspension);
    CHECK(pauses.observe(now) == duration{0});
}
