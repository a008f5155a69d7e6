// What a holder writes, orders and tells; job_holder_reading.cpp has the rest.

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

// A page is up to 1 MB, in base64: 1.1 s on the thinnest link seen (10 Mbit/s)
// if nothing else is on it, 5.4 s on a fifth of that.
constexpr duration max_page = std::chrono::milliseconds(6000);
// A successor's knowledge may be so old; each write is a priced call.
constexpr duration interference_save_interval = std::chrono::seconds(3);
// Below any scrape's interval.
constexpr duration metrics_interval = std::chrono::seconds(1);
// A write is answered within milliseconds; above that, and above the wait for a
// processor that is shared.
constexpr duration min_hedge_delay = std::chrono::milliseconds(100);
// A copy is given up after this many times the wait for the next one.
constexpr int max_write_attempts_in_flight = 4;
constexpr duration min_limit = std::chrono::milliseconds(400);
// An order is repeated by the next reports; waiting longer helps nobody.
constexpr duration order_timeout = std::chrono::milliseconds(600);

} // namespace

job_scheduler::job_scheduler(process_context& process,
                             platform::store_client& store,
                             leader_election& election)
    : process_(process), store_(store), leader_election_(election),
      core_({.closing = {.close_within = process.from.close_within}}),
      page_timeout_(max_page),
      hedge_delay_(adaptive_timeout::default_max, min_hedge_delay)
{
}

// ---------------------------------------------------------------------------
// Writing
// ---------------------------------------------------------------------------

// A store that loses answers is not waited for: another copy of the same batch
// follows, while those before may still be answered. Each is conditioned on
// what the batch replaces, so one of them is done at most.
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
    ++batches_;
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
        max_write_attempts_in_flight * hedge_delay_.value(), min_limit);
    store_.transact(transaction_of(*batch_, core_.epoch()), limit,
                    process_.on_control<store_result>(
                        [this, now, term = term_,
                         number = batches_](const store_result& result)
                        {
                            if (term == term_ && number == batches_ && batch_)
                            {
                                on_written(result, now);
                            }
                        }));
}

void job_scheduler::end_batch(std::int64_t revision, time_point sent)
{
    leader_election_.verified(sent);
    core_.committed(*batch_, revision, boot_clock::now());
    batch_.reset();
}

void job_scheduler::on_written(const store_result& result, time_point sent)
{
    switch (result.status)
    {
    case store_status::done:
        hedge_delay_.answered(result.took);
        end_batch(result.revision, sent);
        return;
    case store_status::conflict:
        if (const auto revision = written_before(result))
        {
            end_batch(*revision, sent);
            return;
        }
        leader_election_.superseded("a write found another holder");
        return;
    case store_status::refused:
    case store_status::absent:
    case store_status::compacted:
        next_attempt_at_ = boot_clock::now() + pause;
        return;
    case store_status::unknown:
        return; // the next copy is due by itself
    }
}

// A conflict with our own earlier copy of the same batch: it was done, and
// only its answer was lost. Gives the revision that it wrote.
std::optional<std::int64_t>
job_scheduler::written_before(const store_result& result) const
{
    std::map<std::string, const store_item*> items;
    for (const store_item& item : result.items)
    {
        items[item.key] = &item;
    }
    const auto holder = items.find(leader_key);
    if (holder == items.end() || holder->second->revision != core_.epoch())
    {
        return std::nullopt;
    }
    std::int64_t revision = 0;
    for (const progress_write& write : *batch_)
    {
        const auto found = items.find(progress_key(write.job));
        if (found == items.end() || found->second->value != write.text ||
            found->second->revision <= write.expected_revision)
        {
            return std::nullopt;
        }
        revision = found->second->revision;
    }
    return revision;
}

// Written without a condition: a late copy only says a little less.
void job_scheduler::save_interference(time_point now)
{
    if (now < next_interference_save_)
    {
        return;
    }
    next_interference_save_ = now + interference_save_interval;
    std::vector<pair_interference> harms = core_.known_interference();
    if (harms == saved_interference_)
    {
        return;
    }
    saved_interference_ = std::move(harms);
    store_.transact({.puts = {{.key = interference_key,
                               .value = json(saved_interference_).dump()}}},
                    timeout_.value(), [](const store_result&) {});
}

// ---------------------------------------------------------------------------
// Guards
// ---------------------------------------------------------------------------

