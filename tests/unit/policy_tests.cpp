// Unit tests of admission, fairness, ejection, retry budget and routing.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <springstair/policy.hpp>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

const class_name fast{.workspace = "a", .work_class = "fast"};
const class_name heavy_a{.workspace = "a", .work_class = "heavy"};
const class_name heavy_b{.workspace = "b", .work_class = "heavy"};

table rows(int reserved = 2, double weight_b = 1)
{
    return table::parse(
        {{"revision", 1},
         {"rows",
          {{"a", json::object()},
           {"b", {{"weight", weight_b}}},
           {"a/fast",
            {{"kind", "latency-critical"}, {"reserved_slots", reserved}}},
           {"a/heavy", {{"kind", "heavy"}, {"max_queue", 1000}}},
           {"b/heavy", {{"kind", "heavy"}, {"max_queue", 1000}}}}}});
}

struct admission_fixture
{
    explicit admission_fixture(const table& rows) : slots({.slots = 8})
    {
        slots.use_table(rows);
    }

    std::optional<slot_refusal> offer(const class_name& work_class,
                                      duration deadline = seconds(60),
                                      bool may_wait = true)
    {
        return slots.offer(clock.now(), {.attempt = {std::to_string(++next)},
                                         .work_class = work_class,
                                         .arrived = clock.now(),
                                         .deadline = clock.now() + deadline,
                                         .may_wait = may_wait});
    }

    admission slots;
    manual_clock clock;
    int next = 0;
};

} // namespace

TEST_CASE("reserved slots are open to latency-critical classes only")
{
    admission_fixture fixture(rows());
    for (int count = 0; count < 20; ++count)
    {
        REQUIRE(!fixture.offer(heavy_a));
    }
    CHECK(fixture.slots.start_ready().size() == 6);
    CHECK(!fixture.offer(fast));
    CHECK(!fixture.offer(fast));
    CHECK(fixture.slots.start_ready().size() == 2);
    CHECK(fixture.slots.taken() == 8);
    const auto refused = fixture.offer(fast, seconds(60), false);
    REQUIRE(refused);
    CHECK(refused->reason == refusal::busy);
}

TEST_CASE("a request that cannot meet its deadline is refused, on arrival and "
          "while queued")
{
    admission_fixture fixture(rows());
    for (int count = 0; count < 6; ++count)
    {
        fixture.offer(heavy_a);
    }
    for (const slot_request& request : fixture.slots.start_ready())
    {
        // Raises the learned service time.
        fixture.slots.finish(request.attempt, seconds(10));
    }
    for (int count = 0; count < 100; ++count)
    {
        fixture.offer(heavy_a);
    }
    fixture.slots.start_ready();
    const auto refused = fixture.offer(heavy_a, milliseconds(50));
    REQUIRE(refused);
    CHECK(refused->reason == refusal::deadline);
    CHECK(refused->retry_after > duration{0});
    const std::int64_t waiting = fixture.slots.load().queued_other;
    REQUIRE(waiting > 0);
    fixture.clock.advance(seconds(60));
    CHECK(fixture.slots.expire(fixture.clock.now()).size() ==
          static_cast<std::size_t>(waiting));
    CHECK(fixture.slots.load().queued_other == 0);
}

TEST_CASE("slots are shared in proportion to the workspaces' weights")
{
    admission_fixture fixture(rows(0, 3));
    for (int count = 0; count < 400; ++count)
    {
        fixture.offer(heavy_a);
        fixture.offer(heavy_b);
    }
    std::map<std::string, int> served;
    for (int round = 0; round < 40; ++round)
    {
        for (const slot_request& request : fixture.slots.start_ready())
        {
            ++served[request.work_class.workspace];
            fixture.slots.finish(request.attempt, milliseconds(10));
        }
    }
    const double ratio = static_cast<double>(served["b"]) / served["a"];
    CHECK(ratio > 2.5);
    CHECK(ratio < 3.5);
}

TEST_CASE("slots of attempts in doubt count as taken")
{
    admission_fixture fixture(rows());
    fixture.slots.occupy(8);
    CHECK(!fixture.offer(fast));
    CHECK(fixture.slots.start_ready().empty());
    fixture.slots.occupy(7);
    CHECK(fixture.slots.start_ready().size() == 1);
}

