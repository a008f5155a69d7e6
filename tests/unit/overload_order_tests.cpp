// Order of batch jobs under overload: run times that are learnt, forecasts of
// jobs, and the goodput of a queue with more work than capacity.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <springstair/scheduler.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace springstair
{

namespace
{

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(100)};

queue_row batch_queue()
{
    return {.name = "batch",
            .service = "pool",
            .priority = 2,
            .most_attempts = 3,
            .stretch = 2,
            .target_ms = 1000};
}

job batch_job(const std::string& id, std::int64_t estimate_ms)
{
    return {.id = id,
            .queue = "batch",
            .steps = {{.count = 2, .estimate_ms = estimate_ms, .fills = true},
                      {.count = 2,
                       .estimate_ms = estimate_ms,
                       .after = {0},
                       .fills = true}}};
}

job_record accepted_at(job definition, time_point when, std::int64_t order)
{
    job_record record(std::move(definition));
    record.accepted = when;
    record.order = order;
    return record;
}

job_rank rank_at(const job_record& record, time_point now,
                 const run_time_model& model = {})
{
    const queue_row queue = batch_queue();
    const job_forecast known = forecast(record, model);
    return rank_of(record, &queue, now, {}, &known);
}

} // namespace

// Estimates that are off by a factor of 2.5 move objectives by seconds: jobs
// are then taken for late that are not, and the other way round.
TEST_CASE("overload order: learnt run times are closer than the estimates")
{
    std::mt19937_64 random(7);
    std::lognormal_distribution<double> actual(std::log(1.4), 0.5);
    std::lognormal_distribution<double> error(0.3, 0.9);
    run_time_model model;
    double error_of_estimates = 0;
    double error_of_model = 0;
    for (int task = 0; task < 2000; ++task)
    {
        const double seconds = actual(random);
        const duration estimate = from_seconds(seconds * error(random));
        const auto off = [&](duration value)
        {
            return std::abs(std::log(to_seconds(value) / seconds));
        };
        if (task >= 200)
        {
            error_of_estimates += off(estimate);
            error_of_model += off(model.expected_longest("batch", estimate, 1));
        }
        model.record("batch", estimate, from_seconds(seconds));
    }
    CHECK(error_of_model < 0.6 * error_of_estimates);
}

TEST_CASE("overload order: the estimate is used until run times are known")
{
    run_time_model model;
    CHECK(model.expected_longest("batch", milliseconds(700), 1) ==
          milliseconds(700));
    for (int task = 0; task < 39; ++task)
    {
        model.record("batch", milliseconds(700), milliseconds(1400));
    }
    CHECK(model.expected_longest("batch", milliseconds(700), 1) ==
          milliseconds(700));
    model.record("batch", milliseconds(700), milliseconds(1400));
    const duration learnt =
        model.expected_longest("batch", milliseconds(700), 1);
    CHECK(learnt > milliseconds(1390));
    CHECK(learnt < milliseconds(1410));
    CHECK(model.expected_longest("other", milliseconds(700), 1) ==
          milliseconds(700));
    CHECK(model.expected_longest("batch", duration{0}, 1) > milliseconds(1390));
    model.record("batch", milliseconds(700), duration{0});
    CHECK(model.expected_longest("batch", milliseconds(700), 1) == learnt);
}

// A large job has a longer chain than its mean run time says, and so a later
// objective; judged by the mean, large jobs go last too early.
TEST_CASE("overload order: the longest of many tasks is expected to be longer")
{
    std::mt19937_64 random(11);
    std::lognormal_distribution<double> actual(std::log(1.4), 0.5);
    run_time_model model;
    for (int task = 0; task < 2000; ++task)
    {
        model.record("batch", duration{0}, from_seconds(actual(random)));
    }
    for (const int tasks : {1, 10, 60})
    {
        double sum = 0;
        for (int draw = 0; draw < 500; ++draw)
        {
            double longest = 0;
            for (int task = 0; task < tasks; ++task)
            {
                longest = std::max(longest, actual(random));
            }
            sum += std::log(longest);
        }
        const double expected = std::log(
            to_seconds(model.expected_longest("batch", duration{0}, tasks)));
        CHECK(std::abs(expected - sum / 500) < 0.15);
    }
}

TEST_CASE("overload order: a forecast counts what is left of the chain")
{
    const run_time_model model;
    job_record record = accepted_at(batch_job("j", 1000), start, 1);
    CHECK(forecast(record, model) ==
          job_forecast{.chain = milliseconds(2000),
                       .remaining = milliseconds(2000)});
    record.find({.step = 0, .index = 0})->done = true;
    job_task& slow = *record.find({.step = 0, .index = 1});
    slow.run = task_run{.seen = true, .percent = 25};
    const job_forecast halfway = forecast(record, model);
    CHECK(halfway.has_begun);
    CHECK(halfway.remaining == milliseconds(1750));
    // Its progress shows that it takes seven times as long.
    observe_progress(slow, 25, false, start);
    observe_progress(slow, 35, false, start + milliseconds(700));
    slow.run->percent = 35;
    const job_forecast corrected = forecast(record, model);
    CHECK(corrected.chain == milliseconds(8000));
    CHECK(corrected.remaining == milliseconds(4550 + 1000));
}

