// Jobs whose queue is removed from the operators' table.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

// A job of two steps, the first of which has begun.
class two_step_job
{
public:
    explicit two_step_job(std::optional<queue_row> accepted_under)
    {
        harness.report_from_guard("g1");
        definition.accepted_under = std::move(accepted_under);
        harness.core.accept(definition, harness.now);
        harness.accepted[definition.id] = definition;
        harness.advance();
        REQUIRE(harness.has_started("j.0.0.0"));
    }

    void remove_queue()
    {
        queue_table table = scheduler_harness::table(2);
        std::erase_if(table.queues,
                      [](const queue_row& row) { return row.name == "q"; });
        harness.core.set_table(table);
    }

    void end_first_step()
    {
        harness.end("j.0.0.0", run_end::done);
        harness.report_from_guard("g1");
        harness.advance();
        harness.advance();
    }

    [[nodiscard]] bool has_second_step_started() const
    {
        return harness.has_started("j.0.1.0");
    }

    scheduler_harness harness;
    job definition{
        .id = "j", .queue = "q", .steps = {step_of(1), after_first()}};

private:
    static job_step after_first()
    {
        job_step step = step_of(1);
        step.after = {0};
        return step;
    }
};

queue_row row_of_q()
{
    return *scheduler_harness::table().queue("q");
}

} // namespace

// Guards against accepted jobs that stood still: their queue was removed before
// all of their steps had begun.
TEST_CASE("an accepted job runs to its end although its queue is removed")
{
    two_step_job job(row_of_q());
    job.remove_queue();
    job.end_first_step();
    CHECK(job.has_second_step_started());
}

TEST_CASE("a new leader runs accepted jobs whose queue is removed")
{
    two_step_job job(row_of_q());
    job.harness.take_over();
    job.remove_queue();
    job.harness.report_from_guard("g1");
    job.end_first_step();
    CHECK(job.has_second_step_started());
}

TEST_CASE("a job that an earlier version accepted waits for its queue")
{
    two_step_job job(std::nullopt);
    job.remove_queue();
    job.end_first_step();
    CHECK_FALSE(job.has_second_step_started());
    job.harness.core.set_table(scheduler_harness::table(3));
    job.harness.advance(milliseconds(200)); // above the placement interval
    CHECK(job.has_second_step_started());
}

TEST_CASE("a stored job keeps the row under which it was accepted")
{
    job kept{.id = "j", .queue = "q", .steps = {step_of(1)}};
    CHECK(read_job(json(kept)) == kept);
    kept.accepted_under =
        queue_row{.service = "s",
                  .priority = 2,
                  .most_attempts = 3,
                  .stretch = 1.5,
                  .target_ms = 700,
                  .advice = advice_terms{.decide_ms = 1, .valid_ms = 9}};
    CHECK(read_job(json(kept)) == kept);
}
