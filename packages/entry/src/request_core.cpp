#include <springstair/entry.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr duration short_retry_after = std::chrono::milliseconds(200);
constexpr duration long_retry_after = std::chrono::seconds(1);

problem_report unknown(refusal reason)
{
    return {.result = outcome::unknown,
            .reason = reason,
            .retry_after = {},
            .detail = {}};
}

// A guard refuses for these reasons without queueing or running the attempt, so
// a retry on the next guard adds no load to an overloaded fleet.
bool is_exempt_from_retry_budget(refusal reason)
{
    return reason == refusal::draining || reason == refusal::starting ||
           reason == refusal::wrong_incarnation || reason == refusal::busy;
}

} // namespace

request_core::request_core(request_options options)
    : options_(std::move(options)), guards_(options_.liveness),
      entries_(options_.liveness), outliers_(options_.outliers),
      retries_(options_.retries), limits_(options_.name.value, options_.limits),
      random_(options_.seed)
{
}

// ---------------------------------------------------------------------------
// A caller's request
// ---------------------------------------------------------------------------

request_actions request_core::on_request(time_point now,
                                         const caller_request& request)
{
    request_actions actions;
    const auto reject = [&](refusal reason, duration wait)
    {
        actions.emplace_back(answer_problem{
            .number = request.number,
            .request_class = request.of,
            .problem = not_run(reason, jittered(wait, random_))});
    };
    const class_row* const row = table_.find(request.of);
    if (row == nullptr)
    {
        reject(refusal::unknown_class, duration{0});
        return actions;
    }
    if (request.deadline <= now)
    {
        reject(refusal::deadline, duration{0});
        return actions;
    }
    if (requests_.size() >= options_.max_open_requests)
    {
        reject(refusal::queue_full, long_retry_after);
        return actions;
    }
    if (const auto wait = limits_.admit(now, request.of.workspace))
    {
        reject(refusal::over_limit, *wait);
        return actions;
    }
    open_request& pending = requests_[request.number];
    pending.request = request;
    pending.repeatable = request.repeatable.value_or(row->repeatable);
    pending.kind = row->kind;
    deadlines_.emplace(request.deadline, request.number);
    if (!route(now, pending, actions))
    {
        refuse(request.number, not_run(refusal::no_executor, long_retry_after),
               actions);
    }
    return actions;
}

void request_core::close(request_number number)
{
    const auto found = requests_.find(number);
    limits_.release(found->second.request.of.workspace);
    deadlines_.erase({found->second.request.deadline, number});
    abandon_attempt(found->second);
    requests_.erase(found);
}

// Stops tracking the attempt in flight. A later result of it is ignored.
void request_core::abandon_attempt(open_request& pending)
{
    if (!pending.current.value.empty())
    {
        attempts_.erase(pending.current);
        pending.current = {};
        adjust_outstanding(pending, pending.current_guard, -1);
    }
}

void request_core::adjust_outstanding(const open_request& pending,
                                      const guard_name& guard, int change)
{
    outstanding_attempts& counts = outstanding_[guard];
    (pending.kind == class_kind::latency_critical ? counts.critical
                                                  : counts.other) += change;
}

outstanding_attempts request_core::outstanding_at(const guard_name& guard) const
{
    const auto found = outstanding_.find(guard);
    return found == outstanding_.end() ? outstanding_attempts{} : found->second;
}

void request_core::refuse(request_number number, problem_report problem,
                          request_actions& actions)
{
    const open_request& pending = requests_.at(number);
    if (pending.may_have_run)
    {
        problem.result = outcome::unknown;
        problem.retry_after = duration{0};
    }
    if (problem.retry_after.count() > 0)
    {
        problem.retry_after = jittered(problem.retry_after, random_);
    }
    actions.emplace_back(answer_problem{.number = number,
                                        .request_class = pending.request.of,
                                        .problem = std::move(problem)});
    close(number);
}

// ---------------------------------------------------------------------------
// Routing
// ---------------------------------------------------------------------------

std::vector<route_candidate>
request_core::candidates(time_point now, const open_request& pending) const
{
    std::vector<route_candidate> all;
    for (const auto& [name, view] : guards_.all())
    {
        if (!view.usable(now, guards_.options()) ||
            pending.tried.contains(name) ||
            !outliers_.may_send(now, name, pending.repeatable))
        {
            continue;
        }
        route_candidate candidate =
            make_candidate(view.report.load, outstanding_at(name), pending.kind,
                           table_.reserved_slots());
        candidate.guard = name;
        candidate.local = view.report.data_centre == options_.data_centre;
        all.push_back(std::move(candidate));
    }
    return all;
}

