// The leader's reads from the store: everything when its term begins, new jobs
// and cancellations afterwards.

#include "job_scheduler.hpp"

#include <utility>

namespace springstair
{

namespace
{

using platform::store_item;
using platform::store_result;
using platform::store_status;

// Entries notify the leader of each job; the watch finds the jobs whose
// notification failed. Each answer is a charged call, so changes are batched.
constexpr duration watch_wait = std::chrono::milliseconds(700);
constexpr duration watch_interval = std::chrono::milliseconds(400);

} // namespace

// ---------------------------------------------------------------------------
// Beginning a term
// ---------------------------------------------------------------------------

void job_scheduler::begin(std::int64_t epoch)
{
    ++generation_;
    core_.begin_term(epoch, boot_clock::now());
    stage_ = stage::reading_progress;
    reading_ = false;
    watching_ = false;
    next_read_ = {};
    page_after_.clear();
    batch_.reset();
    loaded_jobs_.clear();
    loaded_bytes_ = {};
    loaded_cancellations_.clear();
    loaded_progress_.clear();
    loaded_ends_.clear();
    held_jobs_.clear();
    jobs_revision_ = 0;
}

void job_scheduler::end(const leader_change& next)
{
    notify_guards(next);
    ++generation_;
    stage_ = stage::idle;
    core_.begin_term(0, boot_clock::now());
}

void job_scheduler::read_page()
{
    reading_ = true;
    const char* const prefix =
        stage_ == stage::reading_jobs ? jobs_prefix : progress_prefix;
    store_.range(
        prefix, page_after_, page_timeout_.value(),
        process_.on_control<store_result>(
            [this, generation = generation_](const store_result& result)
            {
                if (generation == generation_)
                {
                    on_page(result);
                }
            }));
}

void job_scheduler::on_page(const store_result& result)
{
    reading_ = false;
    if (result.status != store_status::done)
    {
        page_timeout_.unanswered();
        next_read_ = boot_clock::now() + retry_delay;
        return;
    }
    page_timeout_.answered(result.latency);
    if (stage_ == stage::reading_jobs && jobs_revision_ == 0)
    {
        jobs_revision_ = result.revision; // later pages may have a newer one
    }
    for (const store_item& item : result.items)
    {
        load_item(item);
    }
    page_after_ = result.next_page();
    if (!page_after_.empty())
    {
        return;
    }
    stage_ = stage_ == stage::reading_progress ? stage::reading_jobs
                                               : stage::loading_interference;
}

// Interference data is optional: the term begins whether or not it can be read.
void job_scheduler::load_interference()
{
    reading_ = true;
    store_.read(interference_key, timeout_.value(),
                process_.on_control<store_result>(
                    [this, generation = generation_](const store_result& result)
                    {
                        if (generation != generation_)
                        {
                            return;
                        }
                        reading_ = false;
                        adopt_interference(result);
                        adopt_all();
                    }));
}

void job_scheduler::adopt_interference(const store_result& result)
{
    if (result.items.empty())
    {
        return;
    }
    try
    {
        saved_interference_ = decode_interference(result.items.front().value);
        core_.adopt_interference(saved_interference_);
    }
    catch (const document_error& error)
    {
        log_event(event_id::record_unreadable,
                  {{"key", interference_key}, {"why", error.what()}});
    }
}

void job_scheduler::load_item(const store_item& item)
{
    if (stage_ == stage::reading_progress)
    {
        load_progress(item);
        return;
    }
    const job_key_parts key = parse_job_key(item.key);
    if (key.cancellation)
    {
        loaded_cancellations_.insert(key.id);
    }
    else if (has_ended(key.id))
    {
        core_.adopt_ended(key.id);
        loaded_progress_.erase(key.id);
        loaded_ends_.erase(key.id);
    }
    else if (auto definition = decode_item(item))
    {
        loaded_bytes_.add(job_record::memory_bytes(*definition));
        loaded_jobs_[key.id] = *std::move(definition);
    }
}

// Whether a job has ended, by its progress, which is read before the jobs: no
// leader but this one can write any.
bool job_scheduler::has_ended(const std::string& id) const
{
    const auto found = loaded_progress_.find(id);
    return found != loaded_progress_.end() &&
           is_final(found->second.first.state) &&
           found->second.first.tasks.empty();
}

void job_scheduler::load_progress(const store_item& item)
{
    const auto [id, kind] = parse_progress_key(item.key);
    try
    {
        if (kind == record_kind::ends)
        {
            const auto ends = decode_ends(item.value);
            auto& loaded = loaded_ends_[id];
            loaded.insert(loaded.end(), ends.begin(), ends.end());
            return;
        }
        loaded_progress_[id] = {decode_progress(item.value), item.revision};
    }
    catch (const std::exception& error)
    {
        hold(id, item.key, error);
    }
}

std::optional<job> job_scheduler::decode_item(const store_item& item)
{
    const std::string id = parse_job_key(item.key).id;
    try
    {
        job definition = decode_job(item.value);
        if (definition.id != id)
        {
            throw document_error("the stored job has the id " + definition.id);
        }
        require_memory(definition);
        return definition;
    }
    catch (const std::exception& error)
    {
        hold(id, item.key, error);
        return std::nullopt;
    }
}

// Large jobs beyond the bound wait for another term, so that the process and
// the other jobs go on.
void job_scheduler::require_memory(const job& definition) const
{
    job_bytes loaded = core_.held_bytes();
    loaded.total += loaded_bytes_.total;
    loaded.large += loaded_bytes_.large;
    if (!can_load(loaded, job_record::memory_bytes(definition),
                  job_capacity_bytes(process_.settings)))
    {
        throw document_error("there is no memory for the job");
    }
}

// A job that cannot be read, or not scheduled, is held: left out of this term.
// As a new job, its tasks would run again, and the write of their progress
// would fail on the unreadable record and end the term, with all other jobs in
// it.
void job_scheduler::hold(const std::string& id, const std::string& key,
                         const std::exception& error)
{
    held_jobs_.insert(id);
    core_.hold(id);
    log_event(event_id::record_unreadable,
              {{"key", key}, {"why", error.what()}});
}

void job_scheduler::adopt(job definition, time_point now)
{
    const std::string id = definition.id;
    const auto found = loaded_progress_.find(id);
    const bool has_progress = found != loaded_progress_.end();
    try
    {
        core_.adopt(std::move(definition),
                    has_progress ? std::optional(found->second.first)
                                 : std::nullopt,
                    has_progress ? found->second.second : 0, now,
                    unix_milliseconds(), loaded_ends_[id]);
    }
    catch (const std::exception& error)
    {
        hold(id, job_key(id), error);
    }
}

void job_scheduler::adopt_all()
{
    const time_point now = boot_clock::now();
    for (auto& [id, definition] : loaded_jobs_)
    {
        if (!held_jobs_.contains(id))
        {
            adopt(std::move(definition), now);
        }
    }
    core_.begin(now);
    for (const std::string& id : loaded_cancellations_)
    {
        core_.cancel(id, now);
    }
    log_event(event_id::office_taken,
              {{"epoch", std::to_string(core_.epoch())},
               {"jobs", std::to_string(loaded_jobs_.size())},
               {"progress", std::to_string(loaded_progress_.size())}});
    loaded_jobs_.clear();
    loaded_bytes_ = {};
    loaded_progress_.clear();
    loaded_ends_.clear();
    stage_ = stage::ready;
}

// ---------------------------------------------------------------------------
// New jobs
// ---------------------------------------------------------------------------

void job_scheduler::watch()
{
    watching_ = true;
    const time_point sent = boot_clock::now();
    store_.watch(
        jobs_prefix, jobs_revision_, watch_wait,
        process_.on_control<store_result>(
            [this, sent, generation = generation_](const store_result& result)
            {
                if (generation == generation_)
                {
                    on_watch(result, sent);
                }
            }));
}

void job_scheduler::on_watch(const store_result& result, time_point sent)
{
    watching_ = false;
    if (result.status != store_status::done)
    {
        reread_after_failed_watch(boot_clock::now(), sent);
        return;
    }
    next_watch_ = boot_clock::now() + watch_interval;
    for (const store_item& item : result.items)
    {
        jobs_revision_ = std::max(jobs_revision_, item.revision);
        apply_job_item(item);
    }
}

// Reads the changes that the watch missed. After a watch that failed at once,
// the read is delayed as well: the store may be turning calls away.
void job_scheduler::reread_after_failed_watch(time_point now, time_point sent)
{
    if (now - sent > retry_delay)
    {
        next_watch_ = now;
        reread_jobs();
        return;
    }
    next_watch_ = now + retry_delay;
    jobs_revision_ = 0; // no revision to watch from: read again
}

void job_scheduler::apply_job_item(const store_item& item)
{
    if (item.gone)
    {
        return;
    }
    const job_key_parts key = parse_job_key(item.key);
    const time_point now = boot_clock::now();
    if (key.cancellation)
    {
        core_.cancel(key.id, now);
        return;
    }
    if (core_.knows(key.id) || held_jobs_.contains(key.id))
    {
        return;
    }
    if (const auto definition = decode_item(item))
    {
        accept(*definition, now);
    }
}

void job_scheduler::accept(const job& definition, time_point now)
{
    try
    {
        core_.accept(definition, now);
    }
    catch (const std::exception& error)
    {
        hold(definition.id, job_key(definition.id), error);
    }
}

void job_scheduler::reread_jobs()
{
    watching_ = true;
    store_.range(
        jobs_prefix, page_after_, page_timeout_.value(),
        process_.on_control<store_result>(
            [this, generation = generation_](const store_result& result)
            {
                if (generation == generation_)
                {
                    on_jobs_reread(result);
                }
            }));
}

void job_scheduler::on_jobs_reread(const store_result& result)
{
    watching_ = false;
    if (result.status != store_status::done)
    {
        page_timeout_.unanswered();
        page_after_.clear();
        next_watch_ = boot_clock::now() + retry_delay;
        jobs_revision_ = 0; // no revision to watch from: read again
        return;
    }
    page_timeout_.answered(result.latency);
    if (page_after_.empty())
    {
        jobs_revision_ = result.revision;
    }
    // A job's cancellation key sorts directly after the job's key.
    for (const store_item& item : result.items)
    {
        apply_job_item(item);
    }
    page_after_ = result.next_page();
    if (!page_after_.empty())
    {
        reread_jobs();
    }
}

} // namespace springstair
