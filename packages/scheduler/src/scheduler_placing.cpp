// Which waiting task goes to which worker.

#include <springstair/scheduler.hpp>

#include <algorithm>
#include <limits>

namespace springstair
{

namespace
{

std::int64_t rounds_due(const job& what, std::int64_t unix_ms)
{
    const job_schedule& schedule = what.schedule;
    if (schedule.count == 0)
    {
        return 1;
    }
    if (unix_ms < schedule.first_due_ms)
    {
        return 0;
    }
    const std::int64_t since = unix_ms - schedule.first_due_ms;
    const std::int64_t due = schedule.interval_ms <= 0
                                 ? schedule.count
                                 : since / schedule.interval_ms + 1;
    return std::min(due, schedule.count);
}

// When the first round that is not due yet will be.
std::int64_t due_ms_of(const job& what, std::int64_t round)
{
    return what.schedule.first_due_ms + round * what.schedule.interval_ms;
}

} // namespace

void scheduler_core::place_if_due(time_point now, std::int64_t unix_ms)
{
    const bool due = may_place_ || unix_ms >= next_due_ms_ ||
                     now - last_pass_ >= options_.placement_interval;
    if (!due || !may_write(now) ||
        now - last_pass_ < options_.min_commit_interval || !may_start(now))
    {
        return;
    }
    may_place_ = false;
    next_due_ms_ = std::numeric_limits<std::int64_t>::max();
    last_pass_ = now;
    begin_pass();
    place(now, unix_ms);
}

void scheduler_core::begin_pass()
{
    infeasible_queries_.clear();
    reservations_ = 0;
    isolated_workers_ = 0;
    for (auto& [guard, at] : workers_)
    {
        at.claimed = {};
        if (at.reserved_for && !is_isolation_valid(at, last_pass_))
        {
            at.reserved_for.reset();
        }
        isolated_workers_ +=
            (at.isolated_suspect || at.reserved_for) && at.answering ? 1 : 0;
    }
}

void scheduler_core::place(time_point now, std::int64_t unix_ms)
{
    std::vector<std::pair<job_rank, job_record*>> order;
    for (const std::string& id : placeable_jobs_)
    {
        job_record& of = *job_of(id);
        order.emplace_back(rank_of(of, table_.queue(of.definition().queue), now,
                                   options_.order),
                           &of);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [rank, of] : order)
    {
        if (!place_job(*of, now, unix_ms))
        {
            placeable_jobs_.erase(of->definition().id);
        }
    }
}

// Gives whether the job may have more to place later.
bool scheduler_core::place_job(job_record& of, time_point now,
                               std::int64_t unix_ms)
{
    if (is_final(of.state()))
    {
        return false;
    }
    const queue_row* const queue = table_.queue(of.definition().queue);
    if (queue == nullptr)
    {
        return true;
    }
    const std::int64_t due = rounds_due(of.definition(), unix_ms);
    bool more = due < of.definition().rounds();
    if (more)
    {
        next_due_ms_ = std::min(next_due_ms_, due_ms_of(of.definition(), due));
    }
    const auto steps = static_cast<std::int64_t>(of.definition().steps.size());
    for (std::int64_t round = 0; round < due; ++round)
    {
        for (std::int64_t step = 0; step < steps; ++step)
        {
            if (!of.is_open(round, step))
            {
                continue;
            }
            const bool gang =
                of.definition().steps[static_cast<std::size_t>(step)].gang;
            const bool left = gang ? place_gang(of, *queue, round, step, now)
                                   : place_step(of, *queue, round, step, now);
            more = more || left;
        }
    }
    return more;
}

// The workers that may run a step of a queue with advice, by its tickets. Asks
// about those with most room that it has not asked about.
ticket_map scheduler_core::tickets_for(const job_step& step,
                                       const std::string& group,
                                       const queue_row& queue, time_point now)
{
    std::vector<const worker_record*> candidates;
    for (const auto& [name, at] : workers_)
    {
        if (takes_runs(at, queue.service, now, options_.placement) &&
            has_label(at, step.label))
        {
            candidates.push_back(&at);
        }
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const worker_record* left, const worker_record* right)
                     {
                         return left->free_capacity().cpu_millis >
                                right->free_capacity().cpu_millis;
                     });
    std::vector<executor_incarnation> executors;
    executors.reserve(candidates.size());
    for (const worker_record* at : candidates)
    {
        executors.push_back(at->description.executor);
    }
    advice_.request_tickets(group, executors, now);
    return advice_.tickets(group, now);
}

void scheduler_core::advised(const std::optional<advice_answer>& answer,
                             time_point now)
{
    advice_.answered(answer, now);
    may_place_ = true;
}

