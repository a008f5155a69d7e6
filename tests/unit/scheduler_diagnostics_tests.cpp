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
std::vector<std::map<std::string, std::string>> lines_of(scheduler_harness& at,
                                                         event_id id)
{
    std::vector<std::map<std::string, std::string>> found;
    for (const decision& one : at.core.take_decisions())
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
std::string cause_told(scheduler_harness& at)
{
    at.turn(milliseconds(600));
    const auto lines = lines_of(at, event_id::tasks_wait);
    return lines.size() == 1 ? lines.front().at("why") : "";
}

} // namespace

TEST_CASE("a wait is logged with its reason, at a limited rate")
{
    scheduler_harness at;
    at.say("g1");
    at.submit({step_of(3)});
    const job wide = at.submit({step_of(2, 3000)});
    at.turn();
    CHECK(lines_of(at, event_id::tasks_wait).empty());
    at.turn(milliseconds(600));
    const auto told = lines_of(at, event_id::tasks_wait);
    REQUIRE(told.size() == 1);
    CHECK(told.front().at("job") == wide.id);
    CHECK(told.front().at("tasks") == "2");
    CHECK(told.front().at("why") == "room");
    CHECK(told.front().at("free_millis") == "1000");
    CHECK(told.front().at("free_in_time_millis") == "4000");
    at.say("g1");
    at.turn(milliseconds(600));
    CHECK(lines_of(at, event_id::tasks_wait).empty());
    at.turn(seconds(5));
    CHECK(lines_of(at, event_id::tasks_wait).size() == 1);
}

TEST_CASE("each reason for a wait has its name")
{
    scheduler_harness at;
    SUBCASE("no worker")
    {
        at.submit({step_of(1)});
        CHECK(cause_told(at) == "no_worker");
    }
    SUBCASE("no worker has the label")
    {
        at.say("g1");
        job_step step = step_of(1);
        step.label = "ssd";
        at.submit({step});
        CHECK(cause_told(at) == "label");
    }
    SUBCASE("larger than any worker")
    {
        at.say("g1");
        at.submit({step_of(1, 5000)});
        CHECK(cause_told(at) == "size");
    }
    SUBCASE("long-running tasks occupy the worker")
    {
        at.say("g1");
        job_step lasting = step_of(1, 2000);
        lasting.lasting = true;
        at.submit({lasting});
        at.turn(milliseconds(200));
        at.submit({step_of(1, 3000)});
        CHECK(cause_told(at) == "lasting");
    }
    SUBCASE("its step has its max tasks on the worker")
    {
        at.say("g1");
        job_step step = step_of(2);
        step.most_per_worker = 1;
        at.submit({step});
        CHECK(cause_told(at) == "bound");
    }
    SUBCASE("capacity for a member of a gang, not for all")
    {
        at.say("g1");
        job_step step = step_of(2, 3000);
        step.gang = true;
        at.submit({step});
        CHECK(cause_told(at) == "gang");
    }
    SUBCASE("a gang larger than any worker")
    {
        at.say("g1");
        job_step step = step_of(2, 5000);
        step.gang = true;
        at.submit({step});
        CHECK(cause_told(at) == "size");
    }
}

TEST_CASE("a partially served long-running job is logged with its shares")
{
    scheduler_harness at;
    at.say("g1");
    job_step step = step_of(4, 2000);
    step.lasting = true;
    step.image = "s";
    step.latency_target_ms = 10;
    const job what = at.submit({step});
    at.turn(milliseconds(200));
    for (running_task& row : at.worker("g1").running)
    {
        row.percent = full_percent;
    }
    at.worker("g1").running.front().load = 11;
    at.say("g1");
    at.turn(seconds(1));
    CHECK(at.core.figures().lasting ==
          availability_counts{.tasks = 4,
                              .at_work = 2,
                              .over_target = 1,
                              .unplaced = 2,
                              .reserved_millis = 8000});
    lines_of(at, event_id::job_service);
    at.say("g1");
    at.turn(seconds(4));
    const auto told = lines_of(at, event_id::job_service);
    REQUIRE(told.size() == 1);
    CHECK(told.front().at("job") == what.id);
    CHECK(told.front().at("cpu_millis") == "8000");
    CHECK(told.front().at("at_work") == "50");
    CHECK(told.front().at("over_target") == "25");
    CHECK(told.front().at("unplaced") == "50");
}

TEST_CASE("the largest tenth of the long-running jobs is counted separately")
{
    scheduler_harness at;
    at.say("g1");
    for (int number = 0; number < 11; ++number)
    {
        job_step step = step_of(1, number < 2 ? 300 : 100);
        step.lasting = true;
        at.submit({step});
    }
    at.turn(seconds(2));
    CHECK(at.core.figures().lasting.tasks == 11);
    CHECK(at.core.figures().largest_lasting.tasks == 2);
    CHECK(at.core.figures().largest_lasting.reserved_millis == 600);
}
