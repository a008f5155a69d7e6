// Guards against more runs on a worker than fit, if the worker does not enforce
// its capacity. A guard refuses a run, and another one is placed in the freed
// capacity. Failure: the placement was written at once, the refusal only later.
// A leader elected in between read both runs from the store and repeated both
// starts.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <random>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

constexpr std::int64_t half_worker = 2000;

bool writes(const commit_batch& batch, const std::string& job)
{
    return std::ranges::find(batch, job, &progress_write::job) != batch.end();
}

// Workers that end runs at random, and a store that accepts two jobs per write,
// so that changes queue up.
class busy_store
{
public:
    explicit busy_store(unsigned seed) : random_(seed)
    {
        for (const char* guard : {"g1", "g2", "g3"})
        {
            harness_.report_from_guard(guard);
        }
    }

    void turn()
    {
        if (chance(0.5))
        {
            submit();
        }
        for (auto& [guard, report] : harness_.reports)
        {
            end_some(report);
            harness_.report_from_guard(guard);
        }
        harness_.now += milliseconds(25);
        harness_.verified = harness_.now;
        harness_.core.tick(harness_.now, harness_.unix_ms);
        write();
    }

    // Whether a successor that assumes every run in the store would exceed a
    // worker's capacity.
    [[nodiscard]] bool exceeds_capacity() const
    {
        std::map<std::string, resources> used;
        for (const auto& [id, record] : harness_.records)
        {
            for (const task_progress& one : decode_progress(record.text).tasks)
            {
                const job& definition = harness_.accepted.at(id);
                used[one.guard] +=
                    definition
                        .steps[static_cast<std::size_t>(one.position.step)]
                        .demand;
            }
        }
        used.erase(""); // of tasks without a worker
        return std::ranges::any_of(
            used,
            [](const auto& one) { return !one.second.fits(worker_capacity); });
    }

    [[nodiscard]] std::size_t max_queued() const
    {
        return max_queued_;
    }

    [[nodiscard]] bool all_ended() const
    {
        return std::ranges::all_of(
            harness_.accepted, [&](const auto& one)
            { return harness_.shown(one.first) == job_state::succeeded; });
    }

    void stop_submitting()
    {
        submits_ = false;
    }

private:
    bool chance(double share)
    {
        return std::bernoulli_distribution(share)(random_);
    }

    void submit()
    {
        if (!submits_)
        {
            return;
        }
        std::vector<job_step> steps;
        for (std::size_t number = 0; number < 3; ++number)
        {
            steps.push_back(step_of(chance(0.5) ? 1 : 3, half_worker));
            if (number > 0)
            {
                steps.back().after = {number - 1};
            }
        }
        harness_.submit(std::move(steps));
    }

    void end_some(const worker_report& report)
    {
        const auto running = report.running;
        for (const running_task& row : running)
        {
            if (chance(0.4))
            {
                harness_.end(row.task, run_end::done);
            }
        }
    }

    void write()
    {
        if (const auto batch = harness_.core.next_commit(harness_.now))
        {
            ++harness_.revision;
            for (const progress_write& one : *batch)
            {
                harness_.records[one.job] = {.text = one.text,
                                             .revision = harness_.revision};
            }
            harness_.core.committed(*batch, harness_.revision, harness_.now);
            max_queued_ = std::max(max_queued_, batch->size());
        }
        for (const addressed_orders& one : harness_.core.take_orders())
        {
            harness_.receive_orders(one.orders, one.guard);
        }
    }

    scheduler_harness harness_{
        {.jobs_per_commit = 2, .lasting_batch_window = duration{0}}};
    std::mt19937 random_;
    bool submits_ = true;
    std::size_t max_queued_ = 0;
};

} // namespace

// Guards against capacity that is used twice when more jobs change than fit
// into one write: a placement was written before the end that had freed its
// capacity, because a change on another worker had queued its job earlier.
TEST_CASE("the runs in the store never exceed a worker's capacity")
{
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        CAPTURE(seed);
        busy_store store(seed);
        for (int turn = 0; turn < 400; ++turn)
        {
            store.turn();
            REQUIRE_FALSE(store.exceeds_capacity());
        }
        CHECK(store.max_queued() == 2);
        store.stop_submitting();
        for (int turn = 0; turn < 4000 && !store.all_ended(); ++turn)
        {
            store.turn();
            REQUIRE_FALSE(store.exceeds_capacity());
        }
        CHECK(store.all_ended());
    }
}

TEST_CASE("a placement is not written before the end that freed its capacity")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const std::string first = harness.submit({step_of(2, half_worker)}).id;
    harness.advance();
    harness.advance();
    REQUIRE(harness.has_started(first + ".0.0.0"));
    worker_report& report = harness.worker("g1");
    std::erase_if(report.running, [&](const running_task& row)
                  { return row.task == first + ".0.0.0"; });
    SUBCASE("the run was refused")
    {
        report.refused = {
            {.task = first + ".0.0.0", .run = 1, .reason = "no_room"}};
    }
    SUBCASE("the run has ended")
    {
        report.ended = {{.number = 1,
                         .task = first + ".0.0.0",
                         .run = 1,
                         .how = run_end::done}};
    }
    harness.report_from_guard("g1");
    const std::string second = harness.submit({step_of(1, half_worker)}).id;
    harness.now += milliseconds(25);
    harness.verified = harness.now;
    harness.core.tick(harness.now, harness.unix_ms);
    const auto batch = harness.core.next_commit(harness.now);
    REQUIRE(batch.has_value());
    REQUIRE(writes(*batch, second));
    CHECK(writes(*batch, first));
}
