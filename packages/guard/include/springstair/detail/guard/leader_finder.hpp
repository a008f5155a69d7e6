#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace springstair
{

/// @brief Chooses the entry that a guard reports to: the leader or, while the
/// leader does not answer, any entry that may know another leader.
class leader_finder
{
public:
    /// @param entries addresses from the settings; may be outdated
    explicit leader_finder(std::vector<std::string> entries)
        : entries_(std::move(entries))
    {
    }

    /// @brief Address for the next report; empty if none is known.
    ///
    /// While the leader does not answer, it is still tried every other time: it
    /// may return at the same address.
    std::string target()
    {
        const bool use_entries =
            leader_.empty() || (is_lost() && failures_ % 2 == 0);
        if (!use_entries || entries_.empty())
        {
            return leader_;
        }
        return entries_[next_entry_++ % entries_.size()];
    }

    /// @brief Records the leader's address as named by an entry.
    /// @return whether it differs from the previous one
    bool follow(const std::string& address)
    {
        if (address.empty() || address == leader_)
        {
            return false;
        }
        leader_ = address;
        failures_ = 0;
        return true;
    }

    /// @brief The leader answered.
    void answered() noexcept
    {
        failures_ = 0;
    }

    /// @brief The target is not the leader or did not answer.
    /// @return whether this failure makes the leader count as lost
    bool failed() noexcept
    {
        return ++failures_ == failures_until_lost;
    }

    [[nodiscard]] bool is_lost() const noexcept
    {
        return failures_ >= failures_until_lost;
    }
    /// @brief Whether to look up the leader in the platform's store: it does
    /// not answer, or no address is known to report to. Each read by each guard
    /// is a charged call.
    [[nodiscard]] bool needs_store() const noexcept
    {
        return is_lost() || (leader_.empty() && entries_.empty());
    }
    [[nodiscard]] bool has_failed() const noexcept
    {
        return failures_ > 0;
    }
    [[nodiscard]] const std::string& leader() const noexcept
    {
        return leader_;
    }

private:
    /// A single lost report is common; two in a row are not.
    static constexpr std::int64_t failures_until_lost = 2;

    std::vector<std::string> entries_;
    std::string leader_;
    std::int64_t failures_ = 0;
    std::size_t next_entry_ = 0;
};

} // namespace springstair
