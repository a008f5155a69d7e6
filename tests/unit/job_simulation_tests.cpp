// Random job simulations, each from a seed and probabilities of faults.

#include "job_simulation.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace springstair::job_simulations; // NOLINT: a test
using std::chrono::seconds;

namespace
{

// Length of the phase with faults. A second kill of all processes may fall
// into the calm phase.
constexpr seconds short_length{12};
// A new leader waits 10.5 s for guards that have not reported.
constexpr seconds short_calm{20};
// A guard is cut off for up to 15 s; only then does it report an executor's
// next incarnation.
constexpr seconds calm_after_cuts{40};
// Leaves capacity for every task while one executor is lost.
constexpr int light_job_rate = 400;
// Time for which a long-running task may be without a run (platform).
constexpr seconds max_absence{9};
// A second kill of all processes can follow 25 s after the first.
constexpr seconds calm_after_kills{50};

void run_simulation(job_simulation& simulation, seconds length, seconds calm)
{
    simulation.run(length, true);
    simulation.check_histories();
    simulation.stop_faults();
    simulation.run(calm, false);
    simulation.check_histories();
    simulation.check_all_ended();
}

void run_short(const job_faults& faults)
{
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    job_simulation simulation(seed, faults);
    run_simulation(simulation, short_length,
                   faults.kill_all > 0 ? calm_after_kills : short_calm);
}

// A guard may stay cut off for up to 15 s of the calm phase.
void run_with_cuts(const job_faults& faults)
{
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    job_simulation simulation(seed, faults);
    run_simulation(simulation, short_length, calm_after_cuts);
}

} // namespace

