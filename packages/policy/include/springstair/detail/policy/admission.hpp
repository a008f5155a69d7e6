#pragma once

#include <springstair/membership.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief An attempt that requests one of an executor's slots.
struct slot_request
{
    attempt_name attempt;
    class_name work_class;
    time_point arrived;
    time_point deadline;
    bool may_wait = true; ///< false: it starts at once or is refused
};

/// @brief A slot request that is refused, and why.
struct slot_refusal
{
    slot_request request;
    refusal reason = refusal::queue_full;
    duration retry_after{0};
};

/// @brief Limits and options of an executor.
struct admission_options
{
    std::int64_t slots = 8;
    /// Whether slots are reserved for latency-critical classes, which also
    /// have precedence. Disabled only as a baseline for benchmarks.
    bool reserve = true;
    /// Slot time by which a workspace may exceed its fair share before its
    /// latency-critical work loses its precedence.
    duration max_critical_lead = std::chrono::seconds(1);
};

/// @brief Assigns the slots of one executor.
///
/// Slots reserved by the table are open to latency-critical classes only.
/// Waiting requests are served by weighted fair sharing of slot time, first
/// among workspaces, then among a workspace's classes. A request that cannot
/// finish by its deadline is refused as soon as that is known.
class admission
{
public:
    /// @param options limits and options of the executor
    explicit admission(admission_options options);

    /// @brief Sets the weights, reservations and queue limits.
    void use_table(const table& rows);

    /// @brief Queues or refuses a request. O(number of classes)
    /// @return the refusal, or nothing if the request is queued
    std::optional<slot_refusal> offer(time_point now,
                                      const slot_request& request);

    /// @brief Dequeues the requests that may start now; each holds a slot
    /// until finish() or abandon().
    std::vector<slot_request> start_ready();

    /// @brief Dequeues the requests that can no longer meet their deadline.
    std::vector<slot_refusal> expire(time_point now);

    /// @brief Frees the slot of an attempt whose service time was @p service.
    void finish(const attempt_name& attempt, duration service);
    /// @brief Frees the slot of an attempt that never ran.
    void abandon(const attempt_name& attempt);

    /// @brief Sets the number of slots taken by attempts that were not
    /// admitted here: orphans and attempts in doubt.
    void occupy(std::int64_t slots) noexcept
    {
        orphans_ = slots;
    }

    /// @brief Numbers of running and queued requests; slots set by occupy()
    /// count as running requests of other classes.
    [[nodiscard]] load_report load() const;
    /// @brief Slots taken, including those set by occupy().
    [[nodiscard]] std::int64_t taken() const noexcept;
    /// @brief Estimated time until the waiting requests have been served.
    /// @param critical whether to estimate for latency-critical requests, for
    /// which other requests do not count
    [[nodiscard]] duration backlog(bool critical) const;

private:
    struct class_lane
    {
        double virtual_time = 0;
        std::int64_t running = 0;
        double service = 0.01; ///< mean service time in s, learned
        std::deque<slot_request> waiting;
    };
    struct workspace_lane
    {
        double virtual_time = 0;
        std::map<class_name, class_lane> classes;
    };
    struct held_slot
    {
        class_name work_class;
        bool critical = false;
    };
    struct choice
    {
        workspace_lane* workspace = nullptr;
        class_lane* lane = nullptr;
        class_name work_class;
        bool precedence = false;
    };

    [[nodiscard]] bool is_critical(const class_name& name) const;
    [[nodiscard]] std::int64_t reserved() const noexcept;
    [[nodiscard]] std::int64_t slots_open_to(bool critical) const noexcept;
    [[nodiscard]] bool may_start(bool critical) const noexcept;
    [[nodiscard]] bool is_below_class_limit(const class_name& name,
                                            const class_lane& lane) const;
    class_lane& lane_of(const class_name& name);
    void release(const attempt_name& attempt);
    [[nodiscard]] double min_virtual_time() const;
    [[nodiscard]] std::optional<choice> choose();
    [[nodiscard]] std::optional<choice> choose_in(workspace_lane& lane,
                                                  bool precedence);
    slot_request take(const choice& chosen);

    admission_options options_;
    table table_;
    std::map<std::string, workspace_lane> lanes_;
    std::map<attempt_name, held_slot> held_;
    double virtual_time_ = 0;
    std::int64_t running_critical_ = 0;
    std::int64_t running_other_ = 0;
    std::int64_t orphans_ = 0;
};

} // namespace springstair
