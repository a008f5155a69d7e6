// Queues with advice: who is asked about, and how long tickets hold.

#include <doctest/doctest.h>

#include <springstair/scheduler.hpp>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<executor_incarnation> three{"a", "b", "c"};

} // namespace

TEST_CASE("one question is out at a time, about those not asked about")
{
    ticket_cache book;
    time_point now{std::chrono::hours(1)};
    book.request_tickets("j.0.0", three, now);
    book.request_tickets("k.0.0", {"a"}, now);
    const auto question = book.next_question(now);
    REQUIRE(question.has_value());
    CHECK(question->step == "j.0.0");
    CHECK(question->executors == three);
    CHECK_FALSE(book.next_question(now).has_value());
    book.request_tickets("j.0.0", three, now); // it is out already
    book.answered(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 3000},
                  now);
    CHECK(book.tickets("j.0.0", now) == ticket_map{{"a", "t"}});
    CHECK(book.next_question(now)->step == "k.0.0");
    book.answered(std::nullopt, now);
    // Those that were not good stay so; others may be.
    book.request_tickets("j.0.0", {"a", "b", "c", "d"}, now);
    CHECK(book.next_question(now)->executors ==
          std::vector<executor_incarnation>{"d"});
}

TEST_CASE("tickets end before their time, from the question on")
{
    ticket_cache book;
    time_point now{std::chrono::hours(1)};
    book.request_tickets("j.0.0", three, now);
    REQUIRE(book.next_question(now).has_value());
    now += milliseconds(500);
    book.answered(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 2000},
                  now);
    now += milliseconds(1000); // 0.5 s of it remain
    CHECK(book.tickets("j.0.0", now).size() == 1);
    now += milliseconds(200);
    CHECK(book.tickets("j.0.0", now).empty());
    book.request_tickets("j.0.0", three, now);
    CHECK(book.next_question(now)->executors ==
          std::vector<executor_incarnation>{"a"});
}

TEST_CASE("a question without an answer is asked again, after a pause")
{
    ticket_cache book;
    time_point now{std::chrono::hours(1)};
    book.request_tickets("j.0.0", three, now);
    REQUIRE(book.next_question(now).has_value());
    book.answered(std::nullopt, now);
    book.request_tickets("j.0.0", three, now);
    CHECK_FALSE(book.next_question(now).has_value());
    now += seconds(1);
    book.request_tickets("j.0.0", three, now);
    CHECK(book.next_question(now)->executors == three);
}

TEST_CASE("a ticket that a worker does not take is asked for again")
{
    ticket_cache book;
    const time_point now{std::chrono::hours(1)};
    book.request_tickets("j.0.0", three, now);
    REQUIRE(book.next_question(now).has_value());
    book.answered(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 3000},
                  now);
    book.refused("j.0.0", "a");
    CHECK(book.tickets("j.0.0", now).empty());
    book.request_tickets("j.0.0", three, now);
    CHECK(book.next_question(now)->executors ==
          std::vector<executor_incarnation>{"a"});
}

TEST_CASE("an answer for a step that needs none any more changes nothing")
{
    ticket_cache book;
    const time_point now{std::chrono::hours(1)};
    book.request_tickets("j.0.0", three, now);
    REQUIRE(book.next_question(now).has_value());
    book.forget("j.0.0");
    book.answered(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 3000},
                  now);
    CHECK(book.tickets("j.0.0", now).empty());
    CHECK_FALSE(book.next_question(now).has_value());
}

// A step whose name comes late was asked about last, each time: with others
// that ask again whenever their tickets are over, its turn never came.
TEST_CASE("the question that has waited longest is asked first")
{
    ticket_cache book;
    time_point now{std::chrono::hours(1)};
    book.request_tickets("z.0.0", {"a"}, now);
    now += std::chrono::milliseconds(10);
    book.request_tickets("b.0.0", {"a"}, now);
    CHECK(book.next_question(now)->step == "z.0.0");
    book.answered(advice_answer{.tickets = {{"a", "t"}}, .valid_ms = 1000},
                  now);
    now += std::chrono::milliseconds(10);
    book.request_tickets("a.0.0", {"a"}, now);
    CHECK(book.next_question(now)->step == "b.0.0");
}
