#pragma once

#include <springstair/membership.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace springstair
{

/// @brief Timeouts and windows of the lending protocol between entries.
struct fleet_limit_options
{
    /// A borrower stops using lent units when no new offer has arrived for
    /// this time.
    duration lease = std::chrono::milliseconds(1500);
    /// A lender that receives no answer counts units as lent for this time.
    duration lender_timeout = std::chrono::seconds(4);
    /// The quota of a departed entry stays unused for this time.
    duration departure_delay = std::chrono::seconds(5);
    /// Window of the peak use that is considered when units are offered.
    duration peak_window = std::chrono::seconds(1);
    /// Maximum burst, as seconds of requests at this entry's part of the rate
    /// limit; at least one request.
    double burst_seconds = 0.25;
};

/// @brief One entry's share of the fleet-wide limits of workspaces.
///
/// Each limit is split evenly among the live entries. An entry with spare
/// units lends them to an entry that wants more. It counts them as its own
/// again only after the borrower has reported that it no longer uses them, or
/// after @a lender_timeout without an answer. So the sum of all quotas does
/// not exceed the limit while the entries agree on the set of members.
class fleet_limits
{
public:
    /// @param self name of this entry @param options timeouts and windows
    explicit fleet_limits(std::string self, fleet_limit_options options = {});

    /// @brief Sets the limits of all workspaces.
    void use_table(const table& rows);
    /// @brief Sets the other entries that are alive now.
    void use_members(time_point now, const std::set<std::string>& others);

    /// @brief Admits or refuses one request of a workspace.
    /// @return nothing if admitted, else the delay before a retry
    std::optional<duration> admit(time_point now, const std::string& workspace);
    /// @brief Called when an admitted request has ended.
    void release(const std::string& workspace);

    /// @brief Additional units per workspace that this entry could use.
    [[nodiscard]] unit_map wants(time_point now) const;
    /// @brief The units to lend to a peer, for the next message to it.
    /// @param wanted the peer's wants()
    unit_map offer(time_point now, const std::string& peer,
                   const unit_map& wanted);
    /// @brief Called when the peer has answered the last offer.
    /// @param holds borrowed units that it still uses
    void on_offer_answered(const std::string& peer, const unit_map& holds);
    /// @brief Called when a peer's offer arrives; replaces its previous one.
    void borrow(time_point now, const std::string& peer, const unit_map& lends);
    /// @brief Borrowed units in use at this entry. The total is reported to
    /// every lender: reporting too many units is safe.
    [[nodiscard]] unit_map holds() const;

    /// @brief Maximum in-flight requests of a workspace at this entry. Not
    /// meaningful for a workspace without a limit.
    [[nodiscard]] std::int64_t quota(time_point now,
                                     const std::string& workspace) const;
    /// @brief Current in-flight requests of a workspace at this entry.
    [[nodiscard]] std::int64_t in_flight(const std::string& workspace) const;

private:
    struct loan
    {
        std::int64_t counted = 0; ///< deducted from the lender's own quota
        std::int64_t offered = 0; ///< in the last message
        time_point sent;
    };
    struct borrowed_units
    {
        std::int64_t units = 0;
        time_point until;
    };
    struct usage
    {
        std::int64_t in_flight = 0;
        std::int64_t peak = 0;
        std::int64_t refused = 0;
        time_point peak_since;
        double rate_tokens = -1; ///< negative: not yet initialized
        time_point rate_filled;
        std::map<std::string, loan> lent;
        std::map<std::string, borrowed_units> borrowed;
    };

    [[nodiscard]] std::int64_t even_quota(std::int64_t limit) const;
    [[nodiscard]] std::int64_t limit_of(const std::string& workspace) const;
    [[nodiscard]] std::int64_t own_quota(const usage& use,
                                         std::int64_t limit) const;
    static std::int64_t borrowed_units_at(time_point now, const usage& use);
    void update_peak(time_point now, usage& use) const;
    std::optional<duration> take_rate_token(time_point now, usage& use,
                                            std::int64_t rate) const;
    void expire_loans(time_point now, usage& use) const;

    std::string self_;
    fleet_limit_options options_;
    table table_;
    std::set<std::string> members_;
    std::map<std::string, time_point> departed_;
    std::map<std::string, usage> usage_;
};

} // namespace springstair
