// The jobs, the store and the leaders of the simulation.

#include "job_simulation.hpp"

#include <rapidcheck.h>

#include <algorithm>

namespace springstair::job_simulations
{

job_simulation::job_simulation(std::uint32_t seed, job_faults faults,
                               int job_rate)
    : random_(seed), faults_(faults), job_rate_(job_rate)
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
        begin_incarnation(index);
    }
    take_over();
}

void job_simulation::run(duration length, bool submitting)
{
    const time_point until = now_ + length;
    while (now_ < until)
    {
        if (submitting && chance(job_rate_))
        {
            submit();
        }
        inject_faults();
        advance();
    }
}

void job_simulation::stop_faults()
{
    faults_ = {};
    for (guard_process& guard : guards_)
    {
        guard.executor.busy_until = {};
        guard.silent_until = {};
    }
    for (auto& [name, changes] : closures_)
    {
        changes[now_] = false;
    }
}

void job_simulation::check_histories() const
{
    for (std::size_t left = 0; left < runs_.size(); ++left)
    {
        for (std::size_t right = 0; right < left; ++right)
        {
            check_pair(runs_[left], runs_[right]);
        }
    }
    RC_ASSERT(!over_capacity_);
    RC_ASSERT(begun_in_closed_ == 0);
}

void job_simulation::check_all_ended() const
{
    for (const auto& [id, definition] : jobs_)
    {
        const auto state = leader_copy_.core->shown(id, now_, now_);
        RC_ASSERT(state.has_value());
        RC_ASSERT(is_final(*state));
        if (*state == job_state::succeeded)
        {
            check_done(definition);
        }
        const bool unfounded =
            *state == job_state::failed && !has_failure_cause(definition);
        if (unfounded)
        {
            log_job_runs(id);
        }
        RC_ASSERT(!unfounded);
    }
    // No orphans are left.
    for (const guard_process& guard : guards_)
    {
        RC_ASSERT(guard.executor.running.empty());
    }
}

int job_simulation::draw(int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(random_);
}

