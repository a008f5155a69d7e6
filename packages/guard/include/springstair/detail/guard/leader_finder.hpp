#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace springstair
{

/// @brief Decides whom a guard reports to: the holder, or while that one does
/// not answer, any entry that may know of another.
class leader_finder
{
public:
    /// @param entries addresses that the settings name; maybe outdated
    explicit leader_finder(std::vector<std::string> entries)
        : entries_(std::move(entries))
    {
    }

    /// @brief Where the next report goes; empty if nobody is known.
    ///
    /// While the holder does not answer, it is still asked every other time:
    /// it may be back at the same address.
    std::string target()
    {
        const bool ask_others =
            leader_.empty() || (is_lost() && failures_ % 2 == 0);
        if (!ask_others || entries_.empty())
        {
            return leader_;
        }
        return entries_[asked_++ % entries_.size()];
    }

    /// @brief Somebody names the holder. @return whether it is another one
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

    /// @brief The holder answered.
    void answered() noexcept
    {
        failures_ = 0;
    }

    /// @brief Whoever was asked is not the holder, or gave no answer.
    /// @return whether the holder counts as lost from now on
    bool failed() noexcept
    {
        return ++failures_ == lost_after;
    }

    [[nodiscard]] bool is_lost() const noexcept
    {
        return failures_ >= lost_after;
    }
    /// @brief Whether only the platform's store can tell who holds: neither the
    /// holder nor the entries that were asked could. Each look is a priced call
    /// of every guard.
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
    /// One lost report is not rare; a second one is news.
    static constexpr std::int64_t lost_after = 2;

    std::vector<std::string> entries_;
    std::string leader_;
    std::int64_t failures_ = 0;
    std::size_t asked_ = 0;
};

} // namespace springstair
