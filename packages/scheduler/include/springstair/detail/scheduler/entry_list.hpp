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
    std::size_t most_peers = 6;
    /// Of them, those of the asking entry's own data centre come first; so
    /// many are of any other, in case that one is cut off.
    std::size_t most_peers_elsewhere = 2;
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
    /// @brief Entries that the store serves, for one that asks.
    std::vector<std::string> peers_of(const entry_heartbeat& asking,
                                      time_point now);

private:
    struct heard_entry
    {
        entry_heartbeat what;
        time_point at{};
    };

    void sort(time_point now);

    entry_list_options options_;
    std::map<std::string, heard_entry> entries_; ///< by address
    std::vector<entry_heartbeat> order_;         ///< as sorted last
    std::map<std::string, std::int64_t> ranks_;  ///< places in it
    time_point sorted_at_{};
    bool is_sorted_ = false;
};

} // namespace springstair
