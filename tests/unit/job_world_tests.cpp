// Holders that fall and linger, guards that restart, workers that crash,
// messages that are lost or carried out late, a store that loses answers, data
// centres that an operator closes and opens: every task runs in one place, in
// order, to one end.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <springstair/guard.hpp>
#include <springstair/scheduler.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds(10);
constexpr resources capacity{.cpu_millis = 4000, .memory_mb = 4000};
constexpr std::int64_t most_attempts = 3;
constexpr std::size_t guard_count = 4;
constexpr std::int64_t crashes_to_give_up = 2;
constexpr std::int64_t most_crashes = 3;
// Of a task under which so many executors have crashed, by guards in touch:
// neither started nor cut off for so long before.
constexpr std::int64_t most_starts_after = 2;
constexpr duration in_touch_after = seconds(3);
constexpr std::size_t data_centre_count = 2;
// No run begins in a data centre later than this after it was closed.
constexpr duration close_within = seconds(5);
// A watch may hear nothing of a change for so long (platform).
constexpr int deaf_watch_ms = 1000;

// Chances in a hundred thousand, at each step or message.
struct job_faults
{
    int order_lost = 0; ///< never done, no answer
    int order_late = 0; ///< done seconds later, no answer
    int report_lost = 0;
    int report_held = 0; ///< comes again seconds later, when none may wait
    int beat_held = 0;   ///< of an executor, likewise
    int write_lost = 0;  ///< half of them are done
    int takeover = 0;    ///< the old holder lingers
    int kill_guard = 0;
    int crash_worker = 0;
    int cut_guard = 0; ///< from all holders, for seconds
    int fail = 0;
    int cancel = 0;
    int crashing_job = 0; ///< its first task ends each executor that starts it
    int close = 0;        ///< a data centre is closed, or opened again
    int cut_watch = 0;    ///< a holder hears nothing of the operator, seconds
};

// One run at a worker, for the check of histories.
struct run_interval
{
    std::string task;
    std::int64_t run = 0;
    std::string life;
    time_point begin;
    time_point end = time_point::max();
    std::string how;
    bool acknowledged = false;
    bool lapsed = false; ///< the lease ran out before it was acknowledged
    time_point acknowledged_at = time_point::max();
};

// An executor: runs tasks under one lease on its own slow clock. It does not
// guard its capacity.
struct fake_executor
{
    struct at_work
    {
        std::int64_t run = 0;
        time_point done_at;
        bool fails = false;
        std::size_t interval = 0;
        resources demand;
    };

    std::string life;
    double rate = 1; ///< of its clock
    time_point born;
    std::int64_t fence = 0;
    std::int64_t deadline = 0;
    std::map<std::string, at_work> running;
    std::map<std::string, std::int64_t> closed; ///< highest run ended there
    std::vector<std::pair<ended_task, std::size_t>> ended;
    std::int64_t numbers = 0;

    [[nodiscard]] std::int64_t clock(time_point now) const
    {
        return static_cast<std::int64_t>(
            static_cast<double>(to_milliseconds(now - born)) * rate);
    }
};

class job_world
{
public:
    job_world(std::uint32_t seed, job_faults faults)
        : random_(seed), faults_(faults)
    {
        table_ = {.version = 1,
                  .queues = {{.name = "q",
                              .service = "s",
                              .most_attempts = most_attempts,
                              .stretch = 2,
                              .target_ms = 1000}}};
        for (std::size_t index = 0; index < guard_count; ++index)
        {
            guards_[index].name = "guard-" + std::to_string(index);
            begin_life(index);
        }
        take_over();
    }

