#pragma once

// A simulated executor that answers its guard's HTTP calls and can restart
// under the same id, and the smallest fleet around it: a guard, a leader and a
// store that commits each write at once.

#include "platform.hpp"

#include <springstair/guard.hpp>
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

// Answers the calls of its guard. Loses all its state when it restarts.
class restarting_executor
{
public:
    void restart(time_point now)
    {
        ++starts_;
        born_ = now;
        runs_.clear();
        closed_.clear();
        ended_ = json::array();
        last_end_number_ = 0;
        heartbeat_number_ = 0;
    }

    http_request heartbeat(time_point now)
    {
        const json body{{"service", "s"},
                        {"address", "10.0.0.1:8080"},
                        {"zone", "a"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_remaining_ms", 0},
                        {"capacity", {{"cpu", 8000}, {"mem_mb", 8000}}},
                        {"labels", {"small", "r1"}},
                        {"clock_ms", clock_ms(now)},
                        {"born", born_ms()},
                        {"seq", ++heartbeat_number_}};
        return {.method = "POST",
                .path = "/springstair/executors/i-1/heartbeat",
                .body = make_body(body.dump())};
    }

    http_result answer(const http_call& call, time_point now)
    {
        const json body = json::parse(*call.body);
        if (call.url.ends_with("/run-start"))
        {
            return start(body, now);
        }
        if (call.url.ends_with("/run-stop"))
        {
            return stop(body, now);
        }
        if (call.url.ends_with("/hold"))
        {
            return hold(body, now);
        }
        return result(200, {}, now);
    }

    void end_due_runs(time_point now)
    {
        std::vector<std::string> due;
        for (const auto& [task, run] : runs_)
        {
            if (now - run.second >= run_time)
            {
                due.push_back(task);
            }
        }
        for (const std::string& task : due)
        {
            end(task, "done");
        }
    }

    static constexpr duration run_time = milliseconds(600);
    std::set<std::string> done; ///< tasks, in any incarnation
    std::vector<std::string> began_after_done;

private:
    [[nodiscard]] std::int64_t clock_ms(time_point now) const
    {
        return to_milliseconds(now - born_);
    }

    [[nodiscard]] std::int64_t born_ms() const
    {
        return 1'776'000'000'000 + starts_;
    }

    void end(const std::string& task, const char* how)
    {
        const std::int64_t run = runs_.at(task).first;
        ended_.push_back(json::array({++last_end_number_, task, run, how, ""}));
        closed_[task] = run;
        runs_.erase(task);
        if (how == std::string("done"))
        {
            done.insert(task);
        }
    }

    [[nodiscard]] http_result result(int status, json body,
                                     time_point now) const
    {
        body["clock_ms"] = clock_ms(now);
        return {.how = delivery::answered,
                .response = {.status = status, .body = make_body(body.dump())}};
    }

    http_result start(const json& request, time_point now)
    {
        const std::string task = request.at("task");
        const std::int64_t run = request.at("run");
        const bool is_running =
            runs_.contains(task) && runs_.at(task).first == run;
        if (!is_running && closed_[task] >= run)
        {
            return result(409, {{"reason", "old"}}, now);
        }
        if (!is_running)
        {
            if (done.contains(task))
            {
                began_after_done.push_back(task);
            }
            runs_[task] = {run, now};
        }
        return result(200, json::object(), now);
    }

    http_result stop(const json& request, time_point now)
    {
        const std::string task = request.at("task");
        const std::int64_t run = request.at("run");
        if (runs_.contains(task) && runs_.at(task).first <= run)
        {
            end(task, "stopped");
        }
        closed_[task] = std::max(closed_[task], run);
        return result(200, json::object(), now);
    }

    http_result hold(const json& request, time_point now)
    {
        // A number that this incarnation has not assigned acknowledges nothing.
        const std::int64_t acknowledged = request.at("last_seen");
        const std::int64_t seen =
            acknowledged <= last_end_number_ ? acknowledged : 0;
        json remaining = json::array();
        for (const json& row : ended_)
        {
            if (row.at(0) > seen)
            {
                remaining.push_back(row);
            }
        }
        ended_ = remaining;
        json running = json::array();
        for (const auto& [task, run] : runs_)
        {
            running.push_back(json::array({task, run.first, "", 50, 100}));
        }
        return result(
            200, {{"born", born_ms()}, {"running", running}, {"ended", ended_}},
            now);
    }

    std::int64_t starts_ = 0;
    time_point born_{};
    std::map<std::string, std::pair<std::int64_t, time_point>> runs_;
    std::map<std::string, std::int64_t> closed_; ///< newest ended run, by task
    json ended_ = json::array();
    std::int64_t last_end_number_ = 0;
    std::int64_t heartbeat_number_ = 0;
};

// One worker, its guard and its leader. Time advances in steps of 10 ms; calls
// are answered within the step, polls without waiting.
class one_worker_fleet
{
public:
    one_worker_fleet()
    {
        core.begin_term(7, now);
        core.set_table({.version = 1,
                        .queues = {{.name = "q",
                                    .service = "s",
                                    .most_attempts = 2,
                                    .stretch = 2,
                                    .target_ms = 1000}}});
        core.begin(now);
    }

