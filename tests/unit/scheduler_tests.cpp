// The scheduler's decisions: when tasks are released, what the end of a run
// causes, and which worker a task is assigned.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("nothing starts before its placement is committed")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    harness.core.tick(harness.now, 0);
    const auto batch = harness.core.next_commit(harness.now);
    REQUIRE(batch.has_value());
    CHECK(harness.core.take_orders().empty());
    CHECK(batch->front().expected_revision == 0);
    harness.core.committed(*batch, 9, harness.now);
    const auto orders = harness.core.take_orders();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].orders.epoch == 7);
    CHECK(orders[0].orders.executor == "g1-1");
    CHECK(orders[0].orders.starts.at(0).task == definition.id + ".0.0.0");
}

TEST_CASE("an end is acknowledged and shown once it is committed")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    harness.advance();
    const std::string task = definition.id + ".0.0.0";
    REQUIRE(harness.has_started(task));
    harness.end(task, run_end::done);
    CHECK(harness.report_from_guard("g1").orders.acknowledged == 0);
    CHECK(harness.shown(definition.id) != job_state::succeeded);
    harness.advance();
    CHECK(harness.shown(definition.id) == job_state::succeeded);
    CHECK(harness.report_from_guard("g1").orders.acknowledged == 1);
}

TEST_CASE("steps wait for the steps they depend on")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    job_step second = step_of(1);
    second.after = {0};
    const job definition = harness.submit({step_of(2), second});
    harness.advance();
    CHECK(harness.has_started(definition.id + ".0.0.1"));
    CHECK_FALSE(harness.has_started(definition.id + ".0.1.0"));
    harness.end(definition.id + ".0.0.0", run_end::done);
    harness.report_from_guard("g1");
    harness.advance();
    CHECK_FALSE(harness.has_started(definition.id + ".0.1.0"));
    harness.end(definition.id + ".0.0.1", run_end::done);
    harness.report_from_guard("g1");
    harness.advance();
    CHECK(harness.has_started(definition.id + ".0.1.0"));
}

TEST_CASE("failures count towards the max attempts, other ends do not")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    const job definition = harness.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    for (const run_end how :
         {run_end::stopped, run_end::lapsed, run_end::failed})
    {
        harness.end(task, how, "c");
        harness.report_from_guard(harness.guard_of[task]);
        harness.advance();
        CHECK(harness.started[task].checkpoint == "c");
        harness.report_from_guard("g1");
        harness.report_from_guard("g2");
    }
    CHECK(harness.started[task].run == 4);
    CHECK(harness.shown(definition.id) == job_state::running);
    harness.end(task, run_end::failed);
    harness.report_from_guard(harness.guard_of[task]);
    harness.advance();
    CHECK(harness.shown(definition.id) == job_state::failed);
}

TEST_CASE("a failed task is retried on another worker if there is one")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    const job definition = harness.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    const std::string first = harness.guard_of[task];
    harness.end(task, run_end::failed);
    harness.report_from_guard(first);
    harness.advance();
    CHECK(harness.guard_of[task] != first);
}

TEST_CASE("a cancelled job starts nothing, and its runs are stopped")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(6)});
    harness.advance();
    CHECK(harness.started.size() == 4); // the worker's capacity
    harness.core.cancel(definition.id, harness.now);
    CHECK(harness.shown(definition.id) == job_state::cancelled);
    harness.advance();
    CHECK(harness.stopped.size() == 4);
    harness.end(definition.id + ".0.0.0", run_end::stopped);
    harness.report_from_guard("g1");
    harness.advance();
    CHECK(harness.started.size() == 4);
}

TEST_CASE("a worker's capacity holds; best-effort tasks reserve no processors")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.submit({step_of(9)});
    harness.advance();
    CHECK(harness.started.size() == 4);
    CHECK(harness.core.workers().at("g1").free_capacity().cpu_millis == 0);

    scheduler_harness other;
    other.report_from_guard("g1");
    job_step fill = step_of(3);
    fill.fills = true;
    fill.image = "f";
    other.submit({fill});
    other.advance();
    CHECK(other.started.size() == 3);
    CHECK(other.core.workers().at("g1").free_capacity().cpu_millis == 4000);
    CHECK(other.core.workers().at("g1").free_capacity().memory_mb == 3700);
}

