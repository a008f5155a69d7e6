// The leader's writes, orders and metrics. job_scheduler_loading.cpp has its
// reads.

#include "job_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

using platform::store_item;
using platform::store_result;
using platform::store_status;

// A page of up to 1 MB in base64 takes 1.1 s on the slowest link seen (10
// Mbit/s) without other traffic, 5.4 s on a fifth of that bandwidth.
constexpr duration max_page = std::chrono::milliseconds(6000);
// Maximum age of the interference that a successor loads; each write is a
// charged call.
constexpr duration interference_save_interval = std::chrono::seconds(3);
// Shorter than any scrape interval.
constexpr duration metrics_interval = std::chrono::seconds(1);
// Above the usual latency of a write (milliseconds) and the scheduling delay on
// a shared processor.
constexpr duration min_hedge_delay = std::chrono::milliseconds(100);
// Timeout of a write attempt, as a multiple of the hedge delay: bounds the
// number of attempts in flight.
constexpr int max_write_attempts_in_flight = 4;
constexpr duration min_write_timeout = std::chrono::milliseconds(400);
// Orders are repeated with the answers to the next reports, so a longer timeout
// has no use.
constexpr duration order_timeout = std::chrono::milliseconds(600);

} // namespace

job_scheduler::job_scheduler(process_context& process,
                             platform::store_client& store,
                             leader_election& election)
    : process_(process), store_(store), leader_election_(election),
      core_({.closing = {.close_within = process.settings.close_within},
             .max_record_bytes =
                 static_cast<std::size_t>(process.settings.value_bytes),
             .max_unconfirmed_bytes = start_order_bytes(process.settings),
             .urgent_room = process.settings.urgent_room,
             .overload_order = process.settings.overload_order,
             .disruption_budget = process.settings.disruption_budget}),
      page_timeout_(max_page),
      hedge_delay_(adaptive_timeout::default_max, min_hedge_delay)
{
}

// ---------------------------------------------------------------------------
// Commits
// ---------------------------------------------------------------------------

// Hedged write, because the store may lose answers: further attempts with the
// same batch follow while earlier ones are in flight. Each is conditioned on
// the revisions that the batch replaces, so at most one of them takes effect.
void job_scheduler::write()
{
    const time_point now = boot_clock::now();
    if (!batch_)
    {
        begin_batch(now);
    }
    if (batch_ && now >= next_attempt_at_)
    {
        send_write_attempt(now);
    }
}

void job_scheduler::begin_batch(time_point now)
{
    batch_ = core_.next_commit(now);
    ++batch_number_;
    write_attempts_ = 0;
    first_attempt_at_ = now;
    next_attempt_at_ = now;
}

void job_scheduler::send_write_attempt(time_point now)
{
    if (++write_attempts_ > 1)
    {
        hedge_delay_.unanswered();
        log_event(event_id::commit_uncertain,
                  {{"jobs", std::to_string(batch_->size())},
                   {"waited_ms",
                    std::to_string(to_milliseconds(now - first_attempt_at_))}});
    }
    next_attempt_at_ = now + hedge_delay_.value();
    const duration limit = std::max<duration>(
        max_write_attempts_in_flight * hedge_delay_.value(), min_write_timeout);
    store_.transact(transaction_of(*batch_, core_.epoch()), limit,
                    process_.on_control<store_result>(
                        [this, now, generation = generation_,
                         number = batch_number_](const store_result& result)
                        {
                            if (generation == generation_ &&
                                number == batch_number_ && batch_)
                            {
                                on_written(result, now);
                            }
                        }));
}

void job_scheduler::end_batch(std::int64_t revision, time_point sent)
{
    leader_election_.confirm_leadership(sent);
    core_.committed(*batch_, revision, boot_clock::now());
    batch_.reset();
}

void job_scheduler::on_written(const store_result& result, time_point sent)
{
    switch (result.status)
    {
    case store_status::done:
        hedge_delay_.answered(result.latency);
        end_batch(result.revision, sent);
        return;
    case store_status::conflict:
        if (const auto revision = earlier_write_revision(result))
        {
            end_batch(*revision, sent);
            return;
        }
        leader_election_.step_down("a fenced write conflicted");
        return;
    case store_status::rejected:
        log_event(event_id::write_rejected,
                  {{"jobs", std::to_string(batch_->size())},
                   {"first", batch_->front().job}});
        core_.rejected(*batch_, boot_clock::now());
        batch_.reset();
        return;
    case store_status::refused:
    case store_status::absent:
    case store_status::compacted:
        next_attempt_at_ = boot_clock::now() + retry_delay;
        return;
    case store_status::unknown:
        return; // the next attempt is already scheduled
    }
}

