#pragma once
// What an entry and the holder of all jobs tell one another.

#include "leader_election.hpp"

#include <springstair/scheduler.hpp>

#include <string>
#include <vector>

namespace springstair
{

/// Sends an entry's heartbeats to the holder. While that one does not answer,
/// other entries are asked who holds.
class leader_heartbeat
{
public:
    leader_heartbeat(process_context& process, platform::store_client& store,
                     leader_election& election);

    void tick(time_point now);

    /// Entries that the store served when the holder last told.
    [[nodiscard]] const std::vector<std::string>& peers() const noexcept
    {
        return peers_;
    }
    /// Whether the holder's word of the operator's changes is fresh: it
    /// answered the newest heartbeat, and the store had answered it.
    [[nodiscard]] bool is_operator_change_fresh(time_point now) const;
    /// The operator's newest change that the holder has told.
    [[nodiscard]] std::int64_t operator_change() const noexcept
    {
        return operator_change_;
    }
    /// When this entry claims an office that is free.
    [[nodiscard]] claim_schedule own_claim_schedule() const
    {
        return claim_schedule::of(answered_at_ != time_point{}, rank_);
    }
    /// When the holder last answered.
    [[nodiscard]] time_point answered_at() const noexcept
    {
        return answered_at_;
    }

private:
    [[nodiscard]] std::string next_target();
    void send(const std::string& target, time_point now);
    void on_answer(const http_result& result, time_point sent);

    process_context& process_;
    platform::store_client& store_;
    leader_election& leader_election_;
    std::string target_leader_; ///< where the newest heartbeat went
    bool busy_ = false;
    std::size_t failures_ = 0;  ///< in a row
    std::size_t next_peer_ = 0; ///< counts, to ask other entries in turn
    time_point next_heartbeat_at_{};
    time_point answered_at_{};
    std::vector<std::string> peers_;
    std::int64_t operator_change_ = 0;
    std::optional<std::int64_t> rank_; ///< among the successors
};

} // namespace springstair