    std::string submit(std::int64_t tasks)
    {
        job definition{
            .id = "5c0e7a21d94b36f" + std::to_string(++jobs_),
            .queue = "q",
            .payload = "p",
            .steps = {{.count = tasks,
                       .demand = {.cpu_millis = 1000, .memory_mb = 100},
                       .estimate_ms = 600}}};
        core.accept(definition, now);
        return definition.id;
    }

    void advance(duration length)
    {
        const time_point until = now + length;
        while (now < until)
        {
            now += milliseconds(10);
            executor.end_due_runs(now);
            if (now >= next_beat_)
            {
                next_beat_ = now + seconds(1);
                const auto beat = springstair::platform::decode_heartbeat(
                    executor.heartbeat(now));
                reconciler.on_worker(beat->worker, beat->clock_ms, now);
            }
            run_leader();
            run_guard();
        }
    }

    [[nodiscard]] std::optional<job_state> shown(const std::string& id) const
    {
        return core.shown(id, now, now);
    }

    time_point now{std::chrono::hours(1)};
    scheduler_core core{scheduler_options{}};
    run_reconciler reconciler{{}, "guard process"};
    restarting_executor executor;

private:
    void run_leader()
    {
        core.tick(now, 0);
        while (const auto batch = core.next_commit(now))
        {
            core.committed(*batch, ++revision_, now);
        }
        for (const addressed_orders& one : core.take_orders())
        {
            reconciler.on_orders(one.orders, now);
        }
        if (reconciler.take_report_due() || now >= next_report_)
        {
            next_report_ = now + milliseconds(400);
            worker_report report = reconciler.report(now);
            report.guard = "g";
            report.address = "10.0.0.1:7000";
            report.sequence = ++reports_;
            reconciler.on_answer(core.report(report, now, now), report, now,
                                 now);
        }
    }

    void run_guard()
    {
        for (const executor_action& action : reconciler.due(now))
        {
            std::visit([this](const auto& one) { carry_out(one); }, action);
        }
    }

    template <class Order>
    http_result call(const Order& order)
    {
        return executor.answer(
            springstair::platform::encode(order, "10.0.0.1:8080"), now);
    }

    void carry_out(const start_run& order)
    {
        const auto result = springstair::platform::decode_result(call(order));
        reconciler.on_started(order, result, now);
    }

    void carry_out(const stop_run& order)
    {
        const auto result = springstair::platform::decode_result(call(order));
        reconciler.on_stopped(order, result, now);
    }

    void carry_out(const throttle_run& order)
    {
        reconciler.on_paced(order,
                            springstair::platform::decode_result(call(order)));
    }

    void carry_out(const poll_executor& order)
    {
        const http_result got = call(order);
        reconciler.on_polled(order.executor,
                             springstair::platform::decode_result(got),
                             springstair::platform::decode_poll(got), now, now);
    }

    int jobs_ = 0;
    std::int64_t revision_ = 100;
    std::int64_t reports_ = 0;
    time_point next_beat_{};
    time_point next_report_{};
};

} // namespace springstair::tests
