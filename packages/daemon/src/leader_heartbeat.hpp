#pragma once
// Heartbeats from an entry to the leader.

#include "leader_election.hpp"

#include <springstair/scheduler.hpp>

#include <string>
#include <vector>

namespace springstair
{

/// Sends an entry's heartbeats to the leader. While the leader does not answer,
/// every second heartbeat goes to another entry, whose answer names the leader.
class leader_heartbeat
{
public:
    leader_heartbeat(process_context& process, platform::store_client& store,
                     leader_election& election);

    void tick(time_point now);

    /// Entries that could reach the store as of the leader's last answer.
    [[nodiscard]] const std::vector<std::string>& peers() const noexcept
    {
        return peers_;
    }
    /// Whether operator_change() is fresh: the leader answered the newest
    /// heartbeat, and the store had answered the leader shortly before.
    [[nodiscard]] bool is_operator_change_fresh(time_point now) const;
    /// Revision of the operator's newest change that the leader reported; 0:
    /// the leader knows none or its information is outdated.
    [[nodiscard]] std::int64_t operator_change() const noexcept
    {
        return operator_change_;
    }
    /// What this entry may accept without the leader.
    [[nodiscard]] job_allotment& allotment() noexcept
    {
        return job_allotment_;
    }
    /// When this entry claims a free leadership.
    [[nodiscard]] claim_schedule own_claim_schedule() const
    {
        return claim_schedule::of(answered_at_ != time_point{}, rank_);
    }
    /// When the heartbeat that the leader answered last was sent.
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
    std::string target_leader_; ///< the last leader that tick() saw
    bool busy_ = false;
    std::size_t failures_ = 0;  ///< in a row
    std::size_t next_peer_ = 0; ///< for round robin over the peers
    time_point next_heartbeat_at_{};
    time_point answered_at_{};
    std::vector<std::string> peers_;
    std::int64_t operator_change_ = 0;
    std::optional<std::int64_t> rank_; ///< among the successors
    job_allotment job_allotment_;
};

} // namespace springstair
