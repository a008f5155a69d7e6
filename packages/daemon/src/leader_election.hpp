#pragma once
// Which entry holds the jobs: a leased key of the store.

#include "leader_watch.hpp"

#include <springstair/scheduler.hpp>

#include <functional>
#include <optional>
#include <string>

namespace springstair
{

/// Takes, keeps and gives up the office of the holder of all jobs. The key's
/// revision is the epoch; the key goes with its lease.
class leader_election
{
public:
    struct callbacks
    {
        std::function<void(std::int64_t epoch)> elected;
        /// @param next the next holder, if it is known
        std::function<void(const leader_change& next)> lost;
        /// An office that this entry was asked to take was taken, or not.
        std::function<void(const std::string& from, std::int64_t epoch)>
            takeover_answered;
    };

    leader_election(process_context& process, platform::store_client& store,
                    callbacks handlers);

    void tick(time_point now);
    /// Gives the office up and takes it no more.
    void resign();
    /// The holder asks this entry to take its office.
    void take_over(const take_over_request& request);
    /// When this entry claims an office that is free.
    void set_claim_schedule(const claim_schedule& schedule);
    /// The holder does not answer: the store is asked who holds.
    void recheck_leader();
    /// Another entry says who holds. A newer holder than is known here is
    /// believed; the store has the last word.
    void observe_leader(std::int64_t epoch, const std::string& leader);
    /// A write conditioned on the office succeeded; it was sent at a time.
    void confirm_leadership(time_point sent);
    /// A write conditioned on the office found another one.
    void step_down(const char* why);

    [[nodiscard]] bool is_leader() const noexcept
    {
        return stage_ == stage::leader;
    }
    [[nodiscard]] std::int64_t epoch() const noexcept
    {
        return epoch_;
    }
    /// Since when it holds the office.
    [[nodiscard]] time_point leader_since() const noexcept
    {
        return leader_since_;
    }
    /// When the office was last known to be ours.
    [[nodiscard]] time_point confirmed_at() const noexcept
    {
        return confirmed_at_;
    }
    /// The newest office that is known here, its own or another's.
    [[nodiscard]] std::int64_t newest_epoch() const noexcept
    {
        return std::max(epoch_, leader_epoch_);
    }
    /// The holder's internal address; empty if not known.
    [[nodiscard]] const std::string& leader() const noexcept
    {
        return leader_;
    }
    /// When the store last answered this process.
    [[nodiscard]] time_point store_answered() const noexcept
    {
        return std::max(store_answered_, watch_.store_answered());
    }

private:
    enum class stage : std::uint8_t
    {
        follower,
        candidate,
        leader,
        resigned
    };

    void on_leader_key(const std::optional<platform::store_item>& item);
    void record_leader(const platform::store_item& item);
    [[nodiscard]] bool is_own_previous_incarnation() const;
    void request_lease();
    void on_lease(const platform::store_result& result);
    void claim();
    void on_claim(const platform::store_result& result, time_point sent);
    void renew();
    void on_renewed(const platform::store_result& result);
    void check_key();
    void become_leader(std::int64_t revision, time_point sent);
    void lose_leadership(const char* why, const leader_change& next = {});
    void note_answer(const platform::store_result& result);
    void on_claim_failed();

    process_context& process_;
    platform::store_client& store_;
    callbacks callbacks_;
    leader_watch watch_;
    stage stage_ = stage::follower;
    adaptive_timeout timeout_;
    std::string nonce_; ///< tells this attempt's key from any other
    std::string leader_;
    std::int64_t leader_epoch_ = 0;
    std::int64_t expected_revision_ =
        0;                    ///< claimed over this revision; 0: none there
    bool was_leader_ = false; ///< this process, at some time
    claim_schedule claim_schedule_;
    /// Whose office is being taken; empty: nobody's.
    std::string takeover_from_;
    bool busy_ = false; ///< a claim is under way
    bool renewing_ = false;
    bool checking_ = false;
    std::int64_t lease_ = 0;
    time_point lease_fresh_until_{}; ///< too old to begin an office on
    std::int64_t epoch_ = 0;
    time_point leader_since_{};
    time_point confirmed_at_{};
    time_point next_attempt_at_{};
    time_point next_renewal_{};
    time_point store_answered_{};
};

} // namespace springstair
