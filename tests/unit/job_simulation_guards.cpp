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
        runs_[work.interval].end = now_;
        runs_[work.interval].how = "crashed";
        ++crashes_[task];
        ++lost_with_executor_[task];
    }
    // An unacknowledged end is lost with the executor, too: by the platform's
    // rules, the run has not ended.
    for (const auto& [one, interval] : guard.executor.ended)
    {
        lost_with_executor_[one.task] += runs_[interval].acknowledged ? 0 : 1;
    }
    const bool keeps_id = guard.incarnations > 0 && draw(2) == 0;
    const duration downtime = keeps_id ? restart_downtime() : duration{0};
    guard.executor = {.incarnation = next_incarnation(guard, keeps_id),
                      .rate = draw(2) == 0 ? 1.0 : 0.98,
                      .born = now_ + downtime};
    if (!guard.reconciler)
    {
        begin_guard(index);
    }
}

// Returns the downtime of an executor that restarts under its id; zero in half
// of the cases.
duration job_simulation::restart_downtime()
{
    return milliseconds(draw(2) == 0 ? 0 : draw(max_downtime_ms));
}

// The start times of incarnations differ, but a later incarnation may have an
// earlier one.
executor_incarnation job_simulation::next_incarnation(guard_process& guard,
                                                      bool keeps_id)
{
    ++guard.incarnations;
    if (!keeps_id)
    {
        guard.executor_id =
            guard.name + "-life-" + std::to_string(guard.incarnations);
    }
    const std::int64_t back = guard.incarnations % 2 == 0 ? -1 : 1;
    return {guard.executor_id, base_start_time_ms + back * guard.incarnations};
}

void job_simulation::begin_guard(std::size_t index)
{
    guard_process& guard = guards_[index];
    guard.incarnation = std::to_string(++revision_);
    guard.reconciler = std::make_shared<run_reconciler>(
        run_reconciler_options{.stop_time = milliseconds(200)},
        guard.incarnation, now_);
    guard.began = now_;
    guard.sequence = 0;
    guard.reporting = false;
    guard.next_report = now_;
    guard.next_heartbeat = now_ + milliseconds(draw(1000));
}

void job_simulation::serve(std::size_t index)
{
    guard_process& guard = guards_[index];
    if (now_ < guard.down_until || is_suspended(index))
    {
        return;
    }
    if (now_ >= guard.next_heartbeat)
    {
        guard.next_heartbeat = now_ + milliseconds(1000);
        send_heartbeat(index);
    }
    for (const executor_action& action : guard.reconciler->due(now_))
    {
        std::visit([&](const auto& one) { order(index, one); }, action);
    }
    if (guard.reconciler->take_report_due())
    {
        guard.next_report = std::min(guard.next_report, now_ + step);
    }
    if (!guard.reporting && now_ >= guard.next_report)
    {
        report(index);
    }
}

void job_simulation::send_heartbeat(std::size_t index)
{
    if (now_ < guards_[index].executor.born ||
        now_ < guards_[index].unheard_until)
    {
        return; // it is down, or cut off
    }
    const worker_description description{
        .executor = guards_[index].executor.incarnation,
        .service = "s",
        .data_centre = data_centre_of(index),
        .capacity = capacity};
    const std::int64_t clock = guards_[index].executor.clock(now_);
    guards_[index].reconciler->on_worker(description, clock, now_);
    if (!chance(faults_.heartbeat_held))
    {
        return;
    }
    schedule_on_vm(
        index, hold_time(),
        [this, index, description, clock]
        {
            // Sequence numbers order the heartbeats of one incarnation.
            if (guards_[index].executor.incarnation != description.executor)
            {
                guards_[index].reconciler->on_worker(description, clock, now_);
            }
        });
}

void job_simulation::deliver_late(
    const worker_report& out, const std::shared_ptr<leader_process>& sent_to)
{
    schedule(hold_time(),
             [this, out, sent_to]
             {
                 const auto leader = draw(2) == 0 ? sent_to : current_;
                 if (leader->core)
                 {
                     leader->core->report(out, now_, leader->verified);
                 }
             });
}

void job_simulation::report(std::size_t index)
{
    guard_process& guard = guards_[index];
    if (draw(4) == 0 || !leader_of(guard.leader_epoch))
    {
        guard.leader_epoch = current_->epoch; // it learns the current leader
    }
    guard.reporting = true;
    worker_report out = guard.reconciler->report(now_);
    out.guard = guard.name;
    out.incarnation = guard.incarnation;
    out.sequence = ++guard.sequence;
    const time_point sent = now_;
    const auto leader = leader_of(guard.leader_epoch);
    const auto reconciler = guard.reconciler;
    const bool lost =
        !leader || chance(faults_.report_lost) || now_ < guard.cut_until;
    if (leader && chance(faults_.report_held))
    {
        deliver_late(out, leader);
    }
    if (lost)
    {
        schedule_on_vm(index, milliseconds(300),
                       [this, index, reconciler]
                       { end_report(index, reconciler, milliseconds(120)); });
        return;
    }
    schedule(delay(),
             [this, index, out, sent, leader, reconciler]
             {
                 if (!leader->core)
                 {
                     end_report(index, reconciler, milliseconds(120));
                     return;
                 }
                 const report_answer answer =
                     leader->core->report(out, now_, leader->verified);
                 record_acknowledged(index, answer.orders.executor,
                                     answer.orders.acknowledged);
                 schedule_on_vm(
                     index, delay(),
                     [this, index, out, sent, answer, reconciler]
                     {
                         reconciler->on_answer(answer, out, sent, now_);
                         end_report(index, reconciler, milliseconds(400));
                     });
             });
}

