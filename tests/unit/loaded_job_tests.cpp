// Which stored jobs a new leader loads.

#include <springstair/scheduler.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <vector>

namespace springstair::tests
{

namespace
{

constexpr std::int64_t capacity_bytes = 16'000'000;

// Submits jobs of these sizes in turn and returns those that are admitted. Some
// of the earlier ones end in between.
std::vector<std::int64_t> admit_in_turn(const std::vector<std::int64_t>& sizes)
{
    std::vector<std::int64_t> admitted;
    std::int64_t held = 0;
    for (const std::int64_t size : sizes)
    {
        const job_memory memory{.capacity_bytes = capacity_bytes,
                                .held_bytes = held};
        if (memory.admits(size))
        {
            admitted.push_back(size);
            held += size;
        }
        else if (!admitted.empty())
        {
            held -= admitted.front();
            admitted.erase(admitted.begin());
        }
    }
    return admitted;
}

} // namespace

// Guards against LOST and TWICE: a new leader left out jobs that an earlier one
// had accepted, since small jobs were counted before the large ones.
TEST_CASE("a new leader loads every set of jobs that can have been accepted")
{
    const bool holds = rc::check(
        [](unsigned int seed)
        {
            const auto sizes = *rc::gen::container<std::vector<std::int64_t>>(
                rc::gen::inRange<std::int64_t>(1'000, 6'000'000));
            std::vector<std::int64_t> stored = admit_in_turn(sizes);
            std::shuffle(stored.begin(), stored.end(), std::mt19937(seed));
            job_bytes loaded;
            for (const std::int64_t size : stored)
            {
                RC_ASSERT(can_load(loaded, size, capacity_bytes));
                loaded.add(size);
            }
        });
    CHECK(holds);
}

TEST_CASE("a new leader loads large jobs beside small ones loaded first")
{
    job_bytes loaded;
    loaded.add(job_memory::small_job_bytes);
    const std::int64_t most_admitted =
        capacity_bytes - capacity_bytes / job_memory::kept_divisor;
    CHECK(can_load(loaded, most_admitted, capacity_bytes));
}

TEST_CASE("a new leader loads no more than its memory holds")
{
    job_bytes loaded;
    std::int64_t jobs = 0;
    for (; can_load(loaded, 1'000'000, capacity_bytes); ++jobs)
    {
        loaded.add(1'000'000);
    }
    CHECK(jobs == 16);
    for (; can_load(loaded, 100'000, capacity_bytes); ++jobs)
    {
        loaded.add(100'000);
    }
    CHECK(loaded.total == 2 * capacity_bytes);
}

} // namespace springstair::tests
