#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Bounds of the leader's list of entries.
struct entry_list_options
{
    /// An entry counts as present for this time after its heartbeat: two
    /// heartbeat intervals and a lost heartbeat.
    duration heartbeat_timeout = std::chrono::seconds(7);
    /// Maximum age of the order of the entries; each update sorts all of them.
    duration order_age = std::chrono::milliseconds(500);
    /// Maximum number of peers in the answer to a heartbeat: enough that one of
    /// them still reaches the store when every other VM has lost it.
    std::size_t max_peers = 6;
    /// Peers of the asking entry's own data centre come first; this many are
    /// from others, in case that data centre is cut off.
    std::size_t max_peers_elsewhere = 2;
    /// Leadership is handed over to an entry with this many times the leader's
    /// processors: the leader's load grows with the fleet, and a small VM falls
    /// behind.
    double much_larger = 1.5;
    /// Minimum time between an election and a handover to a larger VM: other
    /// entries may be starting.
    duration min_term = std::chrono::milliseconds(500);
    /// A leader that the store has not served for this long hands over: more
    /// than the response time of a store that is fifty times slower than usual,
    /// well below the lease that successors would have to wait for.
    duration store_outage_tolerance = std::chrono::milliseconds(400);
    /// Time for which an entry that could not take over is not asked again.
    duration decline_backoff = std::chrono::seconds(2);
    /// Maximum number of entries asked within that time: if the store serves no
    /// entry, each of them would claim leadership without success.
    std::size_t max_declined = 4;
};

/// @brief Why a leader hands over to another entry.
enum class handover_reason : std::uint8_t
{
    stopping,   ///< planned stop of its process
    store_away, ///< the store does not serve its VM
    small       ///< another VM is much larger
};

/// @brief The text of a reason, for the log.
std::string_view to_string(handover_reason value) noexcept;

/// @brief The inputs of the decision whether a leader hands over.
struct leader_state
{
    double processors = 1; ///< of its VM
    duration held_for{0};  ///< since its election
    /// Since the store last served it; 0: it does.
    duration store_unavailable_for{0};
    bool stopping = false;
};

/// @brief The entry that is to take over leadership.
struct handover_target
{
    std::string address;
    handover_reason reason = handover_reason::stopping;

    bool operator==(const handover_target&) const = default;
};

/// @brief When an entry claims a vacant leadership, by its rank among the
/// successors, and whether it watches the leader's key closely.
///
/// All entries see at the same moment that the leader's key is deleted. When
/// all of them claimed at once, 184 took a lease for one election, and a small
/// VM was as likely as any to win. So the first four have a turn each, and the
/// others follow in groups of doubling size: the loss of many of the largest
/// VMs costs a fraction of a second, and no more entries claim at once than a
/// group has.
struct claim_schedule
{
    /// Time between two turns: a lease grant and a claim, each a few
    /// milliseconds, and the notification of the others.
    static constexpr duration step = std::chrono::milliseconds(60);
    /// Number of ranks that watch closely and have a turn of their own.
    static constexpr std::int64_t successors = 4;
    /// Turn of entries that the store did not serve at their last heartbeat.
    static constexpr std::int64_t last_turn = 12;

    bool is_successor = true;
    duration delay{0};

    /// @param has_rank whether any leader has sent this entry its rank; if not,
    /// it claims at once: after the loss of all entries no ranks are known
    /// @param rank its rank; nothing if the store did not serve it
    static claim_schedule of(bool has_rank, std::optional<std::int64_t> rank);

    bool operator==(const claim_schedule&) const = default;
};

/// @brief The entries that send heartbeats to the leader, and their order as
/// successors.
///
/// Only entries that the store serves can succeed, the largest VMs first: the
/// leader's load grows with the fleet. Equals are ordered by a hash of their
/// address, so that every leader has about the same order.
class entry_list
{
public:
    explicit entry_list(entry_list_options options = {}) : options_(options) {}

    /// @brief Records a received heartbeat.
    void record_heartbeat(const entry_heartbeat& heartbeat, time_point now);
    /// @brief Drops all entries, at the start of a term.
    void clear();

    /// @brief Entries that can become leader now, best first.
    const std::vector<entry_heartbeat>& successors(time_point now);
    /// @brief An entry's rank among the successors, from 0; nothing if it is
    /// none.
    std::optional<std::int64_t> rank(const std::string& address,
                                     time_point now);
    /// @brief The entry to hand leadership over to now; nothing if there is no
    /// reason.
    std::optional<handover_target> next_handover(const leader_state& leader,
                                                 time_point now);
    /// @brief Records that an entry could not take over, or did not answer.
    void note_declined(const std::string& address, time_point now);
    /// @brief The memory for jobs of the smallest present entry.
    /// @param own_bytes that of the leader
    [[nodiscard]] std::int64_t job_capacity(std::int64_t own_bytes,
                                            time_point now) const;
    /// @brief Number of present entries, besides the leader.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return entries_.size();
    }
    /// @brief Entries that the store serves, as peers of the asking one.
    std::vector<std::string> peers_of(const entry_heartbeat& asking,
                                      time_point now);

private:
    struct listed_entry
    {
        entry_heartbeat heartbeat;
        time_point received_at{};
    };

    void sort(time_point now);

    entry_list_options options_;
    std::map<std::string, listed_entry> entries_; ///< by address
    /// Time of the failure, by address.
    std::map<std::string, time_point> declined_;
    std::vector<entry_heartbeat> order_;        ///< successors as last sorted
    std::map<std::string, std::int64_t> ranks_; ///< by address, in order_
    time_point sorted_at_{};
    bool is_sorted_ = false;
};

} // namespace springstair
