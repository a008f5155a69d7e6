// Submissions with integers from the whole range of 64 bits, from the caller's
// request to the placement of tasks. This program and the packages that compute
// with these integers are compiled with the undefined-behaviour sanitizer, so a
// sum or product that leaves the range fails the test.

#include "job_front.hpp"
#include "scheduler_harness.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test
namespace adapter = springstair::platform;

namespace
{

constexpr std::int64_t lowest = std::numeric_limits<std::int64_t>::min();
constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t some_time_ms = 1'800'000'000'000;
const std::string job_id = "5c0e7a21d94b36f8";

// Small integers, the bounds of a submission, powers of two next to which sums
// and products wrap round, and any others.
rc::Gen<std::int64_t> any_integer()
{
    const job_bounds bounds;
    return rc::gen::weightedOneOf<std::int64_t>(
        {{60, rc::gen::inRange<std::int64_t>(0, 5)},
         {3, rc::gen::elementOf(std::vector<std::int64_t>{
                 bounds.demand, bounds.estimate_ms, bounds.latency_target_ms,
                 bounds.unix_ms, bounds.interval_ms, bounds.tasks})},
         {1, rc::gen::elementOf(std::vector<std::int64_t>{
                 lowest, lowest + 1, -1, std::int64_t{1} << 31,
                 std::int64_t{1} << 32, std::int64_t{1} << 53,
                 std::int64_t{1} << 61, std::int64_t{1} << 62, highest / 10'000,
                 highest / 1'000'000, highest - 1, highest})},
         {1, rc::gen::arbitrary<std::int64_t>()}});
}

rc::Gen<std::int64_t> any_count()
{
    return rc::gen::weightedOneOf<std::int64_t>(
        {{20, rc::gen::inRange<std::int64_t>(1, 4)},
         {1, rc::gen::inRange<std::int64_t>(1, job_bounds{}.tasks)},
         {1, any_integer()}});
}

json any_step(std::size_t number)
{
    json step;
    step["count"] = *any_count();
    for (const char* member : {"cpu", "mem_mb", "gpu", "est_duration_ms",
                               "anti_affinity", "target_ms", "may_miss"})
    {
        step[member] = *any_integer();
    }
    for (const char* member : {"gang", "fills", "long_running"})
    {
        step[member] = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    }
    step["depends_on"] = json::array();
    if (number > 0 && *rc::gen::arbitrary<bool>())
    {
        step["depends_on"].push_back(number - 1);
    }
    return step;
}

json any_submission()
{
    json document{{"spec", "s"},
                  {"start_at_ms", *any_integer()},
                  {"interval_ms", *any_integer()},
                  {"repeat_count", *any_count()},
                  {"steps", json::array()}};
    const auto steps = *rc::gen::inRange<std::size_t>(1, 4);
    for (std::size_t number = 0; number < steps; ++number)
    {
        document["steps"].push_back(any_step(number));
    }
    return document;
}

adapter::caller_request decode(const json& document)
{
    const queue_table table{
        .version = 1,
        .queues = {
            {.name = "q", .host = "h", .path_prefix = "/q/", .service = "s"}}};
    return adapter::decode_request({.method = "POST",
                                    .path = "/q/" + job_id,
                                    .headers = {{"host", "h"}},
                                    .body = make_body(document.dump())},
                                   table);
}

// The definition that a caller's submission is accepted as.
std::optional<job> accepted_of(const json& document)
{
    const auto request = decode(document);
    const auto* const submission =
        std::get_if<adapter::submit_request>(&request);
    return submission == nullptr ? std::nullopt
                                 : std::optional(submission->definition);
}

// The same submission as an earlier version stored it, without its checks.
json stored_form_of(const json& submission)
{
    json stored{{"id", job_id},
                {"queue", "q"},
                {"payload", "s"},
                {"accepted_ms", *any_integer()},
                {"schedule",
                 {{"first_due_ms", submission["start_at_ms"]},
                  {"interval_ms", submission["interval_ms"]},
                  {"count", submission["repeat_count"]}}},
                {"steps", json::array()}};
    for (const json& step : submission["steps"])
    {
        stored["steps"].push_back({{"count", step["count"]},
                                   {"demand",
                                    {{"cpu_millis", step["cpu"]},
                                     {"memory_mb", step["mem_mb"]},
                                     {"accelerators", step["gpu"]}}},
                                   {"estimate_ms", step["est_duration_ms"]},
                                   {"after", step["depends_on"]},
                                   {"gang", step["gang"]},
                                   {"fills", step["fills"]},
                                   {"lasting", step["long_running"]},
                                   {"most_per_worker", step["anti_affinity"]},
                                   {"latency_target_ms", step["target_ms"]},
                                   {"most_missing", step["may_miss"]}});
    }
    return stored;
}

// Number of tasks of a job, in 128 bits.
__extension__ using int128 = __int128;

int128 exact_tasks(const job& definition)
{
    int128 tasks = 0;
    for (const job_step& step : definition.steps)
    {
        tasks += step.count;
    }
    return tasks * definition.rounds();
}

// Schedules a job before, when and after its rounds are due, over a change of
// leader, and checks that all of its tasks can be reached.
void schedule(const job& definition)
{
    scheduler_harness fleet({.overload_order = overload_order_options{}});
    fleet.report_from_guard("a");
    fleet.report_from_guard("b");
    fleet.core.accept(definition, fleet.now);
    fleet.accepted[definition.id] = definition;
    const job_record* const record = fleet.core.find(definition.id);
    RC_ASSERT(record != nullptr);
    RC_ASSERT(static_cast<int128>(record->tasks().size()) ==
              exact_tasks(definition));
    RC_ASSERT(record->tasks_of(definition.rounds() - 1, 0).size() ==
              static_cast<std::size_t>(definition.steps.front().count));
    for (const std::int64_t unix_ms :
         {std::int64_t{0}, some_time_ms, definition.schedule.first_due_ms})
    {
        fleet.unix_ms = unix_ms;
        fleet.advance(milliseconds(200));
        fleet.report_from_guard("a");
        fleet.report_from_guard("b");
    }
    fleet.take_over();
    fleet.report_from_guard("a");
    fleet.advance(seconds(2));
    fleet.core.cancel(definition.id, fleet.now);
    fleet.advance();
}

} // namespace

