// Capacity for urgent tasks: reserved capacity that they may use, and
// long-running runs that yield to them.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

const scheduler_options with_room{.lasting_batch_window = duration{0},
                                  .urgent_room = urgent_room_options{}};
const scheduler_options without_room{.lasting_batch_window = duration{0}};

job_step lasting_step(std::int64_t count, std::int64_t cpu,
                      std::int64_t most_missing = 0)
{
    job_step step = step_of(count, cpu);
    step.lasting = true;
    step.most_missing = most_missing;
    return step;
}

// Advances the time; guards report every 100 ms, long-running tasks at full
// progress.
void run(scheduler_harness& harness, duration length)
{
    const time_point until = harness.now + length;
    while (harness.now < until)
    {
        for (auto& [guard, report] : harness.reports)
        {
            for (running_task& row : report.running)
            {
                row.percent = full_percent;
            }
            harness.report_from_guard(guard);
        }
        harness.advance(milliseconds(100));
    }
}

// One worker on which a run of two processors with the given estimate leaves
// two free, and a long-running task of three processors that waits.
class reserved_worker
{
public:
    explicit reserved_worker(const scheduler_options& options,
                             std::int64_t estimate_ms = 100)
        : harness(options)
    {
        harness.report_from_guard("g1");
        job_step occupying = step_of(1, 2000);
        occupying.estimate_ms = estimate_ms;
        harness.submit({occupying});
        harness.advance();
        lasting = harness.submit({lasting_step(1, 3000)}, "urgent").id;
        harness.advance();
    }

    bool starts_urgent()
    {
        const job urgent = harness.submit({step_of(1)}, "urgent");
        harness.report_from_guard("g1");
        harness.advance(milliseconds(100));
        return harness.has_started(urgent.id + ".0.0.0");
    }

    scheduler_harness harness;
    std::string lasting;
};

// Two workers filled with long-running tasks of one processor each.
class full_fleet
{
public:
    explicit full_fleet(const scheduler_options& options,
                        std::int64_t most_missing = 0)
        : harness(options)
    {
        harness.report_from_guard("g1");
        harness.report_from_guard("g2");
        lasting = harness.submit({lasting_step(8, 1000, most_missing)}).id;
        run(harness, milliseconds(300));
    }

    // The workers end the runs that are to be stopped.
    std::size_t end_stopped()
    {
        const auto stops = std::exchange(harness.stops, {});
        for (const auto& [task, number] : stops)
        {
            harness.started.erase(task);
            worker_report& report = harness.worker(harness.guard_of.at(task));
            std::erase_if(report.running,
                          [&name = task](const running_task& row)
                          { return row.task == name; });
            report.ended.push_back({.number = ++ends[report.guard],
                                    .task = task,
                                    .run = number,
                                    .how = run_end::stopped});
            harness.report_from_guard(report.guard);
        }
        return stops.size();
    }

    [[nodiscard]] std::int64_t missing() const
    {
        const auto tasks = harness.core.find(lasting)->tasks();
        return std::ranges::count_if(tasks,
                                     [](const job_task& task) {
                                         return !task.run || task.run->stopping;
                                     });
    }

    scheduler_harness harness;
    std::string lasting;
    std::map<std::string, std::int64_t> ends;
};

} // namespace

// Guards against urgent tasks that wait for a reservation of long-running work
// while its capacity is idle.
TEST_CASE("urgent tasks use capacity reserved for a long-running step until it "
          "has waited its patience")
{
    reserved_worker fleet(with_room);
    CHECK(fleet.starts_urgent());
    CHECK(fleet.harness.core.figures().urgent_on_reserved == 1);
}

// Guards against the starvation of the largest long-running tasks.
TEST_CASE("a long-running step that has waited its patience keeps its "
          "reservation")
{
    reserved_worker fleet(with_room);
    run(fleet.harness, milliseconds(2100));
    CHECK_FALSE(fleet.starts_urgent());
    CHECK(fleet.harness.core.figures().urgent_on_reserved == 0);
}