    void run(duration length, bool submitting)
    {
        const time_point until = now_ + length;
        while (now_ < until)
        {
            if (submitting && draw(100'000) < 1500)
            {
                submit();
            }
            break_things();
            advance();
        }
    }

    void calm()
    {
        faults_ = {};
        for (auto& [name, changes] : closures_)
        {
            changes[now_] = false;
        }
    }

    void check_histories() const
    {
        for (std::size_t left = 0; left < past_.size(); ++left)
        {
            for (std::size_t right = 0; right < left; ++right)
            {
                check_pair(past_[left], past_[right]);
            }
        }
        RC_ASSERT(!overfull_);
        RC_ASSERT(begun_in_closed_ == 0);
    }

    void check_all_ended() const
    {
        for (const auto& [id, what] : jobs_)
        {
            const auto state = holder_.core->shown(id, now_, now_);
            RC_ASSERT(state.has_value());
            RC_ASSERT(is_final(*state));
            if (*state == job_state::succeeded)
            {
                check_done(what);
            }
            const bool unfounded =
                *state == job_state::failed && !has_cause(what);
            if (unfounded)
            {
                tell_job(id);
            }
            RC_ASSERT(!unfounded);
        }
        // Nothing runs on that nobody wants any more.
        for (const guard_process& guard : guards_)
        {
            RC_ASSERT(guard.executor.running.empty());
        }
    }

private:
    struct holder_process
    {
        std::shared_ptr<scheduler_core> core;
        std::int64_t epoch = 0;
        time_point verified;
        std::optional<commit_batch> batch;
        bool writing = false;
        time_point next_hearing{}; ///< of what the operator has closed
    };

    struct guard_process
    {
        std::string name;
        std::shared_ptr<run_keeper> keeper;
        std::string incarnation;
        std::int64_t sequence = 0;
        std::int64_t holder = 0; ///< epoch of the one it reports to
        bool reporting = false;
        time_point next_report{};
        time_point next_heartbeat{};
        time_point cut_until{};
        time_point began{}; ///< the guard, not its executor
        fake_executor executor;
        std::int64_t lives = 0;
    };

    int draw(int below)
    {
        return std::uniform_int_distribution<int>(0, below - 1)(random_);
    }

    bool chance(int of)
    {
        return draw(100'000) < of;
    }

    void later(duration after, std::function<void()> what)
    {
        events_.emplace(now_ + after, std::move(what));
    }

    duration delay()
    {
        return milliseconds(1 + draw(8));
    }

    // Jobs -------------------------------------------------------------------

    duration held()
    {
        return milliseconds(500 + draw(7000));
    }

    void submit()
    {
        job what{.id = "job-" + std::to_string(jobs_.size()),
                 .queue = "q",
                 .payload = "p"};
        const int steps = 1 + draw(3);
        for (int number = 0; number < steps; ++number)
        {
            job_step one{
                .count = 1 + draw(4),
                .demand = {.cpu_millis = 500 + 500 * draw(3), .memory_mb = 200},
                .estimate_ms = 500,
                .checkpoints = draw(2) == 0};
            if (number > 0)
            {
                one.after = {static_cast<std::size_t>(number - 1)};
            }
            what.steps.push_back(one);
        }
        jobs_[what.id] = what;
        if (chance(faults_.crashing_job))
        {
            crashing_.insert(what.id + ".0.0.0");
        }
        holder_.core->accept(what, now_);
    }

    // The store --------------------------------------------------------------

    void write(const std::shared_ptr<holder_process>& by)
    {
        if (by->writing)
        {
            return;
        }
        if (!by->batch)
        {
            by->batch = by->core->next_commit(now_);
        }
        if (!by->batch)
        {
            return;
        }
        by->writing = true;
        const bool lost = chance(faults_.write_lost);
        const bool done = !lost || draw(2) == 0;
        const time_point sent = now_;
        later(delay(),
              [this, by, lost, done, sent]
              {
                  const bool applied = done && apply(*by);
                  later(lost ? milliseconds(250) : delay(),
                        [this, by, lost, applied, sent]
                        { written(by, lost, applied, sent); });
              });
    }

    bool apply(const holder_process& by)
    {
        if (by.epoch != epoch_ || !by.batch)
        {
            return false;
        }
        for (const progress_write& one : *by.batch)
        {
            if (progress_[one.job].second != one.expected_revision)
            {
                return false;
            }
        }
        ++revision_;
        for (const progress_write& one : *by.batch)
        {
            progress_[one.job] = {one.text, revision_};
        }
        return true;
    }

    void written(const std::shared_ptr<holder_process>& by, bool lost,
                 bool applied, time_point sent)
    {
        by->writing = false;
        if (lost)
        {
            return; // the same batch is written again
        }
        const auto& first = by->batch->front();
        const auto& stored = progress_[first.job];
        const bool before = stored.first == first.text &&
                            stored.second > first.expected_revision;
        if (by->epoch != epoch_ || (!applied && !before))
        {
            by->core.reset(); // superseded: this process holds nothing
            return;
        }
        by->verified = sent;
        by->core->committed(*by->batch, stored.second, now_);
        by->batch.reset();
    }

    // Holders ----------------------------------------------------------------

    void take_over()
    {
        if (current_)
        {
            lingering_.push_back(current_);
        }
        epoch_ = ++revision_;
        current_ = std::make_shared<holder_process>();
        current_->core = std::make_shared<scheduler_core>(
            scheduler_options{.closing = {.close_within = close_within}});
        current_->epoch = epoch_;
        current_->verified = now_;
        scheduler_core& core = *current_->core;
        core.take_office(epoch_, now_);
        core.set_table(table_);
        for (const auto& [id, what] : jobs_)
        {
            const auto found = progress_.find(id);
            const bool known =
                found != progress_.end() && found->second.second > 0;
            core.adopt(what,
                       known
                           ? std::optional(decode_progress(found->second.first))
                           : std::nullopt,
                       known ? found->second.second : 0, now_, 0);
        }
        core.begin(now_);
        for (const std::string& id : cancelled_)
        {
            core.cancel(id, now_);
        }
        holder_ = *current_;
    }

    std::shared_ptr<holder_process> holder_of(std::int64_t epoch)
    {
        if (current_->epoch == epoch)
        {
            return current_;
        }
        for (const auto& one : lingering_)
        {
            if (one->epoch == epoch && one->core)
            {
                return one;
            }
        }
        return nullptr;
    }

    void serve(const std::shared_ptr<holder_process>& by)
    {
        if (!by->core)
        {
            return;
        }
        hear_operator(*by);
        by->core->tick(now_, 0);
        write(by);
        for (addressed_orders& one : by->core->take_orders())
        {
            deliver(one);
        }
        for (const decision& one : by->core->take_decisions())
        {
            story_.push_back(told(one, by->epoch));
        }
    }

    // The store's answer is on its way for a moment. A deaf watch tells that
    // nothing has changed for up to a second.
    void hear_operator(holder_process& by)
    {
        if (now_ < by.next_hearing)
        {
            return;
        }
        by.next_hearing = now_ + milliseconds(100 + draw(900));
        if (chance(faults_.cut_watch))
        {
            by.next_hearing = now_ + milliseconds(1000 + draw(9000));
        }
        const bool deaf = draw(4) == 0;
        const time_point asked =
            deaf ? now_ - milliseconds(draw(deaf_watch_ms)) : now_;
        later(delay(),
              [core = by.core, this, sent = now_, names = closed_at(asked)]
              { core->set_closed({.names = names, .known_at = sent}, now_); });
    }

    static std::string data_centre_of(std::size_t index)
    {
        return "dc-" + std::to_string(index % data_centre_count);
    }

    [[nodiscard]] std::set<std::string> closed_at(time_point when) const
    {
        std::set<std::string> names;
        for (const auto& [name, changes] : closures_)
        {
            const auto after = changes.upper_bound(when);
            if (after != changes.begin() && std::prev(after)->second)
            {
                names.insert(name);
            }
        }
        return names;
    }

    // Whether a run may begin there now.
    [[nodiscard]] bool may_begin(std::size_t index) const
    {
        const auto found = closures_.find(data_centre_of(index));
        if (found == closures_.end())
        {
            return true;
        }
        const auto& [since, closed] = *found->second.rbegin();
        return !closed || now_ - since <= close_within;
    }

    void deliver(const addressed_orders& one)
    {
        const auto index =
            static_cast<std::size_t>(std::stoi(one.guard.substr(6)));
        const bool is_cut = now_ < guards_[index].cut_until;
        if (chance(faults_.report_lost) || is_cut)
        {
            if (is_cut && chance(faults_.report_held))
            {
                // What a cut holds back arrives when it heals.
                later(guards_[index].cut_until - now_ + delay(),
                      [this, index, orders = one.orders]
                      { guards_[index].keeper->on_orders(orders, now_); });
            }
            return;
        }
        later(delay(), [this, index, orders = one.orders]
              { guards_[index].keeper->on_orders(orders, now_); });
    }

    // Guards -----------------------------------------------------------------

    void begin_life(std::size_t index)
    {
        guard_process& guard = guards_[index];
        for (auto& [task, work] : guard.executor.running)
        {
            past_[work.interval].end = now_;
            past_[work.interval].how = "crashed";
            ++crashes_[task];
            ++went_with_executor_[task];
        }
        // An end that was not taken note of went with the executor, too: by
        // the platform's rules the run has not ended.
        for (const auto& [one, interval] : guard.executor.ended)
        {
            went_with_executor_[one.task] +=
                past_[interval].acknowledged ? 0 : 1;
        }
        guard.executor = {.life = guard.name + "-life-" +
                                  std::to_string(++guard.lives),
                          .rate = draw(2) == 0 ? 1.0 : 0.98,
                          .born = now_};
        if (!guard.keeper)
        {
            begin_guard(index);
        }
    }

    void begin_guard(std::size_t index)
    {
        guard_process& guard = guards_[index];
        guard.keeper = std::make_shared<run_keeper>(
            run_keeper_options{.stop_time = milliseconds(200)});
        guard.incarnation = std::to_string(++revision_);
        guard.began = now_;
        guard.sequence = 0;
        guard.reporting = false;
        guard.next_report = now_;
        guard.next_heartbeat = now_ + milliseconds(draw(1000));
    }

    void serve(std::size_t index)
    {
        guard_process& guard = guards_[index];
        if (now_ >= guard.next_heartbeat)
        {
            guard.next_heartbeat = now_ + milliseconds(1000);
            beat(index);
        }
        for (const keeper_action& action : guard.keeper->due(now_))
        {
            std::visit([&](const auto& one) { order(index, one); }, action);
        }
        if (guard.keeper->take_news())
        {
            guard.next_report = std::min(guard.next_report, now_ + step);
        }
        if (!guard.reporting && now_ >= guard.next_report)
        {
            report(index);
        }
    }

    void beat(std::size_t index)
    {
        const worker_description what{.life = guards_[index].executor.life,
                                      .service = "s",
                                      .data_centre = data_centre_of(index),
                                      .capacity = capacity};
        const std::int64_t clock = guards_[index].executor.clock(now_);
        guards_[index].keeper->on_worker(what, clock, now_);
        if (!chance(faults_.beat_held))
        {
            return;
        }
        later(held(),
              [this, index, what, clock]
              {
                  // Numbers order the heartbeats of one life.
                  if (guards_[index].executor.life != what.life)
                  {
                      guards_[index].keeper->on_worker(what, clock, now_);
                  }
              });
    }

    // A held report comes to a holder that it was sent to, or to a process
    // that holds the jobs by now; nobody waits for the answer.
    void hold_back(const worker_report& out,
                   const std::shared_ptr<holder_process>& sent_to)
    {
        later(held(),
              [this, out, sent_to]
              {
                  const auto to = draw(2) == 0 ? sent_to : current_;
                  if (to->core)
                  {
                      to->core->report(out, now_, to->verified);
                  }
              });
    }

    void report(std::size_t index)
    {
        guard_process& guard = guards_[index];
        if (draw(4) == 0 || !holder_of(guard.holder))
        {
            guard.holder = current_->epoch; // it learns of a new holder
        }
        guard.reporting = true;
        worker_report out = guard.keeper->report(now_);
        out.guard = guard.name;
        out.incarnation = guard.incarnation;
        out.sequence = ++guard.sequence;
        const time_point sent = now_;
        const auto to = holder_of(guard.holder);
        const auto keeper = guard.keeper;
        const bool lost =
            !to || chance(faults_.report_lost) || now_ < guard.cut_until;
        if (to && chance(faults_.report_held))
        {
            hold_back(out, to);
        }
        if (lost)
        {
            later(milliseconds(300), [this, index, keeper]
                  { end_report(index, keeper, milliseconds(120)); });
            return;
        }
        later(delay(),
              [this, index, out, sent, to, keeper]
              {
                  if (!to->core)
                  {
                      end_report(index, keeper, milliseconds(120));
                      return;
                  }
                  const report_answer answer =
                      to->core->report(out, now_, to->verified);
                  note_acknowledged(index, out.worker.life,
                                    answer.orders.acknowledged);
                  later(delay(),
                        [this, index, out, sent, answer, keeper]
                        {
                            keeper->on_answer(answer, out, sent, now_);
                            end_report(index, keeper, milliseconds(400));
                        });
              });
    }

    void end_report(std::size_t index, const std::shared_ptr<run_keeper>& of,
                    duration pause)
    {
        guard_process& guard = guards_[index];
        if (guard.keeper == of)
        {
            guard.reporting = false;
            guard.next_report = now_ + pause;
        }
    }

    // An end that the holder acknowledges is in the store.
    void note_acknowledged(std::size_t index, const std::string& life,
                           std::int64_t number)
    {
        fake_executor& at = guards_[index].executor;
        if (at.life != life)
        {
            return;
        }
        for (const auto& [end, interval] : at.ended)
        {
            if (end.number <= number && !past_[interval].acknowledged &&
                !past_[interval].lapsed)
            {
                past_[interval].acknowledged = true;
                past_[interval].acknowledged_at = now_;
            }
        }
    }

    // Workers ----------------------------------------------------------------

    // An order reaches its executor, answered or not, now or late.
    template <class Order>
    void order(std::size_t index, const Order& what)
    {
        const auto keeper = guards_[index].keeper;
        const bool late = chance(faults_.order_late);
        const bool lost = !late && chance(faults_.order_lost);
        if (late || lost)
        {
            if (late)
            {
                later(milliseconds(2000 + draw(4000)),
                      [this, index, what]
                      {
                          is_late_ = true; // no bound of time holds for it
                          static_cast<void>(carry_out(index, what));
                          is_late_ = false;
                      });
            }
            later(milliseconds(300), [this, keeper, what]
                  { answer(*keeper, what, order_result::unanswered); });
            return;
        }
        later(milliseconds(1),
              [this, index, what, keeper]
              {
                  const order_result result = carry_out(index, what);
                  std::optional<worker_look> look;
                  if (result == order_result::accepted)
                  {
                      look = look_of(guards_[index].executor);
                  }
                  later(milliseconds(1), [this, keeper, what, result, look]
                        { answer(*keeper, what, result, look); });
              });
    }

    void answer(run_keeper& to, const start_run& what, order_result result,
                const std::optional<worker_look>& /*look*/ = {})
    {
        to.on_started(what.order.task, what.order.run, result, now_);
    }
    void answer(run_keeper& to, const stop_run& what, order_result result,
                const std::optional<worker_look>& /*look*/ = {})
    {
        to.on_stopped(what.order.task, what.order.run, result, now_);
    }
    void answer(run_keeper& to, const pace_run& what, order_result result,
                const std::optional<worker_look>& /*look*/ = {})
    {
        to.on_paced(what, result);
    }
    void answer(run_keeper& to, const look_at_worker& what, order_result result,
                const std::optional<worker_look>& look = {})
    {
        to.on_looked(what.life, result, look, now_ - milliseconds(2), now_);
    }

    worker_look look_of(const fake_executor& at) const
    {
        worker_look out{.clock_ms = at.clock(now_)};
        for (const auto& [task, work] : at.running)
        {
            out.running.push_back({.task = task,
                                   .run = work.run,
                                   .checkpoint = "c",
                                   .percent = draw_percent(work)});
        }
        for (const auto& [end, interval] : at.ended)
        {
            out.ended.push_back(end);
        }
        return out;
    }

    std::int64_t draw_percent(const fake_executor::at_work& work) const
    {
        return 99 - std::min<std::int64_t>(
                        99, to_milliseconds(work.done_at - now_) / 20);
    }

    bool admits(fake_executor& at, const std::string& life,
                std::int64_t epoch) const
    {
        if (at.life != life || epoch < at.fence)
        {
            return false;
        }
        at.fence = epoch;
        return true;
    }

    order_result refusal(const fake_executor& at, const std::string& life) const
    {
        return at.life == life ? order_result::fenced
                               : order_result::other_life;
    }

    order_result carry_out(std::size_t index, const start_run& what)
    {
        fake_executor& at = guards_[index].executor;
        if (!admits(at, what.life, what.epoch))
        {
            return refusal(at, what.life);
        }
        const std::string& task = what.order.task;
        at.deadline = std::max(at.deadline, what.deadline_ms);
        const auto found = at.running.find(task);
        if (found != at.running.end() && found->second.run == what.order.run)
        {
            return order_result::accepted;
        }
        if (found != at.running.end() || at.closed[task] >= what.order.run)
        {
            return order_result::stale;
        }
        if (what.deadline_ms <= at.clock(now_))
        {
            return order_result::late;
        }
        if (!is_late_ && !may_begin(index))
        {
            ++begun_in_closed_;
        }
        start(at, task, what.order.run);
        return order_result::accepted;
    }

    void start(fake_executor& at, const std::string& task, std::int64_t run)
    {
        const auto name = *task_name::parse(task);
        const job_step& of =
            jobs_.at(name.job).steps[static_cast<std::size_t>(name.at.step)];
        past_.push_back(
            {.task = task, .run = run, .life = at.life, .begin = now_});
        count_start_after_crashes(task, at);
        at.running[task] = {.run = run,
                            .done_at = now_ + milliseconds(100 + draw(1500)),
                            .fails = chance(faults_.fail),
                            .interval = past_.size() - 1,
                            .demand = of.demand};
        resources used;
        for (const auto& [other, work] : at.running)
        {
            used += work.demand;
        }
        overfull_ = overfull_ || !used.fits(capacity);
        check_start(name);
    }

    void count_start_after_crashes(const std::string& task,
                                   const fake_executor& at)
    {
        const auto guard =
            std::ranges::find_if(guards_, [&](const guard_process& one)
                                 { return &one.executor == &at; });
        const bool in_touch = now_ - guard->began >= in_touch_after &&
                              now_ - guard->cut_until >= in_touch_after;
        if (!in_touch || !crashing_.contains(task) ||
            crashes_[task] < most_crashes)
        {
            return;
        }
        if (++starts_after_[task] > most_starts_after)
        {
            tell(task);
        }
        RC_ASSERT(starts_after_[task] <= most_starts_after);
    }

    // ORDER and BUDGET at the moment of a start.
    void check_start(const task_name& name) const
    {
        const job& of = jobs_.at(name.job);
        for (const std::size_t before :
             of.steps[static_cast<std::size_t>(name.at.step)].after)
        {
            for (std::int64_t index = 0; index < of.steps[before].count;
                 ++index)
            {
                RC_ASSERT(ended_so({name.job,
                                    {.step = static_cast<std::int64_t>(before),
                                     .index = index}},
                                   "done") > 0);
            }
        }
        std::int64_t failed = 0;
        for (const run_interval& one : past_)
        {
            const bool counts = one.task == name.text() &&
                                one.how == "failed" && one.acknowledged;
            failed += counts ? 1 : 0;
        }
        RC_ASSERT(failed < most_attempts);
    }

    std::int64_t ended_so(const task_name& name, const std::string& how) const
    {
        const std::string text = name.text();
        return std::count_if(past_.begin(), past_.end(),
                             [&](const run_interval& one)
                             { return one.task == text && one.how == how; });
    }

    order_result carry_out(std::size_t index, const stop_run& what)
    {
        fake_executor& at = guards_[index].executor;
        if (!admits(at, what.life, what.epoch))
        {
            return refusal(at, what.life);
        }
        const std::string task = what.order.task;
        at.closed[task] = std::max(at.closed[task], what.order.run);
        const auto found = at.running.find(task);
        if (found != at.running.end() && found->second.run <= what.order.run)
        {
            later(milliseconds(50),
                  [this, index, task, life = at.life]
                  {
                      fake_executor& now_at = guards_[index].executor;
                      if (now_at.life == life && now_at.running.contains(task))
                      {
                          end(now_at, task, run_end::stopped);
                      }
                  });
        }
        return order_result::accepted;
    }

    order_result carry_out(std::size_t /*index*/, const pace_run& /*what*/)
    {
        return order_result::accepted;
    }

    order_result carry_out(std::size_t index, const look_at_worker& what)
    {
        fake_executor& at = guards_[index].executor;
        if (!admits(at, what.life, what.epoch))
        {
            return refusal(at, what.life);
        }
        at.deadline = std::max(at.deadline, what.deadline_ms.value_or(0));
        std::erase_if(at.ended, [&](const auto& one)
                      { return one.first.number <= what.acknowledged; });
        return order_result::accepted;
    }

    void end(fake_executor& at, const std::string& task, run_end how)
    {
        const fake_executor::at_work work = at.running.at(task);
        at.running.erase(task);
        at.closed[task] = std::max(at.closed[task], work.run);
        past_[work.interval].end = now_;
        past_[work.interval].how = std::string(to_string(how));
        at.ended.emplace_back(ended_task{.number = ++at.numbers,
                                         .task = task,
                                         .run = work.run,
                                         .how = how,
                                         .checkpoint = "c"},
                              work.interval);
    }

    void settle(fake_executor& at)
    {
        std::vector<std::pair<std::string, run_end>> over;
        for (const auto& [task, work] : at.running)
        {
            if (at.clock(now_) >= at.deadline)
            {
                over.emplace_back(task, run_end::lapsed);
            }
            else if (now_ >= work.done_at)
            {
                over.emplace_back(task,
                                  work.fails ? run_end::failed : run_end::done);
            }
        }
        for (const auto& [task, how] : over)
        {
            end(at, task, how);
        }
        if (at.clock(now_) < at.deadline)
        {
            return;
        }
        // The platform: an end that a lapse parts from its acknowledgement
        // does not count.
        for (const auto& [one, interval] : at.ended)
        {
            past_[interval].lapsed =
                past_[interval].lapsed || !past_[interval].acknowledged;
        }
    }

    // Faults and time --------------------------------------------------------

    void break_things()
    {
        if (chance(faults_.takeover))
        {
            take_over();
        }
        for (std::size_t index = 0; index < guard_count; ++index)
        {
            guard_process& guard = guards_[index];
            if (chance(faults_.kill_guard))
            {
                begin_guard(index);
            }
            if (chance(faults_.crash_worker))
            {
                begin_life(index);
            }
            if (chance(faults_.cut_guard))
            {
                guard.cut_until = now_ + milliseconds(1000 + draw(14'000));
            }
        }
        if (chance(faults_.close))
        {
            auto& changes = closures_[data_centre_of(
                static_cast<std::size_t>(draw(data_centre_count)))];
            changes[now_] = changes.empty() || !changes.rbegin()->second;
        }
        if (chance(faults_.cancel) && !jobs_.empty())
        {
            const std::string id =
                "job-" + std::to_string(draw(static_cast<int>(jobs_.size())));
            cancelled_.insert(id);
            current_->core->cancel(id, now_);
        }
    }

    void crash_if_told(std::size_t index)
    {
        for (const auto& [task, work] : guards_[index].executor.running)
        {
            if (crashing_.contains(task))
            {
                begin_life(index);
                return;
            }
        }
    }

    void advance()
    {
        now_ += step;
        while (!events_.empty() && events_.begin()->first <= now_)
        {
            const auto what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
        for (std::size_t index = 0; index < guard_count; ++index)
        {
            crash_if_told(index);
            settle(guards_[index].executor);
            serve(index);
        }
        serve(current_);
        for (const auto& one : lingering_)
        {
            serve(one);
        }
        holder_ = *current_;
    }

    // Checks -----------------------------------------------------------------

    void check_pair(const run_interval& one, const run_interval& other) const
    {
        if (one.task != other.task)
        {
            return;
        }
        const bool apart = one.end <= other.begin || other.end <= one.begin;
        if (!apart)
        {
            tell(one);
            tell(other);
        }
        RC_ASSERT(apart);
        check_after_done(one, other);
        check_after_done(other, one);
    }

    [[nodiscard]] std::string told(const decision& one,
                                   std::int64_t epoch) const
    {
        std::string line = std::to_string(to_milliseconds(
                               now_ - time_point{} - std::chrono::hours(1))) +
                           " epoch " + std::to_string(epoch) + " event " +
                           std::to_string(static_cast<int>(one.id));
        for (const event_field& field : one.fields)
        {
            line += " " + std::string(field.name) + "=" + field.value;
        }
        return line;
    }

    void tell(const run_interval& one) const
    {
        const std::string guard = one.life.substr(0, one.life.find("-life"));
        for (const std::string& line : story_)
        {
            const bool concerns = line.find(one.task) != std::string::npos ||
                                  (line.find(guard) != std::string::npos &&
                                   line.find("event 164") != std::string::npos);
            if (concerns)
            {
                RC_LOG() << line << "\n";
            }
        }
        const auto at = [](time_point when)
        {
            return when == time_point::max()
                       ? -1
                       : to_milliseconds(when - time_point{} -
                                         std::chrono::hours(1));
        };
        RC_LOG() << one.task << " run " << one.run << " on " << one.life
                 << " from " << at(one.begin) << " to " << at(one.end) << " "
                 << one.how << "\n";
    }

    void tell(const std::string& task) const
    {
        for (const run_interval& one : past_)
        {
            if (one.task == task)
            {
                tell(one);
            }
        }
    }

    // Nothing starts once an end has been acknowledged as done.
    void check_after_done(const run_interval& done,
                          const run_interval& start) const
    {
        const bool wrong = done.how == "done" && done.acknowledged &&
                           start.begin > done.acknowledged_at;
        if (wrong)
        {
            tell(done);
            tell(start);
        }
        RC_ASSERT(!wrong);
    }

    void tell_job(const std::string& id) const
    {
        for (const run_interval& one : past_)
        {
            if (one.task.starts_with(id + "."))
            {
                tell(one);
            }
        }
    }

    // A task of it failed, or executors crashed under it, often enough.
    [[nodiscard]] bool has_cause(const job& what) const
    {
        const std::string prefix = what.id + ".";
        const bool crashed =
            std::ranges::any_of(went_with_executor_,
                                [&](const auto& entry)
                                {
                                    return entry.first.starts_with(prefix) &&
                                           entry.second >= crashes_to_give_up;
                                });
        return crashed ||
               std::ranges::any_of(past_,
                                   [&](const run_interval& one) {
                                       return one.task.starts_with(prefix) &&
                                              one.how == "failed";
                                   });
    }

    void check_done(const job& what) const
    {
        for (std::size_t number = 0; number < what.steps.size(); ++number)
        {
            for (std::int64_t index = 0; index < what.steps[number].count;
                 ++index)
            {
                const task_name name{what.id,
                                     {.step = static_cast<std::int64_t>(number),
                                      .index = index}};
                RC_ASSERT(ended_so(name, "done") > 0);
            }
        }
    }

    std::mt19937 random_;
    job_faults faults_;
    time_point now_{std::chrono::hours(1)};
    std::multimap<time_point, std::function<void()>> events_;
    queue_table table_;
    std::map<std::string, job> jobs_;
    std::set<std::string> cancelled_;
    std::set<std::string> crashing_; ///< tasks that end their executors
    std::map<std::string, std::int64_t> crashes_; ///< under each task
    std::map<std::string, std::int64_t> went_with_executor_;
    std::map<std::string, std::int64_t> starts_after_;
    std::map<std::string, std::pair<std::string, std::int64_t>> progress_;
    std::int64_t revision_ = 0;
    std::int64_t epoch_ = 0;
    std::shared_ptr<holder_process> current_;
    holder_process holder_;
    std::vector<std::shared_ptr<holder_process>> lingering_;
    std::array<guard_process, guard_count> guards_;
    std::vector<run_interval> past_;
    bool overfull_ = false;
    /// Of each data centre, when it was closed (true) and opened.
    std::map<std::string, std::map<time_point, bool>> closures_;
    bool is_late_ = false; ///< the order at hand is carried out late
    int begun_in_closed_ = 0;
    std::vector<std::string> story_; ///< every decision, for a failed check
};

} // namespace

TEST_CASE("jobs survive everything, each task in one place, to one end")
{
    CHECK(rc::check("under faults",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
                        const job_faults faults{
                            .order_lost = *rc::gen::element(0, 2000, 10'000),
                            .order_late = *rc::gen::element(0, 2000, 10'000),
                            .report_lost = *rc::gen::element(0, 3000, 20'000),
                            .report_held = *rc::gen::element(0, 3000, 20'000),
                            .beat_held = *rc::gen::element(0, 10'000, 50'000),
                            .write_lost = *rc::gen::element(0, 5000, 30'000),
                            .takeover = *rc::gen::element(0, 50, 300),
                            .kill_guard = *rc::gen::element(0, 20, 100),
                            .crash_worker = *rc::gen::element(0, 10, 60),
                            .cut_guard = *rc::gen::element(0, 20, 60),
                            .fail = *rc::gen::element(0, 5000, 30'000),
                            .cancel = *rc::gen::element(0, 100),
                            .crashing_job = *rc::gen::element(0, 0, 10'000),
                            .close = *rc::gen::element(0, 100, 400),
                            .cut_watch = *rc::gen::element(0, 5000, 20'000)};
                        job_world world(seed, faults);
                        world.run(seconds(20), true);
                        world.check_histories();
                        world.calm();
                        world.run(seconds(40), false);
                        world.check_histories();
                        world.check_all_ended();
                    }));
}
