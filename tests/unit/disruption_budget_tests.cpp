// One budget for every mechanism that takes long-running tasks away on purpose.
//
// Guards against steps of which several mechanisms at the same time, or one of
// them during crashes and takeovers, stop more tasks than most_missing allows.

#include "disrupted_fleet.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

// A task with a run at full progress that was reported just now.
job_task task_at_work(time_point now)
{
    job_task task;
    task.run = task_run{.number = 1,
                        .guard = "g",
                        .placed_in = 1,
                        .seen = true,
                        .last_seen = now,
                        .percent = full_percent};
    return task;
}

constexpr time_point test_time{std::chrono::hours(1)};

bool is_missing(const job_task& task)
{
    return is_unavailable(task, test_time, {});
}

// Six tasks on g1 and g2, three on each, and two more workers.
struct two_leaving_workers
{
    explicit two_leaving_workers(std::int64_t most_missing,
                                 bool with_budget = true)
        : fleet(with_budget)
    {
        fleet.add_worker("g1");
        fleet.add_worker("g2");
        job = fleet.submit(6, most_missing);
        fleet.run(seconds(2));
        REQUIRE(fleet.at_work(job) == 6);
        fleet.add_worker("g3");
        fleet.add_worker("g4");
        fleet.logged();
    }

    void leave(milliseconds time_left)
    {
        fleet.leave("g1", time_left);
        fleet.leave("g2", time_left);
    }

    [[nodiscard]] bool is_drained()
    {
        return fleet.runs_at("g1", job) + fleet.runs_at("g2", job) == 0;
    }

    disrupted_fleet fleet;
    std::string job;
};

} // namespace

// ---------------------------------------------------------------------------
// The budget by itself
// ---------------------------------------------------------------------------

TEST_CASE("a long-running task counts as available only at full progress")
{
    job_task task = task_at_work(test_time);
    CHECK_FALSE(is_missing(task));
    SUBCASE("without a run")
    {
        task.run.reset();
    }
    SUBCASE("not seen yet")
    {
        task.run->seen = false;
    }
    SUBCASE("stopping")
    {
        task.run->stopping = true;
    }
    SUBCASE("below full progress")
    {
        task.run->percent = 99;
    }
    SUBCASE("not reported recently")
    {
        task.run->last_seen = test_time - milliseconds(1301);
    }
    SUBCASE("taken over just now")
    {
        task.run->placed_in = 0;
        task.run->ordered_at = test_time - milliseconds(999);
    }
    CHECK(is_missing(task));
    task.run.reset();
    task.done = true;
    CHECK_FALSE(is_missing(task));
}

TEST_CASE("the budget grants exactly up to most_missing tasks")
{
    CHECK(rc::check(
        [](std::vector<bool> available)
        {
            const auto most_missing = *rc::gen::inRange<std::int64_t>(0, 6);
            available.push_back(true); // the task that is asked for
            std::vector<job_task> tasks;
            std::int64_t missing = 0;
            for (const bool one : available)
            {
                tasks.push_back(one ? task_at_work(test_time) : job_task{});
                missing += one ? 0 : 1;
            }
            job_step step;
            step.lasting = true;
            step.most_missing = most_missing;
            const disruption_budget budget(step, tasks, test_time, {});
            RC_ASSERT(budget.unavailable() == missing);
            RC_ASSERT(budget.allows(tasks.back()) ==
                      (most_missing == 0 || missing < most_missing));
            RC_ASSERT(budget.allows(tasks.back()) == (budget.room() > 0));
        }));
}

// A stop of one member stops all of them.
TEST_CASE("the budget counts all members of a gang")
{
    const std::vector<job_task> tasks(3, task_at_work(test_time));
    job_step step;
    step.gang = true;
    step.most_missing = 2;
    CHECK_FALSE(
        disruption_budget(step, tasks, test_time, {}).allows(tasks.front()));
    step.most_missing = 3;
    CHECK(disruption_budget(step, tasks, test_time, {}).allows(tasks.front()));
}

// ---------------------------------------------------------------------------
// Leaving workers
// ---------------------------------------------------------------------------

