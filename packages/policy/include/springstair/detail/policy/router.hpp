#pragma once

#include <springstair/membership.hpp>

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief The routers' random number generator; seeded once per process.
using random_source = std::mt19937_64;

/// @brief Attempts of this entry that a guard has not yet answered.
struct outstanding_attempts
{
    int critical = 0;
    int other = 0;
};

/// @brief A guard to which a request may be sent.
struct route_candidate
{
    guard_name guard;
    double load = 0; ///< requests per slot open to the request's kind
    bool has_free_slot = false; ///< a slot for this kind is probably free
    bool local = false;         ///< in the entry's own data centre
};

/// @brief A type that picks one of several guards.
template <class Router>
concept routing_policy = requires(Router router,
                                  std::span<const route_candidate> candidates,
                                  random_source& random)
{
    {
        router.pick(candidates, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// @brief Picks the least loaded of a few random candidates.
///
/// Prefers candidates with a free slot, and among them those in the entry's
/// own data centre. It compares only a few candidates, because several entries
/// with the same stale view would otherwise all send to the same guard.
class sampled_router
{
public:
    /// @brief Number of random candidates compared.
    static constexpr std::size_t sample_size = 3;

    /// @brief Index of the picked candidate; empty if there are none. O(n)
    std::optional<std::size_t> pick(std::span<const route_candidate> candidates,
                                    random_source& random) const;
};

/// @brief Picks a random guard; a baseline for benchmarks.
class random_router
{
public:
    /// @copydoc sampled_router::pick
    std::optional<std::size_t> pick(std::span<const route_candidate> candidates,
                                    random_source& random) const;
};

/// @brief Picks the least loaded guard of all; a baseline for benchmarks.
class least_loaded_router
{
public:
    /// @copydoc sampled_router::pick
    std::optional<std::size_t> pick(std::span<const route_candidate> candidates,
                                    random_source& random) const;
};

/// @brief Any of the routers that the settings can select.
using any_router =
    std::variant<sampled_router, random_router, least_loaded_router>;

/// @brief The router with this name in the settings; empty if unknown.
/// @param name `sampled`, `random` or `least_loaded`
std::optional<any_router> router_named(const std::string& name);

/// @brief Computes a candidate's load, and whether it has a free slot, from a
/// guard's report.
///
/// Attempts of other entries are taken from the report. Those of this entry
/// are taken from its own count, which includes attempts still in transit.
/// @param load the guard's last load report
/// @param own this entry's outstanding attempts at the guard
/// @param kind kind of the request
/// @param reserved slots reserved for latency-critical classes
route_candidate make_candidate(const load_report& load,
                               const outstanding_attempts& own, class_kind kind,
                               std::int64_t reserved);

} // namespace springstair
