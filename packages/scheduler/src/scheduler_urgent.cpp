// Capacity for urgent tasks: what they may use, and runs that yield to them.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

namespace
{

// Workers that one search for a yield considers, those with most free
// processors: bounds the time of a pass with thousands of workers.
constexpr std::size_t max_yield_workers = 64;

// The free capacity of a worker once a run on it has ended, as far as urgent
// tasks may use it. Reservations for urgent steps do not count: those are the
// tasks that wait for it.
resources capacity_without(const worker_record& worker, const resources& freed,
                           time_point now)
{
    const bool is_bound =
        worker.reserved_firmly_from && now >= *worker.reserved_firmly_from;
    resources capacity =
        is_bound ? worker.unreserved_capacity() : worker.free_capacity();
    capacity += freed;
    return capacity;
}

bool has_yield_under_way(const worker_record& worker)
{
    return std::ranges::any_of(worker.urgent_holds, [](const urgent_hold& hold)
                               { return !hold.until; });
}

} // namespace

void scheduler_core::update_urgent_holds(worker_record& worker)
{
    if (worker.urgent_holds.empty())
    {
        return;
    }
    update_holds(worker, last_pass_,
                 [&](const urgent_hold& hold)
                 {
                     job_record* const record = job_of(hold.task.job);
                     const job_task* const task =
                         record == nullptr ? nullptr
                                           : record->find(hold.task.position);
                     return is_current_run(task, hold.run, worker);
                 });
}

// Records the wait of an urgent step without a worker, for the yield at the end
// of the pass. A gang needs capacity on several workers at once, which one
// yield does not provide.
void scheduler_core::record_urgent_wait(const placement_query& query,
                                        const job_record& record,
                                        const queue_row& queue,
                                        task_position position)
{
    if (!query.urgent_run_time)
    {
        return;
    }
    const auto tasks = record.tasks_of(position.round, position.step);
    std::int64_t waiting = 0;
    const job_task* longest = nullptr;
    for (const job_task& task : tasks)
    {
        if (!task.is_waiting() || query.now < task.not_before ||
            task.suspicion >= isolation_threshold)
        {
            continue;
        }
        ++waiting;
        longest = longest == nullptr || task.ready_since < longest->ready_since
                      ? &task
                      : longest;
    }
    if (longest == nullptr)
    {
        return;
    }
    const job_rank rank = rank_of(record, &queue, query.now, options_.order);
    urgent_room_.record_wait(
        {.queue = queue.name,
         .service = queue.service,
         .job = record.definition().id,
         .position = record.position_of(*longest),
         .tasks = waiting,
         .demand = reserved_by(query.step),
         .waited = query.now - longest->ready_since,
         .has_value = rank.prospect != job_prospect::too_late});
}

// Records the expected end of a short run that is placed. An urgent one takes
// the capacity that is held for it.
void scheduler_core::record_short_run(const job_record& record,
                                      worker_record& worker,
                                      const task_name& name, time_point now)
{
    const job_step& step = record.step_at(name.position);
    if (!urgent_room_.is_enabled() || step.lasting)
    {
        return;
    }
    const resources used = reserved_by(step);
    worker.short_runs[name] = {
        .expected_end = now + urgent_room_.run_time(step), .capacity = used};
    const queue_row* const queue = queue_of(record.definition());
    if (queue != nullptr && urgent_room_.is_urgent(step, queue->priority))
    {
        counts_.urgent_on_reserved +=
            used.fits(worker.unreserved_capacity()) ? 0 : 1;
        use_holds(worker, used);
    }
}

// Capacity that yields under way will free, unless the stop may be lost.
std::vector<expected_capacity>
scheduler_core::capacity_of_yields(time_point now) const
{
    std::vector<expected_capacity> out;
    for (const auto& [guard, worker] : workers_)
    {
        for (const urgent_hold& hold : worker.urgent_holds)
        {
            if (hold.until || now - hold.ordered_at > max_yield_stop)
            {
                continue;
            }
            out.push_back(
                {.service = worker.description.service,
                 .capacity = capacity_without(worker, hold.capacity, now)});
        }
    }
    return out;
}

