// Executors that start again under the id that they had. Users saw runs that
// began after an end as done was acknowledged, and tasks that waited to the end
// beside free workers: ends of the new life had numbers that were noted in the
// former one.

#include "restarting_executor.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

// The new life counts its ends from 1. Its first ends were passed over as known
// ones: their runs were ordered again and again, each time refused as stale.
TEST_CASE("the ends of an executor's next life are heard")
{
    one_worker_fleet fleet;
    const std::string before = fleet.submit(3);
    fleet.pass(seconds(5));
    REQUIRE(fleet.shown(before) == job_state::succeeded);
    fleet.executor.start_again(fleet.now);
    const std::string after = fleet.submit(2);
    fleet.pass(seconds(10));
    CHECK(fleet.shown(after) == job_state::succeeded);
}

// Once the count of the new life had passed the old one, its guard acknowledged
// all of them: those that nobody had read were gone, and their tasks ran again.
TEST_CASE("no end of an executor's next life is acknowledged unread")
{
    one_worker_fleet fleet;
    const std::string before = fleet.submit(3);
    fleet.pass(seconds(5));
    REQUIRE(fleet.shown(before) == job_state::succeeded);
    fleet.executor.start_again(fleet.now);
    const std::string first = fleet.submit(2);
    fleet.pass(seconds(2));
    const std::string second = fleet.submit(4);
    fleet.pass(seconds(10));
    CHECK(fleet.shown(first) == job_state::succeeded);
    CHECK(fleet.shown(second) == job_state::succeeded);
    CHECK(fleet.executor.began_after_done == std::vector<std::string>{});
}
