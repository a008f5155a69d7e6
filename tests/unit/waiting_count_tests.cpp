// Counts of waiting jobs: how old they may be, and which jobs have begun.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

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
    const waiting_count counted{.waiting = 3, .age_ms = 40};
    CHECK(json(counted).get<waiting_count>() == counted);
    CHECK(json::parse(R"({"waiting": 3})").get<waiting_count>().age_ms == 0);
}