bool job_simulation::chance(int probability)
{
    return draw(100'000) < probability;
}

void job_simulation::schedule(duration after, std::function<void()> event)
{
    events_.emplace(now_ + after, std::move(event));
}

void job_simulation::schedule_on_vm(std::size_t index, duration after,
                                    std::function<void()> event)
{
    schedule(after,
             [this, index, event = std::move(event)]
             {
                 if (!is_suspended(index))
                 {
                     event();
                     return;
                 }
                 schedule_on_vm(index, guards_[index].suspended_until - now_,
                                event);
             });
}

duration job_simulation::delay()
{
    return milliseconds(1 + draw(8));
}

duration job_simulation::hold_time()
{
    return milliseconds(500 + draw(7000));
}

void job_simulation::submit()
{
    if (!leader_copy_.core)
    {
        return;
    }
    job definition{.id = "job-" + std::to_string(jobs_.size()),
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
        definition.steps.push_back(one);
    }
    jobs_[definition.id] = definition;
    if (chance(faults_.crashing_job))
    {
        crashing_.insert(definition.id + ".0.0.0");
    }
    leader_copy_.core->accept(definition, now_);
}

void job_simulation::write(const std::shared_ptr<leader_process>& leader)
{
    if (leader->writing)
    {
        return;
    }
    if (!leader->batch)
    {
        leader->batch = leader->core->next_commit(now_);
    }
    if (!leader->batch)
    {
        return;
    }
    leader->writing = true;
    const bool lost = chance(faults_.write_lost);
    const bool done = !lost || draw(2) == 0;
    const time_point sent = now_;
    schedule(delay(),
             [this, leader, lost, done, sent]
             {
                 const bool applied = done && apply(*leader);
                 schedule(lost ? milliseconds(250) : delay(),
                          [this, leader, lost, applied, sent]
                          { written(leader, lost, applied, sent); });
             });
}

bool job_simulation::apply(const leader_process& leader)
{
    if (leader.epoch != epoch_ || !leader.batch)
    {
        return false;
    }
    for (const progress_write& one : *leader.batch)
    {
        if (progress_[one.job].second != one.expected_revision)
        {
            return false;
        }
    }
    ++revision_;
    for (const progress_write& one : *leader.batch)
    {
        progress_[one.job] = {one.text, revision_};
    }
    return true;
}

void job_simulation::written(const std::shared_ptr<leader_process>& leader,
                             bool lost, bool applied, time_point sent)
{
    leader->writing = false;
    if (lost || !leader->core)
    {
        return; // the same batch is retried
    }
    const auto& first = leader->batch->front();
    const auto& stored = progress_[first.job];
    const bool before =
        stored.first == first.text && stored.second > first.expected_revision;
    if (leader->epoch != epoch_ || (!applied && !before))
    {
        leader->core.reset(); // superseded: this process leads no more
        return;
    }
    leader->verified = sent;
    leader->core->committed(*leader->batch, stored.second, now_);
    leader->batch.reset();
}

void job_simulation::take_over()
{
    if (current_ && current_->core)
    {
        superseded_leaders_.push_back(current_);
    }
    epoch_ = ++revision_;
    current_ = std::make_shared<leader_process>();
    current_->core = std::make_shared<scheduler_core>(
        scheduler_options{.closing = {.close_within = close_within}});
    current_->epoch = epoch_;
    current_->verified = now_;
    scheduler_core& core = *current_->core;
    core.begin_term(epoch_, now_);
    core.set_table(table_);
    for (const auto& [id, definition] : jobs_)
    {
        const auto found = progress_.find(id);
        const bool known = found != progress_.end() && found->second.second > 0;
        core.adopt(definition,
                   known ? std::optional(decode_progress(found->second.first))
                         : std::nullopt,
                   known ? found->second.second : 0, now_, 0);
    }
    core.begin(now_);
    for (const std::string& id : cancelled_)
    {
        core.cancel(id, now_);
    }
    leader_copy_ = *current_;
}

std::shared_ptr<job_simulation::leader_process>
job_simulation::leader_of(std::int64_t epoch)
{
    if (current_->epoch == epoch)
    {
        return current_;
    }
    for (const auto& one : superseded_leaders_)
    {
        if (one->epoch == epoch && one->core)
        {
            return one;
        }
    }
    return nullptr;
}

void job_simulation::serve(const std::shared_ptr<leader_process>& leader)
{
    if (!leader->core)
    {
        return;
    }
    read_closures(*leader);
    leader->core->tick(now_, 0);
    write(leader);
    for (addressed_orders& one : leader->core->take_orders())
    {
        deliver(one);
    }
    for (const decision& one : leader->core->take_decisions())
    {
        decision_log_.push_back(format_decision(one, leader->epoch));
    }
}

void job_simulation::read_closures(leader_process& leader)
{
    if (now_ < leader.next_closure_read)
    {
        return;
    }
    leader.next_closure_read = now_ + milliseconds(100 + draw(900));
    if (chance(faults_.cut_watch))
    {
        leader.next_closure_read = now_ + milliseconds(1000 + draw(9000));
    }
    const bool is_stale = draw(4) == 0;
    const time_point asked =
        is_stale ? now_ - milliseconds(draw(max_watch_lag_ms)) : now_;
    schedule(delay(),
             [core = leader.core, this, sent = now_, names = closed_at(asked)]
             { core->set_closed({.names = names, .as_of = sent}, now_); });
}

std::string job_simulation::data_centre_of(std::size_t index)
{
    return "dc-" + std::to_string(index % data_centre_count);
}

std::set<std::string> job_simulation::closed_at(time_point when) const
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

bool job_simulation::may_begin(std::size_t index) const
{
    const auto found = closures_.find(data_centre_of(index));
    if (found == closures_.end())
    {
        return true;
    }
    const auto& [since, closed] = *found->second.rbegin();
    return !closed || now_ - since <= close_within;
}

void job_simulation::deliver(const addressed_orders& one)
{
    const auto index = static_cast<std::size_t>(std::stoi(one.guard.substr(6)));
    const bool is_cut = now_ < guards_[index].cut_until;
    if (chance(faults_.order_duplicated))
    {
        schedule_on_vm(index, milliseconds(draw(max_wait_ms)),
                       [this, index, orders = one.orders]
                       { receive_orders(index, orders); });
    }
    if (chance(faults_.report_lost) || is_cut)
    {
        if (is_cut && chance(faults_.report_held))
        {
            // A held message arrives when the partition heals.
            schedule_on_vm(index, guards_[index].cut_until - now_ + delay(),
                           [this, index, orders = one.orders]
                           { receive_orders(index, orders); });
        }
        return;
    }
    schedule_on_vm(index, delay(),
                   [this, index, orders = one.orders]
                   { receive_orders(index, orders); });
}

void job_simulation::receive_orders(std::size_t index,
                                    const guard_orders& orders)
{
    if (now_ >= guards_[index].down_until)
    {
        guards_[index].reconciler->on_orders(orders, now_);
    }
}

} // namespace springstair::job_simulations
