// Random worlds of jobs, from a seed and the chances of faults.

#include "job_world.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace springstair::job_worlds; // NOLINT: a test
using std::chrono::seconds;

TEST_CASE("jobs survive everything, each task in one place, to one end")
{
    CHECK(rc::check("under faults",
                    []
                    {
                        const auto seed = *rc::gen::arbitrary<std::uint32_t>();
                        const job_faults faults{
                            .order_lost = *rc::gen::element(0, 2000, 10'000),
                            .order_late = *rc::gen::element(0, 2000, 10'000),
                            .report_lost = *rc::gen::element(0, 3000, 20'000),
                            .report_held = *rc::gen::element(0, 3000, 20'000),
                            .beat_held = *rc::gen::element(0, 10'000, 50'000),
                            .write_lost = *rc::gen::element(0, 5000, 30'000),
                            .takeover = *rc::gen::element(0, 50, 300),
                            .kill_guard = *rc::gen::element(0, 20, 100),
                            .crash_worker = *rc::gen::element(0, 10, 60),
                            .cut_guard = *rc::gen::element(0, 20, 60),
                            .fail = *rc::gen::element(0, 5000, 30'000),
                            .cancel = *rc::gen::element(0, 100),
                            .crashing_job = *rc::gen::element(0, 0, 10'000),
                            .close = *rc::gen::element(0, 100, 400),
                            .cut_watch = *rc::gen::element(0, 5000, 20'000)};
                        job_world world(seed, faults);
                        world.run(seconds(20), true);
                        world.check_histories();
                        world.calm();
                        world.run(seconds(40), false);
                        world.check_histories();
                        world.check_all_ended();
                    }));
}
