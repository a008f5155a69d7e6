// Simulates entries, guards and workers that pause, die and lose messages, on a
// store that loses answers. Checks that no task is lost, runs in two places at
// once, or finishes twice.

#include "memory_store.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <springstair/entry.hpp>
#include <springstair/guard.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <random>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds(50);
constexpr resources worker_capacity{.cpu_millis = 4000, .memory_mb = 4000};
constexpr duration worker_lease = seconds(10);

// Probabilities of faults per thousand, for each step or message.
struct task_faults
{
    int lost = 0;
    int store_lost = 0;
    int pause = 0;
    int kill_entry = 0;
    int kill_guard = 0;
    int lose_worker = 0;
    int evict = 0;
    int cancel = 0;
    int fail = 0;
    int store_down = 0;
};

struct interval
{
    task_attempt name;
    time_point begin;
    time_point end;
    listed_task::state how = listed_task::state::running;
    std::size_t worker = 0;
};

// A worker that runs attempts under leases and lists them with their ends.
class fake_worker
{
public:
    struct running
    {
        resources needs;
        time_point begun;
        time_point ends;
        time_point lease_until;
        listed_task::state how = listed_task::state::running;
        bool fails = false;
    };

    void start(time_point now, const worker_start& command, bool fails,
               duration length)
    {
        settle(now);
        const task_attempt name{command.request.spec.id,
                                command.request.attempt};
        if (now.time_since_epoch() > command.not_after || runs.contains(name))
        {
            return;
        }
        runs[name] = {.needs = command.request.spec.needs,
                      .begun = now,
                      .ends = now + length,
                      .lease_until = now + worker_lease,
                      .fails = fails};
        resources used;
        for (const auto& [key, run] : runs)
        {
            if (run.how == listed_task::state::running)
            {
                used += run.needs;
            }
        }
        overshoot = overshoot || !used.fits(worker_capacity);
    }

    void end(const task_attempt& name, time_point when, listed_task::state how)
    {
        running& run = runs.at(name);
        if (run.how == listed_task::state::running)
        {
            run.how = how;
            past.push_back({name, run.begun, when, how});
        }
    }

    void settle(time_point now)
    {
        for (auto& [name, run] : runs)
        {
            const bool expires = run.lease_until < run.ends;
            const time_point due = std::min(run.lease_until, run.ends);
            if (due <= now)
            {
                end(name, due,
                    expires     ? listed_task::state::lapsed
                    : run.fails ? listed_task::state::failed
                                : listed_task::state::finished);
            }
        }
    }

    std::vector<listed_task> list(time_point now)
    {
        settle(now);
        std::vector<listed_task> all;
        for (const auto& [name, run] : runs)
        {
            all.push_back({.name = name, .how = run.how, .needs = run.needs});
        }
        return all;
    }

    std::map<task_attempt, running> runs;
    std::vector<interval> past;
    bool overshoot = false;
};

class task_simulation
{
public:
    task_simulation(std::uint32_t seed, task_faults faults)
        : random_(seed), faults_(faults)
    {
        for (std::size_t index = 0; index < entries_.size(); ++index)
        {
            start_entry(index);
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
            if (draw(1000) < 150)
            {
                submit();
            }
            inject_faults();
            advance();
        }
        faults_ = {};
        store_down_until_ = clock_.now();
        for (int count = 0; count < 2400 && !all_ended(); ++count)
        {
            advance();
        }
        for (int count = 0; count < 400; ++count)
        {
            advance(); // until cancelled tasks are stopped as well
        }
    }

    void check()
    {
        for (const std::string& task : unfinished_tasks())
        {
            RC_LOG() << "not ended: " << describe(task) << "\n";
        }
        RC_ASSERT(all_ended());
        std::map<std::string, std::vector<interval>> by_task;
        for (std::size_t index = 0; index < guards_.size(); ++index)
        {
            fake_worker& worker = guards_[index].worker;
            RC_ASSERT(!worker.overshoot);
            worker.settle(clock_.now());
            for (interval one : worker.past)
            {
                one.worker = index;
                by_task[one.name.first].push_back(one);
            }
            for (const auto& [name, run] : worker.runs)
            {
                RC_ASSERT(guards_[index].gone ||
                          run.how != listed_task::state::running);
            }
        }
        for (auto& [task, all] : by_task)
        {
            check_task(all);
        }
    }

