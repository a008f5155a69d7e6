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
    scheduler_harness at;
    at.say("g1");
    const job what = at.submit({step_of(1)});
    at.core.tick(at.now, 0);
    const auto batch = at.core.next_commit(at.now);
    REQUIRE(batch.has_value());
    CHECK(at.core.take_orders().empty());
    CHECK(batch->front().expected_revision == 0);
    at.core.committed(*batch, 9, at.now);
    const auto orders = at.core.take_orders();
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].orders.epoch == 7);
    CHECK(orders[0].orders.executor == "g1-1");
    CHECK(orders[0].orders.starts.at(0).task == what.id + ".0.0.0");
}

TEST_CASE("an end is acknowledged and shown once it is committed")
{
    scheduler_harness at;
    at.say("g1");
    const job what = at.submit({step_of(1)});
    at.turn();
    const std::string task = what.id + ".0.0.0";
    REQUIRE(at.runs(task));
    at.end(task, run_end::done);
    CHECK(at.say("g1").orders.acknowledged == 0);
    CHECK(at.shown(what.id) != job_state::succeeded);
    at.turn();
    CHECK(at.shown(what.id) == job_state::succeeded);
    CHECK(at.say("g1").orders.acknowledged == 1);
}

TEST_CASE("steps wait for the steps they depend on")
{
    scheduler_harness at;
    at.say("g1");
    job_step second = step_of(1);
    second.after = {0};
    const job what = at.submit({step_of(2), second});
    at.turn();
    CHECK(at.runs(what.id + ".0.0.1"));
    CHECK_FALSE(at.runs(what.id + ".0.1.0"));
    at.end(what.id + ".0.0.0", run_end::done);
    at.say("g1");
    at.turn();
    CHECK_FALSE(at.runs(what.id + ".0.1.0"));
    at.end(what.id + ".0.0.1", run_end::done);
    at.say("g1");
    at.turn();
    CHECK(at.runs(what.id + ".0.1.0"));
}

TEST_CASE("failures count towards the max attempts, other ends do not")
{
    scheduler_harness at;
    at.say("g1");
    at.say("g2");
    const job what = at.submit({step_of(1)});
    const std::string task = what.id + ".0.0.0";
    at.turn();
    for (const run_end how :
         {run_end::stopped, run_end::lapsed, run_end::failed})
    {
        at.end(task, how, "c");
        at.say(at.where[task]);
        at.turn();
        CHECK(at.started[task].checkpoint == "c");
        at.say("g1");
        at.say("g2");
    }
    CHECK(at.started[task].run == 4);
    CHECK(at.shown(what.id) == job_state::running);
    at.end(task, run_end::failed);
    at.say(at.where[task]);
    at.turn();
    CHECK(at.shown(what.id) == job_state::failed);
}

TEST_CASE("a failed task is retried on another worker if there is one")
{
    scheduler_harness at;
    at.say("g1");
    at.say("g2");
    const job what = at.submit({step_of(1)});
    const std::string task = what.id + ".0.0.0";
    at.turn();
    const std::string first = at.where[task];
    at.end(task, run_end::failed);
    at.say(first);
    at.turn();
    CHECK(at.where[task] != first);
}

TEST_CASE("a cancelled job starts nothing, and its runs are stopped")
{
    scheduler_harness at;
    at.say("g1");
    const job what = at.submit({step_of(6)});
    at.turn();
    CHECK(at.started.size() == 4); // the worker's capacity
    at.core.cancel(what.id, at.now);
    CHECK(at.shown(what.id) == job_state::cancelled);
    at.turn();
    CHECK(at.stopped.size() == 4);
    at.end(what.id + ".0.0.0", run_end::stopped);
    at.say("g1");
    at.turn();
    CHECK(at.started.size() == 4);
}

TEST_CASE("a worker's capacity is respected; best-effort tasks use no millis")
{
    scheduler_harness at;
    at.say("g1");
    at.submit({step_of(9)});
    at.turn();
    CHECK(at.started.size() == 4);
    CHECK(at.core.workers().at("g1").free_capacity().cpu_millis == 0);

    scheduler_harness other;
    other.say("g1");
    job_step fill = step_of(3);
    fill.fills = true;
    fill.image = "f";
    other.submit({fill});
    other.turn();
    CHECK(other.started.size() == 3);
    CHECK(other.core.workers().at("g1").free_capacity().cpu_millis == 4000);
    CHECK(other.core.workers().at("g1").free_capacity().memory_mb == 3700);
}

