#pragma once

#include <springstair/detail/jobs/job.hpp>

#include <map>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Timings of the service that decides which workers may run a queue's
/// steps.
struct advice_terms
{
    std::int64_t decide_ms = 0; ///< time for one query
    std::int64_t each_ms = 0;   ///< additional time per worker in the query
    std::int64_t valid_ms = 0;  ///< validity of an answer

    bool operator==(const advice_terms&) const = default;
};

/// @brief A row of the operators' table: one class of jobs.
struct queue_row
{
    std::string name;
    std::string host;               ///< host of the callers' requests
    std::string path_prefix;        ///< prefix of their path
    std::string service;            ///< the pool of workers that runs it
    std::int64_t priority = 0;      ///< 0 is the most urgent
    std::int64_t most_attempts = 1; ///< failures of a task that fail its job
    /// Latency objective: stretch times a job's critical path, plus target_ms.
    double stretch = 1;
    std::int64_t target_ms = 0;  ///< see stretch
    std::int64_t timeout_ms = 0; ///< of a caller's request
    std::optional<advice_terms> advice;

    bool operator==(const queue_row&) const = default;
};

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
