// Guards against one task running on two executors at once, or starting again
// after its successful end was acknowledged.
//
// Failure: a guard sends a start and is killed; its worker has begun the run or
// has not read the start from its socket yet. Within half a second the guard's
// next incarnation receives the same start from the leader. The worker refuses
// this duplicate (busy, no capacity), and the guard refuses the run as one that
// never begins. The leader starts the task elsewhere, and the first copy runs,
// too. The same happens when a duplicate of an order arrives after its run was
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

constexpr duration tick_interval = milliseconds(10);
constexpr duration report_interval = milliseconds(100);
// A start that is read later than this after it was sent has no effect.
constexpr duration start_timeout = seconds(2);

// An executor that can leave starts unread in its socket.
struct fake_worker
{
    std::string executor;
    resources capacity = tests::worker_capacity;
    order_result to_starts = order_result::accepted;
    order_result to_stops = order_result::accepted;
    bool reads_starts = true;
    std::vector<start_run> unread;
    std::map<std::string, std::int64_t> running;
    std::map<std::string, std::int64_t> stopped; ///< highest run, by task

    order_result begin(const start_run& start)
    {
        if (stopped[start.order.task] >= start.order.run)
        {
            return order_result::stale;
        }
        running[start.order.task] = start.order.run;
        return order_result::accepted;
    }
};

struct guarded_worker
{
    std::string guard;
    fake_worker worker;
    std::unique_ptr<run_reconciler> reconciler;
    std::string incarnation;
    std::int64_t sequence = 0;
    time_point next_report{};
};

