// A worker that does not guard its room got more runs than fit. A guard gives a
// run back, and another is placed in its room; the placement is written at
// once, the closed run some time later. A holder that takes over in between
// reads both, counts on both, and repeats both starts.

#include "holder_by_hand.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

constexpr std::int64_t half_a_worker = 2000;

bool writes(const commit_batch& batch, const std::string& job)
{
    return std::ranges::find(batch, job, &progress_write::job) != batch.end();
}

} // namespace

TEST_CASE("a placement is not written before the end whose room it uses")
{
    holder at;
    at.say("g1");
    const std::string first = at.submit({step_of(2, half_a_worker)}).id;
    at.turn();
    at.turn();
    REQUIRE(at.runs(first + ".0.0.0"));
    worker_report& report = at.worker("g1");
    std::erase_if(report.running, [&](const running_task& row)
                  { return row.task == first + ".0.0.0"; });
    SUBCASE("it was given back")
    {
        report.refused = {
            {.task = first + ".0.0.0", .run = 1, .reason = "no_room"}};
    }
    SUBCASE("it has ended")
    {
        report.ended = {{.number = 1,
                         .task = first + ".0.0.0",
                         .run = 1,
                         .how = run_end::done}};
    }
    at.say("g1");
    const std::string second = at.submit({step_of(1, half_a_worker)}).id;
    at.now += milliseconds(25);
    at.verified = at.now;
    at.core.tick(at.now, at.day_ms);
    const auto batch = at.core.next_commit(at.now);
    REQUIRE(batch.has_value());
    REQUIRE(writes(*batch, second));
    CHECK(writes(*batch, first));
}
