#pragma once

#include <springstair/detail/membership/messages.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace springstair
{

/// @brief When silence counts.
struct directory_options
{
    duration suspect_after = std::chrono::milliseconds(1500);
    duration forget_after = std::chrono::minutes(5);
};

/// @brief What an entry knows of one guard.
struct guard_view
{
    guard_report report;
    time_point heard;
    bool listed_leaving = false; ///< by the platform's lagging list
    bool unreachable = false;    ///< a connection was refused since heard

    /// @brief Whether new work may be sent there at @p now.
    [[nodiscard]] bool usable(time_point now,
                              const directory_options& options) const;
};

/// @brief What a heartbeat changed.
enum class guard_change : std::uint8_t
{
    none,
    joined,
    restarted,
    leaving
};

/// @brief The guards an entry knows, from their own heartbeats first and
/// the platform's lagging list second.
class guard_directory
{
public:
    /// @param options when silence counts
    explicit guard_directory(directory_options options = {});

    /// @brief Takes in a heartbeat. O(log n)
    guard_change hear(time_point now, const guard_report& report);
    /// @brief Takes in a load report that came with an answer.
    void hear_load(const guard_name& guard, const load_report& load);
    /// @brief A connection to the guard was refused.
    void refused(const guard_name& guard);
    /// @brief The platform's list of leaving VMs, by address.
    void list_leaving(const std::set<std::string>& addresses);
    /// @brief Guards that fell silent since the last call; forgets those
    /// silent for long.
    std::vector<guard_name> expire(time_point now);

    /// @brief All known guards by name.
    [[nodiscard]] const std::map<guard_name, guard_view>& all() const noexcept
    {
        return guards_;
    }

    /// @brief One guard, or null.
    [[nodiscard]] const guard_view* find(const guard_name& guard) const;

    /// @brief When silence counts.
    [[nodiscard]] const directory_options& options() const noexcept
    {
        return options_;
    }

private:
    directory_options options_;
    std::map<guard_name, guard_view> guards_;
    std::set<guard_name> silent_;
};

/// @brief The other entries that one entry knows.
class entry_directory
{
public:
    /// @param options when silence counts
    explicit entry_directory(directory_options options = {});

    /// @brief Takes in an exchange. @return whether the entry is new
    bool hear(time_point now, const entry_summary& summary);
    /// @brief A guard says that it hears these entries.
    void relay(time_point now, const std::vector<std::string>& names);
    /// @brief Forgets entries silent for long.
    void expire(time_point now);

    /// @brief Other entries heard of lately, directly or through a guard.
    [[nodiscard]] std::set<std::string> alive(time_point now) const;
    /// @brief The last word of each entry heard directly.
    [[nodiscard]] const std::map<std::string, entry_summary>&
    summaries() const noexcept
    {
        return summaries_;
    }

private:
    directory_options options_;
    std::map<std::string, entry_summary> summaries_;
    std::map<std::string, time_point> heard_;
};

} // namespace springstair
