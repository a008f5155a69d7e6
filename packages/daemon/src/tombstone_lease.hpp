#pragma once

#include <springstair/core.hpp>

#include <cstdint>

namespace springstair
{

/// @brief The store's lease for an entry's tombstones, which removes them.
///
/// Many tombstones share a lease. Each lasts for min_lifetime at least.
class tombstone_lease
{
public:
    /// How long a tombstone prevents the creation of its job. Above the time
    /// for which a submission can be under way: in the socket of an entry that
    /// is frozen, or as a write that the store does late. As long as callers
    /// may ask for the state of a job (platform).
    static constexpr duration min_lifetime = std::chrono::seconds(120);
    /// Lifetime to request for a lease.
    static constexpr duration ttl = 2 * min_lifetime;

    /// @brief The lease for a tombstone that is written now; 0: none.
    [[nodiscard]] std::int64_t usable_at(time_point now) const noexcept
    {
        return now < usable_until_ ? lease_ : 0;
    }

    /// @brief Uses a lease that the store has granted.
    /// @param requested when it was requested; it may be counted from then
    void use(std::int64_t lease, duration granted_ttl,
             time_point requested) noexcept
    {
        lease_ = lease;
        usable_until_ = requested + granted_ttl - min_lifetime;
    }

    /// @brief Forgets the lease: the store has none of this number.
    void forget() noexcept
    {
        lease_ = 0;
    }

private:
    std::int64_t lease_ = 0;
    time_point usable_until_{};
};

} // namespace springstair
