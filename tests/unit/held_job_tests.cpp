// Jobs that a leader cannot load, and the ends of their runs.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

namespace springstair::tests
{

namespace
{

// Two jobs run at one worker; the next leader cannot load the first one.
struct held_job_harness : scheduler_harness
{
    held_job_harness()
    {
        report_from_guard("a");
        kept = submit({step_of(2)}).id;
        other = submit({step_of(1)}).id;
        advance();
        advance();
        report_from_guard("a");
        held = {kept};
        take_over();
    }

    // Time for a write; then the guard reports, and the answer acknowledges.
    std::int64_t acknowledged()
    {
        report_from_guard("a");
        advance(milliseconds(100));
        return report_from_guard("a").orders.acknowledged;
    }

    std::string kept;
    std::string other;
};

} // namespace

// Guards against TWICE: the end of a held job's run was acknowledged without a
// record, and the leader that loaded the job started the task again.
TEST_CASE("a task that ended while its job was held does not run again")
{
    held_job_harness harness;
    harness.end(harness.kept + ".0.0.0", run_end::done);
    CHECK(harness.acknowledged() == 1);
    harness.reports.at("a").ended.clear(); // forgotten once acknowledged
    harness.started.clear();
    harness.held.clear();
    harness.take_over();
    harness.report_from_guard("a");
    harness.advance(seconds(3));
    harness.report_from_guard("a");
    harness.advance();
    CHECK_FALSE(harness.has_started(harness.kept + ".0.0.0"));
}

TEST_CASE("a held job resumes from the checkpoint of its stopped run")
{
    held_job_harness harness;
    harness.end(harness.kept + ".0.0.1", run_end::stopped, "half");
    CHECK(harness.acknowledged() == 1);
    harness.reports.at("a").ended.clear();
    harness.started.clear();
    harness.held.clear();
    harness.take_over();
    harness.report_from_guard("a");
    harness.advance();
    harness.report_from_guard("a");
    const std::string task = harness.kept + ".0.0.1";
    REQUIRE(harness.has_started(task));
    CHECK(harness.started.at(task).checkpoint == "half");
    CHECK(harness.started.at(task).run == 2);
}

// Guards against LOST: an end that may not be acknowledged keeps those behind
// it from being acknowledged, and executors list 500 at a time.
TEST_CASE("a held job does not hold up the ends of others")
{
    held_job_harness harness;
    harness.end(harness.kept + ".0.0.0", run_end::done);
    harness.end(harness.other + ".0.0.0", run_end::done);
    CHECK(harness.acknowledged() == 2);
    CHECK(harness.shown(harness.other) == job_state::succeeded);
}

TEST_CASE("no end of a held job is acknowledged before it is stored")
{
    held_job_harness harness;
    harness.end(harness.kept + ".0.0.0", run_end::done);
    harness.report_from_guard("a");
    CHECK(harness.report_from_guard("a").orders.acknowledged == 0);
}

// Guards against BUDGET: failures that were counted while a job was held did
// not end it.
TEST_CASE("a task that failed too often while its job was held is not started")
{
    held_job_harness harness;
    const std::string task = harness.kept + ".0.0.0";
    harness.held.clear();
    harness.take_over();
    harness.report_from_guard("a");
    harness.end(task, run_end::failed); // the first of two attempts
    harness.report_from_guard("a");
    harness.advance(seconds(1));
    harness.report_from_guard("a");
    harness.advance(seconds(1));
    REQUIRE(harness.started.at(task).run == 2);
    harness.report_from_guard("a");
    harness.held = {harness.kept};
    harness.take_over();
    harness.end(task, run_end::failed);
    harness.acknowledged();
    harness.held.clear();
    harness.take_over();
    harness.advance();
    CHECK(harness.shown(harness.kept) == job_state::failed);
    CHECK(harness.started.at(task).run == 2);
}

TEST_CASE("a job whose last tasks ended while it was held has succeeded")
{
    held_job_harness harness;
    harness.end(harness.kept + ".0.0.0", run_end::done);
    harness.end(harness.kept + ".0.0.1", run_end::done);
    CHECK(harness.acknowledged() == 2);
    harness.held.clear();
    harness.take_over();
    harness.advance();
    CHECK(harness.shown(harness.kept) == job_state::succeeded);
}

TEST_CASE("ends of earlier runs have no effect on a held job")
{
    held_job_harness harness;
    harness.stored_ends[harness.kept] = {
        {.task = harness.kept + ".0.0.0", .run = 0, .how = run_end::done}};
    harness.held.clear();
    harness.take_over();
    const job_record* const record = harness.core.find(harness.kept);
    REQUIRE(record != nullptr);
    CHECK_FALSE(record->tasks().front().done);
}

TEST_CASE("records of ends stay within the store's limit of a value")
{
    held_ends ends;
    ends.hold("j");
    constexpr std::size_t max_bytes = 2000;
    for (int index = 0; index < 30; ++index)
    {
        ends.add("j", {.task = "j.0.0." + std::to_string(index),
                       .run = 1,
                       .how = run_end::done,
                       .checkpoint = index == 7 ? std::string(5000, 'c')
                                                : std::string()});
    }
    std::size_t stored = 0;
    while (const auto record = ends.next(max_bytes))
    {
        CHECK(record->text.size() <= max_bytes);
        stored += decode_ends(record->text).size();
        CHECK_FALSE(ends.is_stored("j", record->change));
        ends.stored("j", record->change);
        CHECK(ends.is_stored("j", record->change));
    }
    CHECK(stored == 30);
}

} // namespace springstair::tests
