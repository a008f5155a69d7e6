// Tests of a guard's calls to its worker: leases, fences, unanswered orders,
// and the pace of best-effort tasks.

#include <doctest/doctest.h>

#include <springstair/guard.hpp>

#include <algorithm>
#include <set>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class guard_fixture
{
public:
    guard_fixture()
    {
        reconciler.on_worker({.executor = "w1",
                              .service = "s",
                              .capacity = {.cpu_millis = 4000}},
                             1000, now);
        answer({});
    }

    // Delivers the leader's answer to a report.
    void answer(const guard_orders& orders, std::int64_t epoch = 5,
                std::int64_t permit_ms = 4000)
    {
        report_answer out{.holds = true, .permit_ms = permit_ms};
        out.orders = orders;
        out.orders.epoch = epoch;
        out.orders.executor = "w1";
        reconciler.on_answer(out, reconciler.report(now), now, now);
    }

    void start(const std::string& task, std::int64_t run = 1,
               bool fills = false)
    {
        start_order order{.task = task, .run = run};
        order.fills = fills;
        order.image = fills ? "f" : "s";
        order.latency_target_ms = fills ? 0 : 10;
        answer({.starts = {order}});
    }

    template <class Action>
    std::vector<Action> due()
    {
        std::vector<Action> out;
        for (const executor_action& one : reconciler.due(now))
        {
            if (const auto* action = std::get_if<Action>(&one))
            {
                out.push_back(*action);
            }
        }
        return out;
    }

    void answer_poll(std::vector<running_task> running,
                     std::vector<ended_task> ended = {})
    {
        reconciler.on_polled("w1", order_result::accepted,
                             executor_snapshot{.clock_ms = clock(),
                                               .running = std::move(running),
                                               .ended = std::move(ended)},
                             now, now);
    }

    // Another executor starts at the address and is polled.
    void replace_executor()
    {
        reconciler.on_worker({.executor = "w2",
                              .service = "s",
                              .capacity = {.cpu_millis = 4000}},
                             clock(), now);
        reconciler.on_polled("w2", order_result::accepted,
                             executor_snapshot{.clock_ms = clock()}, now, now);
    }

    std::int64_t clock() const
    {
        return 1000 + to_milliseconds(now - started_at);
    }

    time_point now{std::chrono::hours(1)};
    time_point started_at = now;
    run_reconciler reconciler{};
};

} // namespace

TEST_CASE("a lease lasts no longer than the lease grant")
{
    guard_fixture guard;
    guard.answer({}, 5, 800);
    const auto polls = guard.due<poll_executor>();
    REQUIRE(polls.size() == 1);
    REQUIRE(polls[0].deadline_ms.has_value());
    // The lease grant of the first answer is longer and still valid.
    CHECK(*polls[0].deadline_ms <= guard.clock() + 4000);
    CHECK(polls[0].fence / run_reconciler::fences_per_epoch == 5);
    guard.answer_poll({});
    guard.now += seconds(4);
    const auto later = guard.due<poll_executor>();
    REQUIRE(later.size() == 1);
    CHECK_FALSE(later[0].deadline_ms.has_value());
}

TEST_CASE("an unanswered start is repeated, then the run is refused")
{
    guard_fixture guard;
    guard.start("j.0.0.0");
    for (int count = 0; count < 4; ++count)
    {
        const auto starts = guard.due<start_run>();
        REQUIRE(starts.size() == 1);
        CHECK(starts[0].deadline_ms <= guard.clock() + 2000);
        guard.reconciler.on_started(
            {.order = {.task = "j.0.0.0", .run = 1},
             .executor = guard.reconciler.worker().executor},
            order_result::unanswered, guard.now);
        guard.now += milliseconds(150);
        guard.answer_poll({});
    }
    // A delayed start could still begin the run, so it is stopped before it is
    // refused.
    CHECK(guard.reconciler.report(guard.now).refused.empty());
    REQUIRE(guard.due<stop_run>().size() == 1);
    guard.reconciler.on_stopped(
        {.order = {.task = "j.0.0.0", .run = 1},
         .executor = guard.reconciler.worker().executor},
        order_result::accepted, guard.now);
    guard.answer_poll({});
    CHECK(guard.reconciler.report(guard.now).refused.empty());
    guard.now += seconds(1);
    guard.answer_poll({});
    const auto refused = guard.reconciler.report(guard.now).refused;
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].task == "j.0.0.0");
    guard.answer({});
    CHECK(guard.reconciler.report(guard.now).refused.empty());
}

