#pragma once

#include <springstair/membership.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief An attempt that asks for one of an executor's slots.
struct slot_request
{
    attempt_name attempt;
    class_name of;
    time_point arrived;
    time_point deadline;
    bool may_wait = true; ///< else it starts at once or is refused
};

/// @brief A request for a slot that is given up, and why.
struct slot_refusal
{
    slot_request request;
    refusal reason = refusal::queue_full;
    duration retry_after{0};
};

/// @brief Bounds of an executor.
struct admission_options
{
    std::int64_t slots = 8;
    /// Whether slots are kept for latency-critical classes, and these go
    /// first; off only as a baseline to measure against.
    bool reserve = true;
    /// Slot time by which a workspace's latency-critical work may run
    /// ahead of its fair share before it loses its precedence.
    duration critical_lead = std::chrono::seconds(1);
};

/// @brief Decides who gets the slots of one executor.
///
/// Slots the table reserves are open to latency-critical classes only. What
/// waits is served by weighted fairness of slot time, over workspaces and
/// then over a workspace's classes. What cannot end by its deadline is
/// refused as soon as that is known.
class admission
{
public:
    /// @param options bounds of the executor
    explicit admission(admission_options options);

    /// @brief Weights, reservations and queue bounds from now on.
    void use_table(const table& rows);

    /// @brief Queues a request, or says why not.
    /// @return the refusal, or nothing if it waits now. O(waiting lanes)
    std::optional<slot_refusal> offer(time_point now,
                                      const slot_request& request);

    /// @brief Takes out what may start now; each holds a slot until
    /// finish() or abandon().
    std::vector<slot_request> start_ready();

    /// @brief Takes out what can no longer meet its deadline.
    std::vector<slot_refusal> expire(time_point now);

    /// @brief Frees the slot of an attempt that ran for @p service.
    void finish(const attempt_name& attempt, duration service);
    /// @brief Frees the slot of an attempt that never ran.
    void abandon(const attempt_name& attempt);

    /// @brief Slots known to be taken by attempts that are not ours.
    void occupy(std::int64_t slots) noexcept
    {
        orphans_ = slots;
    }

    /// @brief What runs and waits.
    [[nodiscard]] load_report load() const;
    /// @brief Slots taken, ours and foreign.
    [[nodiscard]] std::int64_t taken() const noexcept;
    /// @brief How long what waits will take, roughly.
    [[nodiscard]] duration backlog(bool critical) const;

private:
    struct class_lane
    {
        double virtual_time = 0;
        std::int64_t running = 0;
        double service = 0.01; ///< seconds a request takes, learnt
        std::deque<slot_request> waiting;
    };
    struct workspace_lane
    {
        double virtual_time = 0;
        std::map<class_name, class_lane> classes;
    };
    struct held_slot
    {
        class_name of;
        bool critical = false;
    };
    struct choice
    {
        workspace_lane* workspace = nullptr;
        class_lane* lane = nullptr;
        class_name of;
        bool precedence = false;
    };

    [[nodiscard]] bool is_critical(const class_name& name) const;
    [[nodiscard]] std::int64_t reserved() const noexcept;
    [[nodiscard]] std::int64_t open_to(bool critical) const noexcept;
    [[nodiscard]] bool may_start(bool critical) const noexcept;
    [[nodiscard]] bool lane_open(const class_name& name,
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
