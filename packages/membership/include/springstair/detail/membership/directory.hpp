#pragma once

#include <springstair/detail/membership/messages.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Timeouts since the last message of a guard or entry.
struct directory_options
{
    /// Suspect after this time; it then receives no new work.
    duration suspect_after = std::chrono::milliseconds(1500);
    /// Removed after this time.
    duration forget_after = std::chrono::minutes(5);
};

/// @brief An entry's view of one guard.
struct guard_view
{
    guard_report report;
    time_point last_heartbeat_at;
    bool listed_leaving = false; ///< in the platform's (delayed) list
    bool unreachable = false;    ///< no connection since the last heartbeat

    /// @brief Whether new work may be sent to the guard at @p now.
    [[nodiscard]] bool usable(time_point now,
                              const directory_options& options) const;
};

/// @brief State change of a guard caused by a heartbeat.
enum class guard_change : std::uint8_t
{
    none,
    joined,
    restarted,
    leaving
};

/// @brief The guards known to an entry, from their heartbeats and from the
/// platform's list of leaving VMs, which is delayed.
class guard_directory
{
public:
    /// @param options timeouts
    explicit guard_directory(directory_options options = {});

    /// @brief Processes a heartbeat. O(log n)
    guard_change on_heartbeat(time_point now, const guard_report& report);
    /// @brief Processes a load report received with an attempt's answer.
    void on_load_report(const guard_name& guard, const load_report& load);
    /// @brief Called when no connection to the guard could be opened.
    void on_unreachable(const guard_name& guard);
    /// @brief Sets the platform's list of leaving VMs, by address.
    void list_leaving(const std::set<std::string>& addresses);
    /// @brief Returns the guards that became suspect since the last call;
    /// removes those unresponsive for longer than @a forget_after.
    std::vector<guard_name> expire(time_point now);

    /// @brief All known guards, by name.
    [[nodiscard]] const std::map<guard_name, guard_view>& all() const noexcept
    {
        return guards_;
    }

    /// @brief One guard, or nullptr.
    [[nodiscard]] const guard_view* find(const guard_name& guard) const;

    /// @brief The timeouts of this directory.
    [[nodiscard]] const directory_options& options() const noexcept
    {
        return options_;
    }

private:
    directory_options options_;
    std::map<guard_name, guard_view> guards_;
    std::set<guard_name> suspects_;
};

/// @brief The other entries known to an entry.
class entry_directory
{
public:
    /// @param options timeouts
    explicit entry_directory(directory_options options = {});

    /// @brief Processes an exchange message. @return whether the entry is new
    bool on_exchange(time_point now, const entry_summary& summary);
    /// @brief Processes the names of entries from which a guard receives
    /// messages.
    void on_relayed_names(time_point now,
                          const std::vector<std::string>& names);
    /// @brief Removes entries unresponsive for longer than @a forget_after.
    void expire(time_point now);

    /// @brief Other entries that are not suspect, known directly or through a
    /// guard.
    [[nodiscard]] std::set<std::string> alive(time_point now) const;
    /// @brief Other entries heard of, directly or through a guard, within
    /// @p period before @p now.
    [[nodiscard]] std::set<std::string> heard_within(time_point now,
                                                     duration period) const;
    /// @brief The live entry that claims a shard of tasks; of several, the one
    /// whose last message is the newest. Null if there is none.
    [[nodiscard]] const entry_summary* owner_of(std::int64_t shard,
                                                time_point now) const;
    /// @brief The last message of each entry received directly.
    [[nodiscard]] const std::map<std::string, entry_summary>&
    summaries() const noexcept
    {
        return summaries_;
    }

private:
    directory_options options_;
    std::map<std::string, entry_summary> summaries_;
    std::map<std::string, time_point> received_at_; ///< of the summaries
    std::map<std::string, time_point> last_seen_at_;
};

} // namespace springstair