TEST_CASE("a failed search implies that larger queries of its kind fail, too")
{
    const interference_model interference;
    const std::set<std::string> avoided;
    const std::string service = "s";
    const std::string group = "j.0.0";
    const auto query = [&](const job_step& step,
                           bool ignore_interference = false) -> placement_query
    {
        return {.step = step,
                .service = service,
                .group = group,
                .avoided = avoided,
                .interference = interference,
                .now = {},
                .ignore_interference = ignore_interference};
    };
    const job_step small = step_of(1, 500);
    const job_step middle = step_of(1, 1000);
    const job_step large = step_of(1, 2000);
    job_step fill = large;
    fill.fills = true;
    job_step elsewhere = large;
    elsewhere.label = "b";
    job_step bounded = large;
    bounded.most_per_worker = 1;
    infeasible_queries infeasible;
    infeasible.record(query(middle));
    CHECK(infeasible.covers(query(middle)));
    CHECK(infeasible.covers(query(large)));
    CHECK_FALSE(infeasible.covers(query(small)));
    CHECK_FALSE(infeasible.covers(query(fill)));
    CHECK_FALSE(infeasible.covers(query(elsewhere)));
    CHECK_FALSE(infeasible.covers(query(bounded)));
    CHECK_FALSE(infeasible.covers(query(large, true)));
    infeasible.clear();
    CHECK_FALSE(infeasible.covers(query(large)));
}

TEST_CASE("a best-effort task waits for a tolerant worker, up to a timeout")
{
    scheduler_harness harness;
    harness.core.adopt_interference(
        {{.serving = "s", .filling = "f", .harm = 40}});
    harness.report_from_guard("g1");
    harness.submit({serving_step()});
    harness.advance();
    const job_step fill = best_effort_step(2);
    const job definition = harness.submit({fill});
    harness.advance();
    CHECK_FALSE(harness.has_started(definition.id + ".0.0.0"));
    for (int count = 0; count < 4; ++count)
    {
        harness.advance(milliseconds(450));
        harness.report_from_guard("g1");
    }
    CHECK(harness.has_started(definition.id + ".0.0.0"));
    // Once a task of the job runs, the next one waits for a tolerant worker.
    CHECK_FALSE(harness.has_started(definition.id + ".0.0.1"));
}

TEST_CASE("the wait of a step begins when the steps before it are done")
{
    scheduler_harness harness;
    harness.core.adopt_interference(
        {{.serving = "s", .filling = "f", .harm = 40}});
    harness.report_from_guard("g1");
    harness.submit({serving_step()});
    job_step fill = best_effort_step(1);
    fill.after = {0};
    const job definition = harness.submit({step_of(1), fill});
    harness.advance();
    for (int count = 0; count < 6; ++count)
    {
        harness.advance(milliseconds(450));
        harness.report_from_guard("g1");
    }
    harness.end(definition.id + ".0.0.0", run_end::done);
    harness.report_from_guard("g1");
    harness.advance(milliseconds(100));
    CHECK_FALSE(harness.has_started(definition.id +
                                    ".0.1.0")); // it was released just now
    for (int count = 0; count < 4; ++count)
    {
        harness.advance(milliseconds(450));
        harness.report_from_guard("g1");
    }
    CHECK(harness.has_started(definition.id + ".0.1.0"));
}

TEST_CASE("a best-effort task is not placed where its image is throttled")
{
    scheduler_harness harness;
    harness.worker("g1").paces = {{"f", 0}};
    harness.report_from_guard("g1");
    const job definition = harness.submit({best_effort_step(1)});
    harness.advance();
    CHECK_FALSE(harness.has_started(definition.id + ".0.0.0"));
    harness.worker("g1").paces = {{"f", 75}};
    harness.report_from_guard("g1");
    harness.advance(milliseconds(100)); // the next placement pass
    CHECK(harness.has_started(definition.id + ".0.0.0"));
}

TEST_CASE("a relocated best-effort task does not return at once")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    job_step fill = best_effort_step(1);
    fill.checkpoints = true;
    const job definition = harness.submit({fill});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    harness.report_from_guard("g1"); // reports the run
    harness.report_from_guard("g2");
    harness.worker("g1").paces = {{"f", 0}};
    harness.report_from_guard("g1");
    REQUIRE(harness.stopped.contains(task));
    harness.end(task, run_end::stopped, "c");
    harness.worker("g1").paces.clear();
    harness.report_from_guard("g1");
    harness.advance();
    CHECK(harness.guard_of[task] == "g2");
    CHECK(harness.started[task].checkpoint == "c");
}

