#pragma once

#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Bounds of what a holder knows of the other entries.
struct entry_list_options
{
    /// An entry counts as there for so long after its heartbeat: two of them
    /// and a lost one.
    duration heard_within = std::chrono::seconds(7);
    /// How old the order of the entries may be; each sorts all of them.
    duration order_age = std::chrono::milliseconds(500);
    /// Entries that a heartbeat is told of: enough that one of them still
    /// reaches the store when every other VM has lost it.
    std::size_t max_peers = 6;
    /// Of them, those of the asking entry's own data centre come first; so
    /// many are of any other, in case that one is cut off.
    std::size_t max_peers_elsewhere = 2;
    /// An entry with this many times the holder's processors takes its office:
    /// the holder's work grows with the fleet, and a small VM falls behind.
    double much_larger = 1.5;
    /// A new office is left where it is for this long: other entries may start
    /// just now.
    duration settling = std::chrono::milliseconds(500);
    /// A holder that the store has not served for so long gives its office up:
    /// above the answer of a store that is fifty times slower than usual, well
    /// below the lease that others would wait for.
    duration store_outage_tolerance = std::chrono::milliseconds(400);
    /// An entry that could not take the office is passed over for so long.
    duration decline_lasts = std::chrono::seconds(2);
    /// Entries that are asked in that time: where the store serves nobody, each
    /// of them would ask it in vain.
    std::size_t most_asked = 4;
};

/// @brief Why a holder gives its office to another entry.
enum class handover_reason : std::uint8_t
{
    stopping,   ///< its process is to stop
    store_away, ///< the store does not serve its VM
    small       ///< another VM is much larger
};

/// @brief The name of a reason, for the log.
std::string_view to_string(handover_reason value) noexcept;

/// @brief What decides whether a holder gives its office up.
struct leader_state
{
    double processors = 1;    ///< of its VM
    duration held_for{0};     ///< since the office was taken
    duration store_silent{0}; ///< since the store last served it; 0: it does
    bool stopping = false;
};

/// @brief Who is to take an office.
struct handover_target
{
    std::string to;
    handover_reason why = handover_reason::stopping;

    bool operator==(const handover_target&) const = default;
};

/// @brief When an entry claims an office that is free, by its place among the
/// successors, and how closely it watches for that.
///
/// All entries see at the same moment that the holder's key is gone. With each
/// of them claiming, 184 took a lease for one office, and a small one was as
/// likely as any to get it. Now the first four have a turn each; the others
/// follow in groups that double, so that the loss of many of the largest costs
/// a fraction of a second and no more claims than a group has.
struct claim_schedule
{
    /// Between two turns: a lease and a claim, each a few milliseconds, and the
    /// news of it.
    static constexpr duration step = std::chrono::milliseconds(60);
    /// Places that watch closely and have a turn of their own.
    static constexpr std::int64_t successors = 4;
    /// Turns of those that the store did not serve when they were heard last.
    static constexpr std::int64_t last_turn = 12;

    bool is_successor = true;
    duration delay{0};

    /// @param was_told whether a holder has told this entry its place at all;
    /// after a loss of everything nobody knows of a better one
    /// @param rank its place; nothing where the store did not serve it
    static claim_schedule of(bool was_told, std::optional<std::int64_t> rank);

    bool operator==(const claim_schedule&) const = default;
};

/// @brief The entries that a holder hears, and the order in which they take
/// the office after it.
///
/// Those that the store serves come first, of them the largest: the holder's
/// work grows with the fleet. Equals are ordered by a hash of their address,
/// so that every holder tells about the same order.
class entry_list
{
public:
    explicit entry_list(entry_list_options options = {}) : options_(options) {}

    /// @brief An entry's heartbeat came.
    void note(const entry_heartbeat& from, time_point now);
    /// @brief Begins a new office: nobody has been heard.
    void clear();

    /// @brief Entries that can take the office now, best first.
    const std::vector<entry_heartbeat>& successors(time_point now);
    /// @brief An entry's place among them, from 0; nothing if it cannot.
    std::optional<std::int64_t> rank(const std::string& address,
                                     time_point now);
    /// @brief Who is to take the holder's office now; nothing if it keeps it.
    std::optional<handover_target> next_handover(const leader_state& of,
                                                 time_point now);
    /// @brief An entry could not take the office, or said nothing of it.
    void note_declined(const std::string& address, time_point now);
    /// @brief Entries that the store serves, for one that asks.
    std::vector<std::string> peers_of(const entry_heartbeat& asking,
                                      time_point now);

private:
    struct heard_entry
    {
        entry_heartbeat heartbeat;
        time_point at{};
    };

    void sort(time_point now);

    entry_list_options options_;
    std::map<std::string, heard_entry> entries_; ///< by address
    std::map<std::string, time_point> declined_; ///< when, by address
    std::vector<entry_heartbeat> order_;         ///< as sorted last
    std::map<std::string, std::int64_t> ranks_;  ///< places in it
    time_point sorted_at_{};
    bool is_sorted_ = false;
};

} // namespace springstair
