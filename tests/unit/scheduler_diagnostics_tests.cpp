// What the leader logs about waiting tasks and long-running jobs.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// The fields, by name, of each logged event with this id since the last call.
std::vector<std::map<std::string, std::string>>
lines_of(scheduler_harness& harness, event_id id)
{
    std::vector<std::map<std::string, std::string>> found;
    for (const decision& one : harness.core.take_decisions())
    {
        if (one.id != id)
        {
            continue;
        }
        std::map<std::string, std::string> fields;
        for (const event_field& field : one.fields)
        {
            fields[std::string(field.name)] = field.value;
        }
        found.push_back(std::move(fields));
    }
    return found;
}

// The logged reason why the only waiting task waits.
std::string logged_cause(scheduler_harness& harness)
{
    harness.advance(milliseconds(600));
    const auto lines = lines_of(harness, event_id::tasks_wait);
    return lines.size() == 1 ? lines.front().at("why") : "";
}

} // namespace

TEST_CASE("a wait is logged with its reason, at a limited rate")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.submit({step_of(3)});
    const job wide = harness.submit({step_of(2, 3000)});
    harness.advance();
    CHECK(lines_of(harness, event_id::tasks_wait).empty());
    harness.advance(milliseconds(600));
    const auto logged = lines_of(harness, event_id::tasks_wait);
    REQUIRE(logged.size() == 1);
    CHECK(logged.front().at("job") == wide.id);
    CHECK(logged.front().at("tasks") == "2");
    CHECK(logged.front().at("why") == "room");
    CHECK(logged.front().at("free_millis") == "1000");
    CHECK(logged.front().at("free_in_time_millis") == "4000");
    harness.report_from_guard("g1");
    harness.advance(milliseconds(600));
    CHECK(lines_of(harness, event_id::tasks_wait).empty());
    harness.advance(seconds(5));
    CHECK(lines_of(harness, event_id::tasks_wait).size() == 1);
}

TEST_CASE("each reason for a wait has its name")
{
    scheduler_harness harness;
    SUBCASE("no worker")
    {
        harness.submit({step_of(1)});
        CHECK(logged_cause(harness) == "no_worker");
    }
    SUBCASE("no worker has the label")
    {
        harness.report_from_guard("g1");
        job_step step = step_of(1);
        step.label = "ssd";
        harness.submit({step});
        CHECK(logged_cause(harness) == "label");
    }
    SUBCASE("larger than any worker")
    {
        harness.report_from_guard("g1");
        harness.submit({step_of(1, 5000)});
        CHECK(logged_cause(harness) == "size");
    }
    SUBCASE("long-running tasks occupy the worker")
    {
        harness.report_from_guard("g1");
        job_step lasting = step_of(1, 2000);
        lasting.lasting = true;
        harness.submit({lasting});
        harness.advance(milliseconds(200));
        harness.submit({step_of(1, 3000)});
        CHECK(logged_cause(harness) == "lasting");
    }
    SUBCASE("its step has its max tasks on the worker")
    {
        harness.report_from_guard("g1");
        job_step step = step_of(2);
        step.most_per_worker = 1;
        harness.submit({step});
        CHECK(logged_cause(harness) == "bound");
    }
    SUBCASE("capacity for a member of a gang, not for all")
    {
        harness.report_from_guard("g1");
        job_step step = step_of(2, 3000);
        step.gang = true;
        harness.submit({step});
        CHECK(logged_cause(harness) == "gang");
    }
    SUBCASE("a gang larger than any worker")
    {
        harness.report_from_guard("g1");
        job_step step = step_of(2, 5000);
        step.gang = true;
        harness.submit({step});
        CHECK(logged_cause(harness) == "size");
    }
}

TEST_CASE("a partially served long-running job is logged with its shares")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    job_step step = step_of(4, 2000);
    step.lasting = true;
    step.image = "s";
    step.latency_target_ms = 10;
    const job definition = harness.submit({step});
    harness.advance(milliseconds(200));
    for (running_task& row : harness.worker("g1").running)
    {
        row.percent = full_percent;
    }
    harness.worker("g1").running.front().load = 11;
    harness.report_from_guard("g1");
    harness.advance(seconds(1));
    CHECK(harness.core.figures().lasting ==
          availability_counts{.tasks = 4,
                              .at_work = 2,
                              .over_target = 1,
                              .unplaced = 2,
                              .reserved_millis = 8000});
    lines_of(harness, event_id::job_service);
    harness.report_from_guard("g1");
    harness.advance(seconds(4));
    const auto logged = lines_of(harness, event_id::job_service);
    REQUIRE(logged.size() == 1);
    CHECK(logged.front().at("job") == definition.id);
    CHECK(logged.front().at("cpu_millis") == "8000");
    CHECK(logged.front().at("at_work") == "50");
    CHECK(logged.front().at("over_target") == "25");
    CHECK(logged.front().at("unplaced") == "50");
}

TEST_CASE("the largest tenth of the long-running jobs is counted separately")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    for (int number = 0; number < 11; ++number)
    {
        job_step step = step_of(1, number < 2 ? 300 : 100);
        step.lasting = true;
        harness.submit({step});
    }
    harness.advance(seconds(2));
    CHECK(harness.core.figures().lasting.tasks == 11);
    CHECK(harness.core.figures().largest_lasting.tasks == 2);
    CHECK(harness.core.figures().largest_lasting.reserved_millis == 600);
}