TEST_CASE("service, label and max tasks per worker are respected")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.worker("g2").worker.labels = {"big"};
    harness.report_from_guard("g2");
    const job elsewhere = harness.submit({step_of(1)}, "other");
    job_step labelled = step_of(1);
    labelled.label = "big";
    const job big = harness.submit({labelled});
    job_step spread_step = step_of(4, 100);
    spread_step.most_per_worker = 1;
    const job spread = harness.submit({spread_step});
    harness.advance();
    CHECK_FALSE(harness.has_started(elsewhere.id + ".0.0.0"));
    CHECK(harness.guard_of.at(big.id + ".0.0.0") == "g2");
    CHECK(harness.has_started(spread.id + ".0.0.1"));
    CHECK_FALSE(harness.has_started(spread.id + ".0.0.2"));
    CHECK(harness.guard_of.at(spread.id + ".0.0.0") !=
          harness.guard_of.at(spread.id + ".0.0.1"));
}

TEST_CASE("a queue with advice runs only where the advice service allows it")
{
    scheduler_harness harness;
    queue_table table = scheduler_harness::table(2);
    table.queues[0].advice = advice_terms{};
    harness.core.set_table(table);
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    const job definition = harness.submit({step_of(2)});
    harness.advance();
    CHECK(harness.started.empty());
    const auto question = harness.core.next_query(harness.now);
    REQUIRE(question.has_value());
    CHECK(question->step == definition.id + ".0.0");
    CHECK(question->executors.size() == 2);
    harness.core.advised(
        advice_answer{.tickets = {{"g2-1", "pass"}}, .valid_ms = 3000},
        harness.now);
    harness.advance();
    CHECK(harness.guard_of.at(definition.id + ".0.0.0") == "g2");
    CHECK(harness.guard_of.at(definition.id + ".0.0.1") == "g2");
    CHECK(harness.started.at(definition.id + ".0.0.0").ticket == "pass");

    // The worker finds the ticket expired: a new one is requested.
    harness.worker("g2").running.clear();
    harness.worker("g2").refused = {{.task = definition.id + ".0.0.0",
                                     .run = 1,
                                     .reason = no_ticket_reason}};
    harness.report_from_guard("g2");
    harness.worker("g2").refused.clear();
    harness.advance(milliseconds(400));
    const auto again = harness.core.next_query(harness.now);
    REQUIRE(again.has_value());
    CHECK(again->executors == std::vector<executor_incarnation>{"g2-1"});
}

TEST_CASE("tasks are placed by priority, then by the earliest objective")
{
    scheduler_harness harness;
    const job slow = harness.submit({step_of(1, 4000)}, "slow");
    job_step long_step = step_of(1, 4000);
    long_step.estimate_ms = 60'000;
    const job patient = harness.submit({long_step});
    const job brief = harness.submit({step_of(1, 4000)});
    harness.report_from_guard("g1");
    harness.advance();
    CHECK(harness.has_started(brief.id + ".0.0.0"));
    CHECK_FALSE(harness.has_started(patient.id + ".0.0.0"));
    CHECK_FALSE(harness.has_started(slow.id + ".0.0.0"));
}

TEST_CASE("a gang starts completely or not at all, and ends together")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    job_step gang = step_of(5);
    gang.gang = true;
    const job definition = harness.submit({gang});
    harness.advance();
    CHECK(harness.started.empty());
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    harness.advance();
    CHECK(harness.started.size() == 5);
    harness.end(definition.id + ".0.0.0", run_end::failed, "c");
    harness.report_from_guard(harness.guard_of[definition.id + ".0.0.0"]);
    harness.advance();
    CHECK(harness.stopped.size() == 4);
    for (int index = 1; index < 5; ++index)
    {
        harness.end(definition.id + ".0.0." + std::to_string(index),
                    run_end::broken);
    }
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    harness.advance();
    for (const auto& [task, order] : harness.started)
    {
        CHECK(order.run == 2);
        CHECK(order.checkpoint == "c");
    }
    harness.end(definition.id + ".0.0.3", run_end::done);
    harness.report_from_guard(harness.guard_of[definition.id + ".0.0.3"]);
    harness.advance();
    CHECK(harness.shown(definition.id) == job_state::succeeded);
}