// Failure: two workers that left at the same time took all of their tasks away
// at once.
TEST_CASE("two workers that leave at the same time keep within the budget")
{
    two_leaving_workers fixture(2);
    fixture.leave(seconds(20));
    fixture.fleet.run(seconds(15));
    CHECK(fixture.is_drained());
    CHECK(fixture.fleet.at_work(fixture.job) == 6);
    CHECK(fixture.fleet.stops == 6);
    CHECK(fixture.fleet.max_missing[fixture.job] == 2);
    const scheduler_figures figures = fixture.fleet.harness.core.figures();
    CHECK(figures.disruptions_granted == 6);
    CHECK(figures.disruptions_held == 4);
    CHECK(figures.disruption_emergencies == 0);
    CHECK(fixture.fleet.logged()[event_id::stop_forced] == 0);
}

TEST_CASE("without the option, leaving workers are drained at once")
{
    two_leaving_workers fixture(2, false);
    fixture.leave(seconds(20));
    fixture.fleet.run(milliseconds(200));
    CHECK(fixture.is_drained());
    CHECK(fixture.fleet.max_missing[fixture.job] == 6);
    const scheduler_figures figures = fixture.fleet.harness.core.figures();
    CHECK(figures.disruptions_granted == 0);
    CHECK(figures.disruptions_held == 0);
    CHECK(figures.disruption_emergencies == 0);
    CHECK(fixture.fleet.logged()[event_id::stop_held] == 0);
}

TEST_CASE("a step without a limit leaves at once")
{
    two_leaving_workers fixture(0);
    fixture.leave(seconds(20));
    fixture.fleet.run(milliseconds(200));
    CHECK(fixture.is_drained());
    CHECK(fixture.fleet.harness.core.figures().disruptions_granted == 6);
    CHECK(fixture.fleet.harness.core.figures().disruptions_held == 0);
}

// Failure: tasks that waited for the budget were lost with their worker instead
// of being stopped in time.
TEST_CASE("tasks that still wait shortly before their worker leaves go at once")
{
    two_leaving_workers fixture(1);
    fixture.leave(milliseconds(3000));
    fixture.fleet.run(milliseconds(1400));
    CHECK_FALSE(fixture.is_drained());
    CHECK(fixture.fleet.max_missing[fixture.job] == 1);
    fixture.fleet.run(milliseconds(400));
    CHECK(fixture.is_drained());
    const scheduler_figures figures = fixture.fleet.harness.core.figures();
    CHECK(figures.disruptions_granted + figures.disruption_emergencies ==
          fixture.fleet.stops);
    CHECK(figures.disruption_emergencies >= 4);
    CHECK(fixture.fleet.logged()[event_id::stop_forced] ==
          figures.disruption_emergencies);
}

// Failure: a drain went on while tasks of the step that had crashed were not
// back.
TEST_CASE("a crash during a drain counts against the budget")
{
    two_leaving_workers fixture(2);
    fixture.fleet.leave("g1", seconds(30));
    fixture.fleet.run(milliseconds(200));
    REQUIRE(fixture.fleet.stops == 2);
    fixture.fleet.crash("g2"); // three more tasks are missing
    fixture.fleet.run(milliseconds(800));
    CHECK(fixture.fleet.stops == 2);
    CHECK(fixture.fleet.runs_at("g1", fixture.job) == 1);
    fixture.fleet.run(seconds(5));
    CHECK(fixture.fleet.stops == 3);
    CHECK(fixture.fleet.runs_at("g1", fixture.job) == 0);
    CHECK(fixture.fleet.max_missing[fixture.job] == 2);
    CHECK(fixture.fleet.at_work(fixture.job) == 6);
}

// Failure: a new leader, which does not know the state of the tasks on workers
// that have not reported to it, took the last ones away.
TEST_CASE("a new leader continues a drain only with the tasks that it knows")
{
    two_leaving_workers fixture(2);
    fixture.fleet.leave("g1", seconds(60));
    fixture.fleet.run(milliseconds(200));
    REQUIRE(fixture.fleet.stops == 2);
    fixture.fleet.run(seconds(1)); // the two are starting elsewhere
    const std::int64_t left = fixture.fleet.runs_at("g1", fixture.job);
    REQUIRE(left == 1);
    fixture.fleet.silent = {"g2"}; // its three tasks stay unknown
    fixture.fleet.harness.take_over();
    fixture.fleet.run(seconds(3));
    CHECK(fixture.fleet.stops == 2);
    CHECK(fixture.fleet.runs_at("g1", fixture.job) == 1);
    fixture.fleet.silent.clear();
    fixture.fleet.run(milliseconds(500));
    CHECK(fixture.fleet.stops == 2); // not settled yet
    fixture.fleet.run(seconds(2));
    CHECK(fixture.fleet.stops == 3);
    CHECK(fixture.fleet.runs_at("g1", fixture.job) == 0);
}