bool scheduler_core::place_step(job_record& of, const queue_row& queue,
                                std::int64_t round, std::int64_t step,
                                time_point now)
{
    bool left = false;
    const std::string group =
        step_group(of.definition().id, {.round = round, .step = step});
    const job_step& what =
        of.definition().steps[static_cast<std::size_t>(step)];
    const auto tasks = of.tasks_of(round, step);
    const bool waits = std::ranges::any_of(tasks, &job_task::is_waiting);
    ticket_map tickets;
    if (queue.advice && waits)
    {
        tickets = tickets_for(what, group, queue, now);
    }
    for (job_task& task : tasks)
    {
        if (!task.is_waiting())
        {
            continue;
        }
        const bool gathering = is_batching(of, what, now);
        may_place_ = may_place_ || gathering; // it ends with time alone
        if (gathering || now < task.not_before)
        {
            left = true;
            continue;
        }
        const placement_query query{
            .step = what,
            .service = queue.service,
            .group = group,
            .avoided = task.avoided,
            .harm = interference_model_,
            .now = now,
            .departed = task.departed && now < task.departed->until
                            ? &task.departed->guard
                            : nullptr,
            .ignore_interference =
                !of.has_runs() &&
                now - task.ready_since > options_.max_interference_wait,
            .isolated = task.suspicion >= suspect_threshold,
            .tickets = queue.advice ? &tickets : nullptr};
        if (task.suspicion >= isolation_threshold)
        {
            left = !place_isolated(query, of, task, tickets) || left;
            continue;
        }
        worker_record* const at =
            infeasible_queries_.covers(query)
                ? nullptr
                : choose_worker(workers_, query, options_.placement);
        if (at == nullptr)
        {
            infeasible_queries_.note(query);
            log_wait(query, of, task);
            preempt_lasting(query, of, task);
            reserve_workers(
                query, std::ranges::count_if(tasks, &job_task::is_waiting));
            return true; // its siblings ask for the same
        }
        if (!can_be_written(of.definition().id, what, {at}))
        {
            return true;
        }
        record_placement(of, task, *at, task.runs + 1, tickets, now);
    }
    return left;
}

// Whether tasks of a lasting job wait for others that come with it.
bool scheduler_core::is_batching(const job_record& of, const job_step& step,
                                 time_point now) const
{
    return step.lasting &&
           now - last_lasting_ < options_.lasting_batch_window &&
           now - of.accepted < options_.max_lasting_batch_wait;
}

// Starts a suspect where nothing else is started until it has proved itself. A
// crash names it only if the others there have: so a worker is kept for it, and
// takes nothing new, until they have.
bool scheduler_core::place_isolated(placement_query query, job_record& of,
                                    job_task& task, const ticket_map& tickets)
{
    const task_name name{of.definition().id, of.position_of(task)};
    query.suspect = &name;
    worker_record* const at = isolation_worker(query, task.ready_since);
    const bool is_ready = at != nullptr && at->unproven.empty() &&
                          can_take(*at, query, options_.placement) &&
                          can_be_written(of.definition().id, query.step, {at});
    if (!is_ready)
    {
        log_wait(query, of, task,
                 at == nullptr ? std::nullopt
                               : std::optional(wait_cause::trials));
        return false;
    }
    at->reserved_for.reset();
    record_placement(of, task, *at, task.runs + 1, tickets, query.now);
    return true;
}

// The worker that is kept for a suspect, or may be from now on: it has room, or
// will have once shorter runs have ended.
worker_record* scheduler_core::isolation_worker(const placement_query& query,
                                                time_point ready_since)
{
    for (auto& [guard, at] : workers_)
    {
        if (at.reserved_for == *query.suspect)
        {
            return &at;
        }
    }
    const suspicion_options& options = options_.suspicion;
    const auto most = std::max<std::size_t>(
        1, static_cast<std::size_t>(options.closed_share *
                                    static_cast<double>(workers_.size())));
    if (isolated_workers_ >= most &&
        query.now - ready_since < options.share_bound_for)
    {
        return nullptr;
    }
    worker_record* at = choose_worker(workers_, query, options_.placement);
    at = at == nullptr ? choose_reservation(workers_, query, options_.placement)
                       : at;
    if (at != nullptr)
    {
        at->reserved_for = *query.suspect;
        at->reserved_until = query.now + options.max_isolation_wait;
        ++isolated_workers_;
    }
    return at;
}

// Whether a worker is still kept for a suspect that waits.
bool scheduler_core::is_isolation_valid(const worker_record& at, time_point now)
{
    job_record* const of = job_of(at.reserved_for->job);
    return now < at.reserved_until && at.answering && of != nullptr &&
           !is_final(of->state()) &&
           of->find(at.reserved_for->at)->is_waiting();
}

// Keeps workers free for tasks that no worker can take now. Those behind them
// would else take each piece of room before it is large enough.
void scheduler_core::reserve_workers(const placement_query& query,
                                     std::int64_t tasks)
{
    if (query.step.fills)
    {
        return;
    }
    const auto bound = std::min(
        options_.max_reservations,
        static_cast<std::size_t>(options_.reserved_share *
                                 static_cast<double>(workers_.size())) +
            1);
    for (; tasks > 0 && reservations_ < bound; --tasks)
    {
        worker_record* const at =
            choose_reservation(workers_, query, options_.placement);
        if (at == nullptr)
        {
            return;
        }
        at->claimed = reserved_by(query.step);
        ++reservations_;
    }
}

