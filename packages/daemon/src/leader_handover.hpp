#pragma once
// How a holder gives its office to another entry.

#include "leader_election.hpp"

#include <springstair/scheduler.hpp>

namespace springstair
{

/// Asks the best of the entries that a holder hears to take its office, where
/// the holder is to stop, is not served by the store, or is much smaller. It
/// goes on as holder until that one has taken it.
class leader_handover
{
public:
    leader_handover(process_context& process,
                    const platform::store_client& store,
                    leader_election& election);

    void tick(time_point now, bool stopping);
    /// An entry that was asked says what came of it.
    void on_result(const take_over_result& result);
    /// The answer to an entry's heartbeat.
    entry_heartbeat_answer answer(const entry_heartbeat& heartbeat);
    /// A new office begins: nobody has been heard.
    void begin();

private:
    [[nodiscard]] leader_state state(time_point now, bool stopping) const;
    void ask(const handover_target& target, time_point now);

    process_context& process_;
    const platform::store_client& store_;
    leader_election& leader_election_;
    entry_list entries_;
    std::string asked_; ///< who is to take the office; empty: nobody
    time_point asked_at_{};
};

} // namespace springstair