TEST_CASE("admission never exceeds slots or reservations")
{
    const bool holds = rc::check(
        "random offers and completions",
        [](const std::vector<std::uint8_t>& steps)
        {
            admission_fixture fixture(rows());
            std::vector<attempt_name> running;
            std::int64_t others = 0;
            for (const std::uint8_t step : steps)
            {
                const bool ends = step % 4 == 3 && !running.empty();
                if (ends)
                {
                    const attempt_name name = running.front();
                    running.erase(running.begin());
                    fixture.slots.finish(name, milliseconds(step));
                }
                else
                {
                    fixture.offer(step % 4 == 0 ? fast : heavy_a);
                }
                for (const slot_request& request : fixture.slots.start_ready())
                {
                    running.push_back(request.attempt);
                }
                const load_report load = fixture.slots.load();
                others = std::max(others, load.running_other);
                RC_ASSERT(fixture.slots.taken() <= 8);
                RC_ASSERT(fixture.slots.taken() ==
                          static_cast<std::int64_t>(running.size()));
            }
            RC_ASSERT(others <= 6);
        });
    CHECK(holds);
}

TEST_CASE("an executor that fails everything is ejected, probed, restored")
{
    outlier_detector detector;
    const guard_name bad{"bad"};
    manual_clock clock;
    for (int count = 0; count < 4; ++count)
    {
        CHECK(detector.record(clock.now(), bad, fast, false, 11) ==
              outlier_change::none);
    }
    CHECK(detector.record(clock.now(), bad, fast, false, 11) ==
          outlier_change::ejected);
    CHECK(!detector.may_send(clock.now(), bad, true));
    clock.advance(seconds(2));
    CHECK(detector.may_send(clock.now(), bad, true));
    // Only a repeatable request may be the probe.
    CHECK(!detector.may_send(clock.now(), bad, false));
    detector.sent(clock.now(), bad);
    CHECK(!detector.may_send(clock.now(), bad, true)); // one probe at a time
    detector.record(clock.now(), bad, fast, false, 11);
    clock.advance(milliseconds(1500));
    // The second ejection is twice as long.
    CHECK(!detector.may_send(clock.now(), bad, true));
    clock.advance(seconds(1));
    detector.sent(clock.now(), bad);
    CHECK(detector.record(clock.now(), bad, fast, true, 11) ==
          outlier_change::restored);
    CHECK(detector.may_send(clock.now(), bad, false));
}

TEST_CASE("a failing class cannot eject every executor")
{
    outlier_detector detector;
    const manual_clock clock;
    for (int round = 0; round < 200; ++round)
    {
        for (int index = 0; index < 9; ++index)
        {
            detector.record(clock.now(), {std::to_string(index)}, heavy_a,
                            false, 9);
        }
    }
    CHECK(detector.ejected().size() <= 3);
}

TEST_CASE("retries are limited by successes")
{
    retry_budget budget({.share = 0.1, .max_saved = 5});
    int taken = 0;
    while (budget.take())
    {
        ++taken;
    }
    CHECK(taken == 5);
    for (int count = 0; count < 25; ++count)
    {
        budget.succeeded();
    }
    CHECK(budget.take());
    CHECK(budget.take());
    CHECK(!budget.take());
}

TEST_CASE("routing prefers its own data centre while it has free slots")
{
    random_source random(1);
    std::vector<route_candidate> candidates;
    candidates.reserve(6);
    for (int index = 0; index < 6; ++index)
    {
        candidates.push_back({.guard = {std::to_string(index)},
                              .load = 0.1 * index,
                              .has_free_slot = true,
                              .local = index >= 4});
    }
    const sampled_router router;
    for (int count = 0; count < 50; ++count)
    {
        CHECK(*router.pick(candidates, random) >= 4);
    }
    candidates[4].has_free_slot = false;
    candidates[5].has_free_slot = false;
    for (int count = 0; count < 50; ++count)
    {
        CHECK(*router.pick(candidates, random) < 4);
    }
    CHECK(!router.pick({}, random));
}

TEST_CASE("an entry's own attempts are counted once")
{
    const load_report load{.slots = 8,
                           .running_critical = 3,
                           .running_other = 6,
                           .own_critical = 2,
                           .own_other = 1};
    const auto kind = class_kind::latency_critical;
    CHECK(!make_candidate(load, {.critical = 2, .other = 1}, kind, 2)
               .has_free_slot);
    CHECK(make_candidate(load, {.critical = 0, .other = 1}, kind, 2)
              .has_free_slot);
    CHECK(!make_candidate(load, {.critical = 5, .other = 1}, kind, 2)
               .has_free_slot);
}