    [[nodiscard]] std::size_t accepted() const
    {
        return accepted_.size();
    }

private:
    struct simulated_entry
    {
        std::unique_ptr<task_core> core;
        guard_directory guards;
        int generation = 0;
        time_point paused_until{};
        std::deque<std::function<void()>> inbox;
    };

    struct simulated_guard
    {
        std::unique_ptr<attempt_tracker> tracker;
        fake_worker worker;
        std::string incarnation;
        int generation = 0;
        bool gone = false;
        time_point gone_at{};
        time_point paused_until{};
        std::deque<std::function<void()>> inbox;
        bool polling = false;
        std::optional<task_attempt> evict;
    };

    void check_task(std::vector<interval>& all)
    {
        std::sort(all.begin(), all.end(),
                  [](const interval& left, const interval& right)
                  { return left.begin < right.begin; });
        for (const interval& one : all)
        {
            RC_LOG() << one.name.first << " attempt " << one.name.second
                     << " at worker " << one.worker << " from "
                     << to_milliseconds(one.begin.time_since_epoch()) << " to "
                     << to_milliseconds(one.end.time_since_epoch()) << " ended "
                     << to_string(one.how) << "\n";
        }
        int finished = 0;
        std::set<std::int64_t> numbers;
        for (std::size_t index = 0; index < all.size(); ++index)
        {
            RC_ASSERT(index == 0 || all[index - 1].end <= all[index].begin);
            RC_ASSERT(numbers.insert(all[index].name.second).second);
            const bool counts =
                all[index].how == listed_task::state::finished &&
                !guards_[all[index].worker].gone;
            finished += counts ? 1 : 0;
        }
        RC_ASSERT(finished <= 1);
    }

    int draw(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(random_);
    }

    bool chance(int of_thousand)
    {
        return draw(1000) < of_thousand;
    }

    void schedule(duration wait, std::function<void()> action)
    {
        due_.emplace(clock_.now() + wait, std::move(action));
    }

    // Sends a message to a process: lost if the process dies, queued while it
    // is paused.
    template <class Process>
    void send(Process& process, std::function<void()> action)
    {
        if (chance(faults_.lost))
        {
            return;
        }
        const duration wait = milliseconds(draw(chance(20) ? 4000 : 100));
        schedule(wait,
                 [this, &process, generation = process.generation,
                  action = std::move(action)]
                 {
                     if (process.generation != generation)
                     {
                         return;
                     }
                     if (clock_.now() < process.paused_until)
                     {
                         process.inbox.push_back(action);
                         return;
                     }
                     action();
                 });
    }

    // Sends to a guard's address; the process that runs there on arrival
    // receives the message.
    void send_to_guard(std::size_t index, std::function<void()> action)
    {
        if (chance(faults_.lost))
        {
            return;
        }
        schedule(milliseconds(draw(chance(30) ? 6000 : 100)),
                 [this, index, action = std::move(action)]
                 {
                     simulated_guard& process = guards_[index];
                     if (process.gone)
                     {
                         return;
                     }
                     if (clock_.now() < process.paused_until)
                     {
                         process.inbox.push_back(action);
                         return;
                     }
                     action();
                 });
    }

    void start_entry(std::size_t index)
    {
        simulated_entry& process = entries_[index];
        ++process.generation;
        process.inbox.clear();
        process.paused_until = time_point{};
        process.guards = guard_directory{};
        process.core = std::make_unique<task_core>(
            task_core_options{.name = {"e" + std::to_string(index)},
                              .incarnation = std::to_string(process.generation),
                              .shards = 3,
                              .snapshot_interval = 7,
                              .seed = static_cast<std::uint64_t>(draw(1000))});
        process.core->on_table(table::parse(
            {{"revision", 1},
             {"rows", {{"a", json::object()}, {"a/b", {{"kind", "batch"}}}}}}));
    }

    void start_guard(std::size_t index)
    {
        simulated_guard& process = guards_[index];
        ++process.generation;
        process.inbox.clear();
        process.paused_until = time_point{};
        process.polling = false;
        process.incarnation = "i" + std::to_string(process.generation);
        process.tracker = std::make_unique<attempt_tracker>(
            attempt_tracker_options{.incarnation = process.incarnation,
                                    .capacity = worker_capacity});
    }