TEST_CASE("rounds of a schedule start when they are due")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.unix_ms = 1'000'000;
    job definition{.id = "timed",
                   .queue = "q",
                   .steps = {step_of(1)},
                   .schedule = {.first_due_ms = 1'000'500,
                                .interval_ms = 1000,
                                .count = 2}};
    harness.core.accept(definition, harness.now);
    harness.advance();
    CHECK(harness.started.empty());
    harness.unix_ms = 1'000'500;
    harness.advance();
    CHECK(harness.has_started("timed.0.0.0"));
    CHECK_FALSE(harness.has_started("timed.1.0.0"));
    harness.unix_ms = 1'001'500;
    harness.advance();
    CHECK(harness.has_started("timed.1.0.0"));
}

TEST_CASE("a guard that is cut off keeps its tasks until its lease expires")
{
    const scheduler_options options;
    scheduler_harness harness(options);
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    const job definition = harness.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    const std::string first = harness.guard_of[task];
    const std::string second = first == "g1" ? "g2" : "g1";
    const report_answer answer = harness.report_from_guard(first);
    CHECK(answer.permit_ms == to_milliseconds(options.lease_grant));
    const time_point given = harness.now;
    while (harness.guard_of[task] == first)
    {
        harness.advance(milliseconds(100));
        harness.report_from_guard(second);
        REQUIRE(harness.now - given < seconds(10));
    }
    CHECK(harness.now - given > options.lease_grant * 102 / 100);
    CHECK(harness.started[task].run == 2);
}

TEST_CASE("tasks of a worker that reports an expired lease are freed at once")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    worker_report& report = harness.worker("g1");
    report.answering = false;
    report.lapsed = true;
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    harness.advance();
    CHECK(harness.guard_of[task] == "g2");
}

TEST_CASE("a new executor incarnation has no runs of the past one")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    worker_report& report = harness.worker("g1");
    report.worker.executor = "g1-2";
    report.running.clear();
    harness.report_from_guard("g1");
    harness.advance();
    CHECK(harness.started[task].run == 2);
}

TEST_CASE("a start whose order is pending is not sent to a new incarnation")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.submit({step_of(1)});
    harness.core.tick(harness.now, 0);
    const auto batch = harness.core.next_commit(harness.now);
    REQUIRE(batch.has_value());
    harness.core.committed(*batch, 9, harness.now);
    harness.worker("g1").worker.executor = "g1-2";
    const report_answer answer = harness.report_from_guard("g1");
    CHECK(answer.orders.starts.empty());
    CHECK(harness.core.take_orders().empty());
}

TEST_CASE("lease grants end at the lease horizon")
{
    const scheduler_options options;
    scheduler_harness harness(options);
    harness.report_from_guard("g1");
    harness.now += options.lease_horizon - milliseconds(500);
    CHECK(harness.report_from_guard("g1").permit_ms == 500);
    harness.now += seconds(1);
    CHECK(harness.report_from_guard("g1").permit_ms == 0);
}

TEST_CASE("a successor waits for the leases of guards it cannot reach")
{
    const scheduler_options options;
    scheduler_harness first(options);
    first.report_from_guard("g1");
    const job definition = first.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    first.core.tick(first.now, 0);
    const auto batch = first.core.next_commit(first.now);
    REQUIRE(batch.has_value());

    scheduler_harness second(options);
    second.core.begin_term(8, second.now);
    second.core.set_table(scheduler_harness::table());
    second.core.adopt(definition, decode_progress(batch->front().text), 9,
                      second.now, 0);
    second.core.begin(second.now);
    const time_point since = second.now;
    while (!second.has_started(task))
    {
        second.report_from_guard("g2");
        second.advance(milliseconds(100));
        REQUIRE(second.now - since < seconds(20));
    }
    CHECK(second.now - since > options.lease_horizon);
    CHECK(second.started[task].run == 2);
}

