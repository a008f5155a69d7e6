// Office, acceptance and what callers see.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// A job's age is only used to order it; clocks may jump.
constexpr std::int64_t max_age_ms = 600'000;

} // namespace

scheduler_core::scheduler_core(scheduler_options options)
    : options_(options), data_centres_(options.closing),
      failures_(options.failures)
{
}

void scheduler_core::begin_term(std::int64_t epoch, time_point now)
{
    const queue_table table = table_;
    const closure_tracker data_centres = data_centres_;
    *this = scheduler_core(options_);
    table_ = table;
    data_centres_ = data_centres;
    epoch_ = epoch;
    term_started_at_ = now;
}

void scheduler_core::adopt(job what, const std::optional<job_progress>& kept,
                           std::int64_t revision, time_point now,
                           std::int64_t unix_ms)
{
    const std::string id = what.id;
    const std::int64_t age =
        std::clamp<std::int64_t>(unix_ms - what.accepted_ms, 0, max_age_ms);
    accept(std::move(what), now - std::chrono::milliseconds(age));
    job_record& of = *job_of(id);
    if (!kept)
    {
        return;
    }
    of.restore(*kept);
    of.revision = revision;
    for (job_task& task : of.tasks())
    {
        if (task.run)
        {
            inherited_runs_[task.run->guard].insert(
                {of.definition().id, of.position_of(task)});
        }
    }
}

void scheduler_core::begin(time_point now)
{
    begun_ = true;
    term_started_at_ = now;
    for (const auto& [id, of] : jobs_)
    {
        finish_if_done(*of, now);
    }
    for (const std::string& data_centre : data_centres_.closed())
    {
        log_closure(data_centre, now);
    }
}

void scheduler_core::set_table(const queue_table& table)
{
    if (table.version > table_.version)
    {
        table_ = table;
    }
}

void scheduler_core::accept(job what, time_point now)
{
    if (jobs_.contains(what.id))
    {
        return;
    }
    auto fresh = std::make_unique<job_record>(std::move(what));
    fresh->order = ++accepted_jobs_;
    fresh->accepted = now;
    for (job_task& task : fresh->tasks())
    {
        task.ready_since = now;
    }
    job_record& of = *fresh;
    jobs_.emplace(of.definition().id, std::move(fresh));
    log_decision(event_id::job_known,
                 {{"job", of.definition().id},
                  {"queue", of.definition().queue},
                  {"tasks", std::to_string(of.tasks().size())}});
    may_place_ = true;
    placeable_jobs_.insert(of.definition().id);
    if (of.definition().steps.front().lasting)
    {
        last_lasting_ = std::max(last_lasting_, now);
    }
}

void scheduler_core::cancel(const std::string& id, time_point now)
{
    job_record* const of = job_of(id);
    if (of == nullptr || is_final(of->state()))
    {
        return;
    }
    finish(*of, job_state::cancelled, now, {});
    of->shown = job_state::cancelled; // the store has the cancellation
    mark_changed(*of, now);
    stop_all(*of);
}

job_record* scheduler_core::job_of(const std::string& id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

scheduler_core::known_task scheduler_core::known(const std::string& name)
{
    const auto parsed = task_name::parse(name);
    job_record* const of = parsed ? job_of(parsed->job) : nullptr;
    return {.of = of, .task = of == nullptr ? nullptr : of->find(parsed->at)};
}

// Whether a run that a worker tells of is the newest of its task.
bool scheduler_core::is_current_run(const job_task* task, std::int64_t run,
                                    const worker_record& at)
{
    return task != nullptr && task->run && task->run->number == run &&
           task->run->guard == at.guard &&
           task->run->executor == at.description.executor;
}

const job_record* scheduler_core::find(const std::string& id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

void scheduler_core::mark_changed(job_record& of, time_point now)
{
    const std::string& id = of.definition().id;
    may_place_ = true;
    placeable_jobs_.insert(id);
    if (of.change > of.committed_change && is_dirty_.insert(id).second)
    {
        of.uncommitted_since = now;
        dirty_.push_back(id);
    }
}

// ---------------------------------------------------------------------------
// Orders
// ---------------------------------------------------------------------------

std::vector<addressed_orders> scheduler_core::take_orders()
{
    std::vector<addressed_orders> out;
    for (auto& [guard, orders] : outbox_)
    {
        const auto at = workers_.find(guard);
        if (at == workers_.end() || orders.empty())
        {
            continue;
        }
        orders.epoch = epoch_;
        orders.executor = at->second.description.executor;
        orders.incarnation = at->second.incarnation;
        orders.acknowledged = at->second.acknowledged;
        orders.starts_until_ms = starts_until_ms(at->second);
        orders.closed = at->second.closed;
        out.push_back({.guard = guard,
                       .address = at->second.address,
                       .orders = std::move(orders)});
    }
    outbox_.clear();
    return out;
}

// ---------------------------------------------------------------------------
// What is seen from outside
// ---------------------------------------------------------------------------

std::optional<job_state> scheduler_core::shown(const std::string& id,
                                               time_point now,
                                               time_point verified) const
{
    const job_record* const of = find(id);
    if (of == nullptr || !begun_)
    {
        return std::nullopt;
    }
    if (is_final(of->shown))
    {
        return of->shown;
    }
    // An end that the store may have is shown by whoever reads it there.
    if (is_final(of->sent) || now - verified > options_.max_read_age)
    {
        return std::nullopt;
    }
    return of->begun ? job_state::running : of->shown;
}

std::int64_t scheduler_core::waiting(const std::string& queue) const
{
    return std::count_if(jobs_.begin(), jobs_.end(),
                         [&](const auto& entry)
                         {
                             const job_record& of = *entry.second;
                             return of.definition().queue == queue &&
                                    !of.begun && !is_final(of.state());
                         });
}

scheduler_figures scheduler_core::figures() const
{
    scheduler_figures now = counts_;
    now.jobs_open = std::count_if(jobs_.begin(), jobs_.end(),
                                  [](const auto& entry)
                                  { return !is_final(entry.second->state()); });
    now.workers = static_cast<std::int64_t>(workers_.size());
    for (const std::string& data_centre : data_centres_.closed())
    {
        ++now.closed_data_centres;
        now.runs_in_closed += runs_in(data_centre);
    }
    return now;
}

void scheduler_core::log_decision(event_id id, std::vector<event_field> fields)
{
    decisions_.push_back({id, std::move(fields)});
}

std::vector<finished_job> scheduler_core::take_finished()
{
    return std::exchange(finished_, {});
}

std::vector<decision> scheduler_core::take_decisions()
{
    return std::exchange(decisions_, {});
}

// ---------------------------------------------------------------------------
// Time
// ---------------------------------------------------------------------------

void scheduler_core::tick(time_point now, std::int64_t unix_ms)
{
    if (!begun_)
    {
        return;
    }
    for (auto& [guard, at] : workers_)
    {
        if (now >= at.lease_ends && !at.assigned_tasks.empty())
        {
            lose_worker(at, at.assigned_tasks, end_proof::lease_bound_passed(),
                        now);
        }
    }
    const duration reach = options_.lease_horizon +
                           from_seconds(to_seconds(options_.lease_horizon) *
                                        options_.clock_drift) +
                           options_.lease_slack;
    if (!inherited_runs_.empty() && now - term_started_at_ > reach)
    {
        for (const auto& [guard, tasks] : std::exchange(inherited_runs_, {}))
        {
            lose_runs(tasks, end_proof::guard_never_reported(), now);
        }
    }
    place_if_due(now, unix_ms);
    watch_service(now);
}

} // namespace springstair
