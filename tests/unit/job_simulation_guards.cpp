// The guards of the simulation, and their executors.

#include "job_simulation.hpp"

#include <rapidcheck.h>

#include <algorithm>

namespace springstair::job_simulations
{

void job_simulation::begin_incarnation(std::size_t index)
{
    guard_process& guard = guards_[index];
    for (auto& [task, work] : guard.executor.running)
    {
        past_[work.interval].end = now_;
        past_[work.interval].how = "crashed";
        ++crashes_[task];
        ++went_with_executor_[task];
    }
    // An unacknowledged end is lost with the executor, too: by the platform's
    // rules, the run has not ended.
    for (const auto& [one, interval] : guard.executor.ended)
    {
        went_with_executor_[one.task] += past_[interval].acknowledged ? 0 : 1;
    }
    const bool keeps_id = guard.lives > 0 && draw(2) == 0;
    const duration away = keeps_id ? time_away() : duration{0};
    guard.executor = {.incarnation = next_incarnation(guard, keeps_id),
                      .rate = draw(2) == 0 ? 1.0 : 0.98,
                      .born = now_ + away};
    if (!guard.keeper)
    {
        begin_guard(index);
    }
}

// Returns how long an executor that restarts under its id is down: zero or some
// time.
duration job_simulation::time_away()
{
    return milliseconds(draw(2) == 0 ? 0 : draw(max_away_ms));
}

// Birth times differ between incarnations but do not order them.
executor_incarnation job_simulation::next_incarnation(guard_process& of,
                                                      bool keeps_id)
{
    ++of.lives;
    if (!keeps_id)
    {
        of.executor_id = of.name + "-life-" + std::to_string(of.lives);
    }
    const std::int64_t back = of.lives % 2 == 0 ? -1 : 1;
    return {of.executor_id, middle_birth_ms + back * of.lives};
}

void job_simulation::begin_guard(std::size_t index)
{
    guard_process& guard = guards_[index];
    guard.incarnation = std::to_string(++revision_);
    guard.keeper = std::make_shared<run_reconciler>(
        run_reconciler_options{.stop_time = milliseconds(200)},
        guard.incarnation);
    guard.began = now_;
    guard.sequence = 0;
    guard.reporting = false;
    guard.next_report = now_;
    guard.next_heartbeat = now_ + milliseconds(draw(1000));
}

void job_simulation::serve(std::size_t index)
{
    guard_process& guard = guards_[index];
    if (now_ < guard.down_until)
    {
        return;
    }
    if (now_ >= guard.next_heartbeat)
    {
        guard.next_heartbeat = now_ + milliseconds(1000);
        beat(index);
    }
    for (const executor_action& action : guard.keeper->due(now_))
    {
        std::visit([&](const auto& one) { order(index, one); }, action);
    }
    if (guard.keeper->take_report_due())
    {
        guard.next_report = std::min(guard.next_report, now_ + step);
    }
    if (!guard.reporting && now_ >= guard.next_report)
    {
        report(index);
    }
}

void job_simulation::beat(std::size_t index)
{
    if (now_ < guards_[index].executor.born)
    {
        return; // it is down
    }
    const worker_description what{.executor =
                                      guards_[index].executor.incarnation,
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
              // Sequence numbers order the heartbeats of one incarnation.
              if (guards_[index].executor.incarnation != what.executor)
              {
                  guards_[index].keeper->on_worker(what, clock, now_);
              }
          });
}

void job_simulation::hold_back(const worker_report& out,
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

void job_simulation::report(std::size_t index)
{
    guard_process& guard = guards_[index];
    if (draw(4) == 0 || !holder_of(guard.holder))
    {
        guard.holder = current_->epoch; // it learns the current leader
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
              note_acknowledged(index, answer.orders.executor,
                                answer.orders.acknowledged);
              later(delay(),
                    [this, index, out, sent, answer, keeper]
                    {
                        keeper->on_answer(answer, out, sent, now_);
                        end_report(index, keeper, milliseconds(400));
                    });
          });
}

void job_simulation::end_report(std::size_t index,
                                const std::shared_ptr<run_reconciler>& of,
                                duration pause)
{
    guard_process& guard = guards_[index];
    if (guard.keeper == of)
    {
        guard.reporting = false;
        guard.next_report = now_ + pause;
    }
}

