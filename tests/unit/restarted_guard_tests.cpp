// Guards against one task running on two executors at once, or starting again
// after its successful end was acknowledged.
//
// Failure: a guard sends a start and is killed; the start is at its worker,
// begun or still unread in a socket. Within half a second the next guard
// process is up and receives the same start from the leader. The worker refuses
// that copy (busy, no room), and the guard refuses the run as one that never
// begins. The leader starts the task elsewhere, and the first copy runs too.
// The same happens when an order arrives a second time after its run was
// refused.
//
// Cause: only one process remembered what had been sent for a run; any other
// process assumed that nothing had been sent.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <springstair/guard.hpp>

#include <algorithm>
#include <memory>
#include <optional>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration turn_length = milliseconds(10);
constexpr duration report_interval = milliseconds(100);
// A start that is read later has no effect.
constexpr duration start_limit = seconds(2);

// An executor that can leave starts unread in its socket.
struct fake_worker
{
    std::string executor;
    resources capacity = tests::room;
    order_result to_starts = order_result::accepted;
    order_result to_stops = order_result::accepted;
    bool reads_starts = true;
    std::vector<start_run> unread;
    std::map<std::string, std::int64_t> running;
    std::map<std::string, std::int64_t> stopped; ///< highest run, by task

    order_result begin(const start_run& what)
    {
        if (stopped[what.order.task] >= what.order.run)
        {
            return order_result::stale;
        }
        running[what.order.task] = what.order.run;
        return order_result::accepted;
    }
};

struct guarded_worker
{
    std::string guard;
    fake_worker worker;
    std::unique_ptr<run_reconciler> keeper;
    std::string incarnation;
    std::int64_t sequence = 0;
    time_point next_report{};
};

// A leader and two workers with their guards; messages take no time.
class small_fleet
{
public:
    small_fleet()
    {
        core.begin_term(7, now);
        core.set_table(tests::scheduler_harness::table());
        core.begin(now);
        for (const char* name : {"a", "b"})
        {
            workers[name].guard = name;
            workers[name].worker.executor = std::string(name) + "-1";
            begin_guard(name);
        }
        turn(seconds(1));
    }

    // Replaces a guard process by its successor.
    void begin_guard(const std::string& name)
    {
        guarded_worker& at = workers.at(name);
        at.incarnation = "guard-" + std::to_string(++incarnations_);
        at.keeper = std::make_unique<run_reconciler>(run_reconciler_options{},
                                                     at.incarnation);
        at.sequence = 0;
        at.next_report = now;
        beat(at);
    }

    void submit()
    {
        core.accept({.id = "job",
                     .queue = "q",
                     .payload = "p",
                     .steps = {tests::step_of(1)}},
                    now);
    }

    void turn(duration length)
    {
        for (const time_point until = now + length; now < until;)
        {
            now += turn_length;
            core.tick(now, 0);
            write();
            for (auto& [name, at] : workers)
            {
                serve(at);
            }
            const bool twice = runs_at("a") && runs_at("b");
            ran_twice = ran_twice || twice;
        }
    }

    [[nodiscard]] bool runs_at(const std::string& name) const
    {
        return !workers.at(name).worker.running.empty();
    }

    // The worker that has received a start, read or not.
    [[nodiscard]] std::string started_at() const
    {
        for (const auto& [name, at] : workers)
        {
            if (!at.worker.unread.empty() || !at.worker.running.empty())
            {
                return name;
            }
        }
        return {};
    }

    // The worker reads the starts waiting in its socket.
    void read_starts(const std::string& name)
    {
        fake_worker& at = workers.at(name).worker;
        for (const start_run& one : std::exchange(at.unread, {}))
        {
            at.begin(one);
        }
    }

    time_point now{std::chrono::hours(1)};
    scheduler_core core{scheduler_options{}};
    std::map<std::string, guarded_worker> workers;
    bool ran_twice = false;

private:
    void write()
    {
        if (const auto batch = core.next_commit(now))
        {
            core.committed(*batch, ++revision_, now);
        }
        for (const addressed_orders& one : core.take_orders())
        {
            workers.at(one.guard).keeper->on_orders(one.orders, now);
        }
    }

