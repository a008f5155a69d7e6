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

/// @brief What a guard is told by its settings about tasks.
struct attempt_tracker_options
{
    std::string incarnation;
    resources capacity; ///< of the worker, less what its executor needs
    duration renew_interval = std::chrono::seconds(2);
    /// For how long, on the worker's own clock, it may act on a start.
    duration start_window = std::chrono::seconds(3);
    duration tombstone_ttl = std::chrono::minutes(10);
};

/// @brief The ledger of a worker, and the attempts that run on it.
///
/// An attempt's needs are booked before the worker is asked to start it and
/// freed only when the worker lists it as ended, so the sum of what runs
/// never exceeds the capacity. Ends come from the worker's list alone.
class attempt_tracker
{
public:
    /// @param options from the settings
    explicit attempt_tracker(attempt_tracker_options options);

    /// @brief An entry asks for a start.
    task_reply on_start(time_point now, const start_task& what,
                        worker_actions& actions);
    /// @brief An entry asks for a stop.
    task_reply on_stop(time_point now, const stop_task& what,
                       worker_actions& actions);
    /// @brief The worker's list.
    /// @param worker_clock the worker's own reading when it made the list
    void on_worker_list(time_point now, duration worker_clock,
                        const std::vector<listed_task>& list,
                        worker_actions& actions);
    /// @brief An entry has these ends on record.
    void on_acked(time_point now, const std::vector<attempt_ack>& acked,
                  worker_actions& actions);
    /// @brief A planned stop began.
    void on_drain() noexcept
    {
        draining_ = true;
    }
    /// @brief Time passes: leases are renewed.
    void on_tick(time_point now, worker_actions& actions);

    /// @brief What entries are told in heartbeats.
    [[nodiscard]] std::vector<attempt_report> reports() const;
    /// @brief What is not booked.
    [[nodiscard]] resources free() const;
    /// @brief What there is in all.
    [[nodiscard]] const resources& capacity() const noexcept
    {
        return options_.capacity;
    }
    /// @brief Whether the worker's tasks are known.
    [[nodiscard]] bool ready() const noexcept
    {
        return listed_;
    }

private:
    enum class phase : std::uint8_t
    {
        starting,
        running,
        ended
    };

    struct kept_attempt
    {
        resources needs;
        phase at = phase::starting;
        duration not_after{0}; ///< of its start, on the worker's clock
        std::string end_state;
        std::string detail;
        bool stopping = false;
        bool keep_checkpoint = false;
    };

    bool stale(std::int64_t shard, std::int64_t epoch);
    [[nodiscard]] std::string objection(const start_task& what) const;
    void close(time_point now, const task_attempt& name);
    void take_listed(const listed_task& item);
    void stop_again(const listed_task& item, worker_actions& actions) const;
    void end_missing(duration worker_clock,
                     const std::set<task_attempt>& listed);

    attempt_tracker_options options_;
    std::map<task_attempt, kept_attempt> attempts_;
    std::map<task_attempt, time_point> closed_;
    std::map<std::int64_t, std::int64_t> epochs_;
    std::optional<duration> first_clock_; ///< of the worker's first list
    time_point next_renewal_{};
    time_point clock_read_{};
    duration worker_clock_{0}; ///< as of clock_read_
    bool listed_ = false;
    bool draining_ = false;
};

} // namespace springstair
