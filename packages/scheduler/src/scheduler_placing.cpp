// Placement of waiting tasks on workers.

#include <springstair/scheduler.hpp>

#include <algorithm>
#include <limits>

namespace springstair
{

namespace
{

std::int64_t rounds_due(const job& definition, std::int64_t unix_ms)
{
    const job_schedule& schedule = definition.schedule;
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

// Since when the task waits that has waited longest.
time_point waiting_since(std::span<const job_task> tasks)
{
    time_point since = time_point::max();
    for (const job_task& task : tasks)
    {
        since = task.is_waiting() ? std::min(since, task.ready_since) : since;
    }
    return since;
}

// When the given round becomes due.
std::int64_t due_ms_of(const job& definition, std::int64_t round)
{
    return definition.schedule.first_due_ms +
           round * definition.schedule.interval_ms;
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
    urgent_room_.begin_pass();
    reservations_ = 0;
    isolated_workers_ = 0;
    for (auto& [guard, worker] : workers_)
    {
        worker.reserved = {};
        update_urgent_holds(worker);
        if (worker.reserved_for && !is_isolation_valid(worker, last_pass_))
        {
            worker.reserved_for.reset();
        }
        isolated_workers_ +=
            (worker.isolated_suspect || worker.reserved_for) && worker.answering
                ? 1
                : 0;
    }
}

job_rank scheduler_core::rank(job_record& record, time_point now)
{
    const job& definition = record.definition();
    const queue_row* const queue = queue_of(definition);
    const bool is_ordered_by_forecast = options_.overload_order &&
                                        definition.schedule.count == 0 &&
                                        !definition.steps.front().lasting;
    if (!is_ordered_by_forecast)
    {
        return rank_of(record, queue, now, options_.order);
    }
    const job_forecast known = forecast(record, run_times_);
    const job_rank found = rank_of(record, queue, now, options_.order, &known);
    if (found.prospect != job_prospect::in_time && !record.deferred)
    {
        record.deferred = true;
        ++counts_.jobs_deferred;
        log_deferral(record, known, now);
    }
    return found;
}

void scheduler_core::log_deferral(job_record& record, const job_forecast& known,
                                  time_point now)
{
    log_decision(
        event_id::job_deferred,
        {{"job", record.definition().id},
         {"queue", record.definition().queue},
         {"age_ms", std::to_string(to_milliseconds(now - record.accepted))},
         {"chain_ms", std::to_string(to_milliseconds(known.chain))},
         {"remaining_ms", std::to_string(to_milliseconds(known.remaining))}});
}

void scheduler_core::place(time_point now, std::int64_t unix_ms)
{
    std::vector<std::pair<job_rank, job_record*>> order;
    for (const std::string& id : placeable_jobs_)
    {
        job_record& record = *job_of(id);
        order.emplace_back(rank(record, now), &record);
    }
    std::sort(order.begin(), order.end());
    for (const auto& [rank, record] : order)
    {
        if (!place_job(*record, now, unix_ms))
        {
            placeable_jobs_.erase(record->definition().id);
        }
    }
    yield_to_urgent(now);
}

// Returns whether the job may have more tasks to place later.
bool scheduler_core::place_job(job_record& record, time_point now,
                               std::int64_t unix_ms)
{
    if (is_final(record.state()))
    {
        return false;
    }
    const queue_row* const queue = queue_of(record.definition());
    if (queue == nullptr)
    {
        return true;
    }
    const std::int64_t due = rounds_due(record.definition(), unix_ms);
    bool more = due < record.definition().rounds();
    if (more)
    {
        next_due_ms_ =
            std::min(next_due_ms_, due_ms_of(record.definition(), due));
    }
    const auto steps =
        static_cast<std::int64_t>(record.definition().steps.size());
    for (std::int64_t round = 0; round < due; ++round)
    {
        for (std::int64_t step = 0; step < steps; ++step)
        {
            if (!record.is_open(round, step))
            {
                continue;
            }
            const bool is_gang =
                record.definition().steps[static_cast<std::size_t>(step)].gang;
            const bool has_waiting =
                is_gang ? place_gang(record, *queue, round, step, now)
                        : place_step(record, *queue, round, step, now);
            more = more || has_waiting;
        }
    }
    return more;
}

// The valid tickets for a step of a queue with advice, by worker. Also requests
// missing and expired ones, for the workers with the most free capacity first.
ticket_map scheduler_core::tickets_for(const job_step& step,
                                       const std::string& group,
                                       const queue_row& queue, time_point now)
{
    std::vector<const worker_record*> candidates;
    for (const auto& [name, worker] : workers_)
    {
        if (accepts_runs(worker, queue.service, now, options_.placement) &&
            has_label(worker, step.label))
        {
            candidates.push_back(&worker);
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
    for (const worker_record* worker : candidates)
    {
        executors.push_back(worker->description.executor);
    }
    tickets_.request_tickets(group, executors, now);
    return tickets_.tickets(group, now);
}

void scheduler_core::advised(const std::optional<advice_answer>& answer,
                             time_point now)
{
    tickets_.on_answer(answer, now);
    may_place_ = true;
}

bool scheduler_core::place_step(job_record& record, const queue_row& queue,
                                std::int64_t round, std::int64_t step,
                                time_point now)
{
    bool has_waiting = false;
    const std::string group =
        step_group(record.definition().id, {.round = round, .step = step});
    const job_step& step_definition =
        record.definition().steps[static_cast<std::size_t>(step)];
    const auto tasks = record.tasks_of(round, step);
    const bool any_waiting = std::ranges::any_of(tasks, &job_task::is_waiting);
    ticket_map tickets;
    if (queue.advice && any_waiting)
    {
        tickets = tickets_for(step_definition, group, queue, now);
    }
    for (job_task& task : tasks)
    {
        if (!task.is_waiting())
        {
            continue;
        }
        const bool batching = is_batching(record, step_definition, now);
        may_place_ = may_place_ || batching; // no event ends the batch window
        if (batching || now < task.not_before)
        {
            has_waiting = true;
            continue;
        }
        const placement_query query{
            .step = step_definition,
            .service = queue.service,
            .group = group,
            .avoided = task.avoided,
            .interference = interference_model_,
            .now = now,
            .departed = task.departed && now < task.departed->until
                            ? &task.departed->guard
                            : nullptr,
            .ignore_interference =
                !record.has_runs() &&
                now - task.ready_since > options_.max_interference_wait,
            .is_suspect = task.suspicion >= suspect_threshold,
            .tickets = queue.advice ? &tickets : nullptr,
            .urgent_run_time =
                urgent_room_.urgent_run_time(step_definition, queue.priority),
            .ignores_holds = urgent_room_.ignores_holds(
                step_definition, now - task.ready_since)};
        if (task.suspicion >= isolation_threshold)
        {
            has_waiting =
                !place_isolated(query, record, task, tickets) || has_waiting;
            continue;
        }
        worker_record* const worker =
            infeasible_queries_.covers(query)
                ? nullptr
                : choose_worker(workers_, query, options_.placement);
        if (worker == nullptr)
        {
            infeasible_queries_.record(query);
            log_wait(query, record, task);
            preempt_lasting(query, record, task);
            record_urgent_wait(query, record, queue,
                               {.round = round, .step = step});
            reserve_workers(query,
                            std::ranges::count_if(tasks, &job_task::is_waiting),
                            urgent_room_.reserved_firmly_from(
                                step_definition, waiting_since(tasks)));
            return true; // the other tasks of the step have the same demand
        }
        if (!fits_one_commit(record.definition().id, step_definition, {worker}))
        {
            return true;
        }
        record_placement(record, task, *worker, task.runs + 1, tickets, now);
    }
    return has_waiting;
}

// Whether tasks of a long-running job wait to be placed together with other
// such jobs.
bool scheduler_core::is_batching(const job_record& record, const job_step& step,
                                 time_point now) const
{
    return step.lasting &&
           now - last_lasting_ < options_.lasting_batch_window &&
           now - record.accepted < options_.max_lasting_batch_wait;
}

// Starts a suspect on a worker where nothing else is started until it is
// proven. A crash identifies it only if the other runs there are proven. So a
// worker is reserved for it and accepts no new runs until they are.
bool scheduler_core::place_isolated(placement_query query, job_record& record,
                                    job_task& task, const ticket_map& tickets)
{
    const task_name name{record.definition().id, record.position_of(task)};
    query.isolated_task = &name;
    query.urgent_run_time.reset();
    worker_record* const worker = isolation_worker(query, task.ready_since);
    const bool is_ready =
        worker != nullptr && worker->unproven.empty() &&
        can_take(*worker, query, options_.placement) &&
        fits_one_commit(record.definition().id, query.step, {worker});
    if (!is_ready)
    {
        log_wait(query, record, task,
                 worker == nullptr ? std::nullopt
                                   : std::optional(wait_cause::trials));
        return false;
    }
    worker->reserved_for.reset();
    record_placement(record, task, *worker, task.runs + 1, tickets, query.now);
    return true;
}

// The worker that is reserved for a suspect, or a newly reserved one. It has
// free capacity, or will have once shorter runs have ended.
worker_record* scheduler_core::isolation_worker(const placement_query& query,
                                                time_point ready_since)
{
    for (auto& [guard, worker] : workers_)
    {
        if (worker.reserved_for == *query.isolated_task)
        {
            return &worker;
        }
    }
    const suspicion_options& options = options_.suspicion;
    const auto max_isolated = std::max<std::size_t>(
        1, static_cast<std::size_t>(options.isolated_share *
                                    static_cast<double>(workers_.size())));
    if (isolated_workers_ >= max_isolated &&
        query.now - ready_since < options.isolated_share_timeout)
    {
        return nullptr;
    }
    worker_record* worker = choose_worker(workers_, query, options_.placement);
    worker = worker == nullptr
                 ? choose_reservation(workers_, query, options_.placement)
                 : worker;
    if (worker != nullptr)
    {
        worker->reserved_for = *query.isolated_task;
        worker->reserved_until = query.now + options.max_isolation_wait;
        ++isolated_workers_;
    }
    return worker;
}

// Whether the reservation of a worker for a waiting suspect is still valid.
bool scheduler_core::is_isolation_valid(const worker_record& worker,
                                        time_point now)
{
    job_record* const record = job_of(worker.reserved_for->job);
    return now < worker.reserved_until && worker.answering &&
           record != nullptr && !is_final(record->state()) &&
           record->find(worker.reserved_for->position)->is_waiting();
}

// Reserves workers for tasks that no worker can run now. Otherwise the tasks
// after them would use each piece of freed capacity before enough is free.
void scheduler_core::reserve_workers(const placement_query& query,
                                     std::int64_t tasks,
                                     std::optional<time_point> firmly_from)
{
    if (query.step.fills)
    {
        return;
    }
    const auto max_count = std::min(
        options_.max_reservations,
        static_cast<std::size_t>(options_.reserved_share *
                                 static_cast<double>(workers_.size())) +
            1);
    for (; tasks > 0 && reservations_ < max_count; --tasks)
    {
        worker_record* const worker =
            choose_reservation(workers_, query, options_.placement);
        if (worker == nullptr)
        {
            return;
        }
        worker->reserved = reserved_by(query.step);
        worker->reserved_firmly_from = firmly_from;
        ++reservations_;
    }
}

void scheduler_core::record_placement(job_record& record, job_task& task,
                                      worker_record& worker,
                                      std::int64_t number,
                                      const ticket_map& tickets, time_point now)
{
    const task_position position = record.position_of(task);
    record_required_changes(record, record.step_at(position), worker);
    ++record.change;
    task.runs = number;
    const auto ticket = tickets.find(worker.description.executor);
    task.run = task_run{.number = number,
                        .guard = worker.guard,
                        .executor = worker.description.executor,
                        .ticket = ticket == tickets.end() ? std::string()
                                                          : ticket->second,
                        .placed_in = record.change,
                        .last_progress_at = now,
                        .observed_whole = task.checkpoint.empty()};
    const task_name name{record.definition().id, position};
    record_short_run(record, worker, name, now);
    reserve(worker, record.step_at(position), name);
    register_suspect(worker, task, name);
    record.enter(job_state::running);
    record.first_start = record.first_start.value_or(now);
    record.urgent_commit = true;
    mark_changed(record, now);
    ++counts_.starts;
    log_decision(event_id::run_placed,
                 {{"task", name.text()},
                  {"run", std::to_string(number)},
                  {"guard", worker.guard},
                  {"life", worker.description.executor.text()},
                  {"report_age_ms",
                   std::to_string(to_milliseconds(now - worker.reported))},
                  {"waited_ms",
                   std::to_string(to_milliseconds(now - task.ready_since))}});
}

} // namespace springstair
