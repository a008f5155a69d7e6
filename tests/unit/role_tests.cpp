// Single transitions of the entry and guard state machines that the
// simulations do not check one by one.

#include <doctest/doctest.h>

#include <springstair/entry.hpp>
#include <springstair/guard.hpp>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

table make_table(std::int64_t revision)
{
    return table::parse(
        {{"revision", revision},
         {"rows",
          {{"a", json::object()},
           {"a/fast", {{"kind", "latency-critical"}, {"repeatable", true}}},
           {"a/once", {{"kind", "heavy"}}}}}});
}

guard_report ready_guard(const std::string& name)
{
    return {.guard = {name},
            .incarnation = "1",
            .data_centre = "dc-1",
            .address = name,
            .ready = true,
            .load = {.slots = 8}};
}

struct single_entry
{
    explicit single_entry(int guards)
    {
        core.on_table(make_table(1));
        for (int index = 0; index < guards; ++index)
        {
            core.on_heartbeat(clock.now(),
                              ready_guard("g" + std::to_string(index)));
        }
    }

    request_actions send_request(const std::string& work_class,
                                 duration deadline = seconds(1))
    {
        return core.on_request(clock.now(),
                               {.number = ++number,
                                .of = {"a", work_class},
                                .deadline = clock.now() + deadline});
    }

    request_actions end_attempt(const request_actions& sent,
                                attempt_result::ending how,
                                const problem_report& problem = {})
    {
        return core.on_attempt(
            clock.now(),
            {.attempt = std::get<send_attempt>(sent.back()).attempt,
             .how = how,
             .refused_with = problem});
    }

    request_core core{request_options{
        .name = {"e"}, .incarnation = "1", .data_centre = "dc-1"}};
    manual_clock clock;
    request_number number = 0;
};

const problem_report& problem_in(const request_actions& actions)
{
    return std::get<answer_problem>(actions.back()).problem;
}

bool sends_attempt(const request_actions& actions)
{
    return !actions.empty() &&
           std::holds_alternative<send_attempt>(actions.back());
}

} // namespace

TEST_CASE("entry and guard ignore an older table")
{
    request_core entry(request_options{.name = {"e"}});
    CHECK(entry.on_table(make_table(5)));
    CHECK(!entry.on_table(make_table(4)));
    CHECK(!entry.on_table(make_table(5)));
    CHECK(entry.rows().revision() == 5);
    guard_core guard({.name = {"g"}}, manual_clock().now());
    CHECK(guard.on_table(make_table(5)));
    CHECK(!guard.on_table(make_table(4)));
    CHECK(guard.rows().revision() == 5);
}

TEST_CASE("the end of an attempt leads to a retry or to an answer")
{
    using ending = attempt_result::ending;
    struct ending_case
    {
        const char* name;
        const char* work_class;
        ending how;
        problem_report problem;
        bool retried;
        outcome reported; ///< if not retried
    };
    const auto refused = [](outcome result, refusal reason)
    {
        return problem_report{.result = result, .reason = reason};
    };
    const std::vector<ending_case> cases{
        {"no connection", "once", ending::not_sent, {}, true, {}},
        {"lost, repeatable", "fast", ending::unknown, {}, true, {}},
        {"lost, once", "once", ending::unknown, {}, false, outcome::unknown},
        {"queue full",
         "once",
         ending::refused,
         refused(outcome::not_run, refusal::queue_full),
         true,
         {}},
        {"draining",
         "once",
         ending::refused,
         refused(outcome::not_run, refusal::draining),
         true,
         {}},
        {"new incarnation, once",
         "once",
         ending::refused,
         refused(outcome::unknown, refusal::wrong_incarnation),
         true,
         {}},
        {"may run, once", "once", ending::refused,
         refused(outcome::unknown, refusal::connection_lost), false,
         outcome::unknown},
        {"may run, repeatable",
         "fast",
         ending::refused,
         refused(outcome::unknown, refusal::duplicate),
         true,
         {}},
    };
    for (const ending_case& one : cases)
    {
        CAPTURE(one.name);
        single_entry entry(3);
        const request_actions actions = entry.end_attempt(
            entry.send_request(one.work_class), one.how, one.problem);
        REQUIRE(!actions.empty());
        CHECK(sends_attempt(actions) == one.retried);
        if (!one.retried)
        {
            CHECK(problem_in(actions).result == one.reported);
        }
    }
}

