#pragma once

#include "scheduler_harness.hpp"

namespace springstair::tests
{

inline constexpr std::int64_t max_crashes = 3;
// The platform's limit on starts after the third crash.
inline constexpr std::int64_t max_starts_after = 2;

// Workers whose executors crash on some tasks and restart seconds later.
class crashing_fleet
{
public:
    struct options
    {
        int workers = 11;
        int workers_per_rack = 3;
        duration downtime = seconds(3);       ///< until the executor is back
        duration crashes_after = duration{0}; ///< work before the crash
        duration work = milliseconds(1000);
        /// Until the guard detects a crash.
        duration detection_time = milliseconds(1200);
        /// Number of first crashes of a task that also end the guard, so that
        /// nobody reports them.
        std::int64_t guard_losses = 0;
    };

    explicit crashing_fleet(options settings) : options_(settings)
    {
        for (int number = 0; number < options_.workers; ++number)
        {
            const std::string guard = "g" + std::to_string(number);
            harness.worker(guard).worker.rack =
                "r" + std::to_string(number / options_.workers_per_rack);
            workers_[guard];
        }
        report_all();
    }

    // Submits a job whose first task crashes its executor.
    std::string submit_crashing(job_step step = step_of(1))
    {
        std::string id = harness.submit({std::move(step)}).id;
        crashing_.insert(id + ".0.0.0");
        return id;
    }

    std::string submit(job_step step = step_of(1))
    {
        return harness.submit({std::move(step)}).id;
    }

    void run(duration length)
    {
        const time_point until = harness.now + length;
        while (harness.now < until)
        {
            harness.advance();
            for (auto& [guard, worker] : workers_)
            {
                update_worker(guard, worker);
            }
            if (harness.now >= next_reports_)
            {
                report_all();
            }
        }
    }

    void crash(const std::string& guard)
    {
        crash(guard, workers_.at(guard));
    }

    // The VM fails with its executor and guard; both return together.
    void lose_power(const std::string& guard)
    {
        crash(guard);
        workers_.at(guard).guard_down = true;
    }

    [[nodiscard]] bool is_up(const std::string& guard) const
    {
        return workers_.at(guard).returns_at == time_point{};
    }

    [[nodiscard]] std::int64_t crashes(const std::string& job) const
    {
        const auto found = crashes_.find(job + ".0.0.0");
        return found == crashes_.end() ? 0 : found->second;
    }

    [[nodiscard]] std::int64_t all_crashes() const
    {
        return all_crashes_;
    }

    scheduler_harness harness;

private:
    struct worker_state
    {
        time_point returns_at{}; ///< when the executor returns; zero: it is up
        time_point crashed_at{};
        bool guard_down = false; ///< its guard is down, too
        int incarnations = 1;
        std::set<std::string> known;             ///< starts begun or refused
        std::map<std::string, time_point> since; ///< start times of runs
        /// When a report last listed each run.
        std::map<std::string, time_point> listed;
        std::set<std::string> ended;
    };

    static std::string key(const running_task& row)
    {
        return row.task + "/" + std::to_string(row.run);
    }

    void update_worker(const std::string& guard, worker_state& worker)
    {
        if (worker.returns_at != time_point{})
        {
            update_down_worker(guard, worker);
            return;
        }
        const auto rows = harness.worker(guard).running;
        for (const running_task& row : rows)
        {
            if (worker.known.insert(key(row)).second)
            {
                worker.since[key(row)] = harness.now;
            }
        }
        for (const running_task& row : rows)
        {
            const duration worked = harness.now - worker.since.at(key(row));
            if (crashing_.contains(row.task) &&
                worked >= options_.crashes_after)
            {
                const std::int64_t crashes = ++crashes_[row.task];
                crash(guard, worker);
                worker.guard_down = crashes <= options_.guard_losses;
                return;
            }
        }
        for (const running_task& row : rows)
        {
            end_if_due(guard, row, harness.now - worker.since.at(key(row)));
        }
    }

    void end(const std::string& guard, const running_task& row, run_end how)
    {
        workers_.at(guard).ended.insert(key(row));
        harness.end(row.task, how);
    }

    void end_if_due(const std::string& guard, const running_task& row,
                    duration worked)
    {
        const auto name = task_name::parse(row.task);
        const bool lasting =
            harness.accepted.at(name->job).steps.front().lasting;
        for (running_task& listed : harness.worker(guard).running)
        {
            if (listed.task == row.task)
            {
                listed.percent = lasting
                                     ? full_percent
                                     : full_percent * worked / options_.work;
            }
        }
        const auto stop = harness.stops.find(row.task);
        if (stop != harness.stops.end() && stop->second == row.run)
        {
            end(guard, row, run_end::stopped);
        }
        else if (broken_.erase(row.task) > 0)
        {
            end(guard, row, run_end::broken);
        }
        else if (!lasting && worked >= options_.work)
        {
            end(guard, row, run_end::done);
        }
    }

