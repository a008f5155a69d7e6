#pragma once

#include <springstair/platform.hpp>
#include <springstair/tasks.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace springstair
{

/// @brief Settings of an attempt_tracker.
struct attempt_tracker_options
{
    std::string incarnation;
    resources capacity; ///< of the worker, without its executor's own needs
    duration renew_interval = std::chrono::seconds(2);
    /// Time within which the worker may act on a start, on the worker's clock.
    duration start_window = std::chrono::seconds(3);
    /// How long closed attempts are remembered: those that must not start any
    /// more, because they were refused, stopped before their start arrived, or
    /// their end was acknowledged.
    duration tombstone_ttl = std::chrono::minutes(10);
};

/// @brief Tracks the attempts on one worker and the capacity they use.
///
/// Capacity for an attempt is booked before the worker is asked to start it,
/// and freed only when the worker lists the attempt as ended or no longer lists
/// it. The sum of what runs therefore never exceeds the capacity. Only the
/// worker's list ends an attempt.
class attempt_tracker
{
public:
    /// @param options from the settings
    explicit attempt_tracker(attempt_tracker_options options);

    /// @brief Handles an entry's request to start an attempt.
    task_reply on_start(time_point now, const start_task& request,
                        worker_actions& actions);
    /// @brief Handles an entry's request to stop an attempt.
    task_reply on_stop(time_point now, const stop_task& request,
                       worker_actions& actions);
    /// @brief Applies the worker's list of its tasks.
    /// @param worker_clock the worker's clock when it made the list
    void on_worker_list(time_point now, duration worker_clock,
                        const std::vector<listed_task>& list,
                        worker_actions& actions);
    /// @brief Closes attempts whose end an entry has acknowledged, and lets the
    /// worker forget them.
    void on_acked(time_point now, const std::vector<attempt_ack>& acked,
                  worker_actions& actions);
    /// @brief Begins to drain: further starts are refused.
    void on_drain() noexcept
    {
        draining_ = true;
    }
    /// @brief Renews the leases of running attempts, forgets old tombstones.
    void on_tick(time_point now, worker_actions& actions);

    /// @brief Attempt states to send in heartbeats to the entries.
    [[nodiscard]] std::vector<attempt_report> reports() const;
    /// @brief Capacity that is not booked.
    [[nodiscard]] resources free() const;
    /// @brief Total capacity.
    [[nodiscard]] const resources& capacity() const noexcept
    {
        return options_.capacity;
    }
    /// @brief Whether the worker's tasks are known, so that starts can be
    /// accepted.
    [[nodiscard]] bool ready() const noexcept
    {
        return listed_;
    }

private:
    enum class attempt_state : std::uint8_t
    {
        starting,
        running,
        ended
    };

    struct tracked_attempt
    {
        resources needs;
        attempt_state state = attempt_state::starting;
        duration not_after{0}; ///< start deadline on the worker's clock
        std::string end_state;
        std::string detail;
        bool stopping = false;
        bool keep_checkpoint = false;
    };

    bool is_stale(std::int64_t shard, std::int64_t epoch);
    [[nodiscard]] std::string refusal_reason(const start_task& request) const;
    void close(time_point now, const task_attempt& name);
    void apply_listed(const listed_task& item);
    void repeat_stop(const listed_task& item, worker_actions& actions) const;
    void mark_missing_lost(duration worker_clock,
                           const std::set<task_attempt>& listed);

    attempt_tracker_options options_;
    std::map<task_attempt, tracked_attempt> attempts_;
    std::map<task_attempt, time_point> closed_;   ///< and when each was closed
    std::map<std::int64_t, std::int64_t> epochs_; ///< newest, by shard
    std::optional<duration> first_clock_; ///< worker's clock at its first list
    time_point next_renewal_{};
    time_point clock_read_{};
    duration worker_clock_{0}; ///< at clock_read_
    bool listed_ = false;
    bool draining_ = false;
};

} // namespace springstair
