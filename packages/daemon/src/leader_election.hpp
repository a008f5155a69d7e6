#pragma once
// Leader election among the entries, by a leased key in the store.

#include "leader_watch.hpp"

#include <springstair/scheduler.hpp>

#include <functional>
#include <optional>
#include <string>

namespace springstair
{

/// Claims, keeps and resigns leadership. The leader's key has a lease: the
/// store deletes the key when the lease expires or is ended. The key's revision
/// is the epoch of the term.
class leader_election
{
public:
    struct callbacks
    {
        /// This entry was elected.
        std::function<void(std::int64_t epoch)> elected;
        /// This entry lost leadership.
        /// @param next the next leader, if it is known
        std::function<void(const leader_change& next)> lost;
        /// The result of a leadership handover that @p from requested.
        /// @param epoch of the term that begins here; 0: this entry declined
        std::function<void(const std::string& from, std::int64_t epoch)>
            takeover_answered;
    };

    leader_election(process_context& process, platform::store_client& store,
                    callbacks handlers);

    void tick(time_point now);
    /// Resigns leadership and makes no further claim.
    void resign();
    /// Handles the leader's request to take over leadership.
    void take_over(const take_over_request& request);
    /// Sets the delay before this entry claims a free leadership, and whether
    /// it is one of the successors, which watch the key with a shorter wait.
    void set_claim_schedule(const claim_schedule& schedule);
    /// Reads the leader's key from the store again. Called when the leader does
    /// not answer.
    void recheck_leader();
    /// Another entry reports the leader. A report of a newer epoch than the
    /// newest known one is accepted; a newer revision of the key in the store
    /// overrides it.
    void observe_leader(std::int64_t epoch, const std::string& leader);
    /// A fenced write that was sent at @p sent succeeded: this entry was the
    /// leader at that time.
    void confirm_leadership(time_point sent);
    /// A fenced write failed because this leader is superseded.
    /// @param why for the log
    void step_down(const char* why);

    [[nodiscard]] bool is_leader() const noexcept
    {
        return stage_ == stage::leader;
    }
    [[nodiscard]] std::int64_t epoch() const noexcept
    {
        return epoch_;
    }
    /// When the current term of this entry began.
    [[nodiscard]] time_point leader_since() const noexcept
    {
        return leader_since_;
    }
    /// The latest time at which this entry is confirmed to be the leader.
    [[nodiscard]] time_point confirmed_at() const noexcept
    {
        return confirmed_at_;
    }
    /// The newest epoch known here, its own or another entry's.
    [[nodiscard]] std::int64_t newest_epoch() const noexcept
    {
        return std::max(epoch_, leader_epoch_);
    }
    /// The leader's internal address; empty if unknown.
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
    void record_store_result(const platform::store_result& result);
    void on_claim_failed();

    process_context& process_;
    platform::store_client& store_;
    callbacks callbacks_;
    leader_watch watch_;
    stage stage_ = stage::follower;
    adaptive_timeout timeout_;
    std::string nonce_; ///< identifies the key that this entry writes
    std::string leader_;
    std::int64_t leader_epoch_ = 0;
    std::int64_t expected_revision_ = 0; ///< the claim's condition; 0: no key
    bool was_leader_ = false;            ///< at any time in this process
    claim_schedule claim_schedule_;
    /// The leader that requested a handover; empty: none did.
    std::string takeover_from_;
    bool busy_ = false; ///< a lease request or claim is in flight
    bool renewing_ = false;
    bool checking_ = false;
    std::int64_t lease_ = 0;
    time_point lease_fresh_until_{}; ///< a later claim needs a new lease
    std::int64_t epoch_ = 0;
    time_point leader_since_{};
    time_point confirmed_at_{};
    time_point next_attempt_at_{};
    time_point next_renewal_{};
    time_point store_answered_{};
};

} // namespace springstair