TEST_CASE("a request that may have run is never reported as not_run")
{
    single_entry entry(2);
    const auto first = entry.send_request("fast");
    const auto second =
        entry.end_attempt(first, attempt_result::ending::unknown);
    REQUIRE(sends_attempt(second));
    const auto last = entry.end_attempt(second, attempt_result::ending::refused,
                                        {.result = outcome::not_run,
                                         .reason = refusal::queue_full,
                                         .retry_after = milliseconds(100)});
    CHECK(problem_in(last).result == outcome::unknown);
}

TEST_CASE("a request is refused at once if there is no executor")
{
    single_entry entry(0);
    const auto refused = entry.send_request("fast");
    CHECK(problem_in(refused).result == outcome::not_run);
    CHECK(problem_in(refused).reason == refusal::no_executor);
    CHECK(problem_in(refused).retry_after > duration{0});
    CHECK(entry.core.open() == 0);
}

TEST_CASE("a request with an attempt in flight at its deadline ends as unknown")
{
    single_entry entry(1);
    const auto sent = entry.send_request("once", milliseconds(100));
    entry.clock.advance(milliseconds(101));
    const auto expired = entry.core.on_tick(entry.clock.now());
    CHECK(problem_in(expired).result == outcome::unknown);
    // The late answer is ignored.
    CHECK(entry.end_attempt(sent, attempt_result::ending::answered).empty());
}

TEST_CASE("guards that are leaving, unresponsive, not ready or unreachable "
          "receive no requests")
{
    struct exclusion
    {
        const char* name;
        std::function<void(single_entry&)> cause;
    };
    const std::vector<exclusion> cases{
        {"guard reports that it is leaving",
         [](single_entry& entry)
         {
             guard_report report = ready_guard("g0");
             report.leaving = true;
             entry.core.on_heartbeat(entry.clock.now(), report);
         }},
        {"platform lists it as leaving",
         [](single_entry& entry)
         {
             entry.core.on_leaving_list({"g0"});
         }},
        {"heartbeat timeout",
         [](single_entry& entry)
         {
             entry.clock.advance(milliseconds(1501));
         }},
        {"not ready",
         [](single_entry& entry)
         {
             guard_report report = ready_guard("g0");
             report.ready = false;
             entry.core.on_heartbeat(entry.clock.now(), report);
         }},
        {"no connection",
         [](single_entry& entry)
         {
             entry.end_attempt(entry.send_request("once"),
                               attempt_result::ending::not_sent);
         }},
    };
    for (const exclusion& one : cases)
    {
        CAPTURE(one.name);
        single_entry entry(1);
        REQUIRE(sends_attempt(entry.send_request("once")));
        one.cause(entry);
        CHECK(!sends_attempt(entry.send_request("once")));
    }
}

TEST_CASE("a repeatable request is retried if its guard is unresponsive")
{
    single_entry entry(1);
    const auto repeatable = entry.send_request("fast", seconds(10));
    const auto once = entry.send_request("once", seconds(10));
    entry.clock.advance(seconds(1));
    entry.core.on_heartbeat(entry.clock.now(), ready_guard("g1"));
    entry.clock.advance(milliseconds(600));
    const auto actions = entry.core.on_tick(entry.clock.now());
    REQUIRE(sends_attempt(actions));
    CHECK(std::get<send_attempt>(actions.back()).number == 1);
    CHECK(entry.core.open() == 2); // the other still waits for its answer
}

