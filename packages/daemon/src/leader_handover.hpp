#pragma once
// Planned transfer of leadership to another entry.

#include "leader_election.hpp"

#include <springstair/scheduler.hpp>

namespace springstair
{

/// Requests the best successor to take over leadership when this leader drains,
/// the store is unavailable to it, or its VM is much smaller than the
/// successor's. This entry remains the leader until the successor is elected.
class leader_handover
{
public:
    leader_handover(process_context& process,
                    const platform::store_client& store,
                    leader_election& election);

    void tick(time_point now, bool stopping);
    /// Handles a successor's answer: it was elected, or it declined.
    void on_result(const take_over_result& result);
    /// Records an entry's heartbeat, if this entry is the leader, and returns
    /// the answer to it.
    entry_heartbeat_answer answer(const entry_heartbeat& heartbeat);
    /// The memory for jobs of the smallest entry, this one included, of which
    /// the leader holds so many bytes.
    [[nodiscard]] job_memory memory_for_jobs(std::int64_t held_bytes,
                                             time_point now) const;
    /// Number of present entries.
    [[nodiscard]] std::size_t entry_count() const noexcept
    {
        return entries_.size() + 1;
    }
    /// Begins a term: forgets all entries.
    void begin();

private:
    [[nodiscard]] leader_state state(time_point now, bool stopping) const;
    void request_takeover(const handover_target& target, time_point now);

    process_context& process_;
    const platform::store_client& store_;
    leader_election& leader_election_;
    entry_list entries_;
    std::string requested_successor_; ///< its address; empty: none
    time_point requested_at_{};
};

} // namespace springstair
