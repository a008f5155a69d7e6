#pragma once

#include <springstair/detail/scheduler/placement.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Bounds of the capacity that urgent tasks may take from long-running
/// ones.
struct urgent_room_options
{
    /// For how long urgent tasks may use capacity that is reserved for a
    /// waiting long-running step. The platform requires that such a step starts
    /// within 3 s where there is room for it twice over.
    duration lasting_patience = std::chrono::milliseconds(2000);
    /// Wait of an urgent task after which a long-running run may yield to it:
    /// the smallest latency target of an urgent queue.
    duration yield_after = std::chrono::milliseconds(250);

    bool operator==(const urgent_room_options&) const = default;
};

/// Minimum time between two yields, and between two searches for one.
inline constexpr duration yield_interval = std::chrono::milliseconds(100);
/// For how long capacity is held for urgent tasks after the run that yielded
/// has ended.
inline constexpr duration yield_hold = std::chrono::milliseconds(300);
/// A stop that takes longer may have been lost: until it is repeated, its
/// capacity does not count as about to be free. The time between two
/// repetitions.
inline constexpr duration max_yield_stop = std::chrono::milliseconds(1000);

/// @brief Waiting urgent tasks of one step that no worker can take.
struct urgent_wait
{
    std::string queue;
    std::string service;
    std::string job;
    task_position position; ///< of the task that waits longest
    std::int64_t tasks = 0;
    resources demand; ///< of each
    duration waited{0};
    /// The job's result can still have a value.
    bool has_value = true;

    bool operator==(const urgent_wait&) const = default;
};

/// @brief Capacity that the stop of a run is about to free.
struct expected_capacity
{
    std::string service;
    resources capacity; ///< together with what is free beside it

    bool operator==(const expected_capacity&) const = default;
};

/// @brief A wait that justifies a yield.
struct yield_request
{
    urgent_wait first;
    /// All waits of its queue, that one first, without the tasks that stops
    /// under way will serve.
    std::vector<urgent_wait> waiting;
};

/// @brief Fills capacity with waiting tasks in their order and removes these
/// from the waits. Returns their number.
std::int64_t serve(std::vector<urgent_wait>& waiting, resources capacity);

/// @brief When the capacity reserved on a worker will be free, by the known
/// ends of its short runs. Runs without a known end, and overdue ones, count as
/// ending now.
time_point reservation_complete_at(const worker_record& worker, time_point now);

/// @brief The free capacity that a task may use: all of it, or without what is
/// reserved or held for others.
resources available_to(const worker_record& worker,
                       const placement_query& query);

/// @brief Updates the capacity held on a worker for urgent tasks.
/// @param is_running whether the run that yields may still be there
template <typename Predicate>
void update_holds(worker_record& worker, time_point now, Predicate is_running)
{
    worker.held = {};
    for (urgent_hold& hold : worker.urgent_holds)
    {
        if (!hold.until && !is_running(hold))
        {
            hold.until = now + yield_hold;
        }
    }
    std::erase_if(worker.urgent_holds, [now](const urgent_hold& hold)
                  { return hold.until && now >= *hold.until; });
    for (const urgent_hold& hold : worker.urgent_holds)
    {
        worker.held += hold.until ? hold.capacity : resources{};
    }
}

/// @brief Takes the capacity of a new urgent run from the holds on its worker.
void use_holds(worker_record& worker, resources used);

/// @brief Decides which capacity urgent tasks may use beyond that of other
/// short tasks, and when a long-running run yields to them.
///
/// Handles short peaks of urgent load (three times the usual rate for some
/// seconds) in pools filled by long-running work. Urgent are tasks of queues of
/// priority 0 that are neither long-running nor best-effort. Without options
/// there are none. Its state lasts for a term.
class urgent_room
{
public:
    explicit urgent_room(std::optional<urgent_room_options> options)
        : options_(options)
    {
    }

    [[nodiscard]] bool is_enabled() const noexcept
    {
        return options_.has_value();
    }
    [[nodiscard]] bool is_urgent(const job_step& step,
                                 std::int64_t priority) const noexcept;
    /// @brief The run time of a step's tasks: the mean of its image, or the
    /// caller's estimate while none has ended.
    [[nodiscard]] duration run_time(const job_step& step) const;
    /// @brief The run time if the step is urgent; else nothing.
    [[nodiscard]] std::optional<duration>
    urgent_run_time(const job_step& step, std::int64_t priority) const;
    /// @brief Whether holds do not bind a task that has waited so long.
    [[nodiscard]] bool ignores_holds(const job_step& step,
                                     duration waited) const noexcept;
    /// @brief From when a reservation for a long-running step binds urgent
    /// tasks; nothing for other steps.
    [[nodiscard]] std::optional<time_point>
    reserved_firmly_from(const job_step& step,
                         time_point waiting_since) const noexcept;
    /// @brief Learns from a run that ended as done.
    void learn_run_time(const job_step& step, duration run_time);

    /// @brief A placement pass begins.
    void begin_pass()
    {
        waits_.clear();
    }
    /// @brief Records a wait. They are recorded in the order of placement.
    void record_wait(urgent_wait wait);
    /// @brief The waits of the pass that justify a yield, at most one for each
    /// queue. Nothing if the last request is too recent.
    std::vector<yield_request>
    yield_requests(const std::vector<expected_capacity>& expected,
                   time_point now);

private:
    std::optional<urgent_room_options> options_;
    std::map<std::string, duration> run_times_; ///< means by image
    std::vector<urgent_wait> waits_;            ///< of the present pass
    time_point next_request_at_{};
};

} // namespace springstair