// A leader and two workers with their guards; messages take no time.
class two_worker_fleet
{
public:
    two_worker_fleet()
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
        advance(seconds(1));
    }

    // Begins the next incarnation of a guard.
    void begin_guard(const std::string& name)
    {
        guarded_worker& guarded = workers.at(name);
        guarded.incarnation = "guard-" + std::to_string(++incarnations_);
        guarded.reconciler = std::make_unique<run_reconciler>(
            run_reconciler_options{}, guarded.incarnation);
        guarded.sequence = 0;
        guarded.next_report = now;
        send_heartbeat(guarded);
    }

    void submit()
    {
        core.accept({.id = "job",
                     .queue = "q",
                     .payload = "p",
                     .steps = {tests::step_of(1)}},
                    now);
    }

    void advance(duration length)
    {
        for (const time_point until = now + length; now < until;)
        {
            now += tick_interval;
            core.tick(now, 0);
            commit_and_send_orders();
            for (auto& [name, guarded] : workers)
            {
                run_guard(guarded);
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
        for (const auto& [name, guarded] : workers)
        {
            if (!guarded.worker.unread.empty() ||
                !guarded.worker.running.empty())
            {
                return name;
            }
        }
        return {};
    }

    // The worker reads the starts waiting in its socket.
    void read_starts(const std::string& name)
    {
        fake_worker& worker = workers.at(name).worker;
        for (const start_run& one : std::exchange(worker.unread, {}))
        {
            worker.begin(one);
        }
    }

    time_point now{std::chrono::hours(1)};
    scheduler_core core{scheduler_options{}};
    std::map<std::string, guarded_worker> workers;
    bool ran_twice = false;

private:
    void commit_and_send_orders()
    {
        if (const auto batch = core.next_commit(now))
        {
            core.committed(*batch, ++revision_, now);
        }
        for (const addressed_orders& one : core.take_orders())
        {
            workers.at(one.guard).reconciler->on_orders(one.orders, now);
        }
    }

    void send_heartbeat(guarded_worker& guarded) const
    {
        guarded.reconciler->on_worker({.executor = guarded.worker.executor,
                                       .service = "s",
                                       .capacity = guarded.worker.capacity},
                                      to_milliseconds(now - time_point{}), now);
    }

    void run_guard(guarded_worker& guarded)
    {
        send_heartbeat(guarded);
        for (const executor_action& action : guarded.reconciler->due(now))
        {
            std::visit([&](const auto& call) { carry_out(guarded, call); },
                       action);
        }
        if (guarded.reconciler->take_report_due() || now >= guarded.next_report)
        {
            guarded.next_report = now + report_interval;
            report(guarded);
        }
    }

    void report(guarded_worker& guarded)
    {
        worker_report out = guarded.reconciler->report(now);
        out.guard = guarded.guard;
        out.address = guarded.guard + ":1";
        out.incarnation = guarded.incarnation;
        out.sequence = ++guarded.sequence;
        guarded.reconciler->on_answer(core.report(out, now, now), out, now,
                                      now);
    }

    void carry_out(guarded_worker& guarded, const start_run& start) const
    {
        fake_worker& worker = guarded.worker;
        if (!worker.reads_starts)
        {
            worker.unread.push_back(start);
            return; // it is never answered
        }
        const bool is_running = worker.running.contains(start.order.task);
        const order_result result = worker.to_starts != order_result::accepted
                                        ? worker.to_starts
                                    : is_running ? order_result::accepted
                                                 : worker.begin(start);
        guarded.reconciler->on_started(start, result, now);
    }

    void carry_out(guarded_worker& guarded, const stop_run& stop) const
    {
        fake_worker& worker = guarded.worker;
        if (worker.to_stops == order_result::accepted)
        {
            auto& highest = worker.stopped[stop.order.task];
            highest = std::max(highest, stop.order.run);
            worker.running.erase(stop.order.task);
        }
        guarded.reconciler->on_stopped(stop, worker.to_stops, now);
    }

    void carry_out(guarded_worker& guarded, const throttle_run& throttle) const
    {
        guarded.reconciler->on_paced(throttle, order_result::accepted);
    }

    void carry_out(guarded_worker& guarded, const poll_executor& poll) const
    {
        executor_snapshot snapshot{.clock_ms =
                                       to_milliseconds(now - time_point{})};
        for (const auto& [task, run] : guarded.worker.running)
        {
            snapshot.running.push_back(
                {.task = task,
                 .run = run,
                 .percent = snapshot.clock_ms / 100 % 100});
        }
        guarded.reconciler->on_polled(poll.executor, order_result::accepted,
                                      snapshot, now, now);
    }

    std::int64_t revision_ = 100;
    int incarnations_ = 0;
};

// All refusals with which a worker or its guard may answer the duplicate.
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
        for (auto& [name, guarded] : fleet.workers)
        {
            guarded.worker.reads_starts = false;
        }
        fleet.submit();
        sent = fleet.now;
        fleet.advance(milliseconds(50));
        where = fleet.started_at();
        REQUIRE_FALSE(where.empty());
        for (auto& [name, guarded] : fleet.workers)
        {
            guarded.worker.reads_starts = true;
        }
        worker().capacity.cpu_millis = 0; // the next run goes elsewhere
        fleet.begin_guard(where);
    }

    fake_worker& worker()
    {
        return fleet.workers.at(where).worker;
    }

    two_worker_fleet fleet;
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
        interrupted_start interrupted;
        interrupted.worker().to_starts = refusal;
        interrupted.fleet.advance(interrupted.sent + start_timeout -
                                  milliseconds(50) - interrupted.fleet.now);
        interrupted.fleet.read_starts(interrupted.where);
        interrupted.fleet.advance(milliseconds(300));
        CHECK_FALSE(interrupted.fleet.ran_twice);
    }
}

TEST_CASE("a run that a previous guard process started is not refused while "
          "its worker accepts no stop either")
{
    interrupted_start interrupted;
    interrupted.worker().to_starts = order_result::unhealthy;
    interrupted.worker().to_stops = order_result::unhealthy;
    interrupted.fleet.advance(interrupted.sent + start_timeout -
                              milliseconds(50) - interrupted.fleet.now);
    CHECK_FALSE(interrupted.fleet.runs_at(other_than(interrupted.where)));
}

TEST_CASE("a run that a previous guard process started runs elsewhere once its "
          "worker has certainly not begun it")
{
    interrupted_start interrupted;
    interrupted.worker().to_starts = order_result::no_room;
    interrupted.fleet.advance(seconds(5));
    CHECK(interrupted.fleet.runs_at(other_than(interrupted.where)));
    interrupted.fleet.read_starts(interrupted.where);
    interrupted.fleet.advance(milliseconds(100));
    CHECK_FALSE(interrupted.fleet.ran_twice);
}

