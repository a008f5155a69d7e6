// What a world of jobs is made of: its figures, faults and executors.

#pragma once

#include <springstair/guard.hpp>
#include <springstair/scheduler.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace springstair::job_worlds
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds(10);
constexpr resources capacity{.cpu_millis = 4000, .memory_mb = 4000};
constexpr std::int64_t most_attempts = 3;
constexpr std::size_t guard_count = 4;
constexpr std::int64_t crashes_to_give_up = 2;
constexpr std::int64_t most_crashes = 3;
// Of a task under which so many executors have crashed, by guards in touch:
// neither started nor cut off for so long before.
constexpr std::int64_t most_starts_after = 2;
constexpr duration in_touch_after = seconds(3);
constexpr std::size_t data_centre_count = 2;
// No run begins in a data centre later than this after it was closed.
constexpr duration close_within = seconds(5);
// A watch may hear nothing of a change for so long (platform).
constexpr int deaf_watch_ms = 1000;

// Chances in a hundred thousand, at each step or message.
struct job_faults
{
    int order_lost = 0; ///< never done, no answer
    int order_late = 0; ///< done seconds later, no answer
    int report_lost = 0;
    int report_held = 0; ///< comes again seconds later, when none may wait
    int beat_held = 0;   ///< of an executor, likewise
    int write_lost = 0;  ///< half of them are done
    int takeover = 0;    ///< the old holder lingers
    int kill_guard = 0;
    int crash_worker = 0;
    int cut_guard = 0; ///< from all holders, for seconds
    int fail = 0;
    int cancel = 0;
    int crashing_job = 0; ///< its first task ends each executor that starts it
    int close = 0;        ///< a data centre is closed, or opened again
    int cut_watch = 0;    ///< a holder hears nothing of the operator, seconds
};

// One run at a worker, for the check of histories.
struct run_interval
{
    std::string task;
    std::int64_t run = 0;
    std::string life;
    time_point begin;
    time_point end = time_point::max();
    std::string how;
    bool acknowledged = false;
    bool lapsed = false; ///< the lease ran out before it was acknowledged
    time_point acknowledged_at = time_point::max();
};

// An executor: runs tasks under one lease on its own slow clock. It does not
// guard its capacity.
struct fake_executor
{
    struct at_work
    {
        std::int64_t run = 0;
        time_point done_at;
        bool fails = false;
        std::size_t interval = 0;
        resources demand;
    };

    std::string life;
    double rate = 1; ///< of its clock
    time_point born;
    std::int64_t fence = 0;
    std::int64_t deadline = 0;
    std::map<std::string, at_work> running;
    std::map<std::string, std::int64_t> closed; ///< highest run ended there
    std::vector<std::pair<ended_task, std::size_t>> ended;
    std::int64_t numbers = 0;

    [[nodiscard]] std::int64_t clock(time_point now) const
    {
        return static_cast<std::int64_t>(
            static_cast<double>(to_milliseconds(now - born)) * rate);
    }
};

} // namespace springstair::job_worlds
