// What a world of jobs is made of: its figures, faults and executors.

#pragma once

#include <springstair/guard.hpp>
#include <springstair/scheduler.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace springstair::job_simulations
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step = milliseconds(10);
constexpr resources capacity{.cpu_millis = 4000, .memory_mb = 4000};
constexpr std::int64_t most_attempts = 3;
constexpr std::size_t guard_count = 4;
constexpr std::int64_t crashes_to_give_up = 2;
constexpr std::int64_t max_crashes = 3;
// Of a task under which so many executors have crashed, by guards in touch:
// neither started nor cut off for so long before.
constexpr std::int64_t max_starts_after = 2;
constexpr duration in_touch_after = seconds(3);
constexpr std::size_t data_centre_count = 2;
// No run begins in a data centre later than this after it was closed.
constexpr duration close_within = seconds(5);
// A watch may hear nothing of a change for so long (platform).
constexpr int deaf_watch_ms = 1000;
// A call on a connection waits unread at an executor or a guard for so long.
constexpr int max_wait_ms = 2000;
// A guard gives up a call that has had no answer for so long.
constexpr duration call_limit = milliseconds(300);
constexpr duration max_lease = seconds(6);
// An executor that starts again under its id is away for so long.
constexpr int max_away_ms = 3000;
constexpr std::int64_t middle_birth_ms = 1'776'000'000'000;

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
    int call_held = 0;    ///< of a guard: waits unread, then is carried out
    int answer_lost = 0;  ///< the call was carried out
    int busy = 0;         ///< an executor takes no call, up to seconds
    int no_room = 0;      ///< a start is refused
    int look_silent = 0;  ///< looks are carried out, unanswered for 10 s on
    int push_again = 0;   ///< orders come a second time, up to seconds later
    int kill_guards = 0;  ///< all at once
    int kill_all = 0;     ///< guards and holder at once, half of them twice
};

// One run at a worker, for the check of histories.
struct run_interval
{
    std::string task;
    std::int64_t run = 0;
    std::string executor;
    time_point begin;
    time_point end = time_point::max();
    std::string how;
    bool acknowledged = false;
    bool lapsed = false; ///< the lease ran out before it was acknowledged
    bool noted = false;  ///< its executor has heard the acknowledgement
    bool lapsed_unnoted = false; ///< the lease ran out before that
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

    executor_incarnation incarnation;
    double rate = 1; ///< of its clock
    time_point born; ///< in the future while it is away
    std::int64_t fence = 0;
    std::int64_t deadline = 0;
    std::map<std::string, at_work> running;
    std::map<std::string, std::int64_t> closed; ///< highest run ended there
    std::vector<std::pair<ended_task, std::size_t>> ended;
    std::int64_t numbers = 0;
    time_point busy_until{}; ///< takes no call

    // A longer lease than the longest is cut down to that (platform).
    void extend_to(std::int64_t asked, time_point now)
    {
        const std::int64_t most = clock(now) + to_milliseconds(max_lease);
        deadline = std::max(deadline, std::min(asked, most));
    }

    [[nodiscard]] std::int64_t clock(time_point now) const
    {
        return static_cast<std::int64_t>(
            static_cast<double>(to_milliseconds(now - born)) * rate);
    }
};

} // namespace springstair::job_simulations
