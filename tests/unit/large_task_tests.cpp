// Large tasks beside small ones.
//
// Guards against starvation of large tasks, as seen on large fleets: in the
// largest tenth of the long-running jobs, the share of tasks that ran was less
// than half of that in all such jobs. On a day without faults, the second
// largest job had no worker for most of its tasks. There were two causes, shown
// by the logged wait reasons (`lasting`, `room`). Long-running tasks were
// spread across all workers, so the free capacity of each was smaller than a
// large task. And a task without a worker had no reservation, so small tasks
// took the free capacity before it was large enough. The cases below fail
// without the fix.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

job_step lasting_step(std::int64_t count, std::int64_t cpu)
{
    job_step step = step_of(count, cpu);
    step.lasting = true;
    return step;
}

// Small jobs of one task; each that ends is replaced by a new one.
class small_jobs
{
public:
    small_jobs(scheduler_harness& harness, std::int64_t count)
        : harness_(harness)
    {
        for (std::int64_t number = 0; number < count; ++number)
        {
            open_.push_back(harness_.submit({step_of(1)}).id + ".0.0.0");
        }
    }

    // Ends the job that has run longest and submits another one.
    void replace_one()
    {
        const auto first = std::find_if(open_.begin(), open_.end(),
                                        [&](const std::string& task)
                                        { return harness_.has_started(task); });
        if (first != open_.end())
        {
            harness_.end(*first, run_end::done);
            open_.erase(first);
        }
        open_.push_back(harness_.submit({step_of(1)}).id + ".0.0.0");
    }

private:
    scheduler_harness& harness_;
    std::vector<std::string> open_;
};

} // namespace

TEST_CASE("a large task does not starve behind small ones")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    small_jobs small(harness, 10);
    harness.advance();
    const job large = harness.submit({lasting_step(1, 3000)});
    for (int turn = 0; turn < 40; ++turn)
    {
        small.replace_one();
        harness.report_from_guard("g1");
        harness.report_from_guard("g2");
        harness.advance(milliseconds(250));
    }
    CHECK(harness.has_started(large.id + ".0.0.0"));
}

TEST_CASE("of waiting long-running tasks the largest are placed first")
{
    scheduler_harness harness;
    const job small = harness.submit({lasting_step(8, 1000)});
    const job large = harness.submit({lasting_step(2, 4000)});
    for (const char* guard : {"g1", "g2", "g3", "g4"})
    {
        harness.report_from_guard(guard);
    }
    harness.advance();
    CHECK(harness.has_started(large.id + ".0.0.0"));
    CHECK(harness.has_started(large.id + ".0.0.1"));
    CHECK(harness.has_started(small.id + ".0.0.7"));
}

TEST_CASE(
    "a large long-running job submitted just after small ones is placed first")
{
    scheduler_harness harness(scheduler_options{});
    for (const char* guard : {"g1", "g2", "g3", "g4"})
    {
        harness.report_from_guard(guard);
    }
    const job small = harness.submit({lasting_step(8, 1000)});
    harness.advance(milliseconds(50));
    const job large = harness.submit({lasting_step(2, 4000)});
    harness.advance(milliseconds(60));
    CHECK_FALSE(harness.has_started(small.id + ".0.0.0"));
    harness.advance(milliseconds(60));
    CHECK(harness.has_started(large.id + ".0.0.0"));
    CHECK(harness.has_started(large.id + ".0.0.1"));
    CHECK(harness.has_started(small.id + ".0.0.7"));
}

TEST_CASE("the batching of long-running jobs has a maximum wait")
{
    scheduler_harness harness(scheduler_options{});
    harness.report_from_guard("g1");
    const job first = harness.submit({lasting_step(1, 100)});
    for (int turn = 0; turn < 5; ++turn)
    {
        harness.advance(milliseconds(60));
        harness.submit({lasting_step(1, 200)});
    }
    harness.advance(milliseconds(20));
    CHECK(harness.has_started(first.id + ".0.0.0"));
}