TEST_CASE("on a leaving worker, the step with the most room goes first")
{
    disrupted_fleet fleet;
    fleet.add_worker("g1");
    const std::string little = fleet.submit(2, 1);
    const std::string much = fleet.submit(2, 2);
    fleet.run(seconds(2));
    worker_report& report = fleet.harness.worker("g1");
    report.worker.draining = true;
    report.worker.leaves_ms = 10'000;
    const report_answer answer = fleet.harness.report_from_guard("g1");
    std::vector<std::string> stopped;
    for (const stop_order& one : answer.orders.stops)
    {
        stopped.push_back(one.task);
    }
    CHECK(stopped == std::vector<std::string>{much + ".0.0.0", much + ".0.0.1",
                                              little + ".0.0.0"});
}

TEST_CASE("a stop that waits is logged once per step in 5 s")
{
    two_leaving_workers fixture(1);
    fixture.fleet.silent = {"g3", "g4"}; // nothing can move there
    fixture.fleet.run(seconds(2));
    fixture.leave(seconds(60));
    fixture.fleet.run(milliseconds(4900));
    CHECK(fixture.fleet.stops == 1);
    CHECK(fixture.fleet.logged()[event_id::stop_held] == 1);
    fixture.fleet.run(seconds(5));
    CHECK(fixture.fleet.logged()[event_id::stop_held] == 1);
    CHECK(fixture.fleet.harness.core.figures().disruptions_held == 5);
}

// ---------------------------------------------------------------------------
// Preemption, stuck runs, closures
// ---------------------------------------------------------------------------

namespace
{

// Four long-running tasks fill g1, the only worker with the label that a
// waiting task of half its size needs. The runs that were stopped restart on
// g2 but do not reach full progress until allowed.
struct blocked_task
{
    explicit blocked_task(bool with_budget) : fleet(with_budget)
    {
        fleet.harness.worker("g1").worker.labels = {"a"};
        fleet.add_worker("g1");
        job = fleet.submit(4, 1);
        fleet.run(seconds(2));
        REQUIRE(fleet.at_work(job) == 4);
        fleet.add_worker("g2");
        job_step wanted = step_of(1, 2000);
        wanted.label = "a";
        waiting = fleet.harness.submit({wanted}).id + ".0.0.0";
    }

    // Runs on g2 stay at 50 percent, without being stuck.
    void run_without_return(duration length)
    {
        const time_point until = fleet.harness.now + length;
        while (fleet.harness.now < until)
        {
            for (running_task& row : fleet.harness.worker("g2").running)
            {
                row.percent = row.percent == 50 ? 39 : 40;
            }
            fleet.run(disrupted_fleet::report_interval);
        }
    }

    disrupted_fleet fleet;
    std::string job;
    std::string waiting;
};

} // namespace

// Failure: a second run was preempted as soon as the first one was seen on its
// next worker, long before it was at work there.
TEST_CASE("a preempted task counts until it is back at full progress")
{
    blocked_task fixture(true);
    fixture.run_without_return(seconds(5));
    CHECK(fixture.fleet.stops == 1);
    CHECK_FALSE(fixture.fleet.harness.has_started(fixture.waiting));
    CHECK(fixture.fleet.logged()[event_id::stop_held] == 1);
    CHECK(fixture.fleet.harness.core.figures().disruptions_held == 1);
    fixture.fleet.run(seconds(3));
    CHECK(fixture.fleet.stops == 2);
    CHECK(fixture.fleet.max_missing[fixture.job] == 1);
    CHECK(fixture.fleet.harness.guard_of[fixture.waiting] == "g1");
}

TEST_CASE("without the option, preemption does not consider progress")
{
    blocked_task fixture(false);
    fixture.run_without_return(seconds(5));
    CHECK(fixture.fleet.stops == 2);
    CHECK(fixture.fleet.harness.guard_of[fixture.waiting] == "g1");
}

