// Capacity that is reserved for a waiting task: who may use it, and the wait
// causes that name it.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

// One worker with two of its four processors in use, and a task of three
// processors that waits for it.
void reserve_the_worker(scheduler_harness& harness)
{
    harness.report_from_guard("g1");
    harness.submit({step_of(1, 2000)}, "urgent");
    harness.advance();
    harness.submit({step_of(1, 3000)}, "urgent");
}

} // namespace

// Guards against a long-running task that waits although it may use reserved
// capacity: an earlier failed search of a short task of the same image counted
// for it, too.
TEST_CASE("a failed search of a short task does not hide reserved capacity "
          "from long-running tasks")
{
    scheduler_harness harness;
    reserve_the_worker(harness);
    const job small = harness.submit({step_of(1, 1000)});
    job_step lasting = step_of(1, 1000);
    lasting.lasting = true;
    const job last = harness.submit({lasting}, "slow");
    harness.advance();
    CHECK_FALSE(harness.has_started(small.id + ".0.0.0"));
    CHECK(harness.has_started(last.id + ".0.0.0"));
}

// Guards against waits for reservations that are logged as interference, which
// affects best-effort tasks only.
TEST_CASE("a wait for reserved capacity is logged as reserved")
{
    scheduler_harness harness;
    reserve_the_worker(harness);
    const job small = harness.submit({step_of(1, 1000)});
    for (int turn = 0; turn < 8; ++turn)
    {
        harness.report_from_guard("g1");
        harness.advance(milliseconds(100));
    }
    std::string cause;
    for (const decision& one : harness.core.take_decisions())
    {
        const auto why =
            std::ranges::find(one.fields, "why", &event_field::name);
        const bool is_of_small =
            std::ranges::any_of(one.fields, [&](const event_field& field)
                                { return field.value == small.id; });
        if (one.id == event_id::tasks_wait && is_of_small)
        {
            cause = why->value;
        }
    }
    CHECK(cause == "reserved");
}
