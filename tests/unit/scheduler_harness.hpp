#pragma once

// A scheduler with its store and its guards' reports, driven step by step.

#include <springstair/scheduler.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace springstair::tests
{

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr resources worker_capacity{.cpu_millis = 4000,
                                           .memory_mb = 4000};

inline job_step step_of(std::int64_t count, std::int64_t cpu = 1000)
{
    return {.count = count,
            .demand = {.cpu_millis = cpu, .memory_mb = 100},
            .estimate_ms = 500};
}

inline job_step serving_step()
{
    job_step step = step_of(1);
    step.lasting = true;
    step.image = "s";
    step.latency_target_ms = 10;
    return step;
}

inline job_step best_effort_step(std::int64_t count)
{
    job_step step = step_of(count);
    step.fills = true;
    step.image = "f";
    return step;
}

// A job's progress in the store.
struct stored_record
{
    std::string text;
    std::int64_t revision = 0;
};

// Runs a scheduler core with a simulated store and simulated guards. The test
// advances the time.
class scheduler_harness
{
public:
    // Most tests don't cover batching: they place long-running tasks at once.
    explicit scheduler_harness(
        scheduler_options options = {.lasting_batch_window = duration{0}})
        : core(options)
    {
        core.begin_term(7, now);
        core.set_table(table());
        core.begin(now);
    }

    static queue_table table(std::int64_t version = 1)
    {
        return {.version = version,
                .queues = {{.name = "q",
                            .service = "s",
                            .most_attempts = 2,
                            .stretch = 2,
                            .target_ms = 1000},
                           {.name = "urgent",
                            .service = "s",
                            .priority = 0,
                            .most_attempts = 2},
                           {.name = "slow",
                            .service = "s",
                            .priority = 5,
                            .most_attempts = 2},
                           {.name = "other", .service = "elsewhere"}}};
    }

    job submit(std::vector<job_step> steps, const std::string& queue = "q")
    {
        job definition{.id = "job" + std::to_string(++jobs_),
                       .queue = queue,
                       .payload = "p",
                       .steps = std::move(steps)};
        core.accept(definition, now);
        accepted[definition.id] = definition;
        return definition;
    }

    // Another entry becomes leader, with the state in the store.
    void take_over()
    {
        core.begin_term(core.epoch() + 1, now);
        core.set_table(table());
        for (const auto& [id, definition] : accepted)
        {
            if (held.contains(id))
            {
                core.hold(id);
                continue;
            }
            const auto stored = records.find(id);
            core.adopt(definition,
                       stored == records.end() ? std::nullopt
                                               : std::optional(decode_progress(
                                                     stored->second.text)),
                       stored == records.end() ? 0 : stored->second.revision,
                       now, unix_ms, stored_ends[id]);
        }
        core.begin(now);
    }

    worker_report& worker(const std::string& guard)
    {
        worker_report& report = reports[guard];
        if (report.guard.empty())
        {
            report = {.guard = guard,
                      .address = guard + ":1",
                      .incarnation = "i",
                      .worker = {.executor = guard + "-1",
                                 .service = "s",
                                 .capacity = worker_capacity},
                      .looked = true,
                      .answering = true};
        }
        return report;
    }

    report_answer report_from_guard(const std::string& guard)
    {
        worker_report& report = worker(guard);
        ++report.sequence;
        report_answer answer = core.report(report, now, verified);
        if (answer.admission.number > 0)
        {
            report.admission = answer.admission;
            ++report.sequence;
            answer = core.report(report, now, verified);
        }
        receive_orders(answer.orders, guard);
        return answer;
    }

    // Advances the time and the scheduler, and commits all pending writes.
    void advance(duration length = milliseconds(25))
    {
        now += length;
        verified = now;
        core.tick(now, unix_ms);
        write();
    }

    void write()
    {
        while (const auto batch = core.next_commit(now))
        {
            ++revision;
            for (const progress_write& one : *batch)
            {
                if (one.kind == record_kind::ends)
                {
                    const auto ends = decode_ends(one.text);
                    auto& stored = stored_ends[one.job];
                    stored.insert(stored.end(), ends.begin(), ends.end());
                    continue;
                }
                records[one.job] = {.text = one.text, .revision = revision};
            }
            core.committed(*batch, revision, now);
            now += milliseconds(25);
        }
        for (const addressed_orders& one : core.take_orders())
        {
            receive_orders(one.orders, one.guard);
        }
    }

    void receive_orders(const guard_orders& orders, const std::string& guard)
    {
        for (const start_order& one : orders.starts)
        {
            started[one.task] = one;
            worker(guard).running.push_back({.task = one.task, .run = one.run});
            guard_of[one.task] = guard;
        }
        for (const stop_order& one : orders.stops)
        {
            stopped.insert(one.task);
            stops[one.task] = one.run;
        }
    }

    void end(const std::string& task, run_end how,
             const std::string& checkpoint = {})
    {
        worker_report& report = worker(guard_of.at(task));
        std::erase_if(report.running, [&](const running_task& row)
                      { return row.task == task; });
        report.ended.push_back({.number = ++ends_[report.guard],
                                .task = task,
                                .run = started.at(task).run,
                                .how = how,
                                .checkpoint = checkpoint});
    }

    std::optional<job_state> shown(const std::string& id) const
    {
        return core.shown(id, now, verified);
    }

    bool has_started(const std::string& task) const
    {
        return started.contains(task);
    }

    time_point now{std::chrono::hours(1)};
    time_point verified = now;
    std::int64_t unix_ms = 0;
    std::int64_t revision = 100;
    scheduler_core core;
    std::map<std::string, worker_report> reports;
    std::map<std::string, start_order> started;
    std::map<std::string, std::string> guard_of;
    std::set<std::string> stopped;
    std::map<std::string, std::int64_t> stops; ///< newest stopped run by task
    std::map<std::string, job> accepted;
    std::map<std::string, stored_record> records; ///< progress by job
    std::set<std::string> held; ///< jobs that the next leader can't load
    std::map<std::string, std::vector<ended_task>> stored_ends; ///< by job

private:
    int jobs_ = 0;
    std::map<std::string, std::int64_t> ends_;
};

} // namespace springstair::tests