// Detects a conflict with an earlier attempt of the same batch, whose answer
// was lost. Returns the revision that it wrote; nothing for any other conflict.
std::optional<std::int64_t>
job_scheduler::earlier_write_revision(const store_result& result) const
{
    std::map<std::string, const store_item*> items;
    for (const store_item& item : result.items)
    {
        items[item.key] = &item;
    }
    const auto leader = items.find(leader_key);
    if (leader == items.end() || leader->second->revision != core_.epoch())
    {
        return std::nullopt;
    }
    std::int64_t revision = 0;
    for (const progress_write& write : *batch_)
    {
        const auto found = items.find(record_key(write, core_.epoch()));
        if (found == items.end() || found->second->value != write.text ||
            found->second->revision <= write.expected_revision)
        {
            return std::nullopt;
        }
        revision = found->second->revision;
    }
    return revision;
}

// Written without a condition: if a delayed write replaces a newer one, the
// data is only slightly outdated.
void job_scheduler::save_interference(time_point now)
{
    if (now < next_interference_save_)
    {
        return;
    }
    next_interference_save_ = now + interference_save_interval;
    std::vector<pair_interference> current = core_.known_interference();
    if (current == saved_interference_)
    {
        return;
    }
    saved_interference_ = std::move(current);
    store_.transact({.puts = {{.key = interference_key,
                               .value = json(saved_interference_).dump()}}},
                    timeout_.value(), [](const store_result&) {});
}

// ---------------------------------------------------------------------------
// Guards
// ---------------------------------------------------------------------------

report_answer job_scheduler::report(const worker_report& incoming)
{
    report_answer answer;
    if (ready())
    {
        answer = core_.report(incoming, boot_clock::now(),
                              leader_election_.confirmed_at());
    }
    answer.holder = leader_election_.leader();
    return answer;
}

// Otherwise only the answers to the guards' next reports would inform them of
// the next leader.
void job_scheduler::notify_guards(const leader_change& next)
{
    if (next.holder.empty())
    {
        return;
    }
    const shared_body body =
        make_body(rpc_request(leader_changed_method, next));
    for (const auto& [guard, worker] : core_.workers())
    {
        process_.client.send(
            {.method = "POST",
             .url = "http://" + worker.address + wire::rpc_path,
             .headers = {{"content-type", "application/json"}},
             .body = body,
             .timeout = order_timeout},
            [](const http_result&) {}); // a report's answer names it as well
    }
}

void job_scheduler::request_advice(time_point now)
{
    const auto question =
        process_.settings.advice.empty() ? std::nullopt : core_.next_query(now);
    if (!question)
    {
        return;
    }
    process_.client.send(
        platform::encode(*question, process_.settings.advice),
        process_.on_control<http_result>(
            [this, asked = *question, sent = now,
             generation = generation_](const http_result& result)
            {
                if (generation != generation_)
                {
                    return;
                }
                const time_point received_at = boot_clock::now();
                const auto answer = platform::decode_advice(asked, result);
                log_event(
                    event_id::advice_came,
                    {{"step", asked.step},
                     {"good", answer ? std::to_string(answer->tickets.size())
                                     : "no answer"},
                     {"took_ms",
                      std::to_string(to_milliseconds(received_at - sent))}});
                core_.advised(answer, received_at);
            }));
}

void job_scheduler::send_orders()
{
    for (const addressed_orders& one : core_.take_orders())
    {
        process_.client.send(
            {.method = "POST",
             .url = "http://" + one.address + wire::rpc_path,
             .headers = {{"content-type", "application/json"}},
             .body = make_body(rpc_request("orders", one.orders)),
             .timeout = order_timeout},
            [guard = one.guard](const http_result& result)
            {
                if (result.how != delivery::answered)
                {
                    log_event(event_id::order_failed,
                              {{"guard", guard}, {"why", result.error}});
                }
            });
    }
}

void job_scheduler::set_table(const queue_table& table)
{
    core_.set_table(table);
}

