#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <optional>
#include <string>

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

/// @brief The stored form of a row: what scheduling needs of it, without name
/// and path.
void to_json(json& to, const queue_row& from);
void from_json(const json& from, queue_row& to);

} // namespace springstair
