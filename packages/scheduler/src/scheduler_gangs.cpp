// Placement of gangs: all members at once, or none.

#include <springstair/scheduler.hpp>

#include <algorithm>

namespace springstair
{

bool scheduler_core::place_gang(job_record& record, const queue_row& queue,
                                std::int64_t round, std::int64_t step,
                                time_point now)
{
    const auto tasks = record.tasks_of(round, step);
    if (std::all_of(tasks.begin(), tasks.end(),
                    [](const job_task& task) { return task.done; }))
    {
        return false;
    }
    const bool all_startable =
        std::all_of(tasks.begin(), tasks.end(),
                    [now](const job_task& task)
                    { return task.is_waiting() && now >= task.not_before; });
    if (!all_startable)
    {
        return true;
    }
    const task_position first{.round = round, .step = step};
    ticket_map tickets;
    if (queue.advice)
    {
        tickets =
            tickets_for(record.step_at(first),
                        step_group(record.definition().id, first), queue, now);
    }
    const auto chosen = gang_workers(record, queue, first,
                                     queue.advice ? &tickets : nullptr, now);
    if (chosen.empty())
    {
        log_gang_wait(record, queue, first, queue.advice ? &tickets : nullptr,
                      now);
        return true;
    }
    if (!fits_one_commit(record.definition().id, record.step_at(first), chosen))
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
        record_placement(record, tasks[index], *chosen[index], number, tickets,
                         now);
    }
    return false;
}

void scheduler_core::log_gang_wait(job_record& record, const queue_row& queue,
                                   const task_position& first,
                                   const ticket_map* tickets, time_point now)
{
    const job_task& member = *record.find(first);
    const std::string group = step_group(record.definition().id, first);
    const placement_query query{.step = record.step_at(first),
                                .service = queue.service,
                                .group = group,
                                .avoided = member.avoided,
                                .interference = interference_model_,
                                .now = now,
                                .tickets = tickets,
                                .urgent_run_time = urgent_room_.urgent_run_time(
                                    record.step_at(first), queue.priority)};
    const bool fits_one =
        choose_worker(workers_, query, options_.placement) != nullptr;
    log_wait(query, record, member,
             fits_one ? std::optional(wait_cause::gang) : std::nullopt);
}

// Chooses one worker per member on a copy of the ledger; empty if not all fit.
// A gang with same_rack set is tried on each rack first, then on all workers.
std::vector<worker_record*>
scheduler_core::gang_workers(job_record& record, const queue_row& queue,
                             const task_position& first,
                             const ticket_map* tickets, time_point now)
{
    const job_step& step = record.step_at(first);
    const auto tasks = record.tasks_of(first.round, first.step);
    const std::string group = step_group(record.definition().id, first);
    const auto choose_in_rack = [&](const std::string& rack)
    {
        worker_map ledger;
        for (const auto& [name, worker] : workers_)
        {
            if (rack.empty() || worker.description.rack == rack)
            {
                ledger.emplace(name, worker);
            }
        }
        std::vector<worker_record*> chosen;
        for (std::size_t index = 0; index < tasks.size(); ++index)
        {
            worker_record* const worker =
                choose_worker(ledger,
                              {.step = step,
                               .service = queue.service,
                               .group = group,
                               .avoided = tasks[index].avoided,
                               .interference = interference_model_,
                               .now = now,
                               .tickets = tickets,
                               .urgent_run_time = urgent_room_.urgent_run_time(
                                   step, queue.priority)},
                              options_.placement);
            if (worker == nullptr)
            {
                return std::vector<worker_record*>{};
            }
            task_position position = first;
            position.index = static_cast<std::int64_t>(index);
            reserve(*worker, step, {record.definition().id, position});
            chosen.push_back(&workers_.at(worker->guard));
        }
        return chosen;
    };
    if (step.same_rack)
    {
        std::set<std::string> racks;
        for (const auto& [name, worker] : workers_)
        {
            racks.insert(worker.description.rack);
        }
        for (const std::string& rack : racks)
        {
            if (auto chosen = choose_in_rack(rack); !chosen.empty())
            {
                return chosen;
            }
        }
    }
    return choose_in_rack({});
}

} // namespace springstair
