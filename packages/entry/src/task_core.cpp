#include "task_keys.hpp"

#include <springstair/entry.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr int id_digits = 16;
constexpr std::size_t max_pending = 2000; // transitions per shard
constexpr std::size_t max_detail = 4096;  // bytes
constexpr std::size_t max_payload = 4096; // bytes
constexpr duration short_retry_after = std::chrono::seconds(1);

// Cuts a text to the maximum, before the character that exceeds it: the
// journal holds UTF-8 only.
std::string bounded(std::string text)
{
    constexpr unsigned char continuation_mask = 0xc0;
    constexpr unsigned char continuation = 0x80;
    if (text.size() <= max_detail)
    {
        return text;
    }
    std::size_t end = max_detail;
    while (end > 0 && (static_cast<unsigned char>(text[end]) &
                       continuation_mask) == continuation)
    {
        --end;
    }
    text.resize(end);
    return text;
}

} // namespace

task_core::task_core(task_core_options options)
    : options_(std::move(options)), random_(options_.seed)
{
    for (std::int64_t number = 0; number < options_.shards; ++number)
    {
        shards_[number];
    }
}

task_core::shard_state* task_core::owned_shard(const std::string& task)
{
    const auto number = shard_of(task);
    const auto found = number ? shards_.find(*number) : shards_.end();
    const bool owned =
        found != shards_.end() && found->second.state == phase::owned;
    return owned ? &found->second : nullptr;
}

const task_core::shard_state*
task_core::owned_shard(const std::string& task) const
{
    return const_cast<task_core*>(this)->owned_shard(task); // NOLINT
}

bool task_core::is_held(const shard_state& shard)
{
    return shard.state == phase::owned || shard.state == phase::unreadable;
}

// Of a shard with an unreadable record, only the final states are certain.
bool task_core::is_certain(const shard_state& shard, const task_record& record)
{
    return shard.state == phase::owned ||
           (shard.state == phase::unreadable && is_final(record.state));
}

const task_record* task_core::find(const std::string& task) const
{
    const auto number = shard_of(task);
    const auto found = number ? shards_.find(*number) : shards_.end();
    if (found == shards_.end())
    {
        return nullptr;
    }
    const task_record* const record = found->second.tasks.find(task);
    const bool is_known =
        record != nullptr && is_certain(found->second, *record);
    return is_known ? record : nullptr;
}

std::optional<problem_report>
task_core::refuse_unreadable(const std::string& task) const
{
    const auto number = shard_of(task);
    const auto found = number ? shards_.find(*number) : shards_.end();
    const bool is_unreadable = found != shards_.end() &&
                               found->second.state == phase::unreadable &&
                               find(task) == nullptr;
    if (!is_unreadable)
    {
        return std::nullopt;
    }
    return not_run(refusal::store_unavailable, options_.reload_interval,
                   "a stored record of the task's shard cannot be read");
}

std::vector<unreadable_shard> task_core::unreadable_shards() const
{
    std::vector<unreadable_shard> all;
    for (const auto& [number, shard] : shards_)
    {
        if (shard.state == phase::unreadable)
        {
            all.push_back({.shard = number, .record = *shard.unreadable});
        }
    }
    return all;
}

std::vector<task_record>
task_core::records_of(const std::string& workspace) const
{
    std::vector<task_record> records;
    for (const auto& [number, shard] : shards_)
    {
        for (const auto& [id, record] : shard.tasks.all())
        {
            if (record.spec.of.workspace == workspace &&
                is_certain(shard, record))
            {
                records.push_back(record);
            }
        }
    }
    return records;
}

std::vector<std::int64_t> task_core::owned_shards() const
{
    std::vector<std::int64_t> numbers;
    for (const auto& [number, shard] : shards_)
    {
        if (is_held(shard))
        {
            numbers.push_back(number);
        }
    }
    return numbers;
}

std::map<std::string, resources> task_core::usage() const
{
    return usage_;
}

void task_core::on_table(const table& rows)
{
    table_ = rows;
}

void task_core::keep_peer_usage(const std::set<std::string>& peers)
{
    std::erase_if(peer_usage_, [&](const auto& item)
                  { return !peers.contains(item.first); });
}