void job_simulation::end_report(
    std::size_t index, const std::shared_ptr<run_reconciler>& reconciler,
    duration pause)
{
    guard_process& guard = guards_[index];
    if (guard.reconciler == reconciler)
    {
        guard.reporting = false;
        guard.next_report = now_ + pause;
    }
}

void job_simulation::record_acknowledged(
    std::size_t index, const executor_incarnation& incarnation,
    std::int64_t number)
{
    fake_executor& executor = guards_[index].executor;
    if (executor.incarnation != incarnation)
    {
        return;
    }
    for (const auto& [end, interval] : executor.ended)
    {
        if (end.number <= number && !runs_[interval].acknowledged &&
            !runs_[interval].lapsed)
        {
            runs_[interval].acknowledged = true;
            runs_[interval].acknowledged_at = now_;
        }
    }
}

void job_simulation::answer(
    run_reconciler& reconciler, const start_run& call, time_point /*sent*/,
    order_result result, const std::optional<executor_snapshot>& /*snapshot*/)
{
    reconciler.on_started(call, result, now_);
}

void job_simulation::answer(
    run_reconciler& reconciler, const stop_run& call, time_point /*sent*/,
    order_result result, const std::optional<executor_snapshot>& /*snapshot*/)
{
    reconciler.on_stopped(call, result, now_);
}

void job_simulation::answer(
    run_reconciler& reconciler, const throttle_run& call, time_point /*sent*/,
    order_result result, const std::optional<executor_snapshot>& /*snapshot*/)
{
    reconciler.on_paced(call, result);
}

void job_simulation::answer(run_reconciler& reconciler,
                            const poll_executor& call, time_point sent,
                            order_result result,
                            const std::optional<executor_snapshot>& snapshot)
{
    reconciler.on_polled(call.executor, result, snapshot, sent, now_);
}

executor_snapshot
job_simulation::snapshot_of(const fake_executor& executor) const
{
    executor_snapshot out{.clock_ms = executor.clock(now_),
                          .born_ms = executor.incarnation.born_ms};
    for (const auto& [task, work] : executor.running)
    {
        out.running.push_back({.task = task,
                               .run = work.run,
                               .checkpoint = "c",
                               .percent = draw_percent(work)});
    }
    for (const auto& [end, interval] : executor.ended)
    {
        out.ended.push_back(end);
    }
    return out;
}

std::int64_t
job_simulation::draw_percent(const fake_executor::active_run& work) const
{
    return 99 - std::min<std::int64_t>(
                    99, to_milliseconds(work.done_at - now_) / 20);
}

// Returns why an executor refuses a call, or nothing if it accepts the call.
std::optional<order_result>
job_simulation::refusal(fake_executor& executor,
                        const executor_incarnation& incarnation,
                        std::int64_t fence) const
{
    if (now_ < executor.busy_until || now_ < executor.born)
    {
        return order_result::unhealthy;
    }
    if (executor.incarnation.id != incarnation.id)
    {
        return order_result::other_life;
    }
    if (fence < executor.fence)
    {
        return order_result::fenced;
    }
    executor.fence = fence;
    return std::nullopt;
}

order_result job_simulation::carry_out(std::size_t index, const start_run& call)
{
    fake_executor& executor = guards_[index].executor;
    if (const auto refused = refusal(executor, call.executor, call.fence))
    {
        return *refused;
    }
    const std::string& task = call.order.task;
    executor.extend_to(call.deadline_ms, now_);
    const auto found = executor.running.find(task);
    if (found != executor.running.end() && found->second.run == call.order.run)
    {
        return order_result::accepted;
    }
    if (found != executor.running.end() ||
        executor.closed[task] >= call.order.run)
    {
        return order_result::stale;
    }
    if (call.deadline_ms <= executor.clock(now_))
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
    start(executor, task, call.order.run);
    return order_result::accepted;
}

void job_simulation::start(fake_executor& executor, const std::string& task,
                           std::int64_t run)
{
    const auto name = *task_name::parse(task);
    const job_step& definition =
        jobs_.at(name.job).steps[static_cast<std::size_t>(name.position.step)];
    runs_.push_back({.task = task,
                     .run = run,
                     .executor = executor.incarnation.text(),
                     .begin = now_});
    count_start_after_crashes(task, executor);
    executor.running[task] = {.run = run,
                              .done_at = now_ + milliseconds(100 + draw(1500)),
                              .fails = chance(faults_.fail),
                              .interval = runs_.size() - 1,
                              .demand = definition.demand};
    resources used;
    for (const auto& [other, work] : executor.running)
    {
        used += work.demand;
    }
    over_capacity_ = over_capacity_ || !used.fits(capacity);
    check_start(name);
}