bool request_core::route(time_point now, open_request& pending,
                         request_actions& actions)
{
    const std::vector<route_candidate> all = candidates(now, pending);
    const auto index = std::visit([&](const auto& router)
                                  { return router.pick(all, random_); },
                                  options_.router);
    if (!index)
    {
        return false;
    }
    // While another guard may have a free slot, this one must answer busy
    // instead of queueing the request.
    const bool critical = pending.kind == class_kind::latency_critical;
    const bool may_wait = !critical ||
                          pending.busy_replies >= options_.max_busy_replies ||
                          all.size() == 1;
    send_to(now, pending, all[*index].guard, may_wait, actions);
    return true;
}

void request_core::send_to(time_point now, open_request& pending,
                           const guard_name& guard, bool may_wait,
                           request_actions& actions)
{
    const guard_view& view = *guards_.find(guard);
    const attempt_name attempt{options_.name.value + "." +
                               options_.incarnation + "." +
                               std::to_string(++next_attempt_)};
    ++pending.attempts;
    pending.current = attempt;
    pending.current_guard = guard;
    pending.tried.insert(guard);
    attempts_[attempt] = {.number = pending.request.number, .guard = guard};
    outliers_.sent(now, guard);
    adjust_outstanding(pending, guard, 1);
    actions.emplace_back(
        send_attempt{.number = pending.request.number,
                     .attempt = attempt,
                     .guard = guard,
                     .address = view.report.address,
                     .incarnation = view.report.incarnation,
                     .remaining = pending.request.deadline - now,
                     .repeatable = pending.repeatable,
                     .may_wait = may_wait});
}

void request_core::retry_or_refuse(time_point now, open_request& pending,
                                   problem_report problem, bool from_budget,
                                   request_actions& actions)
{
    const request_number number = pending.request.number;
    const bool may_retry = pending.attempts < options_.max_attempts &&
                           now < pending.request.deadline;
    if (!may_retry || (from_budget && !retries_.take()))
    {
        refuse(number, std::move(problem), actions);
        return;
    }
    if (!route(now, pending, actions))
    {
        refuse(number, std::move(problem), actions);
    }
}

// ---------------------------------------------------------------------------
// Attempt results
// ---------------------------------------------------------------------------

void request_core::record_result(time_point now, const attempt_result& result,
                                 const sent_attempt& sent,
                                 request_actions& actions)
{
    using ending = attempt_result::ending;
    const class_name& request_class = requests_.at(sent.number).request.of;
    const bool success = result.how == ending::answered;
    const bool refused_by_guard =
        result.how == ending::refused &&
        result.refused_with.reason != refusal::connection_lost;
    if (refused_by_guard)
    {
        outliers_.discard_probe(sent.guard);
        return;
    }
    if (success)
    {
        retries_.succeeded();
    }
    const outlier_change change = outliers_.record(
        now, sent.guard, request_class, success, guards_.all().size());
    if (change != outlier_change::none)
    {
        const event_id event = change == outlier_change::ejected
                                   ? event_id::guard_ejected
                                   : event_id::guard_restored;
        actions.emplace_back(log_guard{.event = event, .guard = sent.guard});
    }
}

// An attempt that is in flight at its request's deadline counts as a failure.
// A guard refuses queued attempts before their deadline, so this one had been
// sent to the executor.
void request_core::record_timeout(time_point now, const open_request& pending,
                                  request_actions& actions)
{
    record_result(
        now,
        {.attempt = pending.current,
         .how = attempt_result::ending::unknown,
         .refused_with = {},
         .load = {}},
        {.number = pending.request.number, .guard = pending.current_guard},
        actions);
}

void request_core::handle_refusal(time_point now, open_request& pending,
                                  problem_report problem,
                                  request_actions& actions)
{
    // The attempt was sent once, over one connection, and the new guard process
    // answered on it: the previous process never received it.
    if (!pending.repeatable && problem.reason == refusal::wrong_incarnation)
    {
        problem.result = outcome::not_run;
    }
    if (problem.result != outcome::not_run)
    {
        pending.may_have_run = true;
        if (!pending.repeatable)
        {
            refuse(pending.request.number, std::move(problem), actions);
            return;
        }
    }
    if (problem.reason == refusal::busy)
    {
        ++pending.busy_replies;
        --pending.attempts; // the guard neither queued nor ran it
    }
    const bool from_budget = !is_exempt_from_retry_budget(problem.reason);
    retry_or_refuse(now, pending, std::move(problem), from_budget, actions);
}