    void beat(guarded_worker& at) const
    {
        at.keeper->on_worker({.executor = at.worker.executor,
                              .service = "s",
                              .capacity = at.worker.capacity},
                             to_milliseconds(now - time_point{}), now);
    }

    void serve(guarded_worker& at)
    {
        beat(at);
        for (const executor_action& action : at.keeper->due(now))
        {
            std::visit([&](const auto& what) { carry_out(at, what); }, action);
        }
        if (at.keeper->take_report_due() || now >= at.next_report)
        {
            at.next_report = now + report_interval;
            report(at);
        }
    }

    void report(guarded_worker& at)
    {
        worker_report out = at.keeper->report(now);
        out.guard = at.guard;
        out.address = at.guard + ":1";
        out.incarnation = at.incarnation;
        out.sequence = ++at.sequence;
        at.keeper->on_answer(core.report(out, now, now), out, now, now);
    }

    void carry_out(guarded_worker& at, const start_run& what) const
    {
        fake_worker& worker = at.worker;
        if (!worker.reads_starts)
        {
            worker.unread.push_back(what);
            return; // it is never answered
        }
        const bool there = worker.running.contains(what.order.task);
        const order_result result = worker.to_starts != order_result::accepted
                                        ? worker.to_starts
                                    : there ? order_result::accepted
                                            : worker.begin(what);
        at.keeper->on_started(what, result, now);
    }

    void carry_out(guarded_worker& at, const stop_run& what) const
    {
        fake_worker& worker = at.worker;
        if (worker.to_stops == order_result::accepted)
        {
            auto& highest = worker.stopped[what.order.task];
            highest = std::max(highest, what.order.run);
            worker.running.erase(what.order.task);
        }
        at.keeper->on_stopped(what, worker.to_stops, now);
    }

    void carry_out(guarded_worker& at, const throttle_run& what) const
    {
        at.keeper->on_paced(what, order_result::accepted);
    }

    void carry_out(guarded_worker& at, const poll_executor& what) const
    {
        executor_snapshot look{.clock_ms = to_milliseconds(now - time_point{})};
        for (const auto& [task, run] : at.worker.running)
        {
            look.running.push_back({.task = task,
                                    .run = run,
                                    .percent = look.clock_ms / 100 % 100});
        }
        at.keeper->on_polled(what.executor, order_result::accepted, look, now,
                             now);
    }

    std::int64_t revision_ = 100;
    int incarnations_ = 0;
};

// All refusals that a worker or its guard may answer to the second copy.
constexpr order_result refusals[] = {
    order_result::unhealthy, order_result::no_room, order_result::no_ticket,
    order_result::rejected};

std::string other_than(const std::string& name)
{
    return name == "a" ? "b" : "a";
}

// A start is unread at a worker whose guard has restarted.
struct interrupted_start
{
    interrupted_start()
    {
        for (auto& [name, at] : fleet.workers)
        {
            at.worker.reads_starts = false;
        }
        fleet.submit();
        sent = fleet.now;
        fleet.turn(milliseconds(50));
        where = fleet.started_at();
        REQUIRE_FALSE(where.empty());
        for (auto& [name, at] : fleet.workers)
        {
            at.worker.reads_starts = true;
        }
        worker().capacity.cpu_millis = 0; // the next run goes elsewhere
        fleet.begin_guard(where);
    }

    fake_worker& worker()
    {
        return fleet.workers.at(where).worker;
    }

    small_fleet fleet;
    std::string where;
    time_point sent{};
};

} // namespace

TEST_CASE("a run that a previous guard process started is not refused while "
          "its start may be in flight")
{
    for (const order_result refusal : refusals)
    {
        CAPTURE(to_string(refusal));
        interrupted_start at;
        at.worker().to_starts = refusal;
        at.fleet.turn(at.sent + start_limit - milliseconds(50) - at.fleet.now);
        at.fleet.read_starts(at.where);
        at.fleet.turn(milliseconds(300));
        CHECK_FALSE(at.fleet.ran_twice);
    }
}

TEST_CASE("a run that a previous guard process started is not refused while "
          "its worker accepts no stop either")
{
    interrupted_start at;
    at.worker().to_starts = order_result::unhealthy;
    at.worker().to_stops = order_result::unhealthy;
    at.fleet.turn(at.sent + start_limit - milliseconds(50) - at.fleet.now);
    CHECK_FALSE(at.fleet.runs_at(other_than(at.where)));
}