TEST_CASE("an urgent task that ends before the reserved capacity is complete "
          "uses it at any time")
{
    reserved_worker fleet(with_room, 60'000);
    run(fleet.harness, milliseconds(2100));
    CHECK(fleet.starts_urgent());
}

// Guards against other decisions without the settings section.
TEST_CASE("without its settings section nothing is given to urgent tasks")
{
    reserved_worker reserved(without_room, 60'000);
    CHECK_FALSE(reserved.starts_urgent());
    full_fleet full(without_room);
    full.harness.submit({step_of(2)}, "urgent");
    run(full.harness, seconds(5));
    CHECK(full.harness.stops.empty());
    CHECK(full.harness.core.figures().yields == 0);
    for (const auto& [guard, worker] : full.harness.core.workers())
    {
        CHECK(worker.short_runs.empty());
        CHECK(worker.urgent_holds.empty());
    }
}

// Guards against a yield for each pass while the first stop is under way, and
// against a long-running task that takes the freed capacity back.
TEST_CASE("one long-running run yields to an urgent task, which gets its "
          "capacity")
{
    full_fleet fleet(with_room);
    const job urgent = fleet.harness.submit({step_of(1)}, "urgent");
    run(fleet.harness, milliseconds(200));
    CHECK(fleet.harness.stops.empty());
    run(fleet.harness, milliseconds(400));
    CHECK(fleet.harness.stops.size() == 1);
    CHECK(fleet.end_stopped() == 1);
    run(fleet.harness, milliseconds(100));
    CHECK(fleet.harness.has_started(urgent.id + ".0.0.0"));
    CHECK(fleet.harness.core.figures().yields == 1);
    run(fleet.harness, seconds(2));
    CHECK(fleet.harness.core.figures().yields == 1);
    const auto decisions = fleet.harness.core.take_decisions();
    CHECK(std::ranges::count(decisions, event_id::run_yielded, &decision::id) ==
          1);
}

// Guards against yields to work that has no value or is not urgent.
TEST_CASE("runs yield only to urgent tasks")
{
    full_fleet fleet(with_room);
    fleet.harness.submit({step_of(1)}, "slow");
    fleet.harness.submit({best_effort_step(1)}, "urgent");
    fleet.harness.submit({lasting_step(1, 1000)}, "urgent");
    run(fleet.harness, seconds(3));
    CHECK(fleet.harness.core.figures().yields == 0);
}

TEST_CASE("yields stay within the bound of missing tasks of a step")
{
    full_fleet fleet(with_room, 2);
    fleet.harness.submit({step_of(6)}, "urgent");
    for (int turn = 0; turn < 10; ++turn)
    {
        run(fleet.harness, milliseconds(100));
        CHECK(fleet.missing() <= 2);
    }
    CHECK(fleet.missing() == 2);
}

// Guards against capacity that stays unused because nobody may take it.
TEST_CASE("freed capacity is held for 300 ms and then free for all")
{
    full_fleet fleet(with_room);
    const job urgent = fleet.harness.submit({step_of(1)}, "urgent");
    run(fleet.harness, milliseconds(600));
    fleet.harness.core.cancel(urgent.id, fleet.harness.now);
    CHECK(fleet.end_stopped() == 1);
    run(fleet.harness, milliseconds(200));
    CHECK(fleet.missing() == 1);
    run(fleet.harness, milliseconds(400));
    CHECK(fleet.missing() == 0);
}

// Guards against a run that keeps the capacity because its stop was lost.
TEST_CASE("the lost stop of a run that yields is repeated with the reports")
{
    full_fleet fleet(with_room);
    const job urgent = fleet.harness.submit({step_of(1)}, "urgent");
    run(fleet.harness, milliseconds(500));
    REQUIRE(fleet.harness.stops.size() == 1);
    const auto lost = std::exchange(fleet.harness.stops, {});
    run(fleet.harness, milliseconds(100));
    CHECK(fleet.harness.stops == lost);
    CHECK(fleet.end_stopped() == 1);
    run(fleet.harness, milliseconds(100));
    CHECK(fleet.harness.has_started(urgent.id + ".0.0.0"));
}

// Guards against waiting forever on one worker whose stop never takes effect.
TEST_CASE("another run yields if a stop takes longer than a second")
{
    full_fleet fleet(with_room);
    fleet.harness.submit({step_of(1)}, "urgent");
    run(fleet.harness, milliseconds(1000));
    CHECK(fleet.harness.core.figures().yields == 1);
    run(fleet.harness, milliseconds(700));
    CHECK(fleet.harness.core.figures().yields == 2);
}

// Guards against state of a past term: the stop was lost with its leader.
TEST_CASE("a new leader holds no capacity and decides afresh about yields")
{
    full_fleet fleet(with_room);
    const job urgent = fleet.harness.submit({step_of(1)}, "urgent");
    run(fleet.harness, milliseconds(500));
    REQUIRE(fleet.harness.core.figures().yields == 1);
    fleet.harness.stops.clear();
    fleet.harness.take_over();
    CHECK(fleet.harness.core.figures().yields == 0);
    run(fleet.harness, milliseconds(100));
    CHECK(fleet.missing() == 0);
    run(fleet.harness, milliseconds(500));
    CHECK(fleet.harness.core.figures().yields == 1);
    CHECK(fleet.end_stopped() == 1);
    run(fleet.harness, milliseconds(100));
    CHECK(fleet.harness.has_started(urgent.id + ".0.0.0"));
}
