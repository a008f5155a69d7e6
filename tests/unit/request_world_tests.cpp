// Entries, guards and executors under delay, loss, duplication, restart and
// drain: the promises of the request path, checked by what was recorded.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <springstair/entry.hpp>
#include <springstair/guard.hpp>

#include <functional>
#include <memory>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;

constexpr std::int64_t slots = 3;
constexpr duration step = milliseconds(5);

table small_table()
{
    return table::parse(
        {{"revision", 1},
         {"rows",
          {{"a", {{"max_in_flight", 40}}},
           {"b", json::object()},
           {"a/fast",
            {{"kind", "latency-critical"},
             {"reserved_slots", 1},
             {"repeatable", true}}},
           {"b/heavy", {{"kind", "heavy"}, {"max_queue", 4}}}}}});
}

// Shares of a hundred at which things go wrong.
struct fault_rates
{
    int refused = 0;
    int lost = 0;
    int duplicated = 0;
    int reply_lost = 0;
    int executor_lost = 0;
    int restart = 0;
    int drain = 0;
};

struct asked
{
    caller_request request;
    int answers = 0;
    bool not_run = false;
    int runs = 0;
};

class world
{
public:
    world(std::uint32_t seed, fault_rates rates) : random_(seed), rates_(rates)
    {
        for (int index = 0; index < 2; ++index)
        {
            entries_.push_back(std::make_unique<request_core>(
                request_options{.name = {"e" + std::to_string(index)},
                                .incarnation = "1",
                                .data_centre = "dc-1",
                                .seed = seed}));
            entries_.back()->on_table(small_table());
        }
        for (std::size_t index = 0; index < guards_.size(); ++index)
        {
            start_guard(index);
        }
    }

    void run(int steps)
    {
        for (int count = 0; count < steps; ++count)
        {
            if (chance(60))
            {
                ask();
            }
            for (std::size_t index = 0; index < guards_.size(); ++index)
            {
                restart_or_drain(index);
            }
            advance();
        }
        rates_ = {};
        for (int count = 0; count < 2000 && open() > 0; ++count)
        {
            advance();
        }
    }

    void check() const
    {
        for (const auto& [key, one] : asked_)
        {
            RC_ASSERT(one.answers == 1);
            RC_ASSERT(!one.not_run || one.runs == 0);
            const bool repeatable = one.request.of.work_class == "fast";
            RC_ASSERT(repeatable || one.runs <= 1);
        }
        RC_ASSERT(max_busy_ <= slots);
        RC_ASSERT(started_while_leaving_ == 0);
        RC_ASSERT(cut_by_drain_ == 0);
        RC_ASSERT(asked_.size() > 10U);
    }

private:
    struct guard_side
    {
        std::unique_ptr<guard_core> core;
        std::string incarnation;
        int life = 0;
        std::map<std::string, int> executing; // attempt to its run
        std::map<attempt_name, std::function<void(const guard_action&)>> open;
        bool drained = false;
        bool stopped = false;
    };

    bool chance(int percent)
    {
        return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
    }

    duration delay(int max_ms)
    {
        return milliseconds(
            std::uniform_int_distribution<int>(0, max_ms)(random_));
    }

    void later(duration wait, std::function<void()> what)
    {
        due_.emplace(clock_.now() + wait, std::move(what));
    }

    std::size_t open() const
    {
        std::size_t count = 0;
        for (const auto& [key, one] : asked_)
        {
            count += one.answers == 0 ? 1 : 0;
        }
        return count;
    }

    void start_guard(std::size_t index)
    {
        guard_side& side = guards_[index];
        side.incarnation = "i" + std::to_string(++side.life);
        side.core = std::make_unique<guard_core>(
            guard_options{.name = {"g" + std::to_string(index)},
                          .incarnation = side.incarnation,
                          .admission = {.slots = slots},
                          .seed = 7},
            clock_.now());
        side.core->on_table(small_table());
        side.drained = false;
        side.stopped = false;
    }

    // A kill breaks every connection of the guard; its executor goes on.
    void restart_or_drain(std::size_t index)
    {
        guard_side& side = guards_[index];
        if (chance(rates_.restart))
        {
            auto broken = std::move(side.open);
            side.open.clear();
            for (const auto& [attempt, reply] : broken)
            {
                reply(reply_problem{.attempt = attempt,
                                    .what = {.result = outcome::unknown,
                                             .reason = refusal::starting}});
            }
            start_guard(index);
        }
        else if (chance(rates_.drain) && !side.drained)
        {
            side.core->on_drain();
            side.drained = true;
        }
        if (side.drained && !side.stopped && side.core->idle() &&
            side.open.empty())
        {
            side.stopped = true; // the process is gone; a new one starts
            later(milliseconds(50), [this, index] { start_guard(index); });
        }
    }

