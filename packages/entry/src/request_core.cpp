#include <springstair/entry.hpp>

#include <algorithm>
#include <utility>

namespace springstair
{

namespace
{

constexpr duration retry_soon = std::chrono::milliseconds(200);
constexpr duration retry_later = std::chrono::seconds(1);

problem_report unknown(refusal reason)
{
    return {.result = outcome::unknown,
            .reason = reason,
            .retry_after = {},
            .detail = {}};
}

// A guard that refuses for these reasons is not short of slots: trying the
// next one adds no load to a loaded fleet.
bool free_to_retry(refusal reason)
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
        actions.emplace_back(
            answer_problem{.number = request.number,
                           .of = request.of,
                           .what = not_run(reason, jittered(wait, random_))});
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
        reject(refusal::queue_full, retry_later);
        return actions;
    }
    if (const auto wait = limits_.admit(now, request.of.workspace))
    {
        reject(refusal::over_limit, *wait);
        return actions;
    }
    open_request& of = requests_[request.number];
    of.request = request;
    of.repeatable = request.repeatable.value_or(row->repeatable);
    of.kind = row->kind;
    deadlines_.emplace(request.deadline, request.number);
    if (!route(now, of, actions))
    {
        refuse(request.number, not_run(refusal::no_executor, retry_later),
               actions);
    }
    return actions;
}

void request_core::close(request_number number)
{
    const auto found = requests_.find(number);
    limits_.release(found->second.request.of.workspace);
    deadlines_.erase({found->second.request.deadline, number});
    detach(found->second);
    requests_.erase(found);
}

// The attempt that is out may still come back; nobody waits for it now.
void request_core::detach(open_request& of)
{
    if (!of.current.value.empty())
    {
        attempts_.erase(of.current);
        of.current = {};
        count_out(of, of.current_guard, -1);
    }
}

void request_core::count_out(const open_request& of, const guard_name& guard,
                             int change)
{
    outstanding_attempts& out = out_[guard];
    (of.kind == class_kind::latency_critical ? out.critical : out.other) +=
        change;
}

outstanding_attempts request_core::out_at(const guard_name& guard) const
{
    const auto found = out_.find(guard);
    return found == out_.end() ? outstanding_attempts{} : found->second;
}

void request_core::refuse(request_number number, problem_report why,
                          request_actions& actions)
{
    const open_request& of = requests_.at(number);
    if (of.may_have_run)
    {
        why.result = outcome::unknown;
        why.retry_after = duration{0};
    }
    if (why.retry_after.count() > 0)
    {
        why.retry_after = jittered(why.retry_after, random_);
    }
    actions.emplace_back(answer_problem{
        .number = number, .of = of.request.of, .what = std::move(why)});
    close(number);
}

// ---------------------------------------------------------------------------
// Routing
// ---------------------------------------------------------------------------

std::vector<route_candidate>
request_core::candidates(time_point now, const open_request& of) const
{
    std::vector<route_candidate> all;
    for (const auto& [name, view] : guards_.all())
    {
        if (!view.usable(now, guards_.options()) || of.tried.contains(name) ||
            !outliers_.may_send(now, name, of.repeatable))
        {
            continue;
        }
        route_candidate candidate = make_candidate(
            view.report.load, out_at(name), of.kind, table_.reserved_slots());
        candidate.guard = name;
        candidate.local = view.report.data_centre == options_.data_centre;
        all.push_back(std::move(candidate));
    }
    return all;
}

bool request_core::route(time_point now, open_request& of,
                         request_actions& actions)
{
    const std::vector<route_candidate> all = candidates(now, of);
    const auto index = std::visit([&](const auto& router)
                                  { return router.pick(all, random_); },
                                  options_.router);
    if (!index)
    {
        return false;
    }
    // Where another guard may have a slot at once, this one is to say so
    // rather than let the request wait.
    const bool critical = of.kind == class_kind::latency_critical;
    const bool may_wait = !critical ||
                          of.busy_replies >= options_.max_busy_replies ||
                          all.size() == 1;
    send_to(now, of, all[*index].guard, may_wait, actions);
    return true;
}

void request_core::send_to(time_point now, open_request& of,
                           const guard_name& guard, bool may_wait,
                           request_actions& actions)
{
    const guard_view& view = *guards_.find(guard);
    const attempt_name attempt{options_.name.value + "." +
                               options_.incarnation + "." +
                               std::to_string(++next_attempt_)};
    ++of.attempts;
    of.current = attempt;
    of.current_guard = guard;
    of.tried.insert(guard);
    attempts_[attempt] = {.number = of.request.number, .guard = guard};
    outliers_.sent(now, guard);
    count_out(of, guard, 1);
    actions.emplace_back(send_attempt{.number = of.request.number,
                                      .attempt = attempt,
                                      .guard = guard,
                                      .address = view.report.address,
                                      .incarnation = view.report.incarnation,
                                      .remaining = of.request.deadline - now,
                                      .repeatable = of.repeatable,
                                      .may_wait = may_wait});
}

void request_core::retry_or_refuse(time_point now, open_request& of,
                                   problem_report why, bool from_budget,
                                   request_actions& actions)
{
    const request_number number = of.request.number;
    const bool worth_it =
        of.attempts < options_.most_attempts && now < of.request.deadline;
    if (!worth_it || (from_budget && !retries_.take()))
    {
        refuse(number, std::move(why), actions);
        return;
    }
    if (!route(now, of, actions))
    {
        refuse(number, std::move(why), actions);
    }
}

