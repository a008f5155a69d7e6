// Records within the store's limits, and writes that the store rejects.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

namespace springstair::tests
{

namespace
{

constexpr std::size_t max_bytes = 100'000;

job_progress progress_of(std::int64_t tasks, std::size_t checkpoint_bytes)
{
    job_progress progress{.state = job_state::running};
    for (std::int64_t index = 0; index < tasks; ++index)
    {
        progress.tasks.push_back(
            {.position = {.index = index},
             .runs = 1,
             .guard = "guard-" + std::to_string(index % 3),
             .executor = {"executor", 1'700'000'000'000},
             .checkpoint = std::string(checkpoint_bytes, 'c')});
    }
    return progress;
}

std::size_t checkpoints_in(const job_progress& progress)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(progress.tasks, [](const task_progress& task)
                              { return !task.checkpoint.empty(); }));
}

// A store that rejects records above a limit, as the platform's does. Returns
// the number of rejected writes.
int write_to_limited_store(scheduler_harness& harness, std::size_t limit)
{
    int rejected = 0;
    while (const auto batch = harness.core.next_commit(harness.now))
    {
        const bool too_large =
            std::ranges::any_of(*batch, [&](const progress_write& one)
                                { return one.text.size() > limit; });
        if (too_large)
        {
            ++rejected;
            harness.core.rejected(*batch, harness.now);
        }
        else
        {
            harness.core.committed(*batch, ++harness.revision, harness.now);
        }
        harness.now += milliseconds(25);
    }
    for (const addressed_orders& one : harness.core.take_orders())
    {
        harness.receive_orders(one.orders, one.guard);
    }
    return rejected;
}

} // namespace

TEST_CASE("a record that fits is stored as earlier versions store it")
{
    const job_progress progress = progress_of(20, 30);
    const limited_record record = encode_within(progress, max_bytes);
    CHECK(record.text == encode(progress));
    CHECK(record.checkpoints_left_out == 0);
}

// Guards against LOST: the store refused a record with the checkpoints of a
// job's tasks, and the leader could write nothing else.
TEST_CASE("a record with many checkpoints stays within the limit of a value")
{
    const job_progress progress = progress_of(500, 600);
    const limited_record record = encode_within(progress, max_bytes);
    CHECK(record.text.size() <= max_bytes);
    const job_progress read = decode_progress(record.text);
    REQUIRE(read.tasks.size() == 500);
    CHECK(checkpoints_in(read) == 500 - record.checkpoints_left_out);
    CHECK(checkpoints_in(read) > 100);
    job_progress without = progress;
    job_progress read_without = read;
    for (std::size_t index = 0; index < 500; ++index)
    {
        without.tasks[index].checkpoint.clear();
        read_without.tasks[index].checkpoint.clear();
    }
    CHECK(read_without == without);
}

TEST_CASE("checkpoints of waiting tasks are stored first")
{
    job_progress progress = progress_of(500, 600);
    progress.tasks.back().guard.clear();
    progress.tasks.back().executor = {};
    const limited_record record = encode_within(progress, max_bytes);
    CHECK(record.checkpoints_left_out > 0);
    const job_progress read = decode_progress(record.text);
    CHECK(read.tasks.back() == progress.tasks.back());
}

TEST_CASE("a checkpoint larger than a value is left out alone")
{
    job_progress progress = progress_of(3, 10);
    progress.tasks[1].checkpoint = std::string(2 * max_bytes, 'c');
    const limited_record record = encode_within(progress, max_bytes);
    CHECK(record.checkpoints_left_out == 1);
    CHECK(checkpoints_in(decode_progress(record.text)) == 2);
}

TEST_CASE("the record of a job of 10,000 tasks fits into a value")
{
    job_progress progress = progress_of(10'000, 0);
    for (task_progress& task : progress.tasks)
    {
        task.guard = std::string(60, 'g');
    }
    const limited_record record =
        encode_within(progress, scheduler_options{}.max_record_bytes);
    CHECK(record.text.size() <= scheduler_options{}.max_record_bytes);
    CHECK(decode_progress(record.text) == progress);
}

// Guards against LOST: one record that the store rejected kept the leader from
// writing all others.
TEST_CASE("a record that the store rejects does not hold up others")
{
    scheduler_harness harness;
    harness.report_from_guard("a");
    const std::string rejected = harness.submit({step_of(1)}).id;
    harness.advance();
    harness.report_from_guard("a");
    // The store's limit is lower than the leader was told.
    constexpr std::size_t store_limit = 1000;
    harness.end(rejected + ".0.0.0", run_end::failed,
                std::string(2 * store_limit, 'c'));
    harness.report_from_guard("a");
    const std::string other = harness.submit({step_of(1)}).id;
    int writes = 0;
    for (int step = 0; step < 40; ++step)
    {
        harness.now += milliseconds(25);
        harness.verified = harness.now;
        harness.core.tick(harness.now, 0);
        writes += write_to_limited_store(harness, store_limit);
        harness.report_from_guard("a");
    }
    CHECK(harness.has_started(other + ".0.0.0"));
    CHECK(writes > 0);
    CHECK(writes <= 3); // together, by itself, then only after a backoff
}

TEST_CASE("a rejected record is written again after a backoff")
{
    scheduler_harness harness;
    harness.report_from_guard("a");
    const std::string id = harness.submit({step_of(1)}).id;
    harness.now += milliseconds(100);
    harness.core.tick(harness.now, 0);
    auto batch = harness.core.next_commit(harness.now);
    REQUIRE(batch);
    harness.core.rejected(*batch, harness.now);
    harness.now += milliseconds(100);
    CHECK_FALSE(harness.core.next_commit(harness.now));
    harness.now += scheduler_options{}.rejected_backoff;
    harness.verified = harness.now;
    batch = harness.core.next_commit(harness.now);
    REQUIRE(batch);
    CHECK(batch->front().job == id);
}

// Guards against TWICE: nothing that a rejected record contains is released.
TEST_CASE("no end in a rejected record is acknowledged")
{
    scheduler_harness harness;
    harness.report_from_guard("a");
    const std::string id = harness.submit({step_of(1)}).id;
    harness.advance();
    harness.report_from_guard("a");
    harness.end(id + ".0.0.0", run_end::done);
    harness.report_from_guard("a");
    harness.now += milliseconds(100);
    harness.core.tick(harness.now, 0);
    const auto batch = harness.core.next_commit(harness.now);
    REQUIRE(batch);
    harness.core.rejected(*batch, harness.now);
    CHECK(harness.report_from_guard("a").orders.acknowledged == 0);
}

} // namespace springstair::tests
