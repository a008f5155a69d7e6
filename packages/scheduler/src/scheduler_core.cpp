// Terms, acceptance of jobs, orders and the state shown to callers.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// A job's age serves only to order it; the limit bounds the effect of clock
// jumps.
constexpr std::int64_t max_age_ms = 600'000;

} // namespace

scheduler_core::scheduler_core(scheduler_options options)
    : options_(options), closures_(options.closing),
      fault_detector_(options.failures), urgent_room_(options.urgent_room)
{
}

void scheduler_core::begin_term(std::int64_t epoch, time_point now)
{
    const queue_table table = table_;
    const closure_tracker closures = closures_;
    *this = scheduler_core(options_);
    table_ = table;
    closures_ = closures;
    epoch_ = epoch;
    term_started_at_ = now;
}

void scheduler_core::adopt(job definition,
                           const std::optional<job_progress>& saved,
                           std::int64_t revision, time_point now,
                           std::int64_t unix_ms,
                           const std::vector<ended_task>& ends)
{
    const std::string id = definition.id;
    const std::int64_t age = std::clamp<std::int64_t>(
        unix_ms - definition.accepted_ms, 0, max_age_ms);
    accept(std::move(definition), now - std::chrono::milliseconds(age));
    job_record& record = *job_of(id);
    if (!saved)
    {
        return;
    }
    record.restore(*saved);
    record.revision = revision;
    apply_stored_ends(record, ends, now);
    if (record.has_ended())
    {
        release_record(record, now);
    }
    for (job_task& task : record.tasks())
    {
        if (task.run)
        {
            inherited_runs_[task.run->guard].insert(
                {record.definition().id, record.position_of(task)});
        }
    }
}