// ---------------------------------------------------------------------------
// An attempt's end
// ---------------------------------------------------------------------------

void request_core::record_result(time_point now, const attempt_result& result,
                                 const sent_attempt& sent,
                                 request_actions& actions)
{
    using ending = attempt_result::ending;
    const class_name& of = requests_.at(sent.number).request.of;
    const bool success = result.how == ending::answered;
    const bool refused_by_load =
        result.how == ending::refused &&
        result.refused_with.reason != refusal::connection_lost;
    if (refused_by_load)
    {
        outliers_.returned(sent.guard);
        return;
    }
    if (success)
    {
        retries_.succeeded();
    }
    const outlier_change change =
        outliers_.record(now, sent.guard, of, success, guards_.all().size());
    if (change != outlier_change::none)
    {
        const event_id event = change == outlier_change::ejected
                                   ? event_id::guard_ejected
                                   : event_id::guard_restored;
        actions.emplace_back(log_guard{.event = event, .guard = sent.guard});
    }
}

// An attempt that outlives its request counts as a failure: a guard refuses
// what only its queue would delay, so this one waits for the executor.
void request_core::record_silence(time_point now, const open_request& of,
                                  request_actions& actions)
{
    record_result(now,
                  {.attempt = of.current,
                   .how = attempt_result::ending::unknown,
                   .refused_with = {},
                   .load = {}},
                  {.number = of.request.number, .guard = of.current_guard},
                  actions);
}

void request_core::after_refusal(time_point now, open_request& of,
                                 problem_report why, request_actions& actions)
{
    // Sent once, over one connection, which the new process answered: the
    // process that was there before never saw it.
    if (!of.repeatable && why.reason == refusal::wrong_incarnation)
    {
        why.result = outcome::not_run;
    }
    if (why.result != outcome::not_run)
    {
        of.may_have_run = true;
        if (!of.repeatable)
        {
            refuse(of.request.number, std::move(why), actions);
            return;
        }
    }
    if (why.reason == refusal::busy)
    {
        ++of.busy_replies;
        --of.attempts; // it only asked; no queue and no slot was used
    }
    const bool from_budget = !free_to_retry(why.reason);
    retry_or_refuse(now, of, std::move(why), from_budget, actions);
}

request_actions request_core::on_attempt(time_point now,
                                         const attempt_result& result)
{
    using ending = attempt_result::ending;
    request_actions actions;
    const auto found = attempts_.find(result.attempt);
    if (found == attempts_.end())
    {
        return actions; // its request was answered already
    }
    const sent_attempt sent = found->second;
    attempts_.erase(found);
    open_request& of = requests_.at(sent.number);
    of.current = {};
    count_out(of, sent.guard, -1);
    if (result.load)
    {
        guards_.hear_load(sent.guard, *result.load);
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
        of.may_have_run = true;
        if (of.repeatable && of.attempts < options_.most_attempts &&
            now < of.request.deadline && retries_.take() &&
            route(now, of, actions))
        {
            break;
        }
        actions.emplace_back(
            forward_answer{.number = sent.number, .attempt = result.attempt});
        close(sent.number);
        break;
    case ending::refused:
        after_refusal(now, of, result.refused_with, actions);
        break;
    case ending::not_sent:
        guards_.refused(sent.guard);
        retry_or_refuse(now, of, not_run(refusal::connection_lost, retry_soon),
                        true, actions);
        break;
    case ending::unknown:
        of.may_have_run = true;
        if (!of.repeatable)
        {
            refuse(sent.number, unknown(refusal::connection_lost), actions);
            break;
        }
        retry_or_refuse(now, of, unknown(refusal::connection_lost), true,
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
    entries_.relay(now, others);
    const guard_change change = guards_.hear(now, report);
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

void request_core::on_exchange(time_point now, const entry_summary& from)
{
    entries_.hear(now, from);
    limits_.borrow(now, from.entry.value, from.lends);
}

void request_core::on_exchange_answer(time_point now, const entry_summary& from)
{
    entries_.hear(now, from);
    limits_.settled(from.entry.value, from.holds);
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
    std::vector<request_number> stranded;
    for (const auto& [number, of] : requests_)
    {
        if (of.repeatable && !of.current.value.empty() &&
            std::find(lost.begin(), lost.end(), of.current_guard) != lost.end())
        {
            stranded.push_back(number);
        }
    }
    for (const request_number number : stranded)
    {
        open_request& of = requests_.at(number);
        if (of.attempts >= options_.most_attempts || !retries_.take())
        {
            continue;
        }
        const attempt_name silent = of.current;
        of.may_have_run = true;
        const guard_name from = of.current_guard;
        if (route(now, of, actions))
        {
            attempts_.erase(silent);
            count_out(of, from, -1);
        }
    }
}

request_actions request_core::on_tick(time_point now)
{
    request_actions actions;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const request_number number = deadlines_.begin()->second;
        open_request& of = requests_.at(number);
        if (!of.current.value.empty())
        {
            of.may_have_run = true;
            record_silence(now, of, actions);
        }
        refuse(number, not_run(refusal::deadline, retry_soon), actions);
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

void request_core::fill_summary(time_point now, entry_summary& to,
                                const std::string& peer, bool offer)
{
    to.wants = limits_.wants(now);
    to.holds = limits_.holds();
    if (!offer)
    {
        return;
    }
    const auto& known = entries_.summaries();
    const auto found = known.find(peer);
    const unit_map wanted =
        found == known.end() ? unit_map{} : found->second.wants;
    to.lends = limits_.offer(now, peer, wanted);
}

} // namespace springstair