TEST_CASE("each result of a start is retried, refused or dropped")
{
    struct row
    {
        order_result result;
        bool refused_by_worker;
        bool retried;
    };
    for (const row& expected : {row{order_result::accepted, false, false},
                                row{order_result::no_room, true, false},
                                row{order_result::rejected, true, false},
                                row{order_result::unhealthy, true, false},
                                row{order_result::late, false, true},
                                row{order_result::unanswered, false, true},
                                row{order_result::fenced, false, false},
                                row{order_result::other_life, false, false}})
    {
        CAPTURE(to_string(expected.result));
        guard_fixture guard;
        guard.start("j.0.0.0");
        guard.due<start_run>();
        guard.reconciler.on_started(
            {.order = {.task = "j.0.0.0", .run = 1},
             .executor = guard.reconciler.worker().executor},
            expected.result, guard.now);
        CHECK(guard.reconciler.report(guard.now).refused.size() ==
              (expected.refused_by_worker ? 1 : 0));
        guard.now += milliseconds(150);
        guard.answer_poll({});
        CHECK(guard.due<start_run>().size() == (expected.retried ? 1 : 0));
    }
}

// A task that crashes executors crashed two incarnations with one run: its
// start got no answer and was repeated to the next incarnation of the same id.
TEST_CASE("a start without an answer is not repeated to an executor that may "
          "have restarted")
{
    guard_fixture guard;
    guard.start("j.0.0.0");
    REQUIRE(guard.due<start_run>().size() == 1);
    guard.reconciler.on_started(
        {.order = {.task = "j.0.0.0", .run = 1},
         .executor = guard.reconciler.worker().executor},
        order_result::unanswered, guard.now);
    guard.now += milliseconds(500);
    CHECK(guard.due<start_run>().empty());
    guard.answer_poll({});
    CHECK(guard.due<start_run>().size() == 1);
}

// A task that crashes executors was taken for proven: its lost start was
// repeated, and its run time was counted from the first attempt on.
// A task that crashes executors was cleared: the answer to the poll that showed
// its run arrived seconds after the crash.
TEST_CASE("lists that were held back are reported with their age")
{
    guard_fixture guard;
    guard.answer_poll({});
    const time_point sent = guard.now;
    guard.now += seconds(4);
    guard.reconciler.on_polled("w1", order_result::accepted,
                               executor_snapshot{.clock_ms = guard.clock()},
                               sent, guard.now);
    CHECK(guard.reconciler.report(guard.now).lists_age_ms >= 3000);
}

TEST_CASE("a run has not begun before a poll that does not list it")
{
    guard_fixture guard;
    guard.start("j.0.0.0");
    const auto report_unanswered = [&]
    {
        REQUIRE(guard.due<start_run>().size() == 1);
        guard.reconciler.on_started(
            {.order = {.task = "j.0.0.0", .run = 1},
             .executor = guard.reconciler.worker().executor},
            order_result::unanswered, guard.now);
    };
    report_unanswered();
    guard.now += seconds(2);
    guard.answer_poll({});
    report_unanswered();
    guard.now += milliseconds(100);
    guard.answer_poll({{.task = "j.0.0.0", .run = 1}});
    guard.replace_executor();
    const auto former = guard.reconciler.report(guard.now).former;
    REQUIRE(former.size() == 1);
    REQUIRE(former[0].begun.size() == 1);
    CHECK(former[0].begun[0].at_work_ms <= 100);
}

TEST_CASE("orders of an older leader or for another incarnation are rejected")
{
    guard_fixture guard;
    CHECK_FALSE(
        guard.reconciler.on_orders({.epoch = 4, .executor = "w1"}, guard.now));
    CHECK_FALSE(
        guard.reconciler.on_orders({.epoch = 6, .executor = "w0"}, guard.now));
    CHECK(
        guard.reconciler.on_orders({.epoch = 6, .executor = "w1"}, guard.now));
    CHECK_FALSE(
        guard.reconciler.on_orders({.epoch = 5, .executor = "w1"}, guard.now));
}

TEST_CASE("an older leader's answer does not extend the lease grant")
{
    guard_fixture guard;
    guard.reconciler.on_orders({.epoch = 9, .executor = "w1"}, guard.now);
    const time_point before = guard.reconciler.lease_granted_until();
    guard.now += seconds(1);
    guard.answer({}, 5);
    CHECK(guard.reconciler.lease_granted_until() == before);
}

