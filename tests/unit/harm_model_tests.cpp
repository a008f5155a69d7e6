// What the holder learns of images that harm each other.

#include <doctest/doctest.h>

#include <springstair/scheduler.hpp>

#include <cmath>
#include <random>

using namespace springstair; // NOLINT: a test

TEST_CASE("harmful pairs stand out from harmless ones in rough figures")
{
    harm_model model;
    std::mt19937 random(5);
    std::uniform_real_distribution<double> use(0, 0.4);
    std::normal_distribution<double> noise(0, 0.3);
    for (int count = 0; count < 400; ++count)
    {
        harm_sample beside;
        for (const char* image : {"a", "b", "c", "d"})
        {
            if (random() % 2 == 0)
            {
                beside[image] = use(random);
            }
        }
        const double growth =
            beside.contains("b") ? 4 * beside.at("b") : 0.0;
        model.observe("s", 0.5 * std::exp(growth + noise(random)), beside);
    }
    CHECK(model.harm("s", "b") > 3);
    CHECK(model.harm("s", "b") < 5);
    for (const char* image : {"a", "c", "d"})
    {
        CHECK(model.harm("s", image) < 0.8);
    }
    CHECK(*model.tail_alone("s") > 0.4);
    CHECK(*model.tail_alone("s") < 0.6);
}

TEST_CASE("of what was never seen nothing is known")
{
    harm_model model;
    CHECK(model.harm("s", "f") == 0);
    CHECK_FALSE(model.tail_alone("s").has_value());
    model.observe("s", 0.5, {});
    CHECK(model.harm("s", "f") == 0);
}

TEST_CASE("images beyond the bound are taken as harmless")
{
    harm_model model({.most_images = 2});
    for (int count = 0; count < 50; ++count)
    {
        model.observe("s", 5, {{"f" + std::to_string(count), 0.3}});
    }
    CHECK(model.harm("s", "f49") == 0);
}

TEST_CASE("a fill goes where the tails bear it")
{
    harm_model model;
    for (int count = 0; count < 100; ++count)
    {
        model.observe("s", count % 2 == 0 ? 0.5 : 2.0,
                      count % 2 == 0 ? harm_sample{}
                                     : harm_sample{{"bad", 0.3}});
    }
    const time_point now{std::chrono::hours(1)};
    worker_map workers;
    for (const char* name : {"g1", "g2"})
    {
        workers[name] = {.guard = name,
                         .what = {.life = "l",
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
                                .harm = model,
                                .now = now};
    worker_record* const chosen = choose_worker(workers, query, {});
    REQUIRE(chosen != nullptr);
    CHECK(chosen->guard == "g2");
    workers.erase("g2");
    CHECK(choose_worker(workers, query, {}) == nullptr);
}
