// What the store gets, and in which order.
//
// A successor counts on every run that the store has. So a placement is kept no
// earlier than the ends whose room it uses: else, after a takeover in between,
// both count, and the worker gets more than fits.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

// ---------------------------------------------------------------------------
// Records that belong together
// ---------------------------------------------------------------------------

void scheduler_core::note_freed(const std::string& guard, const job_record& of,
                                const job_step& step)
{
    uncommitted_end& end = freed_[guard][of.definition().id];
    end.change = of.change;
    end.room += reserved_by(step);
}

bool scheduler_core::is_kept(const std::string& job, std::int64_t change) const
{
    const job_record* const of = find(job);
    return of == nullptr || of->committed_change >= change;
}

// Ends at a worker that the store may not have yet, by their job.
const std::map<std::string, scheduler_core::uncommitted_end>&
scheduler_core::find_uncommitted_ends(const std::string& guard)
{
    auto& ends = freed_[guard];
    std::erase_if(ends, [this](const auto& one)
                  { return is_kept(one.first, one.second.change); });
    return ends;
}

// Of these, the ones that a run of a step needs the store to have: all, if it
// has no room at the worker without them.
const std::map<std::string, scheduler_core::uncommitted_end>&
scheduler_core::ends_needed(const worker_record& at, const job_step& step)
{
    static const std::map<std::string, uncommitted_end> none;
    const auto& ends = find_uncommitted_ends(at.guard);
    resources room = at.free_capacity();
    for (const auto& [job, end] : ends)
    {
        room -= end.room;
    }
    return reserved_by(step).fits(room) ? none : ends;
}

void scheduler_core::use_room(job_record& of, const job_step& step,
                              const worker_record& at)
{
    for (const auto& [job, end] : ends_needed(at, step))
    {
        if (job != of.definition().id)
        {
            std::int64_t& needed = of.required_changes[job];
            needed = std::max(needed, end.change);
        }
    }
}

// The records to be written with one, itself among them: those whose ends its
// placements need, and what those need in turn.
std::set<std::string> scheduler_core::written_with(const std::string& id)
{
    std::set<std::string> found{id};
    std::vector<std::string> open{id};
    while (!open.empty())
    {
        job_record& of = *job_of(open.back());
        open.pop_back();
        std::erase_if(of.required_changes, [this](const auto& one)
                      { return is_kept(one.first, one.second); });
        for (const auto& [job, change] : of.required_changes)
        {
            if (found.insert(job).second)
            {
                open.push_back(job);
            }
        }
    }
    return found;
}

// Whether one write can take a job's record, with what belongs to it, once it
// has placements of a step at these workers. Else nothing is placed there
// before the next write: records that need each other must never be too many
// for one.
bool scheduler_core::can_be_written(const std::string& id, const job_step& step,
                                    const std::vector<worker_record*>& chosen)
{
    std::set<std::string> found = written_with(id);
    for (const worker_record* const at : chosen)
    {
        // Members of a gang that share a worker use more of its room than one.
        const auto& ends = chosen.size() == 1
                               ? ends_needed(*at, step)
                               : find_uncommitted_ends(at->guard);
        for (const auto& [job, end] : ends)
        {
            found.merge(written_with(job));
        }
    }
    if (found.size() <= options_.jobs_per_commit)
    {
        return true;
    }
    for (const std::string& job : found)
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

bool scheduler_core::is_due(const job_record& of, time_point now) const
{
    return of.urgent_commit ||
           now - of.uncommitted_since >= options_.end_batch_delay;
}

// The jobs of the next write, those that wait longest first.
std::set<std::string> scheduler_core::jobs_to_write(time_point now)
{
    std::set<std::string> jobs;
    for (const std::string& id : dirty_)
    {
        if (jobs.size() >= options_.jobs_per_commit)
        {
            break;
        }
        if (jobs.contains(id) || !is_due(*job_of(id), now))
        {
            continue;
        }
        std::set<std::string> with = written_with(id);
        std::erase_if(with, [&](const std::string& one)
                      { return jobs.contains(one); });
        if (jobs.size() + with.size() <= options_.jobs_per_commit)
        {
            jobs.merge(with);
        }
    }
    return jobs;
}

std::optional<commit_batch> scheduler_core::next_commit(time_point now)
{
    if (!begun_ || dirty_.empty() || !may_write(now))
    {
        return std::nullopt;
    }
    const std::set<std::string> jobs = jobs_to_write(now);
    if (jobs.empty())
    {
        return std::nullopt;
    }
    commit_batch batch;
    for (const std::string& id : jobs)
    {
        job_record& of = *job_of(id);
        is_dirty_.erase(id);
        of.urgent_commit = false;
        of.sent = of.state();
        of.required_changes.clear();
        batch.push_back({.job = id,
                         .text = encode(of.progress()),
                         .expected_revision = of.revision,
                         .change = of.change,
                         .state = of.state()});
    }
    std::erase_if(dirty_,
                  [&](const std::string& id) { return jobs.contains(id); });
    committing_ = true;
    last_commit_ = now;
    return batch;
}

void scheduler_core::committed(const commit_batch& batch, std::int64_t revision,
                               time_point now)
{
    committing_ = false;
    for (const progress_write& write : batch)
    {
        job_record& of = *job_of(write.job);
        of.committed_change = write.change;
        of.revision = revision;
        of.shown = of.shown == job_state::cancelled ? of.shown : write.state;
        for (job_task& task : of.tasks())
        {
            const bool due = task.run && !task.run->ordered &&
                             task.run->placed_in <= of.committed_change;
            const auto at =
                due ? workers_.find(task.run->guard) : workers_.end();
            if (at == workers_.end() || task.run->stopping ||
                at->second.description.executor != task.run->executor)
            {
                continue;
            }
            task.run->ordered = true;
            task.run->told_incarnation = at->second.incarnation;
            task.run->ordered_at = now;
            task.run->last_progress_at = now;
            guard_orders& out = outbox_[task.run->guard];
            if (at->second.closed)
            {
                // It must not begin where its data centre has closed meanwhile.
                const task_name name{of.definition().id, of.position_of(task)};
                order_stop(*task.run, name.text(), out);
                continue;
            }
            out.starts.push_back(order_for(of, task));
        }
    }
}

} // namespace springstair