TEST_CASE("an unresponsive worker's lease is not extended and expires")
{
    guard_fixture guard;
    const auto polls = guard.due<poll_executor>();
    REQUIRE(polls.size() == 1);
    guard.reconciler.on_polled("w1", order_result::unanswered, std::nullopt,
                               guard.now, guard.now);
    guard.now += milliseconds(1500);
    guard.answer({});
    const auto silent = guard.due<poll_executor>();
    REQUIRE(silent.size() == 1);
    CHECK_FALSE(silent[0].deadline_ms.has_value());
    CHECK_FALSE(guard.reconciler.report(guard.now).answering);
    CHECK_FALSE(guard.reconciler.report(guard.now).lapsed);
    // A past incarnation of the guard may have requested max_lease.
    guard.now += seconds(6);
    CHECK(guard.reconciler.report(guard.now).lapsed);
    guard.answer_poll({});
    CHECK_FALSE(guard.reconciler.report(guard.now).lapsed);
}

TEST_CASE("a draining worker starts nothing more")
{
    guard_fixture guard;
    guard.start("j.0.0.0");
    guard.reconciler.on_worker(
        {.executor = "w1", .service = "s", .draining = true}, guard.clock(),
        guard.now);
    CHECK(guard.due<start_run>().empty());
    CHECK(guard.reconciler.report(guard.now).refused.size() == 1);
}

TEST_CASE("a restarted guard reports the runs that it finds")
{
    guard_fixture guard;
    guard.answer_poll({{.task = "j.0.0.0", .run = 3}});
    CHECK(guard.reconciler.report(guard.now).unknown ==
          std::vector<std::string>{"j.0.0.0"});
    guard.start("j.0.0.0", 3);
    CHECK(guard.due<start_run>().empty());
    CHECK(guard.reconciler.report(guard.now).unknown.empty());
}

TEST_CASE("the next executor of a worker has none of the runs")
{
    guard_fixture guard;
    guard.start("j.0.0.0");
    guard.due<start_run>();
    guard.reconciler.on_started(
        {.order = {.task = "j.0.0.0", .run = 1},
         .executor = guard.reconciler.worker().executor},
        order_result::accepted, guard.now);
    guard.answer_poll({{.task = "j.0.0.0", .run = 1}});
    guard.reconciler.on_worker({.executor = "w2", .service = "s"}, 5,
                               guard.now);
    CHECK(guard.reconciler.report(guard.now).worker.executor ==
          "w1"); // until it answers
    guard.reconciler.on_polled("w2", order_result::fenced, {}, guard.now,
                               guard.now);
    const worker_report report = guard.reconciler.report(guard.now);
    CHECK(report.running.empty());
    CHECK_FALSE(report.looked);
}

TEST_CASE("a leader that returns at its address is found again")
{
    leader_finder finder({"a:1", "b:1"});
    CHECK(finder.target() == "a:1");
    CHECK(finder.follow("c:1"));
    CHECK(finder.target() == "c:1");
    CHECK_FALSE(finder.failed());
    CHECK(finder.failed());
    // The other entries still name the same leader; it is also asked itself.
    std::set<std::string> asked;
    for (int count = 0; count < 4; ++count)
    {
        asked.insert(finder.target());
        CHECK_FALSE(finder.follow("c:1"));
        CHECK_FALSE(finder.failed());
    }
    CHECK(asked.contains("c:1"));
    CHECK(asked.size() > 1);
    finder.answered();
    CHECK(finder.target() == "c:1");
}

namespace
{

const std::map<std::string, run_traits> two_fills{
    {"serve", {.latency_target_ms = 100, .image = "s"}},
    {"one", {.fills = true, .image = "worse"}},
    {"two", {.fills = true, .image = "bad"}}};

} // namespace

