// The leader's list of the other entries: which one succeeds it, and to which
// peers an entry forwards requests while the store is unavailable to it.

#include <springstair/scheduler.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace springstair; // NOLINT: a test
using std::chrono::seconds;

namespace
{

entry_heartbeat entry(const std::string& address, double processors,
                      const std::string& data_centre = "a")
{
    return {.address = address,
            .data_centre = data_centre,
            .processors = processors};
}

// Two large and eight small entries in each of two data centres.
entry_list two_data_centres(time_point now)
{
    entry_list list;
    for (const std::string name : {"a", "b"})
    {
        for (int number = 0; number < 10; ++number)
        {
            list.record_heartbeat(entry(name + std::to_string(number),
                                        number < 2 ? 1.0 : 0.12, name),
                                  now);
        }
    }
    return list;
}

} // namespace

TEST_CASE("the largest entries that reach the store are the next successors")
{
    time_point now{std::chrono::hours(1)};
    entry_list list = two_data_centres(now);
    const auto best = list.successors(now).front();
    CHECK(best.processors == 1.0);
    CHECK(list.rank(best.address, now) == 0);
    CHECK(list.rank("a9", now) >= 4);
    CHECK_FALSE(list.rank("unknown", now).has_value());

    entry_heartbeat turned_away = best;
    turned_away.store_away = true;
    list.record_heartbeat(turned_away, now);
    CHECK(list.successors(now).size() == 19);
    CHECK_FALSE(list.rank(best.address, now).has_value());

    now += seconds(6);
    list.record_heartbeat(entry("a9", 0.12), now);
    now += seconds(2);
    REQUIRE(list.successors(now).size() == 1); // the others are unresponsive
    CHECK(list.rank("a9", now) == 0);
}

// Failure: a leader whose store was unavailable stayed leader until its lease
// expired. Nothing was placed for 1.7 s, and work begun just before the outage
// waited twice as long.
TEST_CASE("a leader hands over if another entry does better")
{
    time_point now{std::chrono::hours(1)};
    entry_list list = two_data_centres(now);
    const std::string best = list.successors(now).front().address;
    leader_state state{.processors = 1.0, .held_for = seconds(9)};
    CHECK_FALSE(list.next_handover(state, now).has_value());
    SUBCASE("it is draining")
    {
        state.stopping = true;
        CHECK(list.next_handover(state, now) ==
              handover_target{best, handover_reason::stopping});
    }
    SUBCASE("the store is unavailable to it")
    {
        state.store_unavailable_for = std::chrono::milliseconds(399);
        CHECK_FALSE(list.next_handover(state, now).has_value());
        state.store_unavailable_for = std::chrono::milliseconds(400);
        CHECK(list.next_handover(state, now) ==
              handover_target{best, handover_reason::store_away});
    }
    SUBCASE("it is small, and has led for the minimum time")
    {
        state.processors = 0.12;
        state.held_for = std::chrono::milliseconds(499);
        CHECK_FALSE(list.next_handover(state, now).has_value());
        state.held_for = std::chrono::milliseconds(500);
        CHECK(list.next_handover(state, now) ==
              handover_target{best, handover_reason::small});
    }
}

TEST_CASE("an entry that declined leadership is skipped during its backoff")
{
    time_point now{std::chrono::hours(1)};
    entry_list list = two_data_centres(now);
    const leader_state draining{.stopping = true};
    std::set<std::string> asked;
    while (const auto next = list.next_handover(draining, now))
    {
        asked.insert(next->address);
        list.note_declined(next->address, now);
    }
    // Without max_declined, a leader offered leadership to 95 of 184 entries
    // within 1.5 s of a store outage.
    CHECK(asked.size() == 4);
    now += seconds(2);
    CHECK(list.next_handover(draining, now).has_value());
    // In a store outage that affects all entries, leadership stays.
    for (entry_heartbeat one : list.successors(now))
    {
        one.store_away = true;
        list.record_heartbeat(one, now);
    }
    CHECK_FALSE(list.next_handover(draining, now).has_value());
}

TEST_CASE("successors claim vacant leadership in the order of their ranks")
{
    using std::chrono::milliseconds;
    CHECK(claim_schedule::of(false, std::nullopt) == claim_schedule{});
    CHECK(claim_schedule::of(true, 0) ==
          claim_schedule{.is_successor = true, .delay = milliseconds(0)});
    CHECK(claim_schedule::of(true, 1) ==
          claim_schedule{.is_successor = true, .delay = milliseconds(60)});
    const auto other = [](int turns)
    {
        return claim_schedule{.is_successor = false,
                              .delay = turns * milliseconds(60)};
    };
    CHECK(claim_schedule::of(true, 4) == other(4));
    CHECK(claim_schedule::of(true, 7) == other(4));
    CHECK(claim_schedule::of(true, 8) == other(5));
    CHECK(claim_schedule::of(true, 50) == other(7));
    CHECK(claim_schedule::of(true, 183) == other(9));
    CHECK(claim_schedule::of(true, 100'000) == other(12));
    CHECK(claim_schedule::of(true, std::nullopt) == other(12));
}

TEST_CASE("every leader computes the same order of successors")
{
    const time_point now{std::chrono::hours(1)};
    entry_list one = two_data_centres(now);
    entry_list other = two_data_centres(now);
    other.clear();
    for (const entry_heartbeat& entry : one.successors(now))
    {
        other.record_heartbeat(entry, now);
    }
    CHECK(one.successors(now) == other.successors(now));
}

TEST_CASE("peers are near, reach the store, and differ between entries")
{
    const time_point now{std::chrono::hours(1)};
    entry_list list = two_data_centres(now);
    entry_heartbeat away = entry("b5", 0.12, "b");
    away.store_away = true;
    list.record_heartbeat(away, now);
    std::set<std::string> first;
    for (int number = 0; number < 10; ++number)
    {
        const std::string address = "a" + std::to_string(number);
        const auto peers = list.peers_of(entry(address, 1), now);
        REQUIRE(peers.size() == 6);
        first.insert(peers.front());
        CHECK(std::ranges::count(peers, address) == 0);
        CHECK(std::ranges::count(peers, "b5") == 0);
        CHECK(std::ranges::count_if(peers, [](const std::string& peer)
                                    { return peer.starts_with("a"); }) == 4);
    }
    CHECK(first.size() > 1);
}

TEST_CASE("entry heartbeats and their answers survive serialisation")
{
    const entry_heartbeat beat{.address = "a:1",
                               .data_centre = "d",
                               .processors = 0.12,
                               .store_away = true};
    CHECK(json(beat).get<entry_heartbeat>() == beat);
    const entry_heartbeat_answer answer{.epoch = 7,
                                        .holder = "a:1",
                                        .holds = true,
                                        .rank = 2,
                                        .peers = {"b:1"},
                                        .operator_change = 9};
    CHECK(json(answer).get<entry_heartbeat_answer>() == answer);
    const entry_heartbeat_answer other{.epoch = 7, .holder = "a:1"};
    CHECK(json(other).get<entry_heartbeat_answer>() == other);
    CHECK(json::object().get<entry_heartbeat_answer>() ==
          entry_heartbeat_answer{});
}
