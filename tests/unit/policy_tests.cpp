// Admission, fairness, ejection, retries and routing, each by itself.

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

struct gate
{
    explicit gate(const table& of) : slots({.slots = 8})
    {
        slots.use_table(of);
    }

    std::optional<slot_refusal> offer(const class_name& of,
                                      duration deadline = seconds(60),
                                      bool may_wait = true)
    {
        return slots.offer(clock.now(), {.attempt = {std::to_string(++next)},
                                         .of = of,
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
    gate of(rows());
    for (int count = 0; count < 20; ++count)
    {
        REQUIRE(!of.offer(heavy_a));
    }
    CHECK(of.slots.start_ready().size() == 6);
    CHECK(!of.offer(fast));
    CHECK(!of.offer(fast));
    CHECK(of.slots.start_ready().size() == 2);
    CHECK(of.slots.taken() == 8);
    const auto refused = of.offer(fast, seconds(60), false);
    REQUIRE(refused);
    CHECK(refused->reason == refusal::busy);
}

TEST_CASE("what cannot end by its deadline is refused, before and while it "
          "waits")
{
    gate of(rows());
    for (int count = 0; count < 6; ++count)
    {
        of.offer(heavy_a);
    }
    for (const slot_request& request : of.slots.start_ready())
    {
        of.slots.finish(request.attempt, seconds(10)); // it learns: slow
    }
    for (int count = 0; count < 100; ++count)
    {
        of.offer(heavy_a);
    }
    of.slots.start_ready();
    const auto refused = of.offer(heavy_a, milliseconds(50));
    REQUIRE(refused);
    CHECK(refused->reason == refusal::deadline);
    CHECK(refused->retry_after > duration{0});
    const std::int64_t waiting = of.slots.load().queued_other;
    REQUIRE(waiting > 0);
    of.clock.advance(seconds(60));
    CHECK(of.slots.expire(of.clock.now()).size() ==
          static_cast<std::size_t>(waiting));
    CHECK(of.slots.load().queued_other == 0);
}

TEST_CASE("slots are shared by the workspaces' weights")
{
    gate of(rows(0, 3));
    for (int count = 0; count < 400; ++count)
    {
        of.offer(heavy_a);
        of.offer(heavy_b);
    }
    std::map<std::string, int> served;
    for (int round = 0; round < 40; ++round)
    {
        for (const slot_request& request : of.slots.start_ready())
        {
            ++served[request.of.workspace];
            of.slots.finish(request.attempt, milliseconds(10));
        }
    }
    const double ratio = static_cast<double>(served["b"]) / served["a"];
    CHECK(ratio > 2.5);
    CHECK(ratio < 3.5);
}

TEST_CASE("slots in doubt count as taken")
{
    gate of(rows());
    of.slots.occupy(8);
    CHECK(!of.offer(fast));
    CHECK(of.slots.start_ready().empty());
    of.slots.occupy(7);
    CHECK(of.slots.start_ready().size() == 1);
}

TEST_CASE("admission never overshoots, whatever comes")
{
    const bool good = rc::check(
        "slots and reservations hold",
        [](const std::vector<std::uint8_t>& steps)
        {
            gate of(rows());
            std::vector<attempt_name> running;
            std::int64_t others = 0;
            for (const std::uint8_t step : steps)
            {
                const bool ends = step % 4 == 3 && !running.empty();
                if (ends)
                {
                    const attempt_name name = running.front();
                    running.erase(running.begin());
                    of.slots.finish(name, milliseconds(step));
                }
                else
                {
                    of.offer(step % 4 == 0 ? fast : heavy_a);
                }
                for (const slot_request& request : of.slots.start_ready())
                {
                    running.push_back(request.attempt);
                }
                const load_report load = of.slots.load();
                others = std::max(others, load.running_other);
                RC_ASSERT(of.slots.taken() <= 8);
                RC_ASSERT(of.slots.taken() ==
                          static_cast<std::int64_t>(running.size()));
            }
            RC_ASSERT(others <= 6);
        });
    CHECK(good);
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
    CHECK(!detector.may_send(clock.now(), bad, false)); // not as a probe
    detector.sent(clock.now(), bad);
    CHECK(!detector.may_send(clock.now(), bad, true)); // one at a time
    detector.record(clock.now(), bad, fast, false, 11);
    clock.advance(milliseconds(1500));
    CHECK(!detector.may_send(clock.now(), bad, true)); // twice as long
    clock.advance(seconds(1));
    detector.sent(clock.now(), bad);
    CHECK(detector.record(clock.now(), bad, fast, true, 11) ==
          outlier_change::restored);
    CHECK(detector.may_send(clock.now(), bad, false));
}

TEST_CASE("a bad class cannot eject every executor")
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

TEST_CASE("retries are bounded by successes")
{
    retry_budget budget({.share = 0.1, .most = 5});
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

TEST_CASE("routing keeps to its own data centre while there is room")
{
    random_source random(1);
    std::vector<route_candidate> from;
    from.reserve(6);
    for (int index = 0; index < 6; ++index)
    {
        from.push_back({.guard = {std::to_string(index)},
                        .load = 0.1 * index,
                        .room = true,
                        .local = index >= 4});
    }
    const sampled_router router;
    for (int count = 0; count < 50; ++count)
    {
        CHECK(*router.pick(from, random) >= 4);
    }
    from[4].room = false;
    from[5].room = false;
    for (int count = 0; count < 50; ++count)
    {
        CHECK(*router.pick(from, random) < 4);
    }
    CHECK(!router.pick({}, random));
}

TEST_CASE("an entry's own attempts count once")
{
    const load_report load{.slots = 8,
                           .running_critical = 3,
                           .running_other = 6,
                           .own_critical = 2,
                           .own_other = 1};
    const auto kind = class_kind::latency_critical;
    CHECK(!make_candidate(load, {.critical = 2, .other = 1}, kind, 2).room);
    CHECK(make_candidate(load, {.critical = 0, .other = 1}, kind, 2).room);
    CHECK(!make_candidate(load, {.critical = 5, .other = 1}, kind, 2).room);
}
