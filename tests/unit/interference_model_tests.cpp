// What the leader learns about the interference between images.

#include <doctest/doctest.h>

#include <springstair/scheduler.hpp>

#include <cmath>
#include <random>

using namespace springstair; // NOLINT: a test

namespace
{

// A headroom sample of the only task of its job.
serving_sample sample_of(const std::string& task, double headroom)
{
    return {.task = task, .job = task, .image = "s", .headroom = headroom};
}

} // namespace

TEST_CASE("interfering pairs stand out in noisy headroom figures")
{
    interference_model model;
    std::mt19937 random(5);
    std::uniform_real_distribution<double> use(0, 0.4);
    std::normal_distribution<double> noise(0, 0.15);
    time_point now{std::chrono::hours(1)};
    for (int count = 0; count < 400; ++count)
    {
        now += std::chrono::milliseconds(500);
        fill_usage beside;
        for (const char* image : {"a", "b", "c", "d"})
        {
            if (random() % 2 == 0)
            {
                beside[image] = use(random);
            }
        }
        // The task's own load varies slowly.
        const double alone = 3.5 + std::sin(count / 6.0);
        const double cost = beside.contains("b") ? 5 * beside.at("b") : 0.0;
        model.observe(sample_of("task", alone - cost + noise(random)), beside,
                      now);
    }
    CHECK(model.interference_coefficient("s", "b") > 4);
    CHECK(model.interference_coefficient("s", "b") < 6);
    for (const char* image : {"a", "c", "d"})
    {
        CHECK(model.interference_coefficient("s", image) < 1);
    }
    CHECK(model.interference_of("s", {{"b", 0.2}}) > 0.8);
}

// Best-effort runs last for seconds next to tasks of a job whose load varies by
// half over ten seconds, as on the largest fleet. There, the usage rarely
// changes, and the variation is as large as the interference.
TEST_CASE("interference is learnt from siblings beside different images")
{
    interference_model model;
    std::mt19937 random(7);
    std::normal_distribution<double> noise(0, 0.3);
    time_point now{std::chrono::hours(1)};
    constexpr int tasks = 24;
    for (int round = 0; round < 20; ++round) // ten seconds
    {
        now += std::chrono::milliseconds(500);
        const double alone = 2.6 + std::sin(round / 3.0);
        for (int task = 0; task < tasks; ++task)
        {
            // Each worker keeps its best-effort runs for the whole time.
            fill_usage beside;
            beside[task % 3 == 0 ? "bad" : "good"] = 0.1;
            const double cost = task % 3 == 0 ? 0.6 : 0;
            model.observe({.task = std::to_string(task),
                           .job = "j",
                           .image = "s",
                           .headroom = alone - cost + noise(random)},
                          beside, now);
        }
    }
    CHECK(model.interference_coefficient("s", "bad") >
          model.interference_coefficient("s", "good") + 4);
    CHECK(model.interference_coefficient("s", "good") < 1.2);
}

TEST_CASE("the siblings' mean excludes the task itself and stale figures")
{
    sibling_headroom siblings;
    time_point now{std::chrono::hours(1)};
    siblings.record("a", {.headroom = 1, .beside = {{"f", 0.4}}}, now);
    siblings.record("b", {.headroom = 2, .beside = {{"f", 0.2}}}, now);
    CHECK_FALSE(siblings.mean_without("a").has_value()); // one other is too few
    siblings.record("c", {.headroom = 4}, now);
    const auto mean = siblings.mean_without("a");
    REQUIRE(mean.has_value());
    CHECK(mean->headroom == doctest::Approx(3));
    CHECK(mean->beside.at("f") == doctest::Approx(0.1));
    now += std::chrono::milliseconds(500);
    siblings.record("b", {.headroom = 3}, now);
    siblings.record("c", {.headroom = 3}, now);
    now += std::chrono::milliseconds(500);
    siblings.record("d", {.headroom = 6}, now);
    const auto later =
        siblings.mean_without("a"); // excludes the stale figure of "a"
    REQUIRE(later.has_value());
    CHECK(later->headroom == doctest::Approx(4));
    CHECK(later->beside.at("f") == doctest::Approx(0));
}

TEST_CASE("a successor starts with the interference known before")
{
    interference_model first;
    first.adopt({{.serving = "s", .filling = "f", .harm = 6}});
    const auto known = first.known();
    REQUIRE(known.size() == 1);
    CHECK(known[0].harm > 3);
    interference_model second;
    second.adopt(known);
    CHECK(second.interference_coefficient("s", "f") > 1.5);
    CHECK(second.interference_coefficient("s", "g") == 1); // assumed
}

TEST_CASE("unobserved pairs have the assumed interference")
{
    interference_model model;
    const time_point now{std::chrono::hours(1)};
    CHECK(model.interference_coefficient("s", "f") == 1); // assumed
    model.observe(sample_of("task", 2), {}, now);
    CHECK(model.interference_coefficient("s", "f") == 1);
    CHECK(model.known().empty());
}

TEST_CASE("samples far apart in time and saturated ones are ignored")
{
    interference_model model;
    time_point now{std::chrono::hours(1)};
    for (int count = 0; count < 20; ++count)
    {
        now += std::chrono::seconds(2);
        model.observe(sample_of("task", count % 2 == 0 ? 3 : 1),
                      {{"f", count % 2 == 0 ? 0.0 : 0.3}}, now);
    }
    CHECK(model.interference_coefficient("s", "f") == 1);
    for (int count = 0; count < 20; ++count)
    {
        now += std::chrono::milliseconds(500);
        model.observe(sample_of("other", 0.1),
                      {{"f", count % 2 == 0 ? 0.0 : 0.3}}, now);
    }
    CHECK(model.interference_coefficient("s", "f") == 1);
}

TEST_CASE("images beyond max_images have the assumed interference")
{
    interference_model model({.max_images = 2});
    time_point now{std::chrono::hours(1)};
    for (int count = 0; count < 50; ++count)
    {
        now += std::chrono::milliseconds(500);
        model.observe(sample_of("task", count % 2 == 0 ? 3 : 1),
                      {{"f" + std::to_string(count), 0.3}}, now);
    }
    CHECK(model.interference_coefficient("s", "f49") == 1); // assumed
}

TEST_CASE("a best-effort task is placed where its interference is tolerated")
{
    interference_model model;
    model.adopt({{.serving = "s", .filling = "bad", .harm = 9}});
    const time_point now{std::chrono::hours(1)};
    worker_map workers;
    for (const char* name : {"g1", "g2"})
    {
        workers[name] = {.guard = name,
                         .description = {.executor = "l",
                                         .service = "v",
                                         .capacity = {.cpu_millis = 10'000,
                                                      .memory_mb = 10'000}},
                         .reported = now};
    }
    job_step serving{.count = 1,
                     .demand = {.cpu_millis = 1000, .memory_mb = 10},
                     .lasting = true,
                     .image = "s",
                     .latency_target_ms = 10};
    reserve(workers["g1"], serving, {"j", {}});
    job_step fill{.count = 1,
                  .demand = {.cpu_millis = 2500, .memory_mb = 10},
                  .image = "bad",
                  .fills = true};
    const std::set<std::string> none;
    const placement_query query{.step = fill,
                                .service = "v",
                                .group = "k",
                                .avoided = none,
                                .interference = model,
                                .now = now};
    worker_record* const chosen = choose_worker(workers, query, {});
    REQUIRE(chosen != nullptr);
    CHECK(chosen->guard == "g2");
    workers.erase("g2");
    CHECK(choose_worker(workers, query, {}) == nullptr);
}