TEST_CASE("jobs survive everything, each task in one place, to one end")
{
    CHECK(rc::check(
        "under faults",
        []
        {
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            const job_faults faults{
                .order_lost = *rc::gen::element(0, 2000, 10'000),
                .order_late = *rc::gen::element(0, 2000, 10'000),
                .report_lost = *rc::gen::element(0, 3000, 20'000),
                .report_held = *rc::gen::element(0, 3000, 20'000),
                .heartbeat_held = *rc::gen::element(0, 10'000, 50'000),
                .write_lost = *rc::gen::element(0, 5000, 30'000),
                .takeover = *rc::gen::element(0, 50, 300),
                .kill_guard = *rc::gen::element(0, 20, 100),
                .crash_worker = *rc::gen::element(0, 10, 60),
                .cut_guard = *rc::gen::element(0, 20, 60),
                .fail = *rc::gen::element(0, 5000, 30'000),
                .cancel = *rc::gen::element(0, 100),
                .crashing_job = *rc::gen::element(0, 0, 10'000),
                .close = *rc::gen::element(0, 100, 400),
                .cut_watch = *rc::gen::element(0, 5000, 20'000),
                .call_held = *rc::gen::element(0, 2000, 10'000),
                .answer_lost = *rc::gen::element(0, 2000, 10'000),
                .busy = *rc::gen::element(0, 50, 200),
                .no_room = *rc::gen::element(0, 2000, 10'000),
                .poll_silent = *rc::gen::element(0, 0, 30),
                .order_duplicated = *rc::gen::element(0, 5000, 30'000),
                .kill_guards = *rc::gen::element(0, 0, 60),
                .kill_all = *rc::gen::element(0, 0, 60)};
            job_simulation simulation(seed, faults);
            run_simulation(simulation, seconds(20), seconds(40));
        }));
}

// Guards against two runs of one task at once, and against runs that begin
// after an end as done was acknowledged; users saw both. A start waits unread
// in a socket of its executor while its guard is killed. The guard's next
// incarnation receives the same start order; the executor is busy or has no
// capacity for it. The guard does not know of the first copy and reports that
// the run never began. The task starts elsewhere while the first copy begins or
// keeps running.
TEST_CASE("a start outlives its guard, and its duplicate is refused")
{
    CHECK(rc::check("no room",
                    [] {
                        run_short({.call_held = 20'000,
                                   .no_room = 20'000,
                                   .kill_guards = 300});
                    }));
    CHECK(rc::check(
        "busy",
        [] {
            run_short({.call_held = 20'000, .busy = 500, .kill_guards = 300});
        }));
}

// Guards against two runs of one task at once, as seen by users. A leader's
// start order arrives twice, the second time after the guard has refused the
// run; the guard would start a run that the leader has replaced by one
// elsewhere.
TEST_CASE("a duplicate of an order arrives after its run was refused")
{
    CHECK(rc::check("busy", []
                    { run_short({.busy = 500, .order_duplicated = 30'000}); }));
    CHECK(rc::check("to the guard's next incarnation",
                    [] {
                        run_short({.busy = 500,
                                   .order_duplicated = 30'000,
                                   .kill_guards = 60});
                    }));
}

// Guards against runs that begin after an end as done was acknowledged, as seen
// by users. All processes are killed; the next leader receives reports of a
// guard whose polls get no answer. The guard has a lease grant, so the polls
// that are carried out extend the lease; but the leader would count its runs as
// lost, as if the guard had never reported.
TEST_CASE("a guard reports to the next leader without a snapshot")
{
    CHECK(rc::check("all processes killed",
                    [] { run_short({.poll_silent = 100, .kill_all = 60}); }));
}

// Guards against calls for a past incarnation that the next one accepts: starts
// would begin there, and stops and acknowledgements would take effect.
// Executors crash, and half of them restart under the same id, while calls wait
// unread.
TEST_CASE("an executor restarts under its id while calls are in flight")
{
    CHECK(rc::check("calls wait",
                    []
                    {
                        run_short({.crash_worker = 100,
                                   .call_held = 20'000,
                                   .answer_lost = 10'000});
                    }));
    CHECK(rc::check("guards are killed as well",
                    []
                    {
                        run_short({.crash_worker = 100,
                                   .call_held = 20'000,
                                   .kill_guards = 100});
                    }));
    CHECK(rc::check("all processes are killed as well",
                    [] {
                        run_short({.crash_worker = 100,
                                   .call_held = 20'000,
                                   .kill_all = 100});
                    }));
    CHECK(rc::check("stale heartbeats arrive, leaders change",
                    []
                    {
                        run_short({.heartbeat_held = 50'000,
                                   .takeover = 200,
                                   .crash_worker = 100,
                                   .answer_lost = 10'000});
                    }));
}

// Guards against runs that begin after an end as done was acknowledged, as seen
// by users. An executor restarts under its id and accepts a start for its past
// incarnation, with a lease on the past one's clock; its guard is cut off
// before it can report that.
TEST_CASE("a guard is cut off while its executor restarts")
{
    CHECK(rc::check("calls arrive late",
                    []
                    {
                        run_with_cuts({.order_late = 10'000,
                                       .crash_worker = 150,
                                       .cut_guard = 150,
                                       .call_held = 10'000});
                    }));
    CHECK(rc::check("leaders change",
                    []
                    {
                        run_with_cuts({.order_late = 10'000,
                                       .takeover = 100,
                                       .crash_worker = 150,
                                       .cut_guard = 150,
                                       .answer_lost = 10'000});
                    }));
}

// Guards against runs that a new leader gave up only 10.5 s after its term
// began; users saw tasks without a run for 14 s. Their executor was lost and
// their guard restarted, so that no report showed them.
TEST_CASE("an executor and its guard are lost while leaders change")
{
    CHECK(rc::check("its tasks run elsewhere in time",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
                        job_simulation simulation(
                            seed, {.call_held = 2000, .lose_executor = 60},
                            light_job_rate);
                        run_simulation(simulation, short_length, short_calm);
                        simulation.check_restarts(max_absence);
                    }));
}

// Guards against two runs of one task at once. The executor of a restarted
// guard cannot be heard, so its runs are given up once their leases have
// certainly expired. Calls of the guard's earlier processes arrive late, past
// leaders still grant leases, and executors restart.
TEST_CASE("executors are not heard by their restarted guards")
{
    CHECK(rc::check("calls wait, leaders change",
                    []
                    {
                        run_with_cuts({.order_late = 10'000,
                                       .report_lost = 3000,
                                       .report_held = 20'000,
                                       .takeover = 100,
                                       .kill_guard = 100,
                                       .call_held = 20'000,
                                       .answer_lost = 10'000,
                                       .lose_heartbeats = 100});
                    }));
    CHECK(rc::check("executors restart as well",
                    []
                    {
                        run_with_cuts({.order_late = 10'000,
                                       .takeover = 100,
                                       .crash_worker = 100,
                                       .call_held = 20'000,
                                       .answer_lost = 10'000,
                                       .lose_heartbeats = 100});
                    }));
}

// Guards against more runs on a worker than fit, if the worker does not enforce
// its capacity. Its guard refuses a run; the leader places another in the freed
// capacity and would write that first. All processes are killed before the
// refusal is written, and the next leader would assume both runs and repeat
// both starts.
TEST_CASE("the capacity of a refused run is used once")
{
    constexpr std::uint32_t failing_seed = 2686216;
    CHECK(rc::check("one simulation",
                    []
                    {
                        job_simulation simulation(failing_seed,
                                                  {.call_held = 20'000,
                                                   .busy = 300,
                                                   .no_room = 10'000,
                                                   .poll_silent = 60,
                                                   .order_duplicated = 30'000,
                                                   .kill_guards = 200,
                                                   .kill_all = 60});
                        run_simulation(simulation, short_length, short_calm);
                    }));
}

// Guards against two runs of one task at once, as seen by users: a guard on a
// VM that was suspended reported its executor's lease as expired, although the
// executor's steady clock had stood still.
TEST_CASE("VMs are suspended with their executors")
{
    CHECK(rc::check("nothing else fails", [] { run_short({.suspend = 100}); }));
    CHECK(rc::check(
        "guards restart, leaders change", []
        { run_short({.takeover = 100, .kill_guard = 100, .suspend = 100}); }));
    CHECK(rc::check("calls wait, answers are lost",
                    []
                    {
                        run_short({.takeover = 60,
                                   .call_held = 10'000,
                                   .answer_lost = 10'000,
                                   .suspend = 100});
                    }));
}
