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
    std::normal_distribution<double> noise(0, 0.15);
    time_point now{std::chrono::hours(1)};
    for (int count = 0; count < 400; ++count)
    {
        now += std::chrono::milliseconds(500);
        harm_sample beside;
        for (const char* image : {"a", "b", "c", "d"})
        {
            if (random() % 2 == 0)
            {
                beside[image] = use(random);
            }
        }
        // The task's own load swings slowly.
        const double alone = 3.5 + std::sin(count / 6.0);
        const double cost = beside.contains("b") ? 5 * beside.at("b") : 0.0;
        model.observe("task", "s", alone - cost + noise(random), beside, now);
    }
    CHECK(model.harm("s", "b") > 4);
    CHECK(model.harm("s", "b") < 6);
    for (const char* image : {"a", "c", "d"})
    {
        CHECK(model.harm("s", image) < 1);
    }
    CHECK(model.harm_of("s", {{"b", 0.2}}) > 0.8);
}

TEST_CASE("a successor begins with what its predecessor knew")
{
    harm_model first;
    first.adopt({{.serving = "s", .filling = "f", .harm = 6}});
    const auto known = first.known();
    REQUIRE(known.size() == 1);
    CHECK(known[0].harm > 3);
    harm_model second;
    second.adopt(known);
    CHECK(second.harm("s", "f") > 1.5);
    CHECK(second.harm("s", "g") == 1); // assumed
}

TEST_CASE("of what was never seen nothing is known")
{
    harm_model model;
    const time_point now{std::chrono::hours(1)};
    CHECK(model.harm("s", "f") == 1); // assumed
    model.observe("task", "s", 2, {}, now);
    CHECK(model.harm("s", "f") == 1);
    CHECK(model.known().empty());
}

TEST_CASE("figures far apart and saturated ones teach nothing")
{
    harm_model model;
    time_point now{std::chrono::hours(1)};
    for (int count = 0; count < 20; ++count)
    {
        now += std::chrono::seconds(2);
        model.observe("task", "s", count % 2 == 0 ? 3 : 1,
                      {{"f", count % 2 == 0 ? 0.0 : 0.3}}, now);
    }
    CHECK(model.harm("s", "f") == 1);
    for (int count = 0; count < 20; ++count)
    {
        now += std::chrono::milliseconds(500);
        model.observe("other", "s", 0.1, {{"f", count % 2 == 0 ? 0.0 : 0.3}},
                      now);
    }
    CHECK(model.harm("s", "f") == 1);
}

TEST_CASE("images beyond the bound are taken as any other unknown one")
{
    harm_model model({.most_images = 2});
    time_point now{std::chrono::hours(1)};
    for (int count = 0; count < 50; ++count)
    {
        now += std::chrono::milliseconds(500);
        model.observe("task", "s", count % 2 == 0 ? 3 : 1,
                      {{"f" + std::to_string(count), 0.3}}, now);
    }
    CHECK(model.harm("s", "f49") == 1); // assumed
}

TEST_CASE("a fill goes where the tails bear it")
{
    harm_model model;
    model.adopt({{.serving = "s", .filling = "bad", .harm = 9}});
    const time_point now{std::chrono::hours(1)};
    worker_map workers;
    for (const char* name : {"g1", "g2"})
    {
        workers[name] = {
            .guard = name,
            .what = {.life = "l",
                     .service = "v",
                     .capacity = {.cpu_millis = 10'000, .memory_mb = 10'000}},
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