void scheduler_core::begin(time_point now)
{
    is_ready_ = true;
    term_started_at_ = now;
    for (const auto& [id, record] : jobs_)
    {
        finish_if_done(*record, now);
    }
    for (const std::string& data_centre : closures_.closed())
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

void scheduler_core::accept(job definition, time_point now)
{
    if (knows(definition.id))
    {
        return;
    }
    auto created = std::make_unique<job_record>(std::move(definition));
    created->order = ++accepted_jobs_;
    created->accepted = now;
    for (job_task& task : created->tasks())
    {
        task.ready_since = now;
    }
    job_record& record = *created;
    held_bytes_.add(record.memory_bytes());
    jobs_.emplace(record.definition().id, std::move(created));
    log_decision(event_id::job_known,
                 {{"job", record.definition().id},
                  {"queue", record.definition().queue},
                  {"tasks", std::to_string(record.tasks().size())}});
    may_place_ = true;
    placeable_jobs_.insert(record.definition().id);
    const bool has_steps = !record.definition().steps.empty();
    if (has_steps && record.definition().steps.front().lasting)
    {
        last_lasting_ = std::max(last_lasting_, now);
    }
}

void scheduler_core::cancel(const std::string& id, time_point now)
{
    job_record* const record = job_of(id);
    if (record == nullptr || is_final(record->state()))
    {
        return;
    }
    finish(*record, job_state::cancelled, now, {});
    // The cancellation is already in the store.
    record->shown = job_state::cancelled;
    mark_changed(*record, now);
    stop_all(*record);
}

void scheduler_core::adopt_ended(const std::string& id)
{
    forgotten_.insert(id);
}

void scheduler_core::release_ended(time_point now)
{
    while (!ended_.empty() &&
           now - ended_.front().first >= options_.ended_tasks_retention)
    {
        job_record* const record = job_of(ended_.front().second);
        ended_.pop_front();
        if (record != nullptr && !record->definition().steps.empty())
        {
            release_record(*record, now);
        }
    }
}

void scheduler_core::forget_ended(time_point now)
{
    while (!released_.empty() &&
           now - released_.front().first >= options_.ended_state_retention)
    {
        const std::string id = std::move(released_.front().second);
        released_.pop_front();
        held_bytes_.remove(job_of(id)->memory_bytes());
        availability_.erase(id);
        jobs_.erase(id);
        forgotten_.insert(id);
    }
}

// An ended job costs little: its state is all that anybody may ask for.
void scheduler_core::release_record(job_record& record, time_point now)
{
    held_bytes_.remove(record.memory_bytes());
    record.release();
    held_bytes_.add(record.memory_bytes());
    placeable_jobs_.erase(record.definition().id);
    released_.emplace_back(now, record.definition().id);
}

job_record* scheduler_core::job_of(const std::string& id)
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

// The row that a job is scheduled by; null if none is known. A job whose queue
// was removed was accepted and runs to its end.
const queue_row* scheduler_core::queue_of(const job& definition) const
{
    const queue_row* const row = table_.queue(definition.queue);
    const bool is_kept = row == nullptr && definition.accepted_under;
    return is_kept ? &*definition.accepted_under : row;
}

scheduler_core::known_task scheduler_core::find_task(const std::string& name)
{
    const auto parsed = task_name::parse(name);
    job_record* const record = parsed ? job_of(parsed->job) : nullptr;
    return {.record = record,
            .task =
                record == nullptr ? nullptr : record->find(parsed->position)};
}

// Whether a run that a worker reports is the current run of its task.
bool scheduler_core::is_current_run(const job_task* task, std::int64_t run,
                                    const worker_record& worker)
{
    return task != nullptr && task->run && task->run->number == run &&
           task->run->guard == worker.guard &&
           task->run->executor == worker.description.executor;
}

const job_record* scheduler_core::find(const std::string& id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : found->second.get();
}

void scheduler_core::mark_changed(job_record& record, time_point now)
{
    const std::string& id = record.definition().id;
    may_place_ = true;
    placeable_jobs_.insert(id);
    if (record.change > record.committed_change && dirty_ids_.insert(id).second)
    {
        record.uncommitted_since = now;
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
        const auto found = workers_.find(guard);
        if (found == workers_.end() || orders.empty())
        {
            continue;
        }
        orders.epoch = epoch_;
        orders.executor = found->second.description.executor;
        orders.incarnation = found->second.incarnation;
        orders.acknowledged = found->second.acknowledged;
        orders.starts_until_ms = starts_until_ms(found->second);
        orders.closed = found->second.closed;
        out.push_back({.guard = guard,
                       .address = found->second.address,
                       .orders = std::move(orders)});
    }
    outbox_.clear();
    return out;
}

// ---------------------------------------------------------------------------
// State shown to callers, metrics and log
// ---------------------------------------------------------------------------

std::optional<job_state> scheduler_core::shown(const std::string& id,
                                               time_point now,
                                               time_point verified_at) const
{
    const job_record* const record = find(id);
    if (record == nullptr || !is_ready_)
    {
        return std::nullopt;
    }
    if (is_final(record->shown))
    {
        return record->shown;
    }
    // A final state may already be in the store: then the caller's entry reads
    // it from there.
    if (is_final(record->sent) || now - verified_at > options_.max_read_age)
    {
        return std::nullopt;
    }
    return record->begun ? job_state::running : record->shown;
}

std::int64_t scheduler_core::waiting(const std::string& queue) const
{
    return std::count_if(jobs_.begin(), jobs_.end(),
                         [&](const auto& entry)
                         {
                             const job_record& record = *entry.second;
                             return record.definition().queue == queue &&
                                    !record.begun && !is_final(record.state());
                         });
}

bool scheduler_core::awaits_first_reports(const std::string& queue,
                                          time_point now) const
{
    if (now - term_started_at_ > options_.first_report_wait)
    {
        return false;
    }
    const auto may_have_begun = [&](const task_name& name)
    {
        const job_record* const record = find(name.job);
        return record != nullptr && !record->begun &&
               !is_final(record->state()) &&
               record->definition().queue == queue;
    };
    return std::ranges::any_of(
        inherited_runs_, [&](const auto& runs_of_guard)
        { return std::ranges::any_of(runs_of_guard.second, may_have_begun); });
}

scheduler_figures scheduler_core::figures() const
{
    scheduler_figures out = counts_;
    out.jobs_open = std::count_if(jobs_.begin(), jobs_.end(),
                                  [](const auto& entry)
                                  { return !is_final(entry.second->state()); });
    out.workers = static_cast<std::int64_t>(workers_.size());
    for (const std::string& data_centre : closures_.closed())
    {
        ++out.closed_data_centres;
        out.runs_in_closed += runs_in(data_centre);
    }
    return out;
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
    if (!is_ready_)
    {
        return;
    }
    for (auto& [guard, worker] : workers_)
    {
        if (now >= worker.lease_ends && !worker.assigned_tasks.empty())
        {
            lose_worker(worker, worker.assigned_tasks,
                        end_proof::lease_bound_passed(), now);
        }
    }
    if (!inherited_runs_.empty() &&
        now - term_started_at_ > longest_lease(options_.lease_horizon))
    {
        for (const auto& [guard, tasks] : std::exchange(inherited_runs_, {}))
        {
            lose_runs(tasks, end_proof::guard_never_polled(), now);
        }
    }
    count_unconfirmed(now);
    release_ended(now);
    forget_ended(now);
    place_if_due(now, unix_ms);
    sample_availability_if_due(now);
}

} // namespace springstair
