#include <springstair/guard.hpp>

#include <utility>

namespace springstair
{

namespace
{

constexpr duration retry_soon = std::chrono::milliseconds(200);

} // namespace

guard_core::guard_core(guard_options options, time_point now)
    : options_(std::move(options)), admission_(options_.admission),
      random_(options_.seed), started_(now)
{
}

std::optional<problem_report>
guard_core::refuse_outright(const attempt_request& request)
{
    if (request.incarnation != options_.incarnation)
    {
        // A duplicate may have reached the previous guard process.
        return problem_report{.result = outcome::unknown,
                              .reason = refusal::wrong_incarnation,
                              .retry_after = retry_soon};
    }
    if (!ready())
    {
        return not_run(refusal::starting, retry_soon);
    }
    if (draining_)
    {
        return not_run(refusal::draining, retry_soon);
    }
    return std::nullopt;
}

void guard_core::remember(time_point now, const attempt_name& attempt,
                          std::optional<problem_report> refused)
{
    seen_[attempt] = std::move(refused);
    forget_at_[now + options_.remember_attempts].push_back(attempt);
}

guard_actions guard_core::refuse(time_point now, const attempt_name& attempt,
                                 problem_report problem)
{
    remember(now, attempt, problem);
    return {reply_problem{.attempt = attempt, .problem = std::move(problem)}};
}

// The attempt has left the queue, so that it cannot run any more.
guard_action guard_core::refuse_queued(const attempt_name& attempt,
                                       problem_report problem)
{
    dismiss(attempt);
    if (const auto found = seen_.find(attempt); found != seen_.end())
    {
        found->second = problem;
    }
    return reply_problem{.attempt = attempt, .problem = std::move(problem)};
}

// A duplicate of a refused attempt gets the same refusal.
// Any other duplicate gets `unknown`, never not_run: the first copy may run.
guard_actions guard_core::answer_duplicate(const attempt_name& attempt)
{
    const auto& refused = seen_.at(attempt);
    const problem_report duplicate{.result = outcome::unknown,
                                   .reason = refusal::duplicate};
    return {reply_problem{.attempt = attempt,
                          .problem = refused.value_or(duplicate)}};
}

guard_actions guard_core::on_attempt(time_point now,
                                     const attempt_request& request)
{
    if (seen_.contains(request.attempt))
    {
        return answer_duplicate(request.attempt);
    }
    if (auto refused = refuse_outright(request))
    {
        return refuse(now, request.attempt, *std::move(refused));
    }
    const auto refused =
        admission_.offer(now, {.attempt = request.attempt,
                               .work_class = request.request_class,
                               .arrived = now,
                               .deadline = now + request.remaining,
                               .may_wait = request.may_wait});
    if (refused)
    {
        return refuse(
            now, request.attempt,
            not_run(refused->reason, jittered(refused->retry_after, random_)));
    }
    remember(now, request.attempt, std::nullopt);
    admit(request);
    guard_actions actions;
    start_ready(now, actions);
    return actions;
}

void guard_core::start_ready(time_point now, guard_actions& actions)
{
    for (slot_request& request : admission_.start_ready())
    {
        running_[request.attempt] = {.of = request.work_class, .started = now};
        actions.emplace_back(run_attempt{std::move(request.attempt)});
    }
}

guard_actions guard_core::on_executor(time_point now,
                                      const attempt_name& attempt,
                                      executor_result result)
{
    guard_actions actions;
    const auto found = running_.find(attempt);
    if (found == running_.end())
    {
        return actions;
    }
    const duration service = now - found->second.started;
    running_.erase(found);
    dismiss(attempt);
    switch (result)
    {
    case executor_result::answered:
        admission_.finish(attempt, service);
        actions.emplace_back(reply_answer{attempt});
        break;
    case executor_result::failed:
        admission_.abandon(attempt);
        actions.emplace_back(reply_answer{attempt});
        break;
    case executor_result::not_sent:
        admission_.abandon(attempt);
        actions.emplace_back(reply_problem{
            .attempt = attempt,
            .problem = not_run(refusal::connection_lost, retry_soon)});
        break;
    case executor_result::unknown:
        // The slot stays occupied until the worker no longer lists the attempt.
        admission_.abandon(attempt);
        in_doubt_[attempt.value] = now;
        count_orphans();
        actions.emplace_back(
            reply_problem{.attempt = attempt,
                          .problem = {.result = outcome::unknown,
                                      .reason = refusal::connection_lost,
                                      .retry_after = {},
                                      .detail = {}}});
        break;
    }
    start_ready(now, actions);
    return actions;
}

guard_actions
guard_core::on_executor_list(time_point now, time_point asked,
                             const std::set<std::string>& attempts)
{
    if (asked < last_asked_)
    {
        return {}; // stale: a later list was applied
    }
    last_asked_ = asked;
    std::set<std::string> orphans;
    for (const std::string& name : attempts)
    {
        const attempt_name attempt{name};
        const bool ended_here = seen_.contains(attempt) &&
                                !in_doubt_.contains(name) &&
                                !orphans_.contains(name);
        if (!running_.contains(attempt) && !ended_here)
        {
            orphans.insert(name);
        }
    }
    // Attempts whose outcome became unknown after the worker was asked stay in
    // doubt: this list may predate them.
    std::erase_if(in_doubt_,
                  [&](const auto& item) { return item.second <= asked; });
    orphans_ = std::move(orphans);
    if (asked - started_ >= options_.settle)
    {
        listed_ = true;
    }
    count_orphans();
    guard_actions actions;
    start_ready(now, actions);
    return actions;
}

void guard_core::count_orphans()
{
    std::set<std::string> all = orphans_;
    for (const auto& [name, since] : in_doubt_)
    {
        all.insert(name);
    }
    admission_.occupy(static_cast<std::int64_t>(all.size()));
}

bool guard_core::on_table(const table& rows)
{
    if (rows.revision() <= table_.revision())
    {
        return false;
    }
    table_ = rows;
    admission_.use_table(rows);
    return true;
}

void guard_core::on_drain() noexcept
{
    draining_ = true;
}

guard_actions guard_core::on_tick(time_point now)
{
    guard_actions actions;
    for (const slot_refusal& refused : admission_.expire(now))
    {
        actions.emplace_back(refuse_queued(
            refused.request.attempt,
            not_run(refused.reason, jittered(refused.retry_after, random_))));
    }
    while (!forget_at_.empty() && forget_at_.begin()->first <= now)
    {
        for (const attempt_name& attempt : forget_at_.begin()->second)
        {
            seen_.erase(attempt);
        }
        forget_at_.erase(forget_at_.begin());
    }
    start_ready(now, actions);
    return actions;
}

bool guard_core::idle() const
{
    const load_report load = admission_.load();
    return running_.empty() && load.queued_critical + load.queued_other == 0;
}

load_report guard_core::load(const std::string& entry) const
{
    load_report report = admission_.load();
    const auto own = by_entry_.find(entry);
    if (own != by_entry_.end())
    {
        report.own_critical = own->second.own_critical;
        report.own_other = own->second.own_other;
    }
    return report;
}

void guard_core::admit(const attempt_request& request)
{
    const class_row* const row = table_.find(request.request_class);
    const bool critical =
        row != nullptr && row->kind == class_kind::latency_critical;
    admitted_[request.attempt] = {.entry = request.entry, .critical = critical};
    load_report& own = by_entry_[request.entry];
    ++(critical ? own.own_critical : own.own_other);
}

void guard_core::dismiss(const attempt_name& attempt)
{
    const auto found = admitted_.find(attempt);
    if (found == admitted_.end())
    {
        return;
    }
    load_report& own = by_entry_[found->second.entry];
    --(found->second.critical ? own.own_critical : own.own_other);
    if (own.own_critical + own.own_other == 0)
    {
        by_entry_.erase(found->second.entry);
    }
    admitted_.erase(found);
}

std::optional<time_point> guard_core::started(const attempt_name& attempt) const
{
    const auto found = running_.find(attempt);
    if (found == running_.end())
    {
        return std::nullopt;
    }
    return found->second.started;
}

} // namespace springstair