    void ask()
    {
        const std::size_t entry = chance(50) ? 0 : 1;
        const bool fast = chance(60);
        const request_number number = ++next_number_;
        caller_request request{.number = number,
                               .of = {.workspace = fast ? "a" : "b",
                                      .work_class = fast ? "fast" : "heavy"},
                               .deadline = clock_.now() + milliseconds(50) +
                                           delay(800)};
        asked_[number] = {.request = request};
        take(entry, entries_[entry]->on_request(clock_.now(), request));
    }

    void take(std::size_t entry, const request_actions& actions)
    {
        for (const request_action& action : actions)
        {
            if (const auto* send = std::get_if<send_attempt>(&action))
            {
                send_to_guard(entry, *send);
            }
            else if (const auto* answer = std::get_if<forward_answer>(&action))
            {
                ++asked_.at(answer->number).answers;
            }
            else if (const auto* refused = std::get_if<answer_problem>(&action))
            {
                asked& one = asked_.at(refused->number);
                ++one.answers;
                one.not_run = refused->what.result == outcome::not_run;
            }
        }
    }

    void end_attempt(std::size_t entry, attempt_result result)
    {
        later(delay(10),
              [this, entry, result = std::move(result)] {
                  take(entry,
                       entries_[entry]->on_attempt(clock_.now(), result));
              });
    }

    void send_to_guard(std::size_t entry, const send_attempt& send)
    {
        using ending = attempt_result::ending;
        const std::size_t index =
            static_cast<std::size_t>(send.guard.value.back() - '0');
        if (chance(rates_.refused) || guards_[index].stopped)
        {
            end_attempt(entry,
                        {.attempt = send.attempt, .how = ending::not_sent});
            return;
        }
        if (chance(rates_.lost))
        {
            end_attempt(entry,
                        {.attempt = send.attempt, .how = ending::unknown});
            return;
        }
        const auto reply = [this, entry](const guard_action& action)
        {
            reply_to_entry(entry, action);
        };
        later(delay(20),
              [this, index, send, reply] { arrive(index, send, reply); });
        if (send.repeatable && chance(rates_.duplicated))
        {
            // A copy on a connection that nobody reads from, as a client
            // library makes when a reused connection dies. What must not
            // be repeated goes over one connection of its own.
            later(delay(400), [this, index, send]
                  { arrive(index, send, [](const guard_action&) {}); });
        }
    }

    void reply_to_entry(std::size_t entry, const guard_action& action)
    {
        using ending = attempt_result::ending;
        attempt_result result;
        if (const auto* answer = std::get_if<reply_answer>(&action))
        {
            result = {.attempt = answer->attempt, .how = ending::answered};
        }
        else
        {
            const auto& problem = std::get<reply_problem>(action);
            result = {.attempt = problem.attempt,
                      .how = ending::refused,
                      .refused_with = problem.what};
        }
        if (chance(rates_.reply_lost))
        {
            result.how = ending::unknown;
        }
        end_attempt(entry, result);
    }

    void arrive(std::size_t index, const send_attempt& send,
                const std::function<void(const guard_action&)>& reply)
    {
        guard_side& side = guards_[index];
        if (side.stopped)
        {
            reply(reply_problem{.attempt = send.attempt,
                                .what = {.result = outcome::unknown,
                                         .reason = refusal::starting}});
            return;
        }
        runs_of_[send.attempt] = send.number;
        const bool copy = side.open.contains(send.attempt);
        if (!copy)
        {
            side.open[send.attempt] = reply;
        }
        const guard_actions actions = side.core->on_attempt(
            clock_.now(), {.attempt = send.attempt,
                           .of = asked_.at(send.number).request.of,
                           .incarnation = send.incarnation,
                           .remaining = send.remaining,
                           .may_wait = send.may_wait});
        if (copy)
        {
            return; // the copy's own connection got the answer
        }
        carry_out(index, actions);
    }

    void carry_out(std::size_t index, const guard_actions& actions)
    {
        guard_side& side = guards_[index];
        for (const guard_action& action : actions)
        {
            if (const auto* run = std::get_if<run_attempt>(&action))
            {
                execute(index, run->attempt);
                continue;
            }
            const attempt_name name =
                std::visit([](const auto& one) { return one.attempt; }, action);
            const auto found = side.open.find(name);
            if (found != side.open.end())
            {
                const auto reply = found->second;
                side.open.erase(found);
                reply(action);
            }
        }
    }