void task_core::on_peer_usage(const std::string& peer,
                              std::map<std::string, resources> usage)
{
    peer_usage_[peer] = std::move(usage);
}

// ---------------------------------------------------------------------------
// Callers
// ---------------------------------------------------------------------------

void task_core::queue_transition(shard_state& shard, task_call call,
                                 time_point deadline, task_transition step)
{
    shard.calls.push_back(
        {.call = call, .task = step.task, .deadline = deadline, .sent = false});
    append_transition(shard, std::move(step));
}

std::string task_core::new_id(std::int64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string id = "t" + std::to_string(number) + "-";
    std::uint64_t bits = random_();
    for (int count = 0; count < id_digits; ++count)
    {
        id += digits[bits % digits.size()];
        bits /= digits.size();
    }
    return id;
}

void task_core::on_submit(task_call call, time_point deadline, task_spec spec,
                          const guard_views& guards, task_actions& actions)
{
    const auto reject =
        [&](refusal reason, duration wait, const std::string& detail)
    {
        actions.emplace_back(
            task_answer{.call = call,
                        .record = {},
                        .problem = not_run(reason, wait, detail)});
    };
    if (table_.find(spec.of) == nullptr)
    {
        reject(refusal::unknown_class, duration{0}, "");
        return;
    }
    if (spec.payload.size() > max_payload)
    {
        reject(refusal::bad_request, duration{0},
               "the payload is longer than 4096 bytes");
        return;
    }
    if (!store_available_)
    {
        reject(refusal::store_unavailable, short_retry_after, "");
        return;
    }
    if (!guards.empty() && !fits_somewhere(spec, guards))
    {
        reject(refusal::never_fits, duration{0},
               "no worker is large enough for the task");
        return;
    }
    shard_state* least_loaded = nullptr;
    std::int64_t number = 0;
    for (auto& [candidate, shard] : shards_)
    {
        if (shard.state == phase::owned &&
            (least_loaded == nullptr ||
             shard.tasks.all().size() + shard.pending.size() <
                 least_loaded->tasks.all().size() +
                     least_loaded->pending.size()))
        {
            least_loaded = &shard;
            number = candidate;
        }
    }
    if (least_loaded == nullptr || draining_)
    {
        reject(refusal::starting, short_retry_after,
               "this entry owns no shard");
        return;
    }
    if (least_loaded->pending.size() >= max_pending ||
        least_loaded->near_size_limit)
    {
        reject(refusal::queue_full, short_retry_after,
               "too many tasks are waiting");
        return;
    }
    spec.id = new_id(number);
    task_transition step;
    step.task = spec.id;
    step.spec = std::move(spec);
    queue_transition(*least_loaded, call, deadline, std::move(step));
}

void task_core::on_cancel(task_call call, time_point deadline,
                          const std::string& workspace, const std::string& task,
                          task_actions& actions)
{
    const task_record* const record = find(task);
    if (record == nullptr || record->spec.of.workspace != workspace)
    {
        actions.emplace_back(task_answer{
            .call = call,
            .record = {},
            .problem = not_run(refusal::unknown_class, duration{0})});
        return;
    }
    if (is_final(record->state))
    {
        actions.emplace_back(
            task_answer{.call = call, .record = *record, .problem = {}});
        return;
    }
    if (!store_available_)
    {
        actions.emplace_back(task_answer{
            .call = call,
            .record = {},
            .problem = not_run(refusal::store_unavailable, short_retry_after)});
        return;
    }
    task_transition step;
    step.what = task_transition::step::cancel;
    step.task = task;
    queue_transition(*owned_shard(task), call, deadline, std::move(step));
}

// ---------------------------------------------------------------------------
// Guard reports
// ---------------------------------------------------------------------------

void task_core::stop_attempt(const std::string& guard,
                             const task_attempt_key& name, bool keep_checkpoint,
                             task_actions& actions)
{
    const auto address = addresses_.find(guard);
    const auto number = shard_of(name.task);
    if (address == addresses_.end() || !number)
    {
        return;
    }
    actions.emplace_back(
        send_stop{.guard = {guard},
                  .address = address->second,
                  .request = {.task = name.task,
                              .attempt = name.attempt,
                              .shard = *number,
                              .epoch = shards_.at(*number).epoch,
                              .keep_checkpoint = keep_checkpoint}});
}

