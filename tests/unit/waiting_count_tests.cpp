// Counts of waiting jobs: how old they may be, and which jobs have begun.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <limits>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

// A job that a leader placed on g1, whose guard does not report that it runs,
// and the leader after that one.
struct placed_before
{
    scheduler_harness harness;
    job definition;

    placed_before()
    {
        harness.report_from_guard("g1");
        definition = harness.submit({step_of(1), step_of(1)});
        harness.advance();
        REQUIRE(harness.has_started(definition.id + ".0.0.0"));
        harness.take_over();
    }
};

} // namespace

// Guards against an entry that answers with the leader's last count, however
// old it is.
TEST_CASE("a count older than two seconds is not answered")
{
    waiting_counts counts;
    const time_point asked{seconds(100)};
    CHECK_FALSE(counts.recent("q", asked).has_value());
    counts.record("q", 21, asked);
    CHECK(counts.recent("q", asked + seconds(2)) == 21);
    CHECK_FALSE(counts.recent("q", asked + milliseconds(2001)).has_value());
    CHECK_FALSE(counts.recent("other", asked).has_value());
    counts.record("q", 0, asked - seconds(1)); // a late, older answer
    CHECK(counts.recent("q", asked) == 21);
}

// Guards against an exception on the control thread, or a count of 0, by an
// answer without a number.
TEST_CASE("a peer's answer without a number is no count")
{
    for (const char* answer :
         {"{}", "[]", "null", R"({"waiting": "3"})", R"({"waiting": null})"})
    {
        CAPTURE(answer);
        CHECK_THROWS_AS(json::parse(answer).get<waiting_count>(),
                        json::exception);
    }
    const json too_old{{"waiting", 3},
                       {"age_ms", std::numeric_limits<std::int64_t>::max()}};
    CHECK(too_old.get<waiting_count>().age_ms == 60'000);
    const waiting_count counted{.waiting = 3, .age_ms = 40};
    CHECK(json(counted).get<waiting_count>() == counted);
    CHECK(json::parse(R"({"waiting": 3})").get<waiting_count>().age_ms == 0);
}

// Guards against a new leader that counts each job ever placed as begun.
TEST_CASE("a job placed by a previous leader waits until it has begun")
{
    placed_before fleet;
    scheduler_harness& harness = fleet.harness;
    CHECK(harness.core.waiting("q") == 1);
    CHECK(harness.core.awaits_first_reports("q", harness.now));
    CHECK_FALSE(harness.core.awaits_first_reports("slow", harness.now));
    CHECK_FALSE(
        harness.core.awaits_first_reports("q", harness.now + seconds(2)));
    harness.report_from_guard("g1"); // lists the run
    CHECK(harness.core.waiting("q") == 0);
    CHECK_FALSE(harness.core.awaits_first_reports("q", harness.now));
    CHECK(harness.shown(fleet.definition.id) == job_state::running);
}

// Guards against a job that counts as waiting while its next tasks wait: its
// first one ended before any report of this term.
TEST_CASE("a job of which a task has ended has begun")
{
    placed_before fleet;
    scheduler_harness& harness = fleet.harness;
    harness.worker("g1").running.clear();
    harness.end(fleet.definition.id + ".0.0.0", run_end::done);
    harness.report_from_guard("g1");
    CHECK(harness.core.waiting("q") == 0);
    harness.advance(milliseconds(100)); // the end is written
    harness.take_over();
    CHECK(harness.core.waiting("q") == 0);
}