// A new leader does not know how long tasks took that were done before its
// term. Counted as no work, they would move the objective of their job forward,
// and it would be deferred.
TEST_CASE("overload order: tasks that were done unobserved count as expected")
{
    const run_time_model model;
    job_record record = accepted_at(batch_job("j", 1000), start, 1);
    for (job_task& task : record.tasks_of(0, 0))
    {
        task.done = true;
    }
    CHECK(forecast(record, model) ==
          job_forecast{.chain = milliseconds(2000),
                       .remaining = milliseconds(1000),
                       .has_begun = true});
}

TEST_CASE("overload order: throttled and resumed runs teach nothing")
{
    job_record record = accepted_at(batch_job("j", 1000), start, 1);
    job_task& task = *record.find({});
    task.run = task_run{.ordered_at = start, .observed_whole = true};
    observe_progress(task, 0, false, start);
    observe_progress(task, 5, true, start + milliseconds(500));
    observe_progress(task, 50, false, start + milliseconds(1000));
    CHECK(task.observed_work == duration{0});
    CHECK(observe_done(task, start + milliseconds(1500)) == duration{0});

    task.run = task_run{.ordered_at = start, .observed_whole = true};
    CHECK(observe_done(task, start + milliseconds(900)) == milliseconds(900));
    task.run = task_run{.ordered_at = start, .observed_whole = false};
    CHECK(observe_done(task, start + milliseconds(900)) == duration{0});
}

// By age alone a job counts as in time until its objective has passed, and
// takes the capacity with which another job would still be in time.
TEST_CASE("overload order: a job that can't end in time goes last")
{
    const job_record waiting = accepted_at(batch_job("a", 1000), start, 1);
    const job_record fresh =
        accepted_at(batch_job("b", 1000), start + milliseconds(3500), 2);
    // The objective is 5 s, the chain 2 s.
    const time_point now = start + milliseconds(3600);
    CHECK(rank_at(waiting, now).prospect == job_prospect::late);
    CHECK(rank_at(fresh, now).prospect == job_prospect::in_time);
    CHECK(rank_at(fresh, now) < rank_at(waiting, now));
    const queue_row queue = batch_queue();
    CHECK(rank_of(waiting, &queue, now, {}) < rank_of(fresh, &queue, now, {}));
    CHECK(rank_at(waiting, start + milliseconds(13'100)).prospect ==
          job_prospect::too_late);
}

TEST_CASE("overload order: jobs that have begun are completed first")
{
    const job_record older = accepted_at(batch_job("a", 1000), start, 1);
    job_record begun =
        accepted_at(batch_job("b", 1000), start + milliseconds(500), 2);
    begun.find({})->done = true;
    const time_point now = start + milliseconds(1000);
    CHECK(rank_at(begun, now) < rank_at(older, now));
}

namespace
{

// One step at a time of a pool that runs `slots` jobs; arrivals at `load` times
// its capacity. Returns the number of jobs that ended within their objective.
int ended_in_time(bool by_forecast, double load, std::uint64_t seed)
{
    constexpr int slots = 10;
    constexpr duration step = milliseconds(100);
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> run_time(std::log(1.0), 0.3);
    struct simulated_job
    {
        job_record record;
        duration left;
        bool running = false;
    };
    std::vector<simulated_job> open;
    const queue_row queue = batch_queue();
    const run_time_model model;
    int in_time = 0;
    double due = 0;
    std::int64_t accepted = 0;
    for (time_point now = start; now < start + std::chrono::seconds(60);
         now += step)
    {
        due += load * slots * to_seconds(step) / 2.1;
        for (; due >= 1; due -= 1)
        {
            const auto estimate =
                static_cast<std::int64_t>(1000 * run_time(random));
            open.push_back(
                {accepted_at(batch_job("j", estimate), now, ++accepted),
                 milliseconds(2 * estimate)});
        }
        std::vector<std::pair<job_rank, simulated_job*>> waiting;
        int running = 0;
        for (simulated_job& one : open)
        {
            running += one.running ? 1 : 0;
            if (!one.running)
            {
                const job_forecast known = forecast(one.record, model);
                waiting.emplace_back(rank_of(one.record, &queue, now, {},
                                             by_forecast ? &known : nullptr),
                                     &one);
            }
        }
        std::sort(waiting.begin(), waiting.end());
        for (std::size_t next = 0; next < waiting.size() && running < slots;
             ++next, ++running)
        {
            waiting[next].second->running = true;
        }
        for (simulated_job& one : open)
        {
            one.left -= one.running ? step : duration{0};
            const duration chain = milliseconds(one.record.critical_path_ms);
            const bool ended = one.left <= duration{0};
            in_time += ended && now + step - one.record.accepted <=
                                    chain * 2 + milliseconds(1000)
                           ? 1
                           : 0;
        }
        std::erase_if(open, [](const simulated_job& one)
                      { return one.left <= duration{0}; });
    }
    return in_time;
}

} // namespace

// Pattern: more batch work than capacity for a minute. In the order of the
// objectives each job begins when it has just become too late.
TEST_CASE("overload order: goodput holds under one and a half times the load")
{
    rc::check(
        [](std::uint64_t seed)
        {
            const int at_capacity = ended_in_time(true, 0.9, seed);
            const int overloaded = ended_in_time(true, 1.5, seed);
            RC_ASSERT(overloaded * 10 >= at_capacity * 9);
            RC_ASSERT(overloaded > 2 * ended_in_time(false, 1.5, seed));
        });
}

} // namespace springstair