void task_core::record_failed_attempt(const std::string& guard,
                                      const task_record& record,
                                      const attempt_report& report)
{
    failed_on_[record.spec.id].insert({guard});
    const bool is_final_failure = record.failures + 1 >= options_.max_failures;
    task_transition step;
    step.what = is_final_failure ? task_transition::step::fail
                                 : task_transition::step::retry;
    step.task = report.task;
    step.attempt = report.attempt;
    step.detail = bounded(report.detail);
    append_transition(*owned_shard(report.task), std::move(step));
}

void task_core::record_ended_attempt(const std::string& guard,
                                     const task_record& record,
                                     const attempt_report& report)
{
    if (report.state == "failed")
    {
        record_failed_attempt(guard, record, report);
        return;
    }
    if (report.state == "lost")
    {
        record_lost(report.task, report.attempt, bounded(report.detail));
        return;
    }
    task_transition step;
    step.what = report.state == "evicted" ? task_transition::step::evict
                                          : task_transition::step::finish;
    step.task = report.task;
    step.attempt = report.attempt;
    step.detail = bounded(report.detail);
    append_transition(*owned_shard(report.task), std::move(step));
}

void task_core::record_lost(const std::string& task, std::int64_t attempt,
                            const std::string& why)
{
    shard_state* const shard = owned_shard(task);
    const task_record* const record =
        shard == nullptr ? nullptr : shard->tasks.find(task);
    if (record == nullptr || record->state != task_state::placed ||
        record->attempt != attempt || shard->uncommitted_tasks.contains(task))
    {
        return;
    }
    workers_.discard_probe(
        {record->guard}); // a lost attempt is no evidence for or against it
    task_transition step;
    step.what = task_transition::step::lose;
    step.task = task;
    step.attempt = attempt;
    step.detail = why;
    append_transition(*shard, std::move(step));
}

// Handles placed attempts that the guard does not list: the start is in flight
// or lost, or the guard restarted. After a restart, a stop reports whether the
// attempt exists and closes it there, so that a delayed start cannot run it.
// Otherwise the start is sent again.
void task_core::handle_missing_attempts(time_point now,
                                        const guard_report& report,
                                        task_actions& actions)
{
    const auto placed = placed_on_.find(report.guard.value);
    if (placed == placed_on_.end() || !report.tasks_ready)
    {
        return;
    }
    std::set<std::string> listed;
    for (const attempt_report& attempt : report.attempts)
    {
        listed.insert(attempt.task);
    }
    for (const std::string& task : placed->second)
    {
        const task_record* const record = find(task);
        const bool here = record != nullptr &&
                          record->state == task_state::placed &&
                          record->guard == report.guard.value;
        if (!here || listed.contains(task) ||
            owned_shard(task)->uncommitted_tasks.contains(task))
        {
            continue;
        }
        if (record->incarnation != report.incarnation)
        {
            stop_attempt(record->guard,
                         {.task = task, .attempt = record->attempt}, true,
                         actions);
            continue;
        }
        const auto sent = starts_.find(task);
        const bool due =
            sent == starts_.end() || sent->second.attempt != record->attempt ||
            now - sent->second.sent_at > options_.start_resend_delay;
        if (due)
        {
            start_placed(now, *record, actions);
        }
    }
}

// An unknown task may belong to a later shard owner if this entry is superseded
// and has not noticed yet. The attempt is an orphan only once a poll of the
// store, sent after the attempt was first seen, has confirmed this entry as
// owner.
bool task_core::is_orphan(time_point now, const shard_state& shard,
                          const attempt_report& attempt)
{
    const auto [seen, fresh] = unknown_attempts_since_.try_emplace(
        {attempt.task, attempt.attempt}, now);
    return !fresh && shard.confirmed_at > seen->second;
}

