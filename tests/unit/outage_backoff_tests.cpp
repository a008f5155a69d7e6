// Retry times of callers while the store does not serve an entry.
//
// Guards against jobs lost in store outages: with a constant retry time of 1 s,
// callers used up their five attempts during an outage of more than 4 s.

#include "platform.hpp"

#include <springstair/policy.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

using namespace springstair; // NOLINT: a test
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int attempts_per_caller = 5;

// The Retry-After header that a caller receives.
duration header_of(duration retry_after)
{
    const auto answer = platform::refused_answer(retry_after, "a test");
    return seconds(std::stoi(answer.headers.at("Retry-After")));
}

// Whether one of the caller's attempts is made after the outage. @param arrives
// of the first attempt, since the outage was noticed
template <class Retry>
bool is_served(duration outage, duration arrives, Retry retry_after)
{
    duration at = arrives;
    for (int attempt = 1; attempt <= attempts_per_caller; ++attempt)
    {
        if (at >= outage)
        {
            return true;
        }
        at += header_of(retry_after(at));
    }
    return false;
}

duration backoff_at(duration age)
{
    const time_point since = time_point{} + seconds(1000);
    return outage_backoff().retry_after(since, since + age);
}

} // namespace

TEST_CASE("outage backoff: retry times follow the outage within 1 to 3 s")
{
    CHECK(backoff_at(milliseconds(0)) == seconds(1));
    CHECK(backoff_at(milliseconds(990)) == seconds(1));
    CHECK(backoff_at(milliseconds(1700)) == milliseconds(1700));
    CHECK(backoff_at(seconds(3)) == seconds(3));
    CHECK(backoff_at(seconds(60)) == seconds(3));
}

// Refusals for other reasons keep the retry time of processes without the
// settings section.
TEST_CASE("outage backoff: 1 s while the store serves this entry")
{
    CHECK(outage_backoff().retry_after(std::nullopt, time_point{}) ==
          seconds(1));
}

TEST_CASE("outage backoff: callers outlast outages of 3 to 9 s")
{
    CHECK(rc::check("any outage and arrival",
                    []
                    {
                        const duration outage =
                            milliseconds(*rc::gen::inRange(3000, 9001));
                        const duration arrives =
                            milliseconds(*rc::gen::inRange(1, 9001));
                        RC_ASSERT(is_served(outage, arrives, backoff_at));
                    }));
    CHECK_FALSE(is_served(seconds(5), milliseconds(1),
                          [](duration) { return seconds(1); }));
}
