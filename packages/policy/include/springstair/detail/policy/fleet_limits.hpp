#pragma once

#include <springstair/membership.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace springstair
{

/// @brief Times of the agreement between entries.
struct fleet_limit_options
{
    /// A borrower gives units back by itself after this silence.
    duration lease = std::chrono::milliseconds(1500);
    /// A lender that got no answer counts units as lent for this long.
    duration lender_wait = std::chrono::seconds(4);
    /// A departed entry's part is kept free for this long.
    duration departure_wait = std::chrono::seconds(5);
    /// Over which use is remembered when units are offered.
    duration peak_window = std::chrono::seconds(1);
    /// Of a second's requests, how many may come at once.
    double burst_seconds = 0.25;
};

/// @brief One entry's part of the fleet-wide limits of workspaces.
///
/// Each limit is split evenly over the live entries; an entry with units to
/// spare lends them to one that wants more, and counts them as its own
/// again only when the borrower has said it no longer uses them. So the sum
/// of all parts stays at the limit while the members agree on who they are.
class fleet_limits
{
public:
    /// @param self name of this entry @param options times
    explicit fleet_limits(std::string self, fleet_limit_options options = {});

    /// @brief Limits from now on.
    void use_table(const table& rows);
    /// @brief The other entries alive now.
    void use_members(time_point now, const std::set<std::string>& others);

    /// @brief Admits one request of a workspace.
    /// @return nothing if admitted, else when to come back
    std::optional<duration> admit(time_point now, const std::string& workspace);
    /// @brief A request that was admitted has ended.
    void release(const std::string& workspace);

    /// @brief Units more of each workspace that this entry could use.
    [[nodiscard]] unit_map wants(time_point now) const;
    /// @brief What to offer a peer in the next message to it.
    unit_map offer(time_point now, const std::string& peer,
                   const unit_map& wanted);
    /// @brief The peer answered the last offer.
    /// @param holds units it still uses of what was lent before
    void settled(const std::string& peer, const unit_map& holds);
    /// @brief A peer's offer came in; it replaces its last one.
    void borrow(time_point now, const std::string& peer, const unit_map& lends);
    /// @brief Borrowed units that are in use here. Every lender is told the
    /// whole: too much is on the safe side.
    [[nodiscard]] unit_map holds() const;

    /// @brief Requests of a workspace that this entry may have in flight.
    [[nodiscard]] std::int64_t part(time_point now,
                                    const std::string& workspace) const;
    /// @brief Requests of a workspace in flight through this entry.
    [[nodiscard]] std::int64_t in_flight(const std::string& workspace) const;

private:
    struct loan
    {
        std::int64_t counted = 0; ///< taken from the lender's own part
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
        double rate_tokens = -1; ///< below zero: not yet used
        time_point rate_filled;
        std::map<std::string, loan> lent;
        std::map<std::string, borrowed_units> borrowed;
    };

    [[nodiscard]] std::int64_t even_quota(std::int64_t limit) const;
    [[nodiscard]] std::int64_t limit_of(const std::string& workspace) const;
    [[nodiscard]] std::int64_t own_part(const usage& of,
                                        std::int64_t limit) const;
    static std::int64_t borrowed_now(time_point now, const usage& of);
    void note_use(time_point now, usage& of) const;
    std::optional<duration> take_rate(time_point now, usage& of,
                                      std::int64_t rate) const;
    void expire_loans(time_point now, usage& of) const;

    std::string self_;
    fleet_limit_options options_;
    table table_;
    std::set<std::string> members_;
    std::map<std::string, time_point> departed_;
    std::map<std::string, usage> usage_;
};

} // namespace springstair