void scheduler_core::yield_to_urgent(time_point now)
{
    if (!urgent_room_.is_enabled())
    {
        return;
    }
    for (const yield_request& request :
         urgent_room_.yield_requests(capacity_of_yields(now), now))
    {
        if (yield_for(request, now))
        {
            return;
        }
    }
}

// Stops the long-running run whose capacity serves the most waiting tasks of a
// queue; of several, the smallest. Returns whether there is one that may be
// stopped.
bool scheduler_core::yield_for(const yield_request& request, time_point now)
{
    job_record& record = *job_of(request.first.job);
    const task_position& position = request.first.position;
    const job_step& step = record.step_at(position);
    const queue_row& queue = *queue_of(record.definition());
    const std::string group = step_group(request.first.job, position);
    const ticket_map tickets =
        queue.advice ? tickets_.tickets(group, now) : ticket_map{};
    const placement_query query{
        .step = step,
        .service = queue.service,
        .group = group,
        .avoided = record.find(position)->avoided,
        .interference = interference_model_,
        .now = now,
        .tickets = queue.advice ? &tickets : nullptr,
        .urgent_run_time = urgent_room_.urgent_run_time(step, queue.priority)};
    yield_choice best;
    for (worker_record* const worker :
         yield_workers(query, request.first.demand))
    {
        improve_yield(*worker, query, request, best);
    }
    if (best.worker == nullptr)
    {
        return false;
    }
    yield_run(best, request, now);
    return true;
}

// The workers on which a yield could make room for a task.
std::vector<worker_record*>
scheduler_core::yield_workers(const placement_query& query,
                              const resources& demand)
{
    std::vector<worker_record*> out;
    for (auto& [guard, worker] : workers_)
    {
        if (worker.lasting_used != resources{} &&
            may_run(worker, query, options_.placement) &&
            !query.avoided.contains(guard) && !has_yield_under_way(worker) &&
            demand.fits(
                capacity_without(worker, worker.lasting_used, query.now)))
        {
            out.push_back(&worker);
        }
    }
    const auto kept = std::min(out.size(), max_yield_workers);
    std::partial_sort(
        out.begin(), out.begin() + static_cast<std::ptrdiff_t>(kept), out.end(),
        [](const worker_record* left, const worker_record* right)
        {
            return std::pair(-left->free_capacity().cpu_millis, left->guard) <
                   std::pair(-right->free_capacity().cpu_millis, right->guard);
        });
    out.resize(kept);
    return out;
}

void scheduler_core::improve_yield(worker_record& worker,
                                   const placement_query& query,
                                   const yield_request& request,
                                   yield_choice& best)
{
    for (const task_name& name : worker.assigned_tasks)
    {
        const job_step& step = job_of(name.job)->step_at(name.position);
        const resources capacity =
            capacity_without(worker, reserved_by(step), query.now);
        if (!step.lasting || !request.first.demand.fits(capacity))
        {
            continue;
        }
        std::vector<urgent_wait> waiting = request.waiting;
        const std::int64_t served = serve(waiting, capacity);
        const std::int64_t cpu = step.demand.cpu_millis;
        const bool is_better =
            std::pair(served, -cpu) > std::pair(best.served, -best.cpu_millis);
        if (is_better && is_preemptible(name))
        {
            best = {.worker = &worker,
                    .name = name,
                    .served = served,
                    .cpu_millis = cpu};
        }
    }
}

void scheduler_core::yield_run(const yield_choice& choice,
                               const yield_request& request, time_point now)
{
    worker_record& worker = *choice.worker;
    job_record& record = *job_of(choice.name.job);
    task_run& run = *record.find(choice.name.position)->run;
    order_stop(run, choice.name.text(), outbox_[worker.guard]);
    worker.urgent_holds.push_back(
        {.task = choice.name,
         .run = run.number,
         .capacity = reserved_by(record.step_at(choice.name.position)),
         .ordered_at = now});
    ++counts_.yields;
    log_decision(
        event_id::run_yielded,
        {{"task", choice.name.text()},
         {"run", std::to_string(run.number)},
         {"guard", worker.guard},
         {"job", request.first.job},
         {"queue", request.first.queue},
         {"waited_ms", std::to_string(to_milliseconds(request.first.waited))},
         {"serves", std::to_string(choice.served)}});
}

} // namespace springstair
