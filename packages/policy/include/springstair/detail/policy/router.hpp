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

/// @brief Source of the router's randomness; seeded once a process.
using random_source = std::mt19937_64;

/// @brief Attempts of this entry that a guard has not answered yet.
struct outstanding_attempts
{
    int critical = 0;
    int other = 0;
};

/// @brief A guard that a request may go to.
struct route_candidate
{
    guard_name guard;
    double load = 0;    ///< work per slot open to the request's kind
    bool room = false;  ///< a slot should be free for this kind
    bool local = false; ///< in the entry's own data centre
};

/// @brief Anything that picks one of several guards.
template <class Router>
concept routing_policy = requires(Router router,
                                  std::span<const route_candidate> candidates,
                                  random_source& random)
{
    {
        router.pick(candidates, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

/// @brief Own data centre first, the least loaded of a few drawn at random.
///
/// A few, not all: several entries that see the same stale view would
/// otherwise all send to the same guard.
class sampled_router
{
public:
    /// @brief How many are drawn.
    static constexpr std::size_t sample_size = 3;

    /// @brief Picks a candidate, or nothing if there are none. O(n)
    std::optional<std::size_t> pick(std::span<const route_candidate> from,
                                    random_source& random) const;
};

/// @brief Any guard, as a baseline to measure against.
class random_router
{
public:
    /// @copydoc sampled_router::pick
    std::optional<std::size_t> pick(std::span<const route_candidate> from,
                                    random_source& random) const;
};

/// @brief The least loaded of all, as a baseline to measure against.
class least_loaded_router
{
public:
    /// @copydoc sampled_router::pick
    std::optional<std::size_t> pick(std::span<const route_candidate> from,
                                    random_source& random) const;
};

/// @brief One of the routers, as the settings name it.
using any_router =
    std::variant<sampled_router, random_router, least_loaded_router>;

/// @brief The router of a settings' name, or nothing.
/// @param name `sampled`, `random` or `least_loaded`
std::optional<any_router> router_named(const std::string& name);

/// @brief Fills load and room from a guard's report.
///
/// What others sent is taken from the report, what this entry sent from its
/// own count, which knows of attempts that are still on their way.
/// @param load what the guard reported @param own this entry's attempts
/// @param kind of the request
/// @param reserved slots kept for latency-critical classes
route_candidate make_candidate(const load_report& load,
                               const outstanding_attempts& own, class_kind kind,
                               std::int64_t reserved);

} // namespace springstair