TEST_CASE("a failed search covers those that need at least as much")
{
    const interference_model harm;
    const std::set<std::string> avoided;
    const std::string service = "s";
    const std::string group = "j.0.0";
    const auto asks = [&](const job_step& step,
                          bool ignore_interference = false) -> placement_query
    {
        return {.step = step,
                .service = service,
                .group = group,
                .avoided = avoided,
                .harm = harm,
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
    infeasible_queries vain;
    vain.note(asks(middle));
    CHECK(vain.covers(asks(middle)));
    CHECK(vain.covers(asks(large)));
    CHECK_FALSE(vain.covers(asks(small)));
    CHECK_FALSE(vain.covers(asks(fill)));
    CHECK_FALSE(vain.covers(asks(elsewhere)));
    CHECK_FALSE(vain.covers(asks(bounded)));
    CHECK_FALSE(vain.covers(asks(large, true)));
    vain.clear();
    CHECK_FALSE(vain.covers(asks(large)));
}

TEST_CASE("a best-effort task waits for a tolerant worker, up to a timeout")
{
    scheduler_harness at;
    at.core.adopt_interference({{.serving = "s", .filling = "f", .harm = 40}});
    at.say("g1");
    at.submit({serving_step()});
    at.turn();
    const job_step fill = fill_step(2);
    const job what = at.submit({fill});
    at.turn();
    CHECK_FALSE(at.runs(what.id + ".0.0.0"));
    for (int count = 0; count < 4; ++count)
    {
        at.turn(milliseconds(450));
        at.say("g1");
    }
    CHECK(at.runs(what.id + ".0.0.0"));
    CHECK_FALSE(at.runs(what.id + ".0.0.1")); // one run keeps the job going
}

TEST_CASE("the wait of a step begins when the steps before it are done")
{
    scheduler_harness at;
    at.core.adopt_interference({{.serving = "s", .filling = "f", .harm = 40}});
    at.say("g1");
    at.submit({serving_step()});
    job_step fill = fill_step(1);
    fill.after = {0};
    const job what = at.submit({step_of(1), fill});
    at.turn();
    for (int count = 0; count < 6; ++count)
    {
        at.turn(milliseconds(450));
        at.say("g1");
    }
    at.end(what.id + ".0.0.0", run_end::done);
    at.say("g1");
    at.turn(milliseconds(100));
    CHECK_FALSE(at.runs(what.id + ".0.1.0")); // it was released just now
    for (int count = 0; count < 4; ++count)
    {
        at.turn(milliseconds(450));
        at.say("g1");
    }
    CHECK(at.runs(what.id + ".0.1.0"));
}

TEST_CASE("a best-effort task is not placed where its image is throttled")
{
    scheduler_harness at;
    at.worker("g1").paces = {{"f", 0}};
    at.say("g1");
    const job what = at.submit({fill_step(1)});
    at.turn();
    CHECK_FALSE(at.runs(what.id + ".0.0.0"));
    at.worker("g1").paces = {{"f", 75}};
    at.say("g1");
    at.turn(milliseconds(100)); // the next placement pass
    CHECK(at.runs(what.id + ".0.0.0"));
}

TEST_CASE("a relocated best-effort task does not return at once")
{
    scheduler_harness at;
    at.say("g1");
    job_step fill = fill_step(1);
    fill.checkpoints = true;
    const job what = at.submit({fill});
    const std::string task = what.id + ".0.0.0";
    at.turn();
    at.say("g1"); // reports the run
    at.say("g2");
    at.worker("g1").paces = {{"f", 0}};
    at.say("g1");
    REQUIRE(at.stopped.contains(task));
    at.end(task, run_end::stopped, "c");
    at.worker("g1").paces.clear();
    at.say("g1");
    at.turn();
    CHECK(at.where[task] == "g2");
    CHECK(at.started[task].checkpoint == "c");
}

TEST_CASE("service, label and max tasks per worker are respected")
{
    scheduler_harness at;
    at.say("g1");
    at.worker("g2").worker.labels = {"big"};
    at.say("g2");
    const job elsewhere = at.submit({step_of(1)}, "other");
    job_step labelled = step_of(1);
    labelled.label = "big";
    const job big = at.submit({labelled});
    job_step apart = step_of(4, 100);
    apart.most_per_worker = 1;
    const job spread = at.submit({apart});
    at.turn();
    CHECK_FALSE(at.runs(elsewhere.id + ".0.0.0"));
    CHECK(at.where.at(big.id + ".0.0.0") == "g2");
    CHECK(at.runs(spread.id + ".0.0.1"));
    CHECK_FALSE(at.runs(spread.id + ".0.0.2"));
    CHECK(at.where.at(spread.id + ".0.0.0") !=
          at.where.at(spread.id + ".0.0.1"));
}

TEST_CASE("a queue with advice runs only where the advice service allows it")
{
    scheduler_harness at;
    queue_table table = scheduler_harness::table(2);
    table.queues[0].advice = advice_terms{};
    at.core.set_table(table);
    at.say("g1");
    at.say("g2");
    const job what = at.submit({step_of(2)});
    at.turn();
    CHECK(at.started.empty());
    const auto question = at.core.next_question(at.now);
    REQUIRE(question.has_value());
    CHECK(question->step == what.id + ".0.0");
    CHECK(question->executors.size() == 2);
    at.core.advised(
        advice_answer{.tickets = {{"g2-1", "pass"}}, .valid_ms = 3000}, at.now);
    at.turn();
    CHECK(at.where.at(what.id + ".0.0.0") == "g2");
    CHECK(at.where.at(what.id + ".0.0.1") == "g2");
    CHECK(at.started.at(what.id + ".0.0.0").ticket == "pass");

    // The worker finds the ticket expired: a new one is requested.
    at.worker("g2").running.clear();
    at.worker("g2").refused = {
        {.task = what.id + ".0.0.0", .run = 1, .reason = no_ticket_reason}};
    at.say("g2");
    at.worker("g2").refused.clear();
    at.turn(milliseconds(400));
    const auto again = at.core.next_question(at.now);
    REQUIRE(again.has_value());
    CHECK(again->executors == std::vector<executor_incarnation>{"g2-1"});
}

TEST_CASE("tasks are placed by priority, then by the earliest objective")
{
    scheduler_harness at;
    const job slow = at.submit({step_of(1, 4000)}, "slow");
    job_step long_step = step_of(1, 4000);
    long_step.estimate_ms = 60'000;
    const job patient = at.submit({long_step});
    const job brief = at.submit({step_of(1, 4000)});
    at.say("g1");
    at.turn();
    CHECK(at.runs(brief.id + ".0.0.0"));
    CHECK_FALSE(at.runs(patient.id + ".0.0.0"));
    CHECK_FALSE(at.runs(slow.id + ".0.0.0"));
}

TEST_CASE("a gang starts completely or not at all, and ends together")
{
    scheduler_harness at;
    at.say("g1");
    job_step gang = step_of(5);
    gang.gang = true;
    const job what = at.submit({gang});
    at.turn();
    CHECK(at.started.empty());
    at.say("g1");
    at.say("g2");
    at.turn();
    CHECK(at.started.size() == 5);
    at.end(what.id + ".0.0.0", run_end::failed, "c");
    at.say(at.where[what.id + ".0.0.0"]);
    at.turn();
    CHECK(at.stopped.size() == 4);
    for (int index = 1; index < 5; ++index)
    {
        at.end(what.id + ".0.0." + std::to_string(index), run_end::broken);
    }
    at.say("g1");
    at.say("g2");
    at.turn();
    for (const auto& [task, order] : at.started)
    {
        CHECK(order.run == 2);
        CHECK(order.checkpoint == "c");
    }
    at.end(what.id + ".0.0.3", run_end::done);
    at.say(at.where[what.id + ".0.0.3"]);
    at.turn();
    CHECK(at.shown(what.id) == job_state::succeeded);
}

TEST_CASE("rounds of a schedule start when they are due")
{
    scheduler_harness at;
    at.say("g1");
    at.unix_ms = 1'000'000;
    job what{.id = "timed",
             .queue = "q",
             .steps = {step_of(1)},
             .schedule = {
                 .first_due_ms = 1'000'500, .interval_ms = 1000, .count = 2}};
    at.core.accept(what, at.now);
    at.turn();
    CHECK(at.started.empty());
    at.unix_ms = 1'000'500;
    at.turn();
    CHECK(at.runs("timed.0.0.0"));
    CHECK_FALSE(at.runs("timed.1.0.0"));
    at.unix_ms = 1'001'500;
    at.turn();
    CHECK(at.runs("timed.1.0.0"));
}

TEST_CASE("a guard that is cut off keeps its tasks until its lease expires")
{
    const scheduler_options options;
    scheduler_harness at(options);
    at.say("g1");
    at.say("g2");
    const job what = at.submit({step_of(1)});
    const std::string task = what.id + ".0.0.0";
    at.turn();
    const std::string first = at.where[task];
    const std::string second = first == "g1" ? "g2" : "g1";
    const report_answer answer = at.say(first);
    CHECK(answer.permit_ms == to_milliseconds(options.lease_grant));
    const time_point given = at.now;
    while (at.where[task] == first)
    {
        at.turn(milliseconds(100));
        at.say(second);
        REQUIRE(at.now - given < seconds(10));
    }
    CHECK(at.now - given > options.lease_grant * 102 / 100);
    CHECK(at.started[task].run == 2);
}

TEST_CASE("tasks of a worker that reports an expired lease are freed at once")
{
    scheduler_harness at;
    at.say("g1");
    const job what = at.submit({step_of(1)});
    const std::string task = what.id + ".0.0.0";
    at.turn();
    worker_report& report = at.worker("g1");
    report.answering = false;
    report.lapsed = true;
    at.say("g1");
    at.say("g2");
    at.turn();
    CHECK(at.where[task] == "g2");
}

TEST_CASE("a new executor incarnation has no runs of the past one")
{
    scheduler_harness at;
    at.say("g1");
    const job what = at.submit({step_of(1)});
    const std::string task = what.id + ".0.0.0";
    at.turn();
    worker_report& report = at.worker("g1");
    report.worker.executor = "g1-2";
    report.running.clear();
    at.say("g1");
    at.turn();
    CHECK(at.started[task].run == 2);
}

TEST_CASE("a start whose order is pending is not sent to a new incarnation")
{
    scheduler_harness at;
    at.say("g1");
    at.submit({step_of(1)});
    at.core.tick(at.now, 0);
    const auto batch = at.core.next_commit(at.now);
    REQUIRE(batch.has_value());
    at.core.committed(*batch, 9, at.now);
    at.worker("g1").worker.executor = "g1-2";
    const report_answer answer = at.say("g1");
    CHECK(answer.orders.starts.empty());
    CHECK(at.core.take_orders().empty());
}

TEST_CASE("lease grants end at the lease horizon")
{
    const scheduler_options options;
    scheduler_harness at(options);
    at.say("g1");
    at.now += options.lease_horizon - milliseconds(500);
    CHECK(at.say("g1").permit_ms == 500);
    at.now += seconds(1);
    CHECK(at.say("g1").permit_ms == 0);
}

TEST_CASE("a successor waits for the leases of guards it cannot reach")
{
    const scheduler_options options;
    scheduler_harness first(options);
    first.say("g1");
    const job what = first.submit({step_of(1)});
    const std::string task = what.id + ".0.0.0";
    first.core.tick(first.now, 0);
    const auto batch = first.core.next_commit(first.now);
    REQUIRE(batch.has_value());

    scheduler_harness second(options);
    second.core.begin_term(8, second.now);
    second.core.set_table(scheduler_harness::table());
    second.core.adopt(what, decode_progress(batch->front().text), 9, second.now,
                      0);
    second.core.begin(second.now);
    const time_point since = second.now;
    while (!second.runs(task))
    {
        second.say("g2");
        second.turn(milliseconds(100));
        REQUIRE(second.now - since < seconds(20));
    }
    CHECK(second.now - since > options.lease_horizon);
    CHECK(second.started[task].run == 2);
}

TEST_CASE("a successor adopts the runs that guards report")
{
    scheduler_harness first;
    first.say("g1");
    const job what = first.submit({step_of(1)});
    const std::string task = what.id + ".0.0.0";
    first.core.tick(first.now, 0);
    const auto batch = first.core.next_commit(first.now);
    REQUIRE(batch.has_value());

    scheduler_harness second;
    second.core.begin_term(8, second.now);
    second.core.set_table(scheduler_harness::table());
    second.core.adopt(what, decode_progress(batch->front().text), 9, second.now,
                      0);
    second.core.begin(second.now);
    second.worker("g1").running = {{.task = task, .run = 1}};
    second.started[task] = {.task = task, .run = 1};
    second.where[task] = "g1";
    second.say("g1");
    CHECK(second.core.workers().at("g1").free_capacity().cpu_millis == 3000);
    second.end(task, run_end::done);
    second.say("g1");
    second.turn();
    CHECK(second.shown(what.id) == job_state::succeeded);
}

TEST_CASE("a paused leader shows no state that may have changed")
{
    scheduler_harness at;
    at.say("g1");
    const job open = at.submit({step_of(1)});
    const job done = at.submit({step_of(1)});
    at.turn();
    at.end(done.id + ".0.0.0", run_end::done);
    at.say("g1");
    at.turn();
    REQUIRE(at.shown(open.id) == job_state::running);
    REQUIRE(at.shown(done.id) == job_state::succeeded);

    at.now += seconds(4); // its lease has expired; another entry may lead
    CHECK_FALSE(at.shown(open.id).has_value());
    CHECK(at.shown(done.id) == job_state::succeeded);

    at.verified = at.now;
    CHECK(at.shown(open.id) == job_state::running);
}

TEST_CASE("only the state is stored of a job whose runs have all ended")
{
    scheduler_harness first;
    first.say("g1");
    const job what = first.submit({step_of(2)});
    first.turn();
    const auto kept_after_end = [&](const char* index)
    {
        first.end(what.id + ".0.0." + index, run_end::done);
        first.say("g1");
        const auto batch = first.core.next_commit(first.now += seconds(1));
        first.core.committed(batch.value(), ++first.revision, first.now);
        return decode_progress(batch->front().text);
    };
    CHECK(kept_after_end("0").tasks.size() == 2);
    const job_progress whole = kept_after_end("1");
    CHECK(whole.state == job_state::succeeded);
    CHECK(whole.tasks.empty());

    scheduler_harness second;
    second.core.begin_term(8, second.now);
    second.core.set_table(scheduler_harness::table());
    second.core.adopt(what, whole, 9, second.now, 0);
    second.core.begin(second.now);
    second.say("g1");
    second.turn();
    CHECK(second.started.empty());
    CHECK(second.shown(what.id) == job_state::succeeded);
    CHECK(second.core.waiting("q") == 0);
}

TEST_CASE("a cancelled job's runs are stored until they have ended")
{
    scheduler_harness at;
    at.say("g1");
    const job what = at.submit({step_of(1)});
    at.turn();
    at.core.cancel(what.id, at.now);
    const auto running = at.core.next_commit(at.now += seconds(1));
    REQUIRE(running.has_value());
    CHECK(decode_progress(running->front().text).tasks.size() == 1);
    at.core.committed(*running, ++at.revision, at.now);
    at.end(what.id + ".0.0.0", run_end::stopped);
    at.say("g1");
    const auto ended = at.core.next_commit(at.now += seconds(1));
    REQUIRE(ended.has_value());
    CHECK(decode_progress(ended->front().text).tasks.empty());
}

// Guards against a job that seems to return from succeeded to running: its end
// was in the store, where readers saw it, while the leader had not received the
// store's answer yet.
TEST_CASE("no state is shown while the write of the job's end is in doubt")
{
    scheduler_harness at;
    at.say("g1");
    const job what = at.submit({step_of(1)});
    at.turn();
    at.say("g1");
    CHECK(at.shown(what.id) == job_state::running);
    at.end(what.id + ".0.0.0", run_end::done);
    at.say("g1");
    CHECK(at.shown(what.id) == job_state::running);
    at.now += milliseconds(25);
    at.verified = at.now;
    const auto ended = at.core.next_commit(at.now);
    REQUIRE(ended.has_value());
    CHECK_FALSE(at.shown(what.id).has_value());
    at.core.committed(*ended, ++at.revision, at.now);
    CHECK(at.shown(what.id) == job_state::succeeded);
}

TEST_CASE("a start that no guard reports is sent again by the successor")
{
    scheduler_harness first;
    first.say("g1");
    const job what = first.submit({step_of(1)});
    first.core.tick(first.now, 0);
    const auto batch = first.core.next_commit(first.now);
    REQUIRE(batch.has_value());

    scheduler_harness second;
    second.core.begin_term(8, second.now);
    second.core.set_table(scheduler_harness::table());
    second.core.adopt(what, decode_progress(batch->front().text), 9, second.now,
                      0);
    second.core.begin(second.now);
    second.say("g1");
    second.turn(seconds(2));
    second.say("g1");
    CHECK(second.started[what.id + ".0.0.0"].run == 1);
}

TEST_CASE("draining workers get no tasks; long-running ones leave in time")
{
    scheduler_harness at;
    at.say("g1");
    job_step lasting = step_of(1);
    lasting.lasting = true;
    const job what = at.submit({lasting});
    const std::string task = what.id + ".0.0.0";
    at.turn();
    at.worker("g1").worker.draining = true;
    at.worker("g1").worker.leaves_ms = 5000;
    at.say("g1"); // reports the run
    at.say("g1");
    CHECK(at.stopped.contains(task));
    at.end(task, run_end::stopped);
    at.say("g1");
    at.turn();
    CHECK(at.started[task].run == 1);
    at.say("g2");
    at.turn();
    CHECK(at.where[task] == "g2");
}

TEST_CASE("a worker that fails different jobs in a row is ejected")
{
    // The failures of the only worker raise the failure share of the whole
    // fleet, which weakens the evidence. In a larger fleet, three failures can
    // suffice.
    scheduler_harness at;
    at.say("g1");
    for (int count = 0; count < 4; ++count)
    {
        const bool is_out = at.core.workers().at("g1").ejected_until > at.now;
        CHECK_FALSE(is_out);
        const job what = at.submit({step_of(1)});
        at.turn();
        at.end(what.id + ".0.0.0", run_end::failed);
        at.say("g1");
        at.core.cancel(what.id, at.now);
        at.turn();
    }
    const job next = at.submit({step_of(1)});
    at.say("g1");
    at.turn();
    CHECK_FALSE(at.runs(next.id + ".0.0.0"));
    at.now += seconds(3);
    at.say("g1");
    at.turn();
    CHECK(at.runs(next.id + ".0.0.0"));
}

TEST_CASE("a run without progress is stopped and avoids its worker")
{
    scheduler_harness at;
    at.say("g1");
    at.say("g2");
    const job what = at.submit({step_of(1)});
    const std::string task = what.id + ".0.0.0";
    at.turn();
    const std::string first = at.where[task];
    for (int count = 0; count < 8; ++count)
    {
        at.turn(milliseconds(500));
        at.say(first);
    }
    CHECK(at.stopped.contains(task));
    at.end(task, run_end::stopped);
    at.say("g1");
    at.say("g2");
    at.turn();
    CHECK(at.where[task] != first);
}

TEST_CASE("reports that arrive out of order change nothing")
{
    scheduler_harness at;
    at.say("g1");
    const job what = at.submit({step_of(1)});
    at.turn();
    worker_report old = at.worker("g1");
    old.sequence = 1;
    old.worker.executor = "g1-0";
    at.core.report(old, at.now, at.now);
    CHECK(at.core.workers().at("g1").description.executor == "g1-1");
    CHECK(at.core.workers().at("g1").assigned_tasks.size() == 1);
}

TEST_CASE("jobs that have not begun are counted by queue")
{
    scheduler_harness at;
    const job what = at.submit({step_of(1)});
    at.submit({step_of(1)}, "slow");
    CHECK(at.core.waiting("q") == 1);
    at.say("g1");
    at.turn();
    at.say("g1");
    CHECK(at.core.waiting("q") == 0);
    CHECK(at.shown(what.id) == job_state::running);
    CHECK_FALSE(at.shown("nobody").has_value());
}

TEST_CASE("an older queue table is ignored")
{
    scheduler_harness at;
    queue_table old = scheduler_harness::table(0);
    old.queues.clear();
    at.core.set_table(old);
    at.say("g1");
    const job what = at.submit({step_of(1)});
    at.turn();
    CHECK(at.runs(what.id + ".0.0.0"));
}