void job_simulation::note_acknowledged(std::size_t index,
                                       const executor_incarnation& executor,
                                       std::int64_t number)
{
    fake_executor& at = guards_[index].executor;
    if (at.incarnation != executor)
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

void job_simulation::answer(run_reconciler& to, const start_run& what,
                            time_point /*sent*/, order_result result,
                            const std::optional<executor_snapshot>& /*look*/)
{
    to.on_started(what, result, now_);
}

void job_simulation::answer(run_reconciler& to, const stop_run& what,
                            time_point /*sent*/, order_result result,
                            const std::optional<executor_snapshot>& /*look*/)
{
    to.on_stopped(what, result, now_);
}

void job_simulation::answer(run_reconciler& to, const throttle_run& what,
                            time_point /*sent*/, order_result result,
                            const std::optional<executor_snapshot>& /*look*/)
{
    to.on_paced(what, result);
}

void job_simulation::answer(run_reconciler& to, const poll_executor& what,
                            time_point sent, order_result result,
                            const std::optional<executor_snapshot>& look)
{
    to.on_polled(what.executor, result, look, sent, now_);
}

executor_snapshot job_simulation::look_of(const fake_executor& at) const
{
    executor_snapshot out{.clock_ms = at.clock(now_),
                          .born_ms = at.incarnation.born_ms};
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

std::int64_t
job_simulation::draw_percent(const fake_executor::at_work& work) const
{
    return 99 - std::min<std::int64_t>(
                    99, to_milliseconds(work.done_at - now_) / 20);
}

// Returns why an executor refuses a call, or nothing if it accepts the call.
std::optional<order_result>
job_simulation::refusal(fake_executor& at, const executor_incarnation& executor,
                        std::int64_t fence) const
{
    if (now_ < at.busy_until || now_ < at.born)
    {
        return order_result::unhealthy;
    }
    if (at.incarnation.id != executor.id)
    {
        return order_result::other_life;
    }
    if (fence < at.fence)
    {
        return order_result::fenced;
    }
    at.fence = fence;
    return std::nullopt;
}

order_result job_simulation::carry_out(std::size_t index, const start_run& what)
{
    fake_executor& at = guards_[index].executor;
    if (const auto refused = refusal(at, what.executor, what.fence))
    {
        return *refused;
    }
    const std::string& task = what.order.task;
    at.extend_to(what.deadline_ms, now_);
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
    if (chance(faults_.no_room))
    {
        return order_result::no_room;
    }
    if (!is_late_ && !may_begin(index))
    {
        ++begun_in_closed_;
    }
    start(at, task, what.order.run);
    return order_result::accepted;
}

void job_simulation::start(fake_executor& at, const std::string& task,
                           std::int64_t run)
{
    const auto name = *task_name::parse(task);
    const job_step& of =
        jobs_.at(name.job).steps[static_cast<std::size_t>(name.at.step)];
    past_.push_back({.task = task,
                     .run = run,
                     .executor = at.incarnation.text(),
                     .begin = now_});
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

void job_simulation::count_start_after_crashes(const std::string& task,
                                               const fake_executor& at)
{
    const auto guard =
        std::ranges::find_if(guards_, [&](const guard_process& one)
                             { return &one.executor == &at; });
    const bool in_touch = now_ - guard->began >= in_touch_after &&
                          now_ - guard->cut_until >= in_touch_after;
    if (!in_touch || !crashing_.contains(task) || crashes_[task] < max_crashes)
    {
        return;
    }
    if (++starts_after_[task] > max_starts_after)
    {
        tell(task);
    }
    RC_ASSERT(starts_after_[task] <= max_starts_after);
}

void job_simulation::check_start(const task_name& name) const
{
    const job& of = jobs_.at(name.job);
    for (const std::size_t before :
         of.steps[static_cast<std::size_t>(name.at.step)].after)
    {
        for (std::int64_t index = 0; index < of.steps[before].count; ++index)
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
        const bool counts =
            one.task == name.text() && one.how == "failed" && one.acknowledged;
        failed += counts ? 1 : 0;
    }
    RC_ASSERT(failed < most_attempts);
}

std::int64_t job_simulation::ended_so(const task_name& name,
                                      const std::string& how) const
{
    const std::string text = name.text();
    return std::count_if(past_.begin(), past_.end(),
                         [&](const run_interval& one)
                         { return one.task == text && one.how == how; });
}

order_result job_simulation::carry_out(std::size_t index, const stop_run& what)
{
    fake_executor& at = guards_[index].executor;
    if (const auto refused = refusal(at, what.executor, what.fence))
    {
        return *refused;
    }
    const std::string task = what.order.task;
    at.closed[task] = std::max(at.closed[task], what.order.run);
    const auto found = at.running.find(task);
    if (found != at.running.end() && found->second.run <= what.order.run)
    {
        later(milliseconds(50),
              [this, index, task, incarnation = at.incarnation]
              {
                  fake_executor& now_at = guards_[index].executor;
                  if (now_at.incarnation == incarnation &&
                      now_at.running.contains(task))
                  {
                      end(now_at, task, run_end::stopped);
                  }
              });
    }
    return order_result::accepted;
}

order_result job_simulation::carry_out(std::size_t /*index*/,
                                       const throttle_run& /*what*/)
{
    return order_result::accepted;
}

order_result job_simulation::carry_out(std::size_t index,
                                       const poll_executor& what)
{
    fake_executor& at = guards_[index].executor;
    if (const auto refused = refusal(at, what.executor, what.fence))
    {
        return *refused;
    }
    at.extend_to(what.deadline_ms.value_or(0), now_);
    for (const auto& [one, interval] : at.ended)
    {
        past_[interval].noted =
            past_[interval].noted || one.number <= what.acknowledged;
    }
    std::erase_if(at.ended, [&](const auto& one)
                  { return one.first.number <= what.acknowledged; });
    return order_result::accepted;
}

void job_simulation::end(fake_executor& at, const std::string& task,
                         run_end how)
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

void job_simulation::settle(fake_executor& at)
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
    // By the platform's rules, an end does not count if the lease expires
    // before the end is acknowledged.
    for (const auto& [one, interval] : at.ended)
    {
        past_[interval].lapsed =
            past_[interval].lapsed || !past_[interval].acknowledged;
        past_[interval].lapsed_unnoted = true;
    }
}

} // namespace springstair::job_simulations
