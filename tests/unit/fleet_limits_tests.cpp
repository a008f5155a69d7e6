// Sharing of a limit by several entries, with lost and late messages.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <springstair/policy.hpp>

#include <functional>
#include <random>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t limit = 30;

table limited()
{
    return table::parse(
        {{"revision", 1}, {"rows", {{"a", {{"max_in_flight", limit}}}}}});
}

// Three entries that exchange messages four times per second; 90% of the
// requests arrive at one of them, the busiest.
class lending_simulation
{
public:
    lending_simulation(std::uint32_t seed, int lost_percent)
        : random_(seed), lost_percent_(lost_percent)
    {
        for (const char* const name : {"e0", "e1", "e2"})
        {
            entries_.emplace_back(name);
            entries_.back().use_table(limited());
        }
        for (std::size_t index = 0; index < entries_.size(); ++index)
        {
            update_members(index);
        }
    }

    void run(int steps, std::size_t busiest)
    {
        for (int step = 0; step < steps; ++step)
        {
            clock_.advance(milliseconds(10));
            while (!due_.empty() && due_.begin()->first <= clock_.now())
            {
                const auto callback = std::move(due_.begin()->second);
                due_.erase(due_.begin());
                callback();
            }
            for (int count = 0; count < 8; ++count)
            {
                send_request(draw(100) < 90 ? busiest : draw(3));
            }
            if (step % 25 == 0)
            {
                for (std::size_t from = 0; from < 3; ++from)
                {
                    update_members(from);
                    exchange(from, (from + 1) % 3);
                    exchange(from, (from + 2) % 3);
                }
            }
            std::int64_t in_flight = 0;
            for (const fleet_limits& entry : entries_)
            {
                in_flight += entry.in_flight("a");
            }
            max_in_flight_ = std::max(max_in_flight_, in_flight);
        }
    }

    [[nodiscard]] std::int64_t max_in_flight() const
    {
        return max_in_flight_;
    }

private:
    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          below - 1)(random_);
    }

    void schedule(duration wait, std::function<void()> callback)
    {
        due_.emplace(clock_.now() + wait, std::move(callback));
    }

    static std::string name(std::size_t index)
    {
        return "e" + std::to_string(index);
    }

    void update_members(std::size_t index)
    {
        std::set<std::string> others{"e0", "e1", "e2"};
        others.erase(name(index));
        entries_[index].use_members(clock_.now(), others);
    }

    void send_request(std::size_t index)
    {
        if (!entries_[index].admit(clock_.now(), "a"))
        {
            schedule(milliseconds(100 + 10 * draw(40)),
                     [this, index] { entries_[index].release("a"); });
        }
    }

    void exchange(std::size_t from, std::size_t to)
    {
        const unit_map lends = entries_[from].offer(
            clock_.now(), name(to), entries_[to].wants(clock_.now()));
        const bool call_lost = static_cast<int>(draw(100)) < lost_percent_;
        const bool answer_lost = static_cast<int>(draw(100)) < lost_percent_;
        if (call_lost)
        {
            return;
        }
        schedule(milliseconds(draw(90)),
                 [this, from, to, lends, answer_lost]
                 {
                     entries_[to].borrow(clock_.now(), name(from), lends);
                     const unit_map holds = entries_[to].holds();
                     if (!answer_lost)
                     {
                         schedule(milliseconds(draw(90)),
                                  [this, from, to, holds] {
                                      entries_[from].on_offer_answered(name(to),
                                                                       holds);
                                  });
                     }
                 });
    }

    std::mt19937 random_;
    int lost_percent_;
    manual_clock clock_;
    std::vector<fleet_limits> entries_;
    std::multimap<time_point, std::function<void()>> due_;
    std::int64_t max_in_flight_ = 0;
};

} // namespace

TEST_CASE("the sum of all parts never exceeds the limit")
{
    const bool holds = rc::check(
        "lost and late messages, most load on any entry",
        [](std::uint32_t seed)
        {
            lending_simulation simulation(seed, *rc::gen::inRange(0, 40));
            simulation.run(300, 0);
            simulation.run(300, 1);
            simulation.run(300, 2);
            RC_ASSERT(simulation.max_in_flight() <= limit);
        });
    CHECK(holds);
}

TEST_CASE("an entry with almost all requests borrows most of the limit")
{
    lending_simulation simulation(1, 0);
    simulation.run(600, 1);
    CHECK(simulation.max_in_flight() > limit * 2 / 3);
    CHECK(simulation.max_in_flight() <= limit);
}

TEST_CASE(
    "the rate limit of a workspace holds, and refusals give a retry delay")
{
    fleet_limits entry("e0");
    entry.use_table(table::parse(
        {{"revision", 1}, {"rows", {{"a", {{"max_rate", 100}}}}}}));
    manual_clock clock;
    int admitted = 0;
    std::optional<duration> wait;
    for (int step = 0; step < 1000; ++step)
    {
        clock.advance(milliseconds(1));
        const auto refused = entry.admit(clock.now(), "a");
        admitted += refused ? 0 : 1;
        wait = refused ? refused : wait;
    }
    CHECK(admitted <= 126); // one second of requests plus a burst of 0.25 s
    CHECK(admitted >= 99);
    REQUIRE(wait);
    CHECK(*wait > duration{0});
    CHECK(*wait <= milliseconds(10));
}

TEST_CASE("the quota of a departed entry stays unused for departure_delay")
{
    fleet_limits entry("e0");
    entry.use_table(limited());
    manual_clock clock;
    entry.use_members(clock.now(), {"e1"});
    CHECK(entry.quota(clock.now(), "a") == limit / 2);
    entry.use_members(clock.now(), {});
    clock.advance(seconds(4));
    entry.use_members(clock.now(), {});
    CHECK(entry.quota(clock.now(), "a") == limit / 2);
    clock.advance(seconds(2));
    entry.use_members(clock.now(), {});
    CHECK(entry.quota(clock.now(), "a") == limit);
}