// Guards against the submission that ended each leader: the number of its tasks
// wrapped round to a negative one and was accepted.
TEST_CASE("an accepted submission can be scheduled, whatever its integers are")
{
    CHECK(rc::check(
        []
        {
            const json submission = any_submission();
            const auto definition = accepted_of(submission);
            RC_TAG(definition ? "accepted" : "refused");
            if (definition)
            {
                RC_ASSERT(exact_tasks(*definition) <= job_bounds{}.tasks);
                schedule(*definition);
            }
        }));
}

// Guards against a leader that ends at a submission which an earlier version
// stored, or another entry sent.
TEST_CASE("a stored job can be scheduled or is refused, whatever its integers "
          "are")
{
    CHECK(rc::check(
        []
        {
            const json stored = stored_form_of(any_submission());
            try
            {
                const job definition = read_job(stored);
                RC_TAG("read");
                schedule(definition);
            }
            catch (const document_error&)
            {
                RC_TAG("refused");
            }
        }));
}

// Guards against a wrapped sum or product of counts, each shown to be accepted
// before.
TEST_CASE("a submission with too many tasks is refused with its place")
{
    struct sample
    {
        std::vector<std::int64_t> counts;
        std::int64_t rounds;
        const char* place;
    };
    constexpr std::int64_t two_to_32 = std::int64_t{1} << 32;
    const std::vector<sample> samples{
        {{2}, highest, "/repeat_count"},
        {{highest, highest}, 0, "/steps/0/count"},
        {{two_to_32}, two_to_32, "/repeat_count"},
        {{4}, std::int64_t{1} << 62, "/repeat_count"},
        {{5'000}, 3, "/steps"},
        {{10'001}, 0, "/steps/0/count"}};
    for (const sample& one : samples)
    {
        json submission{{"repeat_count", one.rounds}, {"steps", json::array()}};
        for (const std::int64_t count : one.counts)
        {
            submission["steps"].push_back({{"count", count}});
        }
        CAPTURE(submission.dump());
        const auto request = decode(submission);
        const auto* const refused =
            std::get_if<adapter::refused_request>(&request);
        REQUIRE(refused != nullptr);
        CHECK(refused->answer.status == 400);
        CHECK(refused->answer.body->find(one.place) != std::string::npos);
    }
}
