// Commits to the store and their order. A successor counts every run in the
// store. So a placement is committed no earlier than the ends whose capacity it
// uses: otherwise, after a takeover in between, both count and the worker is
// overcommitted.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// ---------------------------------------------------------------------------
// Records that must be written together
// ---------------------------------------------------------------------------

void scheduler_core::record_freed(const std::string& guard,
                                  const job_record& record,
                                  const job_step& step)
{
    uncommitted_end& end = freed_by_guard_[guard][record.definition().id];
    end.change = record.change;
    end.freed += reserved_by(step);
}

bool scheduler_core::is_committed(const std::string& job,
                                  std::int64_t change) const
{
    const job_record* const record = find(job);
    return record == nullptr ? held_ends_.is_stored(job, change)
                             : record->committed_change >= change;
}

// Ends at a worker, by job, that may not be committed yet.
const std::map<std::string, scheduler_core::uncommitted_end>&
scheduler_core::find_uncommitted_ends(const std::string& guard)
{
    auto& ends = freed_by_guard_[guard];
    std::erase_if(ends, [this](const auto& entry)
                  { return is_committed(entry.first, entry.second.change); });
    return ends;
}

// The uncommitted ends that must be committed before a run of a step: all, if
// the worker has no free capacity for it without them.
const std::map<std::string, scheduler_core::uncommitted_end>&
scheduler_core::ends_needed(const worker_record& worker, const job_step& step)
{
    static const std::map<std::string, uncommitted_end> none;
    const auto& ends = find_uncommitted_ends(worker.guard);
    resources committed_free = worker.free_capacity();
    for (const auto& [job, end] : ends)
    {
        committed_free -= end.freed;
    }
    return reserved_by(step).fits(committed_free) ? none : ends;
}

void scheduler_core::record_required_changes(job_record& record,
                                             const job_step& step,
                                             const worker_record& worker)
{
    for (const auto& [job, end] : ends_needed(worker, step))
    {
        if (job != record.definition().id)
        {
            std::int64_t& required = record.required_changes[job];
            required = std::max(required, end.change);
        }
    }
}

// The records to be written together with one, itself included: those whose
// ends its placements need, and transitively what those need.
std::set<std::string> scheduler_core::required_records(const std::string& id)
{
    std::set<std::string> found{id};
    std::vector<std::string> pending{id};
    while (!pending.empty())
    {
        job_record& record = *job_of(pending.back());
        pending.pop_back();
        std::erase_if(record.required_changes,
                      [this](const auto& entry)
                      {
                          const job_record* const other = find(entry.first);
                          return (other != nullptr && other->write_alone) ||
                                 is_committed(entry.first, entry.second);
                      });
        for (const auto& [job, change] : record.required_changes)
        {
            if (found.insert(job).second)
            {
                pending.push_back(job);
            }
        }
    }
    return found;
}

// Whether a job's record still fits into one write, with all records it
// requires, once it has placements of a step at these workers. Otherwise
// nothing is placed there before the next write: records that require each
// other must never exceed one write.
bool scheduler_core::fits_one_commit(const std::string& id,
                                     const job_step& step,
                                     const std::vector<worker_record*>& chosen)
{
    std::set<std::string> records = required_records(id);
    for (const worker_record* const worker : chosen)
    {
        // Gang members that share a worker use more of its capacity than a
        // single run.
        const auto& ends = chosen.size() == 1
                               ? ends_needed(*worker, step)
                               : find_uncommitted_ends(worker->guard);
        for (const auto& [job, end] : ends)
        {
            records.merge(required_records(job));
        }
    }
    if (records.size() <= options_.jobs_per_commit)
    {
        return true;
    }
    for (const std::string& job : records)
    {
        job_of(job)->urgent_commit = true;
    }
    return false;
}

// ---------------------------------------------------------------------------
// Writing
// ---------------------------------------------------------------------------

bool scheduler_core::may_write(time_point now) const noexcept
{
    return !committing_ && now - last_commit_ >= options_.min_commit_interval;
}

bool scheduler_core::is_due(const job_record& record, time_point now) const
{
    return record.urgent_commit ||
           now - record.uncommitted_since >= options_.end_batch_delay;
}

// Whether a record waits because the store rejected it.
bool scheduler_core::is_set_aside(job_record& record, time_point now)
{
    if (record.set_aside_until && now >= *record.set_aside_until)
    {
        record.set_aside_until.reset();
    }
    return record.set_aside_until.has_value();
}