TEST_CASE("a successor adopts the runs that guards report")
{
    scheduler_harness first;
    first.report_from_guard("g1");
    const job definition = first.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    first.core.tick(first.now, 0);
    const auto batch = first.core.next_commit(first.now);
    REQUIRE(batch.has_value());

    scheduler_harness second;
    second.core.begin_term(8, second.now);
    second.core.set_table(scheduler_harness::table());
    second.core.adopt(definition, decode_progress(batch->front().text), 9,
                      second.now, 0);
    second.core.begin(second.now);
    second.worker("g1").running = {{.task = task, .run = 1}};
    second.started[task] = {.task = task, .run = 1};
    second.guard_of[task] = "g1";
    second.report_from_guard("g1");
    CHECK(second.core.workers().at("g1").free_capacity().cpu_millis == 3000);
    second.end(task, run_end::done);
    second.report_from_guard("g1");
    second.advance();
    CHECK(second.shown(definition.id) == job_state::succeeded);
}

TEST_CASE("a paused leader shows no state that may have changed")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job open = harness.submit({step_of(1)});
    const job done = harness.submit({step_of(1)});
    harness.advance();
    harness.end(done.id + ".0.0.0", run_end::done);
    harness.report_from_guard("g1");
    harness.advance();
    REQUIRE(harness.shown(open.id) == job_state::running);
    REQUIRE(harness.shown(done.id) == job_state::succeeded);

    harness.now += seconds(4); // its lease has expired; another entry may lead
    CHECK_FALSE(harness.shown(open.id).has_value());
    CHECK(harness.shown(done.id) == job_state::succeeded);

    harness.verified = harness.now;
    CHECK(harness.shown(open.id) == job_state::running);
}

TEST_CASE("only the state is stored of a job whose runs have all ended")
{
    scheduler_harness first;
    first.report_from_guard("g1");
    const job definition = first.submit({step_of(2)});
    first.advance();
    const auto stored_after_end = [&](const char* index)
    {
        first.end(definition.id + ".0.0." + index, run_end::done);
        first.report_from_guard("g1");
        const auto batch = first.core.next_commit(first.now += seconds(1));
        first.core.committed(batch.value(), ++first.revision, first.now);
        return decode_progress(batch->front().text);
    };
    CHECK(stored_after_end("0").tasks.size() == 2);
    const job_progress whole = stored_after_end("1");
    CHECK(whole.state == job_state::succeeded);
    CHECK(whole.tasks.empty());

    scheduler_harness second;
    second.core.begin_term(8, second.now);
    second.core.set_table(scheduler_harness::table());
    second.core.adopt(definition, whole, 9, second.now, 0);
    second.core.begin(second.now);
    second.report_from_guard("g1");
    second.advance();
    CHECK(second.started.empty());
    CHECK(second.shown(definition.id) == job_state::succeeded);
    CHECK(second.core.waiting("q") == 0);
}

TEST_CASE("a cancelled job's runs are stored until they have ended")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    harness.advance();
    harness.core.cancel(definition.id, harness.now);
    const auto running = harness.core.next_commit(harness.now += seconds(1));
    REQUIRE(running.has_value());
    CHECK(decode_progress(running->front().text).tasks.size() == 1);
    harness.core.committed(*running, ++harness.revision, harness.now);
    harness.end(definition.id + ".0.0.0", run_end::stopped);
    harness.report_from_guard("g1");
    const auto ended = harness.core.next_commit(harness.now += seconds(1));
    REQUIRE(ended.has_value());
    CHECK(decode_progress(ended->front().text).tasks.empty());
}

// Guards against a job that seems to return from succeeded to running: its end
// was in the store, where readers saw it, while the leader had not received the
// store's answer yet.
TEST_CASE("no state is shown while the write of the job's end is in doubt")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    harness.advance();
    harness.report_from_guard("g1");
    CHECK(harness.shown(definition.id) == job_state::running);
    harness.end(definition.id + ".0.0.0", run_end::done);
    harness.report_from_guard("g1");
    CHECK(harness.shown(definition.id) == job_state::running);
    harness.now += milliseconds(25);
    harness.verified = harness.now;
    const auto ended = harness.core.next_commit(harness.now);
    REQUIRE(ended.has_value());
    CHECK_FALSE(harness.shown(definition.id).has_value());
    harness.core.committed(*ended, ++harness.revision, harness.now);
    CHECK(harness.shown(definition.id) == job_state::succeeded);
}