TEST_CASE("best-effort tasks are slowed while a tail is high, known ones first")
{
    interference_controller control;
    control.learn({{.serving = "s", .filling = "bad", .harm = 4}});
    const std::map<std::string, run_traits> traits{
        {"serve", {.latency_target_ms = 10, .image = "s"}},
        {"one", {.fills = true, .image = "bad"}},
        {"two", {.fills = true, .image = "good"}}};
    time_point now{std::chrono::hours(1)};
    const auto observe = [&](std::int64_t tail)
    {
        now += milliseconds(500);
        control.observe({{.task = "serve", .load = tail},
                         {.task = "one", .load = 1500},
                         {.task = "two", .load = 1500}},
                        traits, 4000, now);
    };
    observe(6);
    CHECK(control.pace("bad") == 100);
    CHECK(control.take_changes().empty());
    observe(12);
    CHECK(control.pace("bad") < 100);
    CHECK(control.pace("good") == 100);
    const auto changes = control.take_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].serving == "s");
    CHECK(changes[0].known);
    for (int count = 0; count < 8; ++count)
    {
        observe(4);
    }
    CHECK(control.pace("bad") == 100);
}

TEST_CASE("the image with most interference per work is slowed first")
{
    interference_controller control;
    control.learn({{.serving = "s", .filling = "worse", .harm = 6},
                   {.serving = "s", .filling = "bad", .harm = 2}});
    const time_point now{std::chrono::hours(1)};
    // Headroom 1 is 0.25 below the required 1.25; "worse" uses 0.1 of the
    // processors and costs 0.6.
    control.observe({{.task = "serve", .load = 100},
                     {.task = "one", .load = 400},
                     {.task = "two", .load = 400}},
                    two_fills, 4000, now);
    CHECK(control.pace("worse") == 60);
    CHECK(control.pace("bad") == 100);
}

TEST_CASE("best-effort tasks that speed up together keep the tail in bounds")
{
    interference_controller control;
    control.learn({{.serving = "s", .filling = "worse", .harm = 6},
                   {.serving = "s", .filling = "bad", .harm = 4}});
    time_point now{std::chrono::hours(1)};
    const auto observe = [&](std::int64_t tail, std::int64_t load)
    {
        now += milliseconds(500);
        control.observe({{.task = "serve", .load = tail},
                         {.task = "one", .load = load},
                         {.task = "two", .load = load}},
                        two_fills, 4000, now);
    };
    observe(500, 400);
    observe(500, 400);
    REQUIRE(control.pace("worse") == 0);
    REQUIRE(control.pace("bad") == 0);
    // Headroom 1.45: 0.2 to spare, all given to the less interfering image,
    // which costs 0.4 at full pace.
    observe(69, 0);
    CHECK(control.pace("bad") == 50);
    CHECK(control.pace("worse") == 0);
    control.take_changes();
    // Ample headroom: both return to full pace at once and report it.
    observe(10, 0);
    const auto changes = control.take_changes();
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].pace == 100);
    CHECK(changes[1].pace == 100);
    CHECK(control.paces().empty());
}

TEST_CASE("with unknown interference all best-effort tasks slow and then stop")
{
    interference_controller control;
    const std::map<std::string, run_traits> traits{
        {"serve", {.latency_target_ms = 10, .image = "s"}},
        {"one", {.fills = true, .image = "f"}}};
    time_point now{std::chrono::hours(1)};
    const time_point since = now;
    while (control.pace("f") > 0)
    {
        now += milliseconds(500);
        control.observe(
            {{.task = "serve", .load = 30}, {.task = "one", .load = 1500}},
            traits, 4000, now);
        REQUIRE(now - since < seconds(4));
    }
    CHECK(now - since <= milliseconds(2500));
}

// The stop was not logged: an operator saw best-effort tasks stand still
// without a reason.
TEST_CASE("a stop of best-effort tasks is a logged change of pace")
{
    interference_controller control({.slow_all_factor = 0.9});
    const std::map<std::string, run_traits> traits{
        {"serve", {.latency_target_ms = 1000, .image = "s"}},
        {"one", {.fills = true, .image = "f"}}};
    time_point now{std::chrono::hours(1)};
    const time_point since = now;
    double last_logged = 100;
    while (control.pace("f") > 0)
    {
        now += milliseconds(500);
        control.observe(
            {{.task = "serve", .load = 1001}, {.task = "one", .load = 1500}},
            traits, 4000, now);
        for (const pace_change& change : control.take_changes())
        {
            last_logged = change.pace;
        }
        REQUIRE(now - since < seconds(4));
    }
    CHECK(last_logged == 0);
}