void job_simulation::count_start_after_crashes(const std::string& task,
                                               const fake_executor& executor)
{
    const auto guard =
        std::ranges::find_if(guards_, [&](const guard_process& one)
                             { return &one.executor == &executor; });
    const bool has_contact = now_ - guard->began >= min_contact_time &&
                             now_ - guard->cut_until >= min_contact_time;
    if (!has_contact || !crashing_.contains(task) ||
        crashes_[task] < max_crashes)
    {
        return;
    }
    if (++starts_after_[task] > max_starts_after)
    {
        log_runs(task);
    }
    RC_ASSERT(starts_after_[task] <= max_starts_after);
}

void job_simulation::check_start(const task_name& name) const
{
    const job& of = jobs_.at(name.job);
    for (const std::size_t before :
         of.steps[static_cast<std::size_t>(name.position.step)].after)
    {
        for (std::int64_t index = 0; index < of.steps[before].count; ++index)
        {
            RC_ASSERT(count_ended({name.job,
                                   {.step = static_cast<std::int64_t>(before),
                                    .index = index}},
                                  "done") > 0);
        }
    }
    std::int64_t failed = 0;
    for (const run_interval& one : runs_)
    {
        const bool counts =
            one.task == name.text() && one.how == "failed" && one.acknowledged;
        failed += counts ? 1 : 0;
    }
    RC_ASSERT(failed < most_attempts);
}

std::int64_t job_simulation::count_ended(const task_name& name,
                                         const std::string& how) const
{
    const std::string text = name.text();
    return std::count_if(runs_.begin(), runs_.end(),
                         [&](const run_interval& one)
                         { return one.task == text && one.how == how; });
}

order_result job_simulation::carry_out(std::size_t index, const stop_run& call)
{
    fake_executor& executor = guards_[index].executor;
    if (const auto refused = refusal(executor, call.executor, call.fence))
    {
        return *refused;
    }
    const std::string task = call.order.task;
    executor.closed[task] = std::max(executor.closed[task], call.order.run);
    const auto found = executor.running.find(task);
    if (found != executor.running.end() && found->second.run <= call.order.run)
    {
        schedule_on_vm(index, milliseconds(50),
                       [this, index, task, incarnation = executor.incarnation]
                       {
                           fake_executor& current = guards_[index].executor;
                           if (current.incarnation == incarnation &&
                               current.running.contains(task))
                           {
                               end(current, task, run_end::stopped);
                           }
                       });
    }
    return order_result::accepted;
}

order_result job_simulation::carry_out(std::size_t /*index*/,
                                       const throttle_run& /*call*/)
{
    return order_result::accepted;
}

order_result job_simulation::carry_out(std::size_t index,
                                       const poll_executor& call)
{
    fake_executor& executor = guards_[index].executor;
    if (const auto refused = refusal(executor, call.executor, call.fence))
    {
        return *refused;
    }
    executor.extend_to(call.deadline_ms.value_or(0), now_);
    for (const auto& [one, interval] : executor.ended)
    {
        runs_[interval].acknowledgement_received =
            runs_[interval].acknowledgement_received ||
            one.number <= call.acknowledged;
    }
    std::erase_if(executor.ended, [&](const auto& one)
                  { return one.first.number <= call.acknowledged; });
    return order_result::accepted;
}

void job_simulation::end(fake_executor& executor, const std::string& task,
                         run_end how)
{
    const fake_executor::active_run work = executor.running.at(task);
    executor.running.erase(task);
    executor.closed[task] = std::max(executor.closed[task], work.run);
    runs_[work.interval].end = now_;
    runs_[work.interval].how = std::string(to_string(how));
    executor.ended.emplace_back(ended_task{.number = ++executor.last_end_number,
                                           .task = task,
                                           .run = work.run,
                                           .how = how,
                                           .checkpoint = "c"},
                                work.interval);
}

void job_simulation::end_due_runs(fake_executor& executor)
{
    if (executor.suspended_at)
    {
        return;
    }
    std::vector<std::pair<std::string, run_end>> ended_now;
    for (const auto& [task, work] : executor.running)
    {
        if (executor.clock(now_) >= executor.deadline)
        {
            ended_now.emplace_back(task, run_end::lapsed);
        }
        else if (now_ >= work.done_at)
        {
            ended_now.emplace_back(task, work.fails ? run_end::failed
                                                    : run_end::done);
        }
    }
    for (const auto& [task, how] : ended_now)
    {
        end(executor, task, how);
    }
    if (executor.clock(now_) < executor.deadline)
    {
        return;
    }
    // By the platform's rules, an end does not count if the lease expires
    // before the end is acknowledged.
    for (const auto& [one, interval] : executor.ended)
    {
        runs_[interval].lapsed =
            runs_[interval].lapsed || !runs_[interval].acknowledged;
        runs_[interval].lapsed_before_receipt = true;
    }
}

} // namespace springstair::job_simulations