    void execute(std::size_t index, const attempt_name& name)
    {
        guard_side& side = guards_[index];
        started_while_leaving_ += side.stopped ? 1 : 0;
        ++asked_.at(runs_of_.at(name)).runs;
        side.executing[name.value] = 1;
        max_busy_ = std::max(max_busy_,
                             static_cast<std::int64_t>(side.executing.size()));
        const duration service = milliseconds(5) + delay(60);
        const int life = side.life;
        if (chance(rates_.executor_lost))
        {
            later(delay(20),
                  [this, index, name, life] {
                      executor_ends(index, name, life,
                                    executor_result::unknown);
                  });
            later(service, [this, index, name]
                  { guards_[index].executing.erase(name.value); });
            return;
        }
        later(service,
              [this, index, name, life]
              {
                  guards_[index].executing.erase(name.value);
                  executor_ends(index, name, life, executor_result::answered);
              });
    }

    void executor_ends(std::size_t index, const attempt_name& name, int life,
                       executor_result result)
    {
        guard_side& side = guards_[index];
        if (side.life != life)
        {
            return; // the connection ended with the process
        }
        cut_by_drain_ += side.stopped ? 1 : 0;
        carry_out(index, side.core->on_executor(clock_.now(), name, result));
    }

    void advance()
    {
        clock_.advance(step);
        while (!due_.empty() && due_.begin()->first <= clock_.now())
        {
            const auto what = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            what();
        }
        for (std::size_t index = 0; index < guards_.size(); ++index)
        {
            guard_tick(index);
        }
        for (std::size_t index = 0; index < entries_.size(); ++index)
        {
            take(index, entries_[index]->on_tick(clock_.now()));
        }
    }

    void guard_tick(std::size_t index)
    {
        guard_side& side = guards_[index];
        if (side.stopped)
        {
            return;
        }
        carry_out(index, side.core->on_tick(clock_.now()));
        if (!chance(15))
        {
            return;
        }
        std::set<std::string> names;
        for (const auto& [name, count] : side.executing)
        {
            names.insert(name);
        }
        const time_point asked_at = clock_.now();
        const int life = side.life;
        later(delay(15),
              [this, index, names, asked_at, life]
              {
                  if (guards_[index].life == life)
                  {
                      carry_out(index, guards_[index].core->on_executor_list(
                                           clock_.now(), asked_at, names));
                  }
              });
        const guard_report report{.guard = {"g" + std::to_string(index)},
                                  .incarnation = side.incarnation,
                                  .data_centre = "dc-1",
                                  .address = "g" + std::to_string(index),
                                  .leaving = side.core->draining(),
                                  .ready = side.core->ready(),
                                  .load = side.core->load("")};
        for (std::size_t entry = 0; entry < entries_.size(); ++entry)
        {
            later(delay(30),
                  [this, entry, report] {
                      take(entry,
                           entries_[entry]->on_heartbeat(clock_.now(), report));
                  });
        }
    }

    std::mt19937 random_;
    fault_rates rates_;
    manual_clock clock_;
    std::vector<std::unique_ptr<request_core>> entries_;
    std::array<guard_side, 3> guards_;
    std::multimap<time_point, std::function<void()>> due_;
    std::map<request_number, asked> asked_;
    std::map<attempt_name, request_number> runs_of_;
    request_number next_number_ = 0;
    std::int64_t max_busy_ = 0;
    int started_while_leaving_ = 0;
    int cut_by_drain_ = 0;
};

} // namespace

TEST_CASE("the request path keeps its promises under faults")
{
    const bool good = rc::check(
        "one answer each, not_run never ran, once at most, slots held",
        [](std::uint32_t seed)
        {
            const auto rate = [](int most)
            {
                return *rc::gen::inRange(0, most);
            };
            const fault_rates rates{.refused = rate(20),
                                    .lost = rate(15),
                                    .duplicated = rate(20),
                                    .reply_lost = rate(15),
                                    .executor_lost = rate(15),
                                    .restart = rate(3),
                                    .drain = rate(3)};
            world all(seed, rates);
            all.run(400);
            all.check();
        });
    CHECK(good);
}

TEST_CASE("without faults everything but overload is answered")
{
    world all(3, {});
    all.run(400);
    all.check();
}