    // Starts that arrive while the executor is down are refused. The guard
    // still lists the runs that it last saw there.
    void update_down_worker(const std::string& guard, worker_state& worker)
    {
        worker_report& report = harness.worker(guard);
        report.lists_age_ms = to_milliseconds(harness.now - worker.crashed_at);
        report.failing_ms = report.lists_age_ms;
        std::erase_if(report.running,
                      [&](const running_task& row)
                      {
                          const bool fresh =
                              worker.known.insert(key(row)).second;
                          if (fresh)
                          {
                              report.refused.push_back({.task = row.task,
                                                        .run = row.run,
                                                        .reason = "unhealthy"});
                          }
                          return fresh || !shown_.contains(guard + key(row));
                      });
        report.answering =
            harness.now - worker.crashed_at < options_.detection_time;
        report.lapsed = harness.now - worker.crashed_at >= lease_;
        if (harness.now >= worker.returns_at)
        {
            begin_incarnation(guard, worker);
        }
    }

    past_incarnation past_incarnation_of(const std::string& guard,
                                         const worker_state& worker)
    {
        past_incarnation past{
            .executor = harness.worker(guard).worker.executor,
            .lost_ms = to_milliseconds(worker.crashed_at - time_point{})};
        for (const auto& [run, since] : worker.since)
        {
            if (worker.ended.contains(run))
            {
                continue;
            }
            const auto listed = worker.listed.find(run);
            const duration shown = listed == worker.listed.end()
                                       ? duration{0}
                                       : listed->second - since;
            const std::size_t slash = run.find('/');
            past.begun.push_back({.task = run.substr(0, slash),
                                  .run = std::stoll(run.substr(slash + 1)),
                                  .at_work_ms = to_milliseconds(shown),
                                  .is_sure = true});
        }
        return past;
    }

    void begin_incarnation(const std::string& guard, worker_state& worker)
    {
        worker_report& report = harness.worker(guard);
        report.former = {past_incarnation_of(guard, worker)};
        report.worker.executor =
            guard + "-" + std::to_string(++worker.incarnations);
        report.running.clear();
        report.ended.clear();
        report.refused.clear();
        report.answering = true;
        report.lapsed = false;
        report.lists_age_ms = 0;
        report.failing_ms = 0;
        if (worker.guard_down)
        {
            report.incarnation += "i";
            report.former.clear(); // unknown to the new guard
        }
        worker.guard_down = false;
        worker.returns_at = {};
        worker.since.clear();
        worker.listed.clear();
    }

    // Marks the other members of a gang, which end with the crashed one.
    void break_gang(const running_task& crashed)
    {
        const auto name = task_name::parse(crashed.task);
        const job& definition = harness.accepted.at(name->job);
        for (const auto& [task, start] : harness.started)
        {
            if (definition.steps.front().gang &&
                task.starts_with(definition.id + ".") && task != crashed.task)
            {
                broken_.insert(task);
            }
        }
    }

    void crash(const std::string& guard, worker_state& worker)
    {
        for (const running_task& row : harness.worker(guard).running)
        {
            break_gang(row);
        }
        ++all_crashes_;
        worker.returns_at = harness.now + options_.downtime;
        worker.crashed_at = harness.now;
        // Starts that no poll has shown yet are not listed.
        std::erase_if(harness.worker(guard).running,
                      [&](const running_task& row)
                      { return !shown_.contains(guard + key(row)); });
    }

    void report_all()
    {
        next_reports_ = harness.now + milliseconds(400);
        for (auto& [guard, worker] : workers_)
        {
            if (worker.guard_down)
            {
                continue;
            }
            for (const running_task& row : harness.worker(guard).running)
            {
                shown_.insert(guard + key(row));
                worker.listed[key(row)] = worker.returns_at == time_point{}
                                              ? harness.now
                                              : worker.crashed_at;
            }
            harness.worker(guard).sent_ms =
                to_milliseconds(harness.now - time_point{});
            harness.report_from_guard(guard);
            harness.worker(guard).refused.clear();
        }
    }

    options options_;
    duration lease_ = milliseconds(3300);
    std::map<std::string, worker_state> workers_;
    std::set<std::string> crashing_;
    std::set<std::string> shown_;  ///< runs that a report has shown
    std::set<std::string> broken_; ///< members of gangs that lost one
    std::map<std::string, std::int64_t> crashes_;
    std::int64_t all_crashes_ = 0;
    time_point next_reports_{};
};

// Short jobs that are submitted continuously.
class background_jobs
{
public:
    explicit background_jobs(crashing_fleet& fleet) : fleet_(fleet) {}

    void run(duration length, duration gap)
    {
        const time_point until = fleet_.harness.now + length;
        while (fleet_.harness.now < until)
        {
            ids_.push_back(fleet_.submit(step_of(2, 500)));
            fleet_.run(gap);
        }
    }

    // Number of jobs that did not succeed.
    [[nodiscard]] std::size_t unsuccessful() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            ids_, [&](const std::string& id)
            { return fleet_.harness.shown(id) != job_state::succeeded; }));
    }

private:
    crashing_fleet& fleet_;
    std::vector<std::string> ids_;
};

inline job_step lasting_step(std::int64_t count)
{
    job_step step = step_of(count, 500);
    step.lasting = true;
    return step;
}

} // namespace springstair::tests
