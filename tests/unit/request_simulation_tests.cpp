// Simulates entries, guards and executors under delay, loss, duplication,
// restart and drain, and checks the guarantees of the request path against the
// recorded history.

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

// Probabilities of faults in percent.
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

struct tracked_request
{
    caller_request request;
    int answers = 0;
    bool not_run = false;
    int runs = 0;
};

class request_simulation
{
public:
    request_simulation(std::uint32_t seed, fault_rates rates)
        : random_(seed), rates_(rates)
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
        for (const auto& [key, one] : requests_)
        {
            RC_ASSERT(one.answers == 1);
            RC_ASSERT(!one.not_run || one.runs == 0);
            const bool repeatable = one.request.of.work_class == "fast";
            RC_ASSERT(repeatable || one.runs <= 1);
        }
        RC_ASSERT(max_busy_ <= slots);
        RC_ASSERT(started_while_stopped_ == 0);
        RC_ASSERT(cut_by_drain_ == 0);
        RC_ASSERT(requests_.size() > 10U);
    }

private:
    struct simulated_guard
    {
        std::unique_ptr<guard_core> core;
        std::string incarnation;
        int generation = 0;
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

    void schedule(duration wait, std::function<void()> action)
    {
        due_.emplace(clock_.now() + wait, std::move(action));
    }

    std::size_t open() const
    {
        std::size_t count = 0;
        for (const auto& [key, one] : requests_)
        {
            count += one.answers == 0 ? 1 : 0;
        }
        return count;
    }

    void start_guard(std::size_t index)
    {
        simulated_guard& guard = guards_[index];
        guard.incarnation = "i" + std::to_string(++guard.generation);
        guard.core = std::make_unique<guard_core>(
            guard_options{.name = {"g" + std::to_string(index)},
                          .incarnation = guard.incarnation,
                          .admission = {.slots = slots},
                          .seed = 7},
            clock_.now());
        guard.core->on_table(small_table());
        guard.drained = false;
        guard.stopped = false;
    }

    // A restart breaks every connection of the guard; its executor keeps
    // running.
    void restart_or_drain(std::size_t index)
    {
        simulated_guard& guard = guards_[index];
        if (chance(rates_.restart))
        {
            auto broken = std::move(guard.open);
            guard.open.clear();
            for (const auto& [attempt, reply] : broken)
            {
                reply(reply_problem{.attempt = attempt,
                                    .problem = {.result = outcome::unknown,
                                                .reason = refusal::starting}});
            }
            start_guard(index);
        }
        else if (chance(rates_.drain) && !guard.drained)
        {
            guard.core->on_drain();
            guard.drained = true;
        }
        if (guard.drained && !guard.stopped && guard.core->idle() &&
            guard.open.empty())
        {
            guard.stopped = true; // the process ended; a new one starts later
            schedule(milliseconds(50), [this, index] { start_guard(index); });
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
        requests_[number] = {.request = request};
        process_actions(entry,
                        entries_[entry]->on_request(clock_.now(), request));
    }

    void process_actions(std::size_t entry, const request_actions& actions)
    {
        for (const request_action& action : actions)
        {
            if (const auto* send = std::get_if<send_attempt>(&action))
            {
                send_to_guard(entry, *send);
            }
            else if (const auto* answer = std::get_if<forward_answer>(&action))
            {
                ++requests_.at(answer->number).answers;
            }
            else if (const auto* refused = std::get_if<answer_problem>(&action))
            {
                tracked_request& one = requests_.at(refused->number);
                ++one.answers;
                one.not_run = refused->problem.result == outcome::not_run;
            }
        }
    }

    void end_attempt(std::size_t entry, attempt_result result)
    {
        schedule(delay(10),
                 [this, entry, result = std::move(result)] {
                     process_actions(entry, entries_[entry]->on_attempt(
                                                clock_.now(), result));
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
        schedule(delay(20),
                 [this, index, send, reply] { arrive(index, send, reply); });
        if (send.repeatable && chance(rates_.duplicated))
        {
            // A duplicate whose answer nobody reads, as a client library sends
            // it when a reused connection dies. Requests that are not
            // repeatable are sent over a dedicated connection.
            schedule(delay(400), [this, index, send]
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
                      .refused_with = problem.problem};
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
        simulated_guard& guard = guards_[index];
        if (guard.stopped)
        {
            reply(reply_problem{.attempt = send.attempt,
                                .problem = {.result = outcome::unknown,
                                            .reason = refusal::starting}});
            return;
        }
        request_of_[send.attempt] = send.number;
        const bool copy = guard.open.contains(send.attempt);
        if (!copy)
        {
            guard.open[send.attempt] = reply;
        }
        const guard_actions actions = guard.core->on_attempt(
            clock_.now(),
            {.attempt = send.attempt,
             .request_class = requests_.at(send.number).request.of,
             .incarnation = send.incarnation,
             .remaining = send.remaining,
             .may_wait = send.may_wait});
        if (copy)
        {
            return; // the answer goes to the duplicate's connection
        }
        carry_out(index, actions);
    }

    void carry_out(std::size_t index, const guard_actions& actions)
    {
        simulated_guard& guard = guards_[index];
        for (const guard_action& action : actions)
        {
            if (const auto* run = std::get_if<run_attempt>(&action))
            {
                execute(index, run->attempt);
                continue;
            }
            const attempt_name name =
                std::visit([](const auto& one) { return one.attempt; }, action);
            const auto found = guard.open.find(name);
            if (found != guard.open.end())
            {
                const auto reply = found->second;
                guard.open.erase(found);
                reply(action);
            }
        }
    }

    void execute(std::size_t index, const attempt_name& name)
    {
        simulated_guard& guard = guards_[index];
        started_while_stopped_ += guard.stopped ? 1 : 0;
        ++requests_.at(request_of_.at(name)).runs;
        guard.executing[name.value] = 1;
        max_busy_ = std::max(max_busy_,
                             static_cast<std::int64_t>(guard.executing.size()));
        const duration service = milliseconds(5) + delay(60);
        const int generation = guard.generation;
        if (chance(rates_.executor_lost))
        {
            schedule(delay(20),
                     [this, index, name, generation] {
                         executor_ends(index, name, generation,
                                       executor_result::unknown);
                     });
            schedule(service, [this, index, name]
                     { guards_[index].executing.erase(name.value); });
            return;
        }
        schedule(service,
                 [this, index, name, generation]
                 {
                     guards_[index].executing.erase(name.value);
                     executor_ends(index, name, generation,
                                   executor_result::answered);
                 });
    }

    void executor_ends(std::size_t index, const attempt_name& name,
                       int generation, executor_result result)
    {
        simulated_guard& guard = guards_[index];
        if (guard.generation != generation)
        {
            return; // the connection ended with the process
        }
        cut_by_drain_ += guard.stopped ? 1 : 0;
        carry_out(index, guard.core->on_executor(clock_.now(), name, result));
    }

    void advance()
    {
        clock_.advance(step);
        while (!due_.empty() && due_.begin()->first <= clock_.now())
        {
            const auto action = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            action();
        }
        for (std::size_t index = 0; index < guards_.size(); ++index)
        {
            guard_tick(index);
        }
        for (std::size_t index = 0; index < entries_.size(); ++index)
        {
            process_actions(index, entries_[index]->on_tick(clock_.now()));
        }
    }

    void guard_tick(std::size_t index)
    {
        simulated_guard& guard = guards_[index];
        if (guard.stopped)
        {
            return;
        }
        carry_out(index, guard.core->on_tick(clock_.now()));
        if (!chance(15))
        {
            return;
        }
        std::set<std::string> names;
        for (const auto& [name, count] : guard.executing)
        {
            names.insert(name);
        }
        const time_point asked_at = clock_.now();
        const int generation = guard.generation;
        schedule(delay(15),
                 [this, index, names, asked_at, generation]
                 {
                     if (guards_[index].generation == generation)
                     {
                         carry_out(index, guards_[index].core->on_executor_list(
                                              clock_.now(), asked_at, names));
                     }
                 });
        const guard_report report{.guard = {"g" + std::to_string(index)},
                                  .incarnation = guard.incarnation,
                                  .data_centre = "dc-1",
                                  .address = "g" + std::to_string(index),
                                  .leaving = guard.core->draining(),
                                  .ready = guard.core->ready(),
                                  .load = guard.core->load("")};
        for (std::size_t entry = 0; entry < entries_.size(); ++entry)
        {
            schedule(delay(30),
                     [this, entry, report]
                     {
                         process_actions(entry, entries_[entry]->on_heartbeat(
                                                    clock_.now(), report));
                     });
        }
    }

    std::mt19937 random_;
    fault_rates rates_;
    manual_clock clock_;
    std::vector<std::unique_ptr<request_core>> entries_;
    std::array<simulated_guard, 3> guards_;
    std::multimap<time_point, std::function<void()>> due_;
    std::map<request_number, tracked_request> requests_;
    std::map<attempt_name, request_number> request_of_;
    request_number next_number_ = 0;
    std::int64_t max_busy_ = 0;
    int started_while_stopped_ = 0;
    int cut_by_drain_ = 0;
};

} // namespace

TEST_CASE("the request path keeps its guarantees under faults")
{
    const bool passed = rc::check(
        "one answer each, not_run never ran, at most one run, slots respected",
        [](std::uint32_t seed)
        {
            const auto rate = [](int limit)
            {
                return *rc::gen::inRange(0, limit);
            };
            const fault_rates rates{.refused = rate(20),
                                    .lost = rate(15),
                                    .duplicated = rate(20),
                                    .reply_lost = rate(15),
                                    .executor_lost = rate(15),
                                    .restart = rate(3),
                                    .drain = rate(3)};
            request_simulation simulation(seed, rates);
            simulation.run(400);
            simulation.check();
        });
    CHECK(passed);
}

TEST_CASE("without faults every request is answered once")
{
    request_simulation simulation(3, {});
    simulation.run(400);
    simulation.check();
}