TEST_CASE("a guard answers unknown for attempts at its past incarnation")
{
    manual_clock clock;
    guard_core guard({.name = {"g"}, .incarnation = "2"}, clock.now());
    guard.on_table(make_table(1));
    clock.advance(seconds(1));
    guard.on_executor_list(clock.now(), clock.now(), {});
    REQUIRE(guard.ready());
    const guard_actions actions =
        guard.on_attempt(clock.now(), {.attempt = {"a"},
                                       .request_class = {"a", "once"},
                                       .incarnation = "1",
                                       .remaining = seconds(1)});
    CHECK(std::get<reply_problem>(actions.front()).problem.result ==
          outcome::unknown);
}

namespace
{

start_task make_start(std::int64_t attempt, std::int64_t epoch)
{
    return {.spec = {.id = "t1-a", .needs = {.cpu_millis = 100}},
            .attempt = attempt,
            .incarnation = "1",
            .shard = 1,
            .epoch = epoch};
}

struct single_tracker
{
    single_tracker()
    {
        list({});
        list({}, seconds(4));
    }

    void list(const std::vector<listed_task>& tasks, duration step = {})
    {
        clock.advance(step);
        actions.clear();
        tracker.on_worker_list(clock.now(), clock.now().time_since_epoch(),
                               tasks, actions);
    }

    attempt_tracker tracker{
        {.incarnation = "1", .capacity = {.cpu_millis = 150, .memory_mb = 1}}};
    manual_clock clock;
    worker_actions actions;
};

} // namespace

TEST_CASE(
    "a guard starts tasks once starts of its past incarnation have expired")
{
    attempt_tracker tracker({.incarnation = "1"});
    manual_clock clock;
    worker_actions actions;
    const auto list = [&]
    {
        tracker.on_worker_list(clock.now(), clock.now().time_since_epoch(), {},
                               actions);
    };
    list();
    clock.advance(milliseconds(2900));
    list();
    CHECK(!tracker.ready());
    CHECK(tracker.on_start(clock.now(), make_start(1, 1), actions).reason ==
          "starting");
    clock.advance(milliseconds(200));
    list();
    CHECK(tracker.ready());
}

TEST_CASE("a superseded shard owner cannot start, stop or acknowledge")
{
    single_tracker worker;
    CHECK(worker.tracker
              .on_start(worker.clock.now(), make_start(1, 5), worker.actions)
              .accepted);
    CHECK(worker.tracker
              .on_start(worker.clock.now(), make_start(2, 4), worker.actions)
              .reason == "stale_epoch");
    const stop_task stop{.task = "t1-a", .attempt = 1, .shard = 1, .epoch = 4};
    CHECK(worker.tracker.on_stop(worker.clock.now(), stop, worker.actions)
              .reason == "stale_epoch");
    worker.list({{.name = {"t1-a", 1},
                  .how = listed_task::state::finished,
                  .needs = {.cpu_millis = 100}}});
    const auto acknowledge = [&](std::int64_t epoch)
    {
        worker.tracker.on_acked(worker.clock.now(), {{"t1-a", 1, 1, epoch}},
                                worker.actions);
        return worker.tracker.reports().empty();
    };
    CHECK(!acknowledge(4));
    CHECK(acknowledge(5));
}

TEST_CASE("a refused start stays refused, an expired one is lost")
{
    single_tracker worker;
    start_task large = make_start(1, 1);
    large.spec.needs.cpu_millis = 200;
    CHECK(worker.tracker.on_start(worker.clock.now(), large, worker.actions)
              .reason == "no_room");
    CHECK(worker.tracker
              .on_start(worker.clock.now(), make_start(1, 1), worker.actions)
              .reason == "closed");
    CHECK(worker.tracker
              .on_start(worker.clock.now(), make_start(2, 1), worker.actions)
              .accepted);
    CHECK(worker.tracker.free().cpu_millis == 50);
    worker.list({}, seconds(2)); // it may still start
    CHECK(worker.tracker.free().cpu_millis == 50);
    worker.list({}, seconds(2)); // start deadline passed on the worker's clock
    CHECK(worker.tracker.free().cpu_millis == 150);
    CHECK(worker.tracker.reports().front().state == "lost");
}