request_actions request_core::on_attempt(time_point now,
                                         const attempt_result& result)
{
    using ending = attempt_result::ending;
    request_actions actions;
    const auto found = attempts_.find(result.attempt);
    if (found == attempts_.end())
    {
        return actions; // the request is already answered
    }
    const sent_attempt sent = found->second;
    attempts_.erase(found);
    open_request& pending = requests_.at(sent.number);
    pending.current = {};
    adjust_outstanding(pending, sent.guard, -1);
    if (result.load)
    {
        guards_.on_load_report(sent.guard, *result.load);
    }
    record_result(now, result, sent, actions);
    switch (result.how)
    {
    case ending::answered:
        actions.emplace_back(
            forward_answer{.number = sent.number, .attempt = result.attempt});
        close(sent.number);
        break;
    case ending::failed:
        pending.may_have_run = true;
        if (pending.repeatable && pending.attempts < options_.max_attempts &&
            now < pending.request.deadline && retries_.take() &&
            route(now, pending, actions))
        {
            break;
        }
        actions.emplace_back(
            forward_answer{.number = sent.number, .attempt = result.attempt});
        close(sent.number);
        break;
    case ending::refused:
        handle_refusal(now, pending, result.refused_with, actions);
        break;
    case ending::not_sent:
        guards_.on_unreachable(sent.guard);
        retry_or_refuse(now, pending,
                        not_run(refusal::connection_lost, short_retry_after),
                        true, actions);
        break;
    case ending::unknown:
        pending.may_have_run = true;
        if (!pending.repeatable)
        {
            refuse(sent.number, unknown(refusal::connection_lost), actions);
            break;
        }
        retry_or_refuse(now, pending, unknown(refusal::connection_lost), true,
                        actions);
        break;
    }
    return actions;
}

// ---------------------------------------------------------------------------
// Membership, table, time
// ---------------------------------------------------------------------------

request_actions request_core::on_heartbeat(time_point now,
                                           const guard_report& report)
{
    request_actions actions;
    std::vector<std::string> others = report.entries_heard;
    std::erase(others, options_.name.value);
    entries_.on_relayed_names(now, others);
    const guard_change change = guards_.on_heartbeat(now, report);
    switch (change)
    {
    case guard_change::restarted:
        outliers_.forget(report.guard);
        [[fallthrough]];
    case guard_change::joined:
        actions.emplace_back(
            log_guard{.event = event_id::guard_joined, .guard = report.guard});
        break;
    case guard_change::leaving:
        actions.emplace_back(
            log_guard{.event = event_id::guard_leaving, .guard = report.guard});
        break;
    case guard_change::none:
        break;
    }
    return actions;
}

void request_core::on_leaving_list(const std::set<std::string>& addresses)
{
    guards_.list_leaving(addresses);
}

void request_core::on_exchange(time_point now, const entry_summary& summary)
{
    entries_.on_exchange(now, summary);
    limits_.borrow(now, summary.entry.value, summary.lends);
}

void request_core::on_exchange_answer(time_point now,
                                      const entry_summary& summary)
{
    entries_.on_exchange(now, summary);
    limits_.on_offer_answered(summary.entry.value, summary.holds);
}

bool request_core::on_table(const table& rows)
{
    if (rows.revision() <= table_.revision())
    {
        return false;
    }
    table_ = rows;
    limits_.use_table(rows);
    return true;
}

void request_core::retry_from_lost_guards(time_point now,
                                          const std::vector<guard_name>& lost,
                                          request_actions& actions)
{
    std::vector<request_number> to_retry;
    for (const auto& [number, pending] : requests_)
    {
        if (pending.repeatable && !pending.current.value.empty() &&
            std::find(lost.begin(), lost.end(), pending.current_guard) !=
                lost.end())
        {
            to_retry.push_back(number);
        }
    }
    for (const request_number number : to_retry)
    {
        open_request& pending = requests_.at(number);
        if (pending.attempts >= options_.max_attempts || !retries_.take())
        {
            continue;
        }
        const attempt_name lost_attempt = pending.current;
        pending.may_have_run = true;
        const guard_name lost_guard = pending.current_guard;
        if (route(now, pending, actions))
        {
            attempts_.erase(lost_attempt);
            adjust_outstanding(pending, lost_guard, -1);
        }
    }
}

request_actions request_core::on_tick(time_point now)
{
    request_actions actions;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const request_number number = deadlines_.begin()->second;
        open_request& pending = requests_.at(number);
        if (!pending.current.value.empty())
        {
            pending.may_have_run = true;
            record_timeout(now, pending, actions);
        }
        refuse(number, not_run(refusal::deadline, short_retry_after), actions);
    }
    const std::vector<guard_name> lost = guards_.expire(now);
    for (const guard_name& guard : lost)
    {
        actions.emplace_back(
            log_guard{.event = event_id::guard_lost, .guard = guard});
    }
    if (!lost.empty())
    {
        retry_from_lost_guards(now, lost, actions);
    }
    entries_.expire(now);
    limits_.use_members(now, entries_.alive(now));
    return actions;
}

void request_core::fill_summary(time_point now, entry_summary& summary,
                                const std::string& peer, bool offer)
{
    summary.wants = limits_.wants(now);
    summary.holds = limits_.holds();
    if (!offer)
    {
        return;
    }
    const auto& summaries = entries_.summaries();
    const auto found = summaries.find(peer);
    const unit_map peer_wants =
        found == summaries.end() ? unit_map{} : found->second.wants;
    summary.lends = limits_.offer(now, peer, peer_wants);
}

} // namespace springstair
