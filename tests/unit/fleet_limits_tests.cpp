// The parts of a limit over several entries, under lost and late messages.

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

// Entries that exchange four times a second; callers press on one of them.
class limit_world
{
public:
    limit_world(std::uint32_t seed, int lost) : random_(seed), lost_(lost)
    {
        for (const char* const name : {"e0", "e1", "e2"})
        {
            entries_.emplace_back(name);
            entries_.back().use_table(limited());
        }
        for (std::size_t index = 0; index < entries_.size(); ++index)
        {
            meet(index);
        }
    }

    void run(int steps, std::size_t pressed)
    {
        for (int step = 0; step < steps; ++step)
        {
            clock_.advance(milliseconds(10));
            while (!due_.empty() && due_.begin()->first <= clock_.now())
            {
                const auto what = std::move(due_.begin()->second);
                due_.erase(due_.begin());
                what();
            }
            for (int count = 0; count < 8; ++count)
            {
                ask(draw(100) < 90 ? pressed : draw(3));
            }
            if (step % 25 == 0)
            {
                for (std::size_t from = 0; from < 3; ++from)
                {
                    meet(from);
                    exchange(from, (from + 1) % 3);
                    exchange(from, (from + 2) % 3);
                }
            }
            std::int64_t in_flight = 0;
            for (const fleet_limits& entry : entries_)
            {
                in_flight += entry.in_flight("a");
            }
            most_ = std::max(most_, in_flight);
        }
    }

    [[nodiscard]] std::int64_t most() const
    {
        return most_;
    }

private:
    std::size_t draw(std::size_t below)
    {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          below - 1)(random_);
    }

    void later(duration wait, std::function<void()> what)
    {
        due_.emplace(clock_.now() + wait, std::move(what));
    }

    static std::string name(std::size_t index)
    {
        return "e" + std::to_string(index);
    }

    void meet(std::size_t index)
    {
        std::set<std::string> others{"e0", "e1", "e2"};
        others.erase(name(index));
        entries_[index].use_members(clock_.now(), others);
    }

    void ask(std::size_t at)
    {
        if (!entries_[at].admit(clock_.now(), "a"))
        {
            later(milliseconds(100 + 10 * draw(40)),
                  [this, at] { entries_[at].release("a"); });
        }
    }

    void exchange(std::size_t from, std::size_t to)
    {
        const unit_map lends = entries_[from].offer(
            clock_.now(), name(to), entries_[to].wants(clock_.now()));
        const bool call_lost = static_cast<int>(draw(100)) < lost_;
        const bool answer_lost = static_cast<int>(draw(100)) < lost_;
        if (call_lost)
        {
            return;
        }
        later(milliseconds(draw(90)),
              [this, from, to, lends, answer_lost]
              {
                  entries_[to].borrow(clock_.now(), name(from), lends);
                  const unit_map holds = entries_[to].holds();
                  if (!answer_lost)
                  {
                      later(milliseconds(draw(90)), [this, from, to, holds]
                            { entries_[from].settled(name(to), holds); });
                  }
              });
    }

    std::mt19937 random_;
    int lost_;
    manual_clock clock_;
    std::vector<fleet_limits> entries_;
    std::multimap<time_point, std::function<void()>> due_;
    std::int64_t most_ = 0;
};

} // namespace

TEST_CASE("the sum of all parts never exceeds the limit")
{
    const bool good =
        rc::check("with messages lost and late, pressed on any entry",
                  [](std::uint32_t seed)
                  {
                      limit_world all(seed, *rc::gen::inRange(0, 40));
                      all.run(300, 0);
                      all.run(300, 1);
                      all.run(300, 2);
                      RC_ASSERT(all.most() <= limit);
                  });
    CHECK(good);
}

TEST_CASE("an entry that gets all the callers borrows most of the limit")
{
    limit_world all(1, 0);
    all.run(600, 1);
    CHECK(all.most() > limit * 2 / 3);
    CHECK(all.most() <= limit);
}

TEST_CASE("the rate of a workspace is kept, with when to come back")
{
    fleet_limits only("e0");
    only.use_table(table::parse(
        {{"revision", 1}, {"rows", {{"a", {{"max_rate", 100}}}}}}));
    manual_clock clock;
    int admitted = 0;
    std::optional<duration> wait;
    for (int step = 0; step < 1000; ++step)
    {
        clock.advance(milliseconds(1));
        const auto refused = only.admit(clock.now(), "a");
        admitted += refused ? 0 : 1;
        wait = refused ? refused : wait;
    }
    CHECK(admitted <= 126); // a second's worth and a quarter at once
    CHECK(admitted >= 99);
    REQUIRE(wait);
    CHECK(*wait > duration{0});
    CHECK(*wait <= milliseconds(10));
}

TEST_CASE("a departed entry's part is kept free for a while")
{
    fleet_limits left("e0");
    left.use_table(limited());
    manual_clock clock;
    left.use_members(clock.now(), {"e1"});
    CHECK(left.part(clock.now(), "a") == limit / 2);
    left.use_members(clock.now(), {});
    clock.advance(seconds(4));
    left.use_members(clock.now(), {});
    CHECK(left.part(clock.now(), "a") == limit / 2);
    clock.advance(seconds(2));
    left.use_members(clock.now(), {});
    CHECK(left.part(clock.now(), "a") == limit);
}