TEST_CASE("a duplicate order does not start a run that was refused")
{
    const time_point now{std::chrono::hours(1)};
    run_reconciler reconciler;
    reconciler.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    const guard_orders orders{.epoch = 5,
                              .executor = "w1",
                              .starts = {{.task = "j.0.0.0", .run = 1}}};
    report_answer lease_grant{.holds = true, .permit_ms = 4000};
    lease_grant.orders = {.epoch = 5, .executor = "w1"};
    reconciler.on_answer(lease_grant, reconciler.report(now), now, now);
    reconciler.on_orders(orders, now);
    reconciler.due(now);
    reconciler.on_started({.order = {.task = "j.0.0.0", .run = 1},
                           .executor = reconciler.worker().executor},
                          order_result::no_room, now);
    const worker_report reported = reconciler.report(now);
    REQUIRE(reported.refused.size() == 1);
    reconciler.on_answer(lease_grant, reported, now, now);

    const time_point later = now + milliseconds(50);
    reconciler.on_orders(orders, later);
    for (const executor_action& action : reconciler.due(later))
    {
        CHECK_FALSE(std::holds_alternative<start_run>(action));
    }
    // A leader that still orders the run is informed of the refusal again.
    CHECK(reconciler.report(later).refused == reported.refused);
}

// The refusal of an earlier run replaced the newer one, and the duplicate was
// started.
TEST_CASE("a refused run is remembered beside refusals of earlier runs")
{
    time_point now{std::chrono::hours(1)};
    run_reconciler reconciler;
    reconciler.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    guard_orders orders{.epoch = 5,
                        .executor = "w1",
                        .starts = {{.task = "j.0.0.0", .run = 2}}};
    report_answer lease_grant{.holds = true, .permit_ms = 4000};
    lease_grant.orders = {.epoch = 5, .executor = "w1"};
    reconciler.on_answer(lease_grant, reconciler.report(now), now, now);
    reconciler.on_orders(orders, now);
    reconciler.due(now);
    reconciler.on_started({.order = orders.starts[0], .executor = "w1"},
                          order_result::no_room, now);
    const stop_order earlier{.task = "j.0.0.0", .run = 1};
    reconciler.on_orders({.epoch = 5, .executor = "w1", .stops = {earlier}},
                         now);
    reconciler.due(now);
    reconciler.on_stopped({.order = earlier, .executor = "w1"},
                          order_result::stale, now);
    now += seconds(1);
    reconciler.on_polled("w1", order_result::accepted,
                         executor_snapshot{.clock_ms = 2000}, now, now);
    REQUIRE(reconciler.report(now).refused.size() == 2);
    reconciler.on_orders(orders, now);
    for (const executor_action& action : reconciler.due(now))
    {
        CHECK_FALSE(std::holds_alternative<start_run>(action));
    }
}

TEST_CASE("an order for a previous guard process starts nothing")
{
    const time_point now{std::chrono::hours(1)};
    run_reconciler reconciler({}, "second");
    reconciler.on_worker({.executor = "w1", .service = "s"}, 1000, now);
    report_answer lease_grant{.holds = true, .permit_ms = 4000};
    lease_grant.orders = {
        .epoch = 5, .executor = "w1", .incarnation = "second"};
    reconciler.on_answer(lease_grant, reconciler.report(now), now, now);
    guard_orders orders{.epoch = 5,
                        .executor = "w1",
                        .incarnation = "first",
                        .starts = {{.task = "j.0.0.0", .run = 1}},
                        .stops = {{.task = "j.0.0.1", .run = 1}}};
    reconciler.on_orders(orders, now);
    const auto due = reconciler.due(now);
    CHECK(std::ranges::none_of(
        due, [](const executor_action& one)
        { return std::holds_alternative<start_run>(one); }));
    CHECK(
        std::ranges::any_of(due, [](const executor_action& one)
                            { return std::holds_alternative<stop_run>(one); }));
}