// The jobs of the next write. Those that became dirty first are selected first.
std::set<std::string> scheduler_core::jobs_to_write(time_point now)
{
    std::set<std::string> jobs;
    for (const std::string& id : dirty_)
    {
        if (jobs.size() >= options_.jobs_per_commit)
        {
            break;
        }
        job_record& record = *job_of(id);
        if (jobs.contains(id) || !is_due(record, now) ||
            is_set_aside(record, now) || (record.write_alone && !jobs.empty()))
        {
            continue;
        }
        std::set<std::string> group = required_records(id);
        std::erase_if(group, [&](const std::string& job)
                      { return jobs.contains(job); });
        if (record.write_alone)
        {
            // What it requires comes first, or would be rejected with it.
            group.erase(id);
            return group.empty() ? std::set{id} : group;
        }
        if (jobs.size() + group.size() <= options_.jobs_per_commit)
        {
            jobs.merge(group);
        }
    }
    return jobs;
}

// A record of ends, in a write of its own. Other writes come in between.
std::optional<commit_batch> scheduler_core::next_held_ends(time_point now)
{
    const bool may_follow = !ends_written_last_ && now >= next_held_ends_at_;
    const auto next =
        may_follow ? held_ends_.next(options_.max_record_bytes) : std::nullopt;
    ends_written_last_ = next.has_value();
    if (!next)
    {
        return std::nullopt;
    }
    return commit_batch{{.kind = record_kind::ends,
                         .job = next->job,
                         .number = ++ends_records_,
                         .text = next->text,
                         .change = next->change}};
}

std::optional<commit_batch> scheduler_core::next_commit(time_point now)
{
    if (!is_ready_ || !may_write(now))
    {
        return std::nullopt;
    }
    std::optional<commit_batch> batch = next_held_ends(now);
    if (!batch)
    {
        batch = next_progress(now);
    }
    if (batch)
    {
        committing_ = true;
        last_commit_ = now;
    }
    return batch;
}

std::optional<commit_batch> scheduler_core::next_progress(time_point now)
{
    const std::set<std::string> jobs = jobs_to_write(now);
    if (jobs.empty())
    {
        return std::nullopt;
    }
    commit_batch batch;
    for (const std::string& id : jobs)
    {
        dirty_ids_.erase(id);
        batch.push_back(write_of(*job_of(id), now));
    }
    std::erase_if(dirty_,
                  [&](const std::string& id) { return jobs.contains(id); });
    return batch;
}

progress_write scheduler_core::write_of(job_record& record, time_point now)
{
    record.urgent_commit = false;
    record.sent = record.state();
    limited_record text =
        encode_within(record.progress(), options_.max_record_bytes);
    if (text.checkpoints_left_out > 0 && now >= record.next_left_out_log)
    {
        record.next_left_out_log = now + options_.min_log_interval;
        log_decision(event_id::checkpoints_left_out,
                     {{"job", record.definition().id},
                      {"tasks", std::to_string(text.checkpoints_left_out)},
                      {"record_bytes", std::to_string(text.text.size())}});
    }
    return {.job = record.definition().id,
            .text = std::move(text.text),
            .expected_revision = record.revision,
            .change = record.change,
            .state = record.state()};
}

void scheduler_core::rejected(const commit_batch& batch, time_point now)
{
    committing_ = false;
    if (batch.front().kind == record_kind::ends)
    {
        next_held_ends_at_ = now + options_.rejected_backoff;
        return;
    }
    for (const progress_write& write : batch)
    {
        job_record& record = *job_of(write.job);
        record.write_alone = true;
        record.urgent_commit = true;
        if (batch.size() == 1)
        {
            record.set_aside_until = now + options_.rejected_backoff;
        }
        mark_changed(record, now);
    }
}

void scheduler_core::committed(const commit_batch& batch, std::int64_t revision,
                               time_point now)
{
    committing_ = false;
    std::set<std::string> guards; // with starts to send
    for (const progress_write& write : batch)
    {
        if (write.kind == record_kind::ends)
        {
            held_ends_.stored(write.job, write.change);
            continue;
        }
        job_record& record = *job_of(write.job);
        record.committed_change = write.change;
        record.revision = revision;
        record.write_alone = false;
        record.shown =
            record.shown == job_state::cancelled ? record.shown : write.state;
        for (job_task& task : record.tasks())
        {
            const bool due = task.run && !task.run->ordered &&
                             !task.run->queued &&
                             task.run->placed_in <= record.committed_change;
            if (due)
            {
                task.run->queued = true;
                unsent_starts_[task.run->guard].push(
                    {record.definition().id, record.position_of(task)});
                guards.insert(task.run->guard);
            }
        }
        if (record.has_ended() && record.committed_change == record.change)
        {
            ended_.emplace_back(now, write.job);
        }
    }
    for (const std::string& guard : guards)
    {
        const auto found = workers_.find(guard);
        if (found != workers_.end())
        {
            send_starts(found->second, now);
        }
    }
}

} // namespace springstair