    void inject_faults()
    {
        for (std::size_t index = 0; index < entries_.size(); ++index)
        {
            if (chance(faults_.kill_entry))
            {
                start_entry(index);
            }
            else if (chance(faults_.pause))
            {
                entries_[index].paused_until =
                    clock_.now() + milliseconds(draw(20'000));
            }
        }
        for (std::size_t index = 0; index < guards_.size(); ++index)
        {
            simulated_guard& process = guards_[index];
            if (process.gone)
            {
                continue;
            }
            if (index > 0 && chance(faults_.lose_worker))
            {
                lose_worker(process);
            }
            else if (chance(faults_.kill_guard))
            {
                start_guard(index);
            }
            else if (chance(faults_.pause))
            {
                process.paused_until =
                    clock_.now() + milliseconds(draw(20'000));
            }
            if (chance(faults_.evict))
            {
                evict_one(process);
            }
        }
        if (chance(faults_.store_down))
        {
            store_down_until_ = clock_.now() + milliseconds(draw(15'000));
        }
        if (chance(faults_.cancel) && !accepted_.empty())
        {
            cancel();
        }
    }

    void lose_worker(simulated_guard& process)
    {
        process.worker.settle(clock_.now());
        for (const auto& [name, run] : process.worker.runs)
        {
            process.worker.end(name, clock_.now(), listed_task::state::stopped);
        }
        process.gone = true;
        process.gone_at = clock_.now();
        ++process.generation;
    }

    static void evict_one(simulated_guard& process)
    {
        for (auto& [name, run] : process.worker.runs)
        {
            if (run.how == listed_task::state::running)
            {
                process.evict = name;
                return;
            }
        }
    }

    void submit()
    {
        const auto entry = static_cast<std::size_t>(draw(3));
        simulated_entry& process = entries_[entry];
        task_spec spec;
        spec.of = {.workspace = "a", .work_class = "b"};
        spec.needs = {.cpu_millis = 500 + draw(1500), .memory_mb = 100};
        spec.run_ms = 200 + draw(6000);
        send(process,
             [this, entry, spec]
             {
                 task_actions actions;
                 entries_[entry].core->on_submit(
                     ++next_call_, clock_.now() + seconds(5), spec,
                     entries_[entry].guards.all(), actions);
                 process_actions(entry, actions);
             });
    }

    void cancel()
    {
        auto chosen = accepted_.begin();
        std::advance(chosen, draw(static_cast<int>(accepted_.size())));
        for (std::size_t entry = 0; entry < entries_.size(); ++entry)
        {
            send(entries_[entry],
                 [this, entry, task = *chosen]
                 {
                     task_actions actions;
                     entries_[entry].core->on_cancel(++next_call_,
                                                     clock_.now() + seconds(5),
                                                     "a", task, actions);
                     process_actions(entry, actions);
                 });
        }
    }

    void process_actions(std::size_t entry, const task_actions& actions)
    {
        for (const task_action& action : actions)
        {
            if (const auto* call = std::get_if<store_call>(&action))
            {
                ask_store(entry, *call);
            }
            else if (const auto* answer = std::get_if<task_answer>(&action))
            {
                if (answer->record)
                {
                    accepted_.insert(answer->record->spec.id);
                }
            }
            else if (const auto* start = std::get_if<send_start>(&action))
            {
                const auto guard = index_of(start->guard);
                send_to_guard(guard,
                              [this, entry, guard, request = start->request]
                              { deliver_start(entry, guard, request); });
            }
            else if (const auto* stop = std::get_if<send_stop>(&action))
            {
                const auto guard = index_of(stop->guard);
                send_to_guard(guard,
                              [this, entry, guard, request = stop->request]
                              { deliver_stop(entry, guard, request); });
            }
        }
    }

    static std::size_t index_of(const guard_name& guard)
    {
        return static_cast<std::size_t>(guard.value.back() - '0');
    }

    void deliver_start(std::size_t entry, std::size_t guard,
                       const start_task& request)
    {
        worker_actions actions;
        const task_reply reply =
            guards_[guard].tracker->on_start(clock_.now(), request, actions);
        command(guard, actions);
        send(entries_[entry], [this, entry, request, reply]
             { entries_[entry].core->on_start_reply(request, reply); });
    }

    void deliver_stop(std::size_t entry, std::size_t guard,
                      const stop_task& request)
    {
        worker_actions actions;
        const task_reply reply =
            guards_[guard].tracker->on_stop(clock_.now(), request, actions);
        command(guard, actions);
        send(entries_[entry], [this, entry, request, reply]
             { entries_[entry].core->on_stop_reply(request, reply); });
    }

    void command(std::size_t guard, const worker_actions& actions)
    {
        for (const worker_action& action : actions)
        {
            if (chance(faults_.lost))
            {
                continue;
            }
            schedule(milliseconds(draw(chance(30) ? 6000 : 50)),
                     [this, guard, action]
                     {
                         if (!guards_[guard].gone)
                         {
                             apply_command(guards_[guard].worker, action);
                         }
                     });
        }
    }

    void apply_command(fake_worker& worker, const worker_action& action)
    {
        worker.settle(clock_.now());
        if (const auto* start = std::get_if<worker_start>(&action))
        {
            worker.start(clock_.now(), *start, chance(faults_.fail),
                         milliseconds(start->request.spec.run_ms));
        }
        else if (const auto* stop = std::get_if<worker_stop>(&action))
        {
            if (worker.runs.contains(stop->name))
            {
                worker.end(stop->name, clock_.now(),
                           stop->keep_checkpoint
                               ? listed_task::state::checkpointed
                               : listed_task::state::stopped);
            }
        }
        else if (const auto* forget = std::get_if<worker_forget>(&action))
        {
            for (const task_attempt& name : forget->names)
            {
                const auto found = worker.runs.find(name);
                if (found != worker.runs.end() &&
                    found->second.how != listed_task::state::running)
                {
                    worker.runs.erase(found);
                }
            }
        }
        else if (const auto* renew = std::get_if<worker_renew>(&action))
        {
            for (const task_attempt& name : renew->names)
            {
                const auto found = worker.runs.find(name);
                if (found != worker.runs.end())
                {
                    found->second.lease_until = clock_.now() + worker_lease;
                }
            }
        }
    }

    void ask_store(std::size_t entry, const store_call& call)
    {
        const auto reply = [this, entry, token = call.token](kv_answer answer)
        {
            simulated_entry& process = entries_[entry];
            const int generation = process.generation;
            schedule(
                milliseconds(draw(60)),
                [this, entry, generation, token, answer = std::move(answer)]
                {
                    simulated_entry& current = entries_[entry];
                    if (current.generation != generation)
                    {
                        return;
                    }
                    const auto deliver = [this, entry, token, answer]
                    {
                        task_actions actions;
                        entries_[entry].core->on_store(clock_.now(), token,
                                                       answer, actions);
                        process_actions(entry, actions);
                    };
                    if (clock_.now() < current.paused_until)
                    {
                        current.inbox.emplace_back(deliver);
                        return;
                    }
                    deliver();
                });
        };
        const bool down = clock_.now() < store_down_until_;
        const bool lost = down || chance(faults_.store_lost);
        if (lost)
        {
            reply({.how = kv_answer::state::unknown});
        }
        if (down || (lost && chance(500)))
        {
            return;
        }
        schedule(milliseconds(draw(lost ? 5000 : 60)),
                 [this, reply, lost, operation = call.operation]
                 {
                     kv_answer answer = store_.call(clock_.now(), operation);
                     if (!lost)
                     {
                         reply(std::move(answer));
                     }
                 });
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
            entry_tick(index);
        }
    }

    template <class Process>
    bool deliver_queued(Process& process)
    {
        if (clock_.now() < process.paused_until)
        {
            return false;
        }
        while (!process.inbox.empty())
        {
            const auto action = std::move(process.inbox.front());
            process.inbox.pop_front();
            action();
        }
        return true;
    }

    void entry_tick(std::size_t index)
    {
        simulated_entry& process = entries_[index];
        if (!deliver_queued(process))
        {
            return;
        }
        std::set<std::string> gone;
        for (std::size_t guard = 0; guard < guards_.size(); ++guard)
        {
            if (guards_[guard].gone &&
                clock_.now() - guards_[guard].gone_at > seconds(6))
            {
                gone.insert("g" + std::to_string(guard));
            }
        }
        task_actions actions;
        process.core->on_gone(clock_.now(), gone, process.guards.all());
        process.core->on_tick(clock_.now(), process.guards.all(),
                              {"e0", "e1", "e2"}, actions);
        process_actions(index, actions);
    }

    void guard_tick(std::size_t index)
    {
        simulated_guard& process = guards_[index];
        if (process.gone || !deliver_queued(process))
        {
            return;
        }
        if (process.evict)
        {
            const auto [task, number] = *std::exchange(process.evict, {});
            command(index, {worker_stop{.name = {task, number},
                                        .keep_checkpoint = true}});
        }
        worker_actions actions;
        process.tracker->on_tick(clock_.now(), actions);
        command(index, actions);
        if (!process.polling && chance(300))
        {
            poll(index);
        }
        if (chance(150))
        {
            heartbeat(index);
        }
    }

    void poll(std::size_t index)
    {
        simulated_guard& process = guards_[index];
        process.polling = true;
        const int generation = process.generation;
        schedule(milliseconds(draw(40)),
                 [this, index, generation]
                 {
                     const auto list = guards_[index].worker.list(clock_.now());
                     const duration clock = clock_.now().time_since_epoch();
                     schedule(milliseconds(draw(40)),
                              [this, index, generation, list, clock]
                              {
                                  simulated_guard& current = guards_[index];
                                  if (current.generation != generation)
                                  {
                                      return;
                                  }
                                  current.polling = false;
                                  worker_actions actions;
                                  current.tracker->on_worker_list(
                                      clock_.now(), clock, list, actions);
                                  command(index, actions);
                              });
                 });
    }

    void heartbeat(std::size_t index)
    {
        const simulated_guard& process = guards_[index];
        const guard_report report{.guard = {"g" + std::to_string(index)},
                                  .incarnation = process.incarnation,
                                  .address = "g" + std::to_string(index),
                                  .ready = true,
                                  .tasks_ready = process.tracker->ready(),
                                  .capacity = process.tracker->capacity(),
                                  .free = process.tracker->free(),
                                  .attempts = process.tracker->reports()};
        for (std::size_t entry = 0; entry < entries_.size(); ++entry)
        {
            send(entries_[entry],
                 [this, entry, index, report, generation = process.generation]
                 {
                     entries_[entry].guards.on_heartbeat(clock_.now(), report);
                     task_actions actions;
                     const auto acked = entries_[entry].core->on_report(
                         clock_.now(), report, actions);
                     process_actions(entry, actions);
                     acknowledge(index, generation, acked);
                 });
        }
    }

    void acknowledge(std::size_t index, int generation,
                     const std::vector<attempt_ack>& acked)
    {
        send(guards_[index],
             [this, index, generation, acked]
             {
                 if (guards_[index].generation != generation)
                 {
                     return;
                 }
                 worker_actions actions;
                 guards_[index].tracker->on_acked(clock_.now(), acked, actions);
                 command(index, actions);
             });
    }

    std::vector<std::string> unfinished_tasks() const
    {
        std::vector<std::string> tasks;
        for (const std::string& task : accepted_)
        {
            const bool ended = std::any_of(
                entries_.begin(), entries_.end(),
                [&](const simulated_entry& process)
                {
                    const task_record* const record = process.core->find(task);
                    return record != nullptr && is_final(record->state);
                });
            if (!ended)
            {
                tasks.push_back(task);
            }
        }
        return tasks;
    }

    bool all_ended() const
    {
        return unfinished_tasks().empty();
    }

    std::string describe(const std::string& task) const
    {
        std::string text = task;
        for (const simulated_entry& process : entries_)
        {
            if (const task_record* const record = process.core->find(task))
            {
                text += " " + json(*record).dump();
            }
        }
        return text;
    }

    std::mt19937 random_;
    task_faults faults_;
    manual_clock clock_;
    memory_store store_;
    time_point store_down_until_{};
    std::array<simulated_entry, 3> entries_;
    std::array<simulated_guard, 3> guards_;
    std::multimap<time_point, std::function<void()>> due_;
    std::set<std::string> accepted_;
    task_call next_call_ = 0;
};

} // namespace

TEST_CASE("tasks are not lost, do not overlap and finish once under faults")
{
    std::size_t accepted = 0;
    std::size_t simulations = 0;
    const bool passed =
        rc::check("no overlap, no loss, one end, capacity respected",
                  [&](std::uint32_t seed)
                  {
                      const auto rate = [](int limit)
                      {
                          return *rc::gen::inRange(0, limit);
                      };
                      const task_faults faults{.lost = rate(100),
                                               .store_lost = rate(150),
                                               .pause = rate(6),
                                               .kill_entry = rate(6),
                                               .kill_guard = rate(6),
                                               .lose_worker = rate(2),
                                               .evict = rate(20),
                                               .cancel = rate(20),
                                               .fail = rate(100),
                                               .store_down = rate(4)};
                      task_simulation simulation(seed, faults);
                      simulation.run(600);
                      simulation.check();
                      accepted += simulation.accepted();
                      ++simulations;
                  });
    CHECK(passed);
    CHECK(accepted > 20 * simulations); // the checks had tasks to check
    MESSAGE(accepted << " tasks in " << simulations << " simulations");
}
