// Failed runs of gangs, of which several members fail.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

const std::array<std::string, 3> guards{"g1", "g2", "g3"};

// A gang of three, each member at a worker of its own. Two attempts are
// allowed (scheduler_harness::table).
class gang_of_three
{
public:
    gang_of_three()
    {
        report();
        job_step step = step_of(3, worker_capacity.cpu_millis);
        step.gang = true;
        job_ = harness.submit({step}).id;
        harness.advance();
    }

    [[nodiscard]] std::string member(int index) const
    {
        return job_ + ".0.0." + std::to_string(index);
    }

    [[nodiscard]] std::int64_t run() const
    {
        return harness.started.at(member(0)).run;
    }

    [[nodiscard]] std::optional<job_state> state() const
    {
        return harness.shown(job_);
    }

    void end(int index, run_end how)
    {
        harness.end(member(index), how);
    }

    void report()
    {
        for (const std::string& guard : guards)
        {
            harness.report_from_guard(guard);
        }
        harness.advance(milliseconds(500));
    }

    scheduler_harness harness;

private:
    std::string job_;
};

} // namespace

// Guards against a job that was told failed after its gang's first run: each
// member that failed in it counted as an attempt.
TEST_CASE("a run of a gang in which several members fail is one failure")
{
    gang_of_three gang;
    REQUIRE(gang.run() == 1);
    for (const int index : {0, 1, 2})
    {
        gang.end(index, run_end::failed);
    }
    gang.report();
    CHECK(gang.state() == job_state::running);
    gang.report();
    REQUIRE(gang.run() == 2);

    gang.end(0, run_end::failed);
    gang.end(1, run_end::broken);
    gang.end(2, run_end::failed);
    gang.report();
    CHECK(gang.state() == job_state::failed);
}

// Guards against the same if the leader changes between the members' ends.
TEST_CASE("a new leader counts a gang's failed run once")
{
    gang_of_three gang;
    gang.end(0, run_end::failed);
    gang.report();
    gang.harness.take_over();
    gang.end(1, run_end::failed);
    gang.end(2, run_end::failed);
    gang.report();
    CHECK(gang.state() == job_state::running);
    gang.report();
    CHECK(gang.run() == 2);
}

TEST_CASE("each failed run of a gang counts")
{
    gang_of_three gang;
    for (const std::int64_t run : {1, 2})
    {
        REQUIRE(gang.run() == run);
        CHECK(gang.state() == job_state::running);
        gang.end(static_cast<int>(run), run_end::failed);
        for (const int index : {0, 1, 2})
        {
            if (index != run)
            {
                gang.end(index, run_end::broken);
            }
        }
        gang.report();
        gang.report();
    }
    CHECK(gang.state() == job_state::failed);
}