report_answer job_scheduler::report(const worker_report& from)
{
    report_answer answer;
    if (ready())
    {
        answer = core_.report(from, boot_clock::now(),
                              leader_election_.verified_at());
    }
    answer.holder = leader_election_.leader();
    return answer;
}

// Otherwise they would hear of it with the answers to their next reports.
void job_scheduler::tell_guards(const leader_change& next)
{
    if (next.holder.empty())
    {
        return;
    }
    const shared_body body =
        make_body(rpc_request(leader_changed_method, next));
    for (const auto& [guard, at] : core_.workers())
    {
        process_.client.send(
            {.method = "POST",
             .url = "http://" + at.address + wire::rpc_path,
             .headers = {{"content-type", "application/json"}},
             .body = body,
             .timeout = order_timeout},
            [](const http_result&) {}); // a report finds out, too
    }
}

void job_scheduler::ask_for_advice(time_point now)
{
    const auto question =
        process_.from.advice.empty() ? std::nullopt : core_.next_query(now);
    if (!question)
    {
        return;
    }
    process_.client.send(
        platform::encode(*question, process_.from.advice),
        process_.on_control<http_result>(
            [this, asked = *question, sent = now,
             term = term_](const http_result& result)
            {
                if (term != term_)
                {
                    return;
                }
                const time_point came = boot_clock::now();
                const auto answer = platform::decode_advice(asked, result);
                log_event(
                    event_id::advice_came,
                    {{"step", asked.step},
                     {"good", answer ? std::to_string(answer->tickets.size())
                                     : "no answer"},
                     {"took_ms",
                      std::to_string(to_milliseconds(came - sent))}});
                core_.advised(answer, came);
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

void job_scheduler::set_closed(const closed_data_centres& known)
{
    core_.set_closed(known, boot_clock::now());
}

void job_scheduler::job_was_accepted(const job& what)
{
    if (ready())
    {
        core_.accept(what, boot_clock::now());
    }
}

void job_scheduler::job_was_cancelled(const std::string& id)
{
    if (ready())
    {
        core_.cancel(id, boot_clock::now());
    }
}

void job_scheduler::tick(time_point now)
{
    if (at_ == stage::idle)
    {
        return;
    }
    if (at_ != stage::holding)
    {
        if (!reading_ && now >= next_read_)
        {
            at_ == stage::loading_interference ? decode_interference()
                                               : read_page();
        }
        return;
    }
    if (!watching_ && now >= next_watch_)
    {
        jobs_since_ == 0 ? read_again() : watch();
    }
    core_.tick(now, day_milliseconds());
    write();
    save_interference(now);
    ask_for_advice(now);
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
        const class_name of{one.queue, std::string(to_string(one.state))};
        process_.numbers.observe("job", of, one.age);
        process_.numbers.observe("job_to_start", of, one.to_start);
    }
}

void job_scheduler::publish_service_metrics(const std::string& of,
                                            const availability_counts& account)
{
    metrics& to = process_.numbers;
    to.set(of + "_tasks", static_cast<double>(account.tasks));
    to.set(of + "_at_work", static_cast<double>(account.at_work));
    to.set(of + "_over_target", static_cast<double>(account.over_target));
    to.set(of + "_unplaced", static_cast<double>(account.unplaced));
}

void job_scheduler::publish_metrics(time_point now)
{
    if (now < next_figures_)
    {
        return;
    }
    next_figures_ = now + metrics_interval;
    const scheduler_figures figures = core_.figures();
    metrics& to = process_.numbers;
    to.set("runs_placed", static_cast<double>(figures.starts));
    to.set("runs_refused", static_cast<double>(figures.refused));
    to.set("runs_lost", static_cast<double>(figures.lost));
    to.set("runs_failed", static_cast<double>(figures.failed_runs));
    to.set("jobs_open", static_cast<double>(figures.jobs_open));
    to.set("workers", static_cast<double>(figures.workers));
    to.set("data_centres_closed",
           static_cast<double>(figures.closed_data_centres));
    to.set("runs_in_closed_data_centres",
           static_cast<double>(figures.runs_in_closed));
    publish_service_metrics("lasting", figures.lasting);
    publish_service_metrics("largest_lasting", figures.largest_lasting);
    to.set("office_epoch", static_cast<double>(core_.epoch()));
}

} // namespace springstair
