#pragma once

#include <springstair/detail/jobs/queue_row.hpp>

#include <string>
#include <vector>

namespace springstair
{

/// @brief A row of the operators' table: one pool of workers.
struct pool_row
{
    std::string name;
    /// Its workers refuse runs that exceed their capacity.
    bool enforces_capacity = true;
    bool headroom = false; ///< its workers are switched off

    bool operator==(const pool_row&) const = default;
};

/// @brief Bounds on callers' requests.
struct caller_bounds
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 262144;
    std::int64_t header_ms = 3000;
    std::int64_t idle_ms = 15000;

    bool operator==(const caller_bounds&) const = default;
};

/// @brief One version of the operators' table of queues and pools.
struct queue_table
{
    std::int64_t version = 0; ///< 0: none is known yet
    std::vector<queue_row> queues;
    std::vector<pool_row> pools;
    caller_bounds bounds;

    bool operator==(const queue_table&) const = default;

    /// @brief The row with this name, or null.
    [[nodiscard]] const queue_row* queue(std::string_view name) const;
    /// @brief The row for a request: longest matching prefix, or null.
    [[nodiscard]] const queue_row* route(std::string_view host,
                                         std::string_view path) const;
};

} // namespace springstair
