// Ends of runs that were given up, listed by a worker whose lease may still be
// in force.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

// A worker with a long-running task, and a short one that its guard refused
// although it began there: its start was carried out late.
class late_run
{
public:
    late_run()
    {
        harness.report_from_guard("g1");
        job_step step = step_of(1);
        step.lasting = true;
        lasting = harness.submit({step}).id + ".0.0.0";
        refused = harness.submit({step_of(1)}).id + ".0.0.0";
        harness.advance();
        worker_report& report = harness.worker("g1");
        report.running.clear();
        report.refused = {{.task = refused, .run = 1, .reason = "unanswered"}};
        harness.report_from_guard("g1");
        report.refused.clear();
        harness.advance(milliseconds(500));
        REQUIRE(harness.started.at(refused).run == 2);
        report.running.clear();
        report.lease_ms = 10'000;
    }

    // The worker lists these ends, in this order.
    report_answer list_ends(const std::vector<ended_task>& ends)
    {
        harness.worker("g1").ended = ends;
        report_answer answer = harness.report_from_guard("g1");
        harness.advance(milliseconds(200));
        return answer;
    }

    [[nodiscard]] ended_task lapsed_end(std::int64_t number) const
    {
        return {.number = number,
                .task = lasting,
                .run = 1,
                .how = run_end::lapsed};
    }

    [[nodiscard]] ended_task given_up_end(std::int64_t number) const
    {
        return {
            .number = number, .task = refused, .run = 1, .how = run_end::done};
    }

    scheduler_harness harness;
    std::string lasting;
    std::string refused;
};

} // namespace

// Guards against long-running tasks that stayed away for 10 s and more: their
// ends were not applied while the leader awaited a lease that, as these ends
// show, had expired.
TEST_CASE("a lease is not awaited that its worker shows as expired")
{
    late_run run;
    const report_answer answer =
        run.list_ends({run.given_up_end(1), run.lapsed_end(2)});
    CHECK(answer.permit_ms > 0);
    CHECK(run.harness.started.at(run.lasting).run == 2);
}

// Guards against an end as done that counts beside the run that replaced it: a
// lease that expired before it says nothing.
TEST_CASE("a lease is awaited if it expired only before the end")
{
    late_run run;
    const report_answer answer =
        run.list_ends({run.lapsed_end(1), run.given_up_end(2)});
    CHECK(answer.permit_ms == 0);
    CHECK(answer.orders.acknowledged == 0);
}