std::vector<attempt_ack> task_core::on_report(time_point now,
                                              const guard_report& report,
                                              task_actions& actions)
{
    std::vector<attempt_ack> acked;
    const std::string& guard = report.guard.value;
    addresses_[guard] = report.address;
    for (const attempt_report& attempt : report.attempts)
    {
        const shard_state* const shard = owned_shard(attempt.task);
        if (shard == nullptr)
        {
            continue;
        }
        reservations_[report.guard].erase(attempt.task);
        const task_record* const record = shard->tasks.find(attempt.task);
        const bool runs =
            attempt.state == "running" || attempt.state == "starting";
        const bool current = record != nullptr &&
                             record->state == task_state::placed &&
                             record->attempt == attempt.attempt;
        if (current)
        {
            if (!runs && !shard->uncommitted_tasks.contains(attempt.task))
            {
                const bool failed = attempt.state == "failed";
                const bool ran = failed || attempt.state == "finished";
                if (ran)
                {
                    workers_.record(now, report.guard, record->spec.of, !failed,
                                    addresses_.size());
                }
                else
                {
                    workers_.discard_probe(report.guard);
                }
                record_ended_attempt(guard, *record, attempt);
            }
            continue;
        }
        if (record != nullptr && record->attempt < attempt.attempt)
        {
            continue; // placed by a later owner; this one is superseded
        }
        if (record == nullptr && !is_orphan(now, *shard, attempt))
        {
            continue;
        }
        if (runs)
        {
            stop_attempt(guard,
                         {.task = attempt.task, .attempt = attempt.attempt},
                         false, actions);
            continue;
        }
        acked.push_back({.task = attempt.task,
                         .attempt = attempt.attempt,
                         .shard = *shard_of(attempt.task),
                         .epoch = shard->epoch});
    }
    handle_missing_attempts(now, report, actions);
    return acked;
}

void task_core::on_start_reply(const start_task& start, const task_reply& reply)
{
    const bool will_not_start =
        !reply.accepted &&
        (reply.reason == "no_room" || reply.reason == "draining" ||
         reply.reason == "other_attempt" || reply.reason == "closed");
    if (will_not_start)
    {
        record_lost(start.spec.id, start.attempt, reply.reason);
    }
}

void task_core::on_stop_reply(const stop_task& stop, const task_reply& reply)
{
    if (reply.accepted && reply.reason == "not_here")
    {
        record_lost(stop.task, stop.attempt, "the guard process restarted");
    }
}

void task_core::on_gone(time_point now, const std::set<std::string>& names,
                        const guard_views& guards)
{
    for (const std::string& name : names)
    {
        const auto view = guards.find({name});
        const bool unresponsive =
            view == guards.end() ||
            now - view->second.last_heartbeat_at > options_.gone_timeout;
        const auto placed = placed_on_.find(name);
        if (!unresponsive || placed == placed_on_.end())
        {
            continue;
        }
        for (const std::string& task : placed->second)
        {
            const task_record* const record = find(task);
            if (record != nullptr && record->guard == name)
            {
                record_lost(task, record->attempt,
                            "the worker no longer exists");
            }
        }
    }
}

// ---------------------------------------------------------------------------
// Periodic work
// ---------------------------------------------------------------------------

void task_core::on_tick(time_point now, const guard_views& guards,
                        const std::set<std::string>& entries,
                        task_actions& actions)
{
    renew_lease(now, actions);
    poll_shard_owners(now, actions);
    if (last_shard_poll_)
    {
        const kv_answer seen = *std::exchange(last_shard_poll_, std::nullopt);
        update_ownership(now, seen, entries, actions);
    }
    std::erase_if(
        unknown_attempts_since_, [&](const auto& item)
        { return now - item.second > options_.unknown_attempt_retention; });
    update_usage();
    run_placement_pass(now, guards);
    for (auto& [number, shard] : shards_)
    {
        expire_calls(now, shard, actions);
        if (shard.retry_operation && now >= shard.retry_at)
        {
            const kv_operation operation =
                *std::exchange(shard.retry_operation, std::nullopt);
            send_for(shard, operation, actions);
        }
        reload_if_due(now, number, actions);
        commit(now, number, actions);
    }
}

} // namespace springstair