void job_scheduler::set_closed(const closed_data_centres& closed)
{
    core_.set_closed(closed, boot_clock::now());
}

void job_scheduler::job_was_accepted(const job& definition)
{
    if (ready() && !held_jobs_.contains(definition.id))
    {
        accept(definition, boot_clock::now());
    }
}

void job_scheduler::job_was_cancelled(const std::string& id)
{
    if (ready())
    {
        core_.cancel(id, boot_clock::now());
    }
}

// A leader that was frozen or lost the store may count what it knew in a term
// that has ended.
std::optional<waiting_count>
job_scheduler::waiting(const std::string& queue) const
{
    const time_point now = boot_clock::now();
    const duration age = now - leader_election_.confirmed_at();
    if (!ready() || age > max_count_age ||
        core_.awaits_first_reports(queue, now))
    {
        return std::nullopt;
    }
    return waiting_count{.waiting = core_.waiting(queue),
                         .age_ms = to_milliseconds(age)};
}

void job_scheduler::tick(time_point now)
{
    if (stage_ == stage::idle)
    {
        return;
    }
    if (stage_ != stage::ready)
    {
        if (!reading_ && now >= next_read_)
        {
            stage_ == stage::loading_interference ? load_interference()
                                                  : read_page();
        }
        return;
    }
    if (!watching_ && now >= next_watch_)
    {
        jobs_revision_ == 0 ? reread_jobs() : watch();
    }
    core_.tick(now, unix_milliseconds());
    write();
    save_interference(now);
    request_advice(now);
    send_orders();
    log_decisions();
    publish_metrics(now);
}

void job_scheduler::log_decisions()
{
    for (const decision& one : core_.take_decisions())
    {
        log_event(one.id, one.fields);
    }
    for (const finished_job& one : core_.take_finished())
    {
        const class_name queue_class{one.queue,
                                     std::string(to_string(one.state))};
        process_.process_metrics.observe("job", queue_class, one.age);
        process_.process_metrics.observe("job_to_start", queue_class,
                                         one.to_start);
    }
}

void job_scheduler::publish_service_metrics(const std::string& prefix,
                                            const availability_counts& account)
{
    metrics& gauges = process_.process_metrics;
    gauges.set(prefix + "_tasks", static_cast<double>(account.tasks));
    gauges.set(prefix + "_at_work", static_cast<double>(account.at_work));
    gauges.set(prefix + "_over_target",
               static_cast<double>(account.over_target));
    gauges.set(prefix + "_unplaced", static_cast<double>(account.unplaced));
}

void job_scheduler::publish_metrics(time_point now)
{
    if (now < next_metrics_at_)
    {
        return;
    }
    next_metrics_at_ = now + metrics_interval;
    const scheduler_figures figures = core_.figures();
    metrics& gauges = process_.process_metrics;
    gauges.set("runs_placed", static_cast<double>(figures.starts));
    gauges.set("runs_refused", static_cast<double>(figures.refused));
    gauges.set("runs_lost", static_cast<double>(figures.lost));
    gauges.set("runs_failed", static_cast<double>(figures.failed_runs));
    gauges.set("yields", static_cast<double>(figures.yields));
    gauges.set("urgent_on_reserved",
               static_cast<double>(figures.urgent_on_reserved));
    gauges.set("jobs_deferred", static_cast<double>(figures.jobs_deferred));
    gauges.set("jobs_open", static_cast<double>(figures.jobs_open));
    gauges.set("job_bytes", static_cast<double>(core_.held_bytes().total));
    gauges.set("workers", static_cast<double>(figures.workers));
    gauges.set("data_centres_closed",
               static_cast<double>(figures.closed_data_centres));
    gauges.set("runs_in_closed_data_centres",
               static_cast<double>(figures.runs_in_closed));
    if (process_.settings.disruption_budget)
    {
        gauges.set("disruptions_granted",
                   static_cast<double>(figures.disruptions_granted));
        gauges.set("disruptions_held",
                   static_cast<double>(figures.disruptions_held));
        gauges.set("disruption_emergencies",
                   static_cast<double>(figures.disruption_emergencies));
    }
    publish_service_metrics("lasting", figures.lasting);
    publish_service_metrics("largest_lasting", figures.largest_lasting);
    gauges.set("office_epoch", static_cast<double>(core_.epoch()));
}

} // namespace springstair
