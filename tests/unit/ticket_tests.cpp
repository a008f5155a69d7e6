// Queues with an advice service: for which executors tickets are requested, and
// how long these are valid.

#include <doctest/doctest.h>

#include <springstair/scheduler.hpp>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<executor_incarnation> three{"a", "b", "c"};

} // namespace

TEST_CASE("one query is in flight at a time, about executors not yet asked")
{
    ticket_cache cache;
    time_point now{std::chrono::hours(1)};
    cache.request_tickets("j.0.0", three, now);
    cache.request_tickets("k.0.0", {"a"}, now);
    const auto query = cache.next_query(now);
    REQUIRE(query.has_value());
    CHECK(query->step == "j.0.0");
    CHECK(query->executors == three);
    CHECK_FALSE(cache.next_query(now).has_value());
    cache.request_tickets("j.0.0", three, now); // already in flight
    cache.on_answer(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 3000},
                    now);
    CHECK(cache.tickets("j.0.0", now) == ticket_map{{"a", "t"}});
    CHECK(cache.next_query(now)->step == "k.0.0");
    cache.on_answer(std::nullopt, now);
    // Executors without a ticket stay excluded; new ones are asked about.
    cache.request_tickets("j.0.0", {"a", "b", "c", "d"}, now);
    CHECK(cache.next_query(now)->executors ==
          std::vector<executor_incarnation>{"d"});
}

TEST_CASE("tickets expire early, counted from the query")
{
    ticket_cache cache;
    time_point now{std::chrono::hours(1)};
    cache.request_tickets("j.0.0", three, now);
    REQUIRE(cache.next_query(now).has_value());
    now += milliseconds(500);
    cache.on_answer(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 2000},
                    now);
    now += milliseconds(1000); // 0.5 s of its validity remain
    CHECK(cache.tickets("j.0.0", now).size() == 1);
    now += milliseconds(200);
    CHECK(cache.tickets("j.0.0", now).empty());
    cache.request_tickets("j.0.0", three, now);
    CHECK(cache.next_query(now)->executors ==
          std::vector<executor_incarnation>{"a"});
}

TEST_CASE("an unanswered query is repeated after a backoff")
{
    ticket_cache cache;
    time_point now{std::chrono::hours(1)};
    cache.request_tickets("j.0.0", three, now);
    REQUIRE(cache.next_query(now).has_value());
    cache.on_answer(std::nullopt, now);
    cache.request_tickets("j.0.0", three, now);
    CHECK_FALSE(cache.next_query(now).has_value());
    now += seconds(1);
    cache.request_tickets("j.0.0", three, now);
    CHECK(cache.next_query(now)->executors == three);
}

TEST_CASE("a ticket that a worker refuses is requested again")
{
    ticket_cache cache;
    const time_point now{std::chrono::hours(1)};
    cache.request_tickets("j.0.0", three, now);
    REQUIRE(cache.next_query(now).has_value());
    cache.on_answer(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 3000},
                    now);
    cache.on_refused("j.0.0", "a");
    CHECK(cache.tickets("j.0.0", now).empty());
    cache.request_tickets("j.0.0", three, now);
    CHECK(cache.next_query(now)->executors ==
          std::vector<executor_incarnation>{"a"});
}

TEST_CASE("an answer for a step that needs no ticket any more is ignored")
{
    ticket_cache cache;
    const time_point now{std::chrono::hours(1)};
    cache.request_tickets("j.0.0", three, now);
    REQUIRE(cache.next_query(now).has_value());
    cache.forget("j.0.0");
    cache.on_answer(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 3000},
                    now);
    CHECK(cache.tickets("j.0.0", now).empty());
    CHECK_FALSE(cache.next_query(now).has_value());
}

// Guards against starvation: queries were sent in the order of step names, so
// no query was sent for a step late in that order while others requested new
// tickets whenever theirs expired.
TEST_CASE("the query that has waited longest is sent first")
{
    ticket_cache cache;
    time_point now{std::chrono::hours(1)};
    cache.request_tickets("z.0.0", {"a"}, now);
    now += std::chrono::milliseconds(10);
    cache.request_tickets("b.0.0", {"a"}, now);
    CHECK(cache.next_query(now)->step == "z.0.0");
    cache.on_answer(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 1000},
                    now);
    now += std::chrono::milliseconds(10);
    cache.request_tickets("a.0.0", {"a"}, now);
    CHECK(cache.next_query(now)->step == "b.0.0");
}
