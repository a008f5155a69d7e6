// Records within the store's limits.

#include <springstair/scheduler.hpp>

#include <doctest/doctest.h>

#include <algorithm>

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

} // namespace springstair::tests