namespace
{

// Six tasks of a step with most_missing 1 of which some get stuck.
struct stuck_tasks
{
    explicit stuck_tasks(bool with_budget) : fixture(1, with_budget) {}

    void run(int stuck, duration length)
    {
        for (int index = 0; index < stuck; ++index)
        {
            fixture.fleet.stuck.insert(fixture.job + ".0.0." +
                                       std::to_string(index));
        }
        fixture.fleet.run(length);
    }

    two_leaving_workers fixture;
};

} // namespace

TEST_CASE("a stuck run is stopped within the budget as without it")
{
    for (const bool with_budget : {false, true})
    {
        stuck_tasks tasks(with_budget);
        tasks.run(1, milliseconds(1900));
        CHECK(tasks.fixture.fleet.stuck.size() == 1);
        tasks.run(1, milliseconds(500));
        CHECK(tasks.fixture.fleet.logged()[event_id::run_stuck] == 1);
    }
}

// Failure: stuck runs of one step would wait for each other forever.
TEST_CASE("several stuck runs of a step wait for the budget, but not forever")
{
    stuck_tasks tasks(true);
    tasks.run(2, milliseconds(4500));
    CHECK(tasks.fixture.fleet.logged()[event_id::run_stuck] == 0);
    tasks.fixture.fleet.run(milliseconds(1000));
    CHECK(tasks.fixture.fleet.logged()[event_id::run_stuck] == 2);
    tasks.fixture.fleet.run(seconds(3));
    CHECK(tasks.fixture.fleet.at_work(tasks.fixture.job) == 6);
    CHECK(tasks.fixture.fleet.harness.core.figures().disruption_emergencies ==
          2);
}

TEST_CASE("without the option, all stuck runs are stopped at once")
{
    stuck_tasks tasks(false);
    tasks.run(2, milliseconds(2500));
    CHECK(tasks.fixture.fleet.logged()[event_id::run_stuck] == 2);
}

TEST_CASE("closing a data centre stops no long-running task that is at work")
{
    for (const bool with_budget : {false, true})
    {
        two_leaving_workers fixture(1, with_budget);
        for (auto& [guard, report] : fixture.fleet.harness.reports)
        {
            report.worker.data_centre = "east";
        }
        fixture.fleet.run(milliseconds(200));
        fixture.fleet.harness.core.set_closed(
            {.names = {"east"}, .as_of = fixture.fleet.harness.now},
            fixture.fleet.harness.now);
        fixture.fleet.run(seconds(3));
        CHECK(fixture.fleet.stops == 0);
        CHECK(fixture.fleet.at_work(fixture.job) == 6);
    }
}

// ---------------------------------------------------------------------------
// All of it at random
// ---------------------------------------------------------------------------

// Workers leave, crash, fall silent and join, and leaders change, in any order.
TEST_CASE("no deliberate stop exceeds the budget, whatever else happens")
{
    CHECK(rc::check(
        []
        {
            const auto most_missing = *rc::gen::inRange<std::int64_t>(1, 4);
            disrupted_fleet fleet;
            int workers = 0;
            const auto add_worker = [&]
            {
                fleet.add_worker("g" + std::to_string(++workers));
            };
            while (workers < 4)
            {
                add_worker();
            }
            const std::string job = fleet.submit(8, most_missing);
            fleet.run(seconds(2));
            const auto events = *rc::gen::container<std::vector<int>>(
                8, rc::gen::inRange(0, 6));
            for (const int event : events)
            {
                const std::string guard =
                    "g" + std::to_string(*rc::gen::inRange(1, workers + 1));
                switch (event)
                {
                case 0:
                    fleet.leave(guard, seconds(60));
                    add_worker();
                    break;
                case 1:
                    fleet.crash(guard);
                    break;
                case 2:
                    fleet.silent = {guard};
                    break;
                case 3:
                    fleet.silent.clear();
                    break;
                case 4:
                    fleet.harness.take_over();
                    break;
                default:
                    break;
                }
                fleet.run(milliseconds(*rc::gen::inRange(100, 2500)));
            }
            RC_ASSERT(fleet.max_missing[job] <= most_missing);
            RC_ASSERT(fleet.harness.core.figures().disruption_emergencies == 0);
            fleet.silent.clear();
            fleet.run(seconds(30));
            RC_ASSERT(fleet.at_work(job) == 8);
        }));
}