TEST_CASE("a worker that refuses calls is not answering until it accepts one")
{
    guard_fixture guard;
    guard.answer_poll({});
    CHECK(guard.reconciler.report(guard.now).answering);
    SUBCASE("a start")
    {
        guard.start("a");
        REQUIRE(guard.due<start_run>().size() == 1);
        guard.reconciler.on_started(
            {.order = {.task = "a", .run = 1},
             .executor = guard.reconciler.worker().executor},
            order_result::unhealthy, guard.now);
    }
    SUBCASE("a poll")
    {
        guard.reconciler.on_polled("w1", order_result::unhealthy, std::nullopt,
                                   guard.now, guard.now);
    }
    CHECK_FALSE(guard.reconciler.report(guard.now).answering);
    CHECK(guard.reconciler.take_report_due());
    guard.answer_poll({});
    CHECK(guard.reconciler.report(guard.now).answering);
}

TEST_CASE("runs that had begun in a past incarnation are reported")
{
    guard_fixture guard;
    guard.answer_poll({});
    for (const char* task : {"listed", "taken", "under way", "refused"})
    {
        guard.start(task);
    }
    guard.due<start_run>();
    guard.reconciler.on_started(
        {.order = {.task = "listed", .run = 1},
         .executor = guard.reconciler.worker().executor},
        order_result::accepted, guard.now);
    guard.reconciler.on_started(
        {.order = {.task = "taken", .run = 1},
         .executor = guard.reconciler.worker().executor},
        order_result::accepted, guard.now);
    guard.reconciler.on_started(
        {.order = {.task = "refused", .run = 1},
         .executor = guard.reconciler.worker().executor},
        order_result::unhealthy, guard.now);
    guard.now += milliseconds(500);
    guard.answer_poll(
        {{.task = "listed", .run = 1}, {.task = "taken", .run = 1}},
        {{.number = 1, .task = "ended", .run = 1}});
    guard.now += milliseconds(100);
    guard.reconciler.on_worker({.executor = "w2", .service = "s"}, 5,
                               guard.now);
    guard.reconciler.on_polled("w2", order_result::accepted,
                               executor_snapshot{}, guard.now, guard.now);
    const auto former = guard.reconciler.report(guard.now).former;
    REQUIRE(former.size() == 1);
    CHECK(former[0].executor == "w1");
    const std::vector<begun_run> begun{
        {.task = "listed", .run = 1, .at_work_ms = 500, .is_sure = true},
        {.task = "taken", .run = 1, .at_work_ms = 500, .is_sure = true},
        {.task = "under way", .run = 1}};
    CHECK(former[0].begun == begun);
    // Reported again, as the leader that received it may fail, then no more.
    guard.answer({}, 6);
    guard.now += seconds(5);
    CHECK(guard.reconciler.report(guard.now).former == former);
    guard.now += seconds(2);
    guard.answer({}, 6);
    CHECK(guard.reconciler.report(guard.now).former.empty());
}

// Guards against reports that a leader refuses: they held the checkpoints of
// all running tasks, whose size executors choose.
TEST_CASE("the checkpoints of running tasks take turns in reports")
{
    guard_fixture guard;
    std::vector<running_task> running(
        10, {.run = 1, .checkpoint = std::string(100'000, 'c'), .percent = 50});
    for (std::size_t index = 0; index < running.size(); ++index)
    {
        running[index].task = "j.0.0." + std::to_string(index);
    }
    guard.due<poll_executor>();
    guard.answer_poll(running);
    std::set<std::string> reported;
    for (int report = 0; report < 6; ++report)
    {
        guard.now += seconds(1);
        const worker_report next = guard.reconciler.report(guard.now);
        REQUIRE(next.running.size() == running.size());
        std::size_t reported_bytes = 0;
        for (const running_task& row : next.running)
        {
            reported_bytes += row.checkpoint.size();
            if (!row.checkpoint.empty())
            {
                reported.insert(row.task);
            }
        }
        CHECK(reported_bytes <=
              run_reconciler_options{}.max_reported_checkpoint_bytes);
        guard.answer({});
    }
    CHECK(reported.size() == running.size());
}

TEST_CASE("a checkpoint larger than all of a report is still reported")
{
    guard_fixture guard;
    const std::string large(1'000'000, 'c');
    guard.due<poll_executor>();
    guard.answer_poll({{.task = "j.0.0.0", .run = 1, .checkpoint = large}});
    guard.now += seconds(1);
    const worker_report report = guard.reconciler.report(guard.now);
    REQUIRE(report.running.size() == 1);
    CHECK(report.running.front().checkpoint == large);
}