TEST_CASE("a start that no guard reports is sent again by the successor")
{
    scheduler_harness first;
    first.report_from_guard("g1");
    const job definition = first.submit({step_of(1)});
    first.core.tick(first.now, 0);
    const auto batch = first.core.next_commit(first.now);
    REQUIRE(batch.has_value());

    scheduler_harness second;
    second.core.begin_term(8, second.now);
    second.core.set_table(scheduler_harness::table());
    second.core.adopt(definition, decode_progress(batch->front().text), 9,
                      second.now, 0);
    second.core.begin(second.now);
    second.report_from_guard("g1");
    second.advance(seconds(2));
    second.report_from_guard("g1");
    CHECK(second.started[definition.id + ".0.0.0"].run == 1);
}

TEST_CASE("draining workers get no tasks; long-running ones leave in time")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    job_step lasting = step_of(1);
    lasting.lasting = true;
    const job definition = harness.submit({lasting});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    harness.worker("g1").worker.draining = true;
    harness.worker("g1").worker.leaves_ms = 5000;
    harness.report_from_guard("g1"); // reports the run
    harness.report_from_guard("g1");
    CHECK(harness.stopped.contains(task));
    harness.end(task, run_end::stopped);
    harness.report_from_guard("g1");
    harness.advance();
    CHECK(harness.started[task].run == 1);
    harness.report_from_guard("g2");
    harness.advance();
    CHECK(harness.guard_of[task] == "g2");
}

TEST_CASE("a worker that fails different jobs in a row is ejected")
{
    // The failures of the only worker raise the failure share of the whole
    // fleet, which weakens the evidence. In a larger fleet, three failures can
    // suffice.
    scheduler_harness harness;
    harness.report_from_guard("g1");
    for (int count = 0; count < 4; ++count)
    {
        const bool is_ejected =
            harness.core.workers().at("g1").ejected_until > harness.now;
        CHECK_FALSE(is_ejected);
        const job definition = harness.submit({step_of(1)});
        harness.advance();
        harness.end(definition.id + ".0.0.0", run_end::failed);
        harness.report_from_guard("g1");
        harness.core.cancel(definition.id, harness.now);
        harness.advance();
    }
    const job next = harness.submit({step_of(1)});
    harness.report_from_guard("g1");
    harness.advance();
    CHECK_FALSE(harness.has_started(next.id + ".0.0.0"));
    harness.now += seconds(3);
    harness.report_from_guard("g1");
    harness.advance();
    CHECK(harness.has_started(next.id + ".0.0.0"));
}

TEST_CASE("a run without progress is stopped; its task then avoids that worker")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    const job definition = harness.submit({step_of(1)});
    const std::string task = definition.id + ".0.0.0";
    harness.advance();
    const std::string first = harness.guard_of[task];
    for (int count = 0; count < 8; ++count)
    {
        harness.advance(milliseconds(500));
        harness.report_from_guard(first);
    }
    CHECK(harness.stopped.contains(task));
    harness.end(task, run_end::stopped);
    harness.report_from_guard("g1");
    harness.report_from_guard("g2");
    harness.advance();
    CHECK(harness.guard_of[task] != first);
}

TEST_CASE("reports that arrive out of order change nothing")
{
    scheduler_harness harness;
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    harness.advance();
    worker_report old = harness.worker("g1");
    old.sequence = 1;
    old.worker.executor = "g1-0";
    harness.core.report(old, harness.now, harness.now);
    CHECK(harness.core.workers().at("g1").description.executor == "g1-1");
    CHECK(harness.core.workers().at("g1").assigned_tasks.size() == 1);
}

TEST_CASE("jobs that have not begun are counted by queue")
{
    scheduler_harness harness;
    const job definition = harness.submit({step_of(1)});
    harness.submit({step_of(1)}, "slow");
    CHECK(harness.core.waiting("q") == 1);
    harness.report_from_guard("g1");
    harness.advance();
    harness.report_from_guard("g1");
    CHECK(harness.core.waiting("q") == 0);
    CHECK(harness.shown(definition.id) == job_state::running);
    CHECK_FALSE(harness.shown("nobody").has_value());
}

TEST_CASE("an older queue table is ignored")
{
    scheduler_harness harness;
    queue_table old = scheduler_harness::table(0);
    old.queues.clear();
    harness.core.set_table(old);
    harness.report_from_guard("g1");
    const job definition = harness.submit({step_of(1)});
    harness.advance();
    CHECK(harness.has_started(definition.id + ".0.0.0"));
}