void scheduler_core::record_placement(job_record& of, job_task& task,
                                      worker_record& at, std::int64_t number,
                                      const ticket_map& tickets, time_point now)
{
    const task_position where = of.position_of(task);
    use_room(of, of.step_at(where), at);
    ++of.change;
    task.runs = number;
    const auto ticket = tickets.find(at.description.executor);
    task.run = task_run{.number = number,
                        .guard = at.guard,
                        .executor = at.description.executor,
                        .ticket = ticket == tickets.end() ? std::string()
                                                          : ticket->second,
                        .placed_in = of.change,
                        .last_progress_at = now};
    const task_name name{of.definition().id, where};
    reserve(at, of.step_at(where), name);
    watch_suspect(at, task, name);
    of.enter(job_state::running);
    of.first_start = of.first_start.value_or(now);
    of.urgent_commit = true;
    mark_changed(of, now);
    ++counts_.starts;
    log_decision(
        event_id::run_placed,
        {{"task", name.text()},
         {"run", std::to_string(number)},
         {"guard", at.guard},
         {"life", at.description.executor.text()},
         {"report_age_ms", std::to_string(to_milliseconds(now - at.reported))},
         {"waited_ms",
          std::to_string(to_milliseconds(now - task.ready_since))}});
}

// ---------------------------------------------------------------------------
// Gangs: all members at once, or none
// ---------------------------------------------------------------------------

bool scheduler_core::place_gang(job_record& of, const queue_row& queue,
                                std::int64_t round, std::int64_t step,
                                time_point now)
{
    const auto tasks = of.tasks_of(round, step);
    if (std::all_of(tasks.begin(), tasks.end(),
                    [](const job_task& task) { return task.done; }))
    {
        return false;
    }
    const bool free =
        std::all_of(tasks.begin(), tasks.end(),
                    [now](const job_task& task)
                    { return task.is_waiting() && now >= task.not_before; });
    if (!free)
    {
        return true;
    }
    const task_position first{.round = round, .step = step};
    ticket_map tickets;
    if (queue.advice)
    {
        tickets =
            tickets_for(of.step_at(first),
                        step_group(of.definition().id, first), queue, now);
    }
    const auto chosen =
        gang_workers(of, queue, first, queue.advice ? &tickets : nullptr, now);
    if (chosen.empty())
    {
        log_gang_wait(of, queue, first, queue.advice ? &tickets : nullptr, now);
        return true;
    }
    if (!can_be_written(of.definition().id, of.step_at(first), chosen))
    {
        return true;
    }
    std::int64_t number = 0;
    for (const job_task& task : tasks)
    {
        number = std::max(number, task.runs + 1);
    }
    for (std::size_t index = 0; index < tasks.size(); ++index)
    {
        record_placement(of, tasks[index], *chosen[index], number, tickets,
                         now);
    }
    return false;
}

void scheduler_core::log_gang_wait(job_record& of, const queue_row& queue,
                                   const task_position& first,
                                   const ticket_map* tickets, time_point now)
{
    const job_task& member = *of.find(first);
    const std::string group = step_group(of.definition().id, first);
    const placement_query query{.step = of.step_at(first),
                                .service = queue.service,
                                .group = group,
                                .avoided = member.avoided,
                                .harm = interference_model_,
                                .now = now,
                                .tickets = tickets};
    const bool fits_one =
        choose_worker(workers_, query, options_.placement) != nullptr;
    log_wait(query, of, member,
             fits_one ? std::optional(wait_cause::gang) : std::nullopt);
}

// One worker a member, chosen on a copy of the ledger; empty if they do not
// all fit. A gang that wants one rack is tried rack by rack first.
std::vector<worker_record*>
scheduler_core::gang_workers(job_record& of, const queue_row& queue,
                             const task_position& first,
                             const ticket_map* tickets, time_point now)
{
    const job_step& step = of.step_at(first);
    const auto tasks = of.tasks_of(first.round, first.step);
    const std::string group = step_group(of.definition().id, first);
    const auto fill = [&](const std::string& rack)
    {
        worker_map trial;
        for (const auto& [name, at] : workers_)
        {
            if (rack.empty() || at.description.rack == rack)
            {
                trial.emplace(name, at);
            }
        }
        std::vector<worker_record*> chosen;
        for (std::size_t index = 0; index < tasks.size(); ++index)
        {
            worker_record* const at =
                choose_worker(trial,
                              {.step = step,
                               .service = queue.service,
                               .group = group,
                               .avoided = tasks[index].avoided,
                               .harm = interference_model_,
                               .now = now,
                               .tickets = tickets},
                              options_.placement);
            if (at == nullptr)
            {
                return std::vector<worker_record*>{};
            }
            task_position where = first;
            where.index = static_cast<std::int64_t>(index);
            reserve(*at, step, {of.definition().id, where});
            chosen.push_back(&workers_.at(at->guard));
        }
        return chosen;
    };
    if (step.same_rack)
    {
        std::set<std::string> racks;
        for (const auto& [name, at] : workers_)
        {
            racks.insert(at.description.rack);
        }
        for (const std::string& rack : racks)
        {
            if (auto chosen = fill(rack); !chosen.empty())
            {
                return chosen;
            }
        }
    }
    return fill({});
}

} // namespace springstair