TEST_CASE("a run that a previous guard process started runs elsewhere once its "
          "worker has certainly not begun it")
{
    interrupted_start at;
    at.worker().to_starts = order_result::no_room;
    at.fleet.turn(seconds(5));
    CHECK(at.fleet.runs_at(other_than(at.where)));
    at.fleet.read_starts(at.where);
    at.fleet.turn(milliseconds(100));
    CHECK_FALSE(at.fleet.ran_twice);
}

TEST_CASE("a duplicate order does not start a run that was refused")
{
    const time_point now{std::chrono::hours(1)};
    run_reconciler keeper;
    keeper.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    const guard_orders orders{.epoch = 5,
                              .executor = "w1",
                              .starts = {{.task = "j.0.0.0", .run = 1}}};
    report_answer lease_grant{.holds = true, .permit_ms = 4000};
    lease_grant.orders = {.epoch = 5, .executor = "w1"};
    keeper.on_answer(lease_grant, keeper.report(now), now, now);
    keeper.on_orders(orders, now);
    keeper.due(now);
    keeper.on_started({.order = {.task = "j.0.0.0", .run = 1},
                       .executor = keeper.worker().executor},
                      order_result::no_room, now);
    const worker_report told = keeper.report(now);
    REQUIRE(told.refused.size() == 1);
    keeper.on_answer(lease_grant, told, now, now);

    const time_point later = now + milliseconds(50);
    keeper.on_orders(orders, later);
    for (const executor_action& action : keeper.due(later))
    {
        CHECK_FALSE(std::holds_alternative<start_run>(action));
    }
    // A leader that still orders the run is informed of the refusal again.
    CHECK(keeper.report(later).refused == told.refused);
}

// The refusal of an earlier run replaced the newer one, and the duplicate was
// started.
TEST_CASE("a refused run is remembered beside refusals of earlier runs")
{
    time_point now{std::chrono::hours(1)};
    run_reconciler keeper;
    keeper.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    guard_orders orders{.epoch = 5,
                        .executor = "w1",
                        .starts = {{.task = "j.0.0.0", .run = 2}}};
    report_answer lease_grant{.holds = true, .permit_ms = 4000};
    lease_grant.orders = {.epoch = 5, .executor = "w1"};
    keeper.on_answer(lease_grant, keeper.report(now), now, now);
    keeper.on_orders(orders, now);
    keeper.due(now);
    keeper.on_started({.order = orders.starts[0], .executor = "w1"},
                      order_result::no_room, now);
    const stop_order earlier{.task = "j.0.0.0", .run = 1};
    keeper.on_orders({.epoch = 5, .executor = "w1", .stops = {earlier}}, now);
    keeper.due(now);
    keeper.on_stopped({.order = earlier, .executor = "w1"}, order_result::stale,
                      now);
    now += seconds(1);
    keeper.on_polled("w1", order_result::accepted,
                     executor_snapshot{.clock_ms = 2000}, now, now);
    REQUIRE(keeper.report(now).refused.size() == 2);
    keeper.on_orders(orders, now);
    for (const executor_action& action : keeper.due(now))
    {
        CHECK_FALSE(std::holds_alternative<start_run>(action));
    }
}

TEST_CASE("an order for a previous guard process starts nothing")
{
    const time_point now{std::chrono::hours(1)};
    run_reconciler keeper({}, "second");
    keeper.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    report_answer lease_grant{.holds = true, .permit_ms = 4000};
    lease_grant.orders = {
        .epoch = 5, .executor = "w1", .incarnation = "second"};
    keeper.on_answer(lease_grant, keeper.report(now), now, now);
    guard_orders orders{.epoch = 5,
                        .executor = "w1",
                        .incarnation = "first",
                        .starts = {{.task = "j.0.0.0", .run = 1}},
                        .stops = {{.task = "j.0.0.1", .run = 1}}};
    keeper.on_orders(orders, now);
    const auto due = keeper.due(now);
    CHECK(std::ranges::none_of(
        due, [](const executor_action& one)
        { return std::holds_alternative<start_run>(one); }));
    CHECK(
        std::ranges::any_of(due, [](const executor_action& one)
                            { return std::holds_alternative<stop_run>(one); }));
}
