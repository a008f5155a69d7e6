#pragma once

#include <springstair/policy.hpp>
#include <springstair/scheduler.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Role of a process of the job system.
enum class job_role : std::uint8_t
{
    job_entry, ///< takes callers' requests; one is the leader
    job_guard  ///< of one executor; the only process that sends it orders
};

/// @brief Validated settings of a process of the job system.
struct job_settings
{
    job_role role = job_role::job_entry;
    std::string name; ///< of the VM
    std::string data_centre;
    std::string address;              ///< an IP address
    std::string announced_address;    ///< where other processes reach it, if
                                      ///< it differs from address
    std::uint16_t internal_port = 0;  ///< for calls between processes
    std::string store;                ///< endpoint of the platform's store
    std::vector<std::string> entries; ///< their initial internal endpoints
    duration max_lease{0};            ///< longest lease that workers accept
    duration stop_time{0};      ///< max time that a worker needs to stop a run
    duration apply_within{0};   ///< max time from a configuration's
                                ///< acknowledgement until all entries apply it
    duration close_within{0};   ///< max time from a closure's acknowledgement
                                ///< until the last start in the data centre
    duration grace{0};          ///< between SIGTERM and SIGKILL
    std::string callers;        ///< an entry's endpoint for callers
    std::string readiness;      ///< an entry's endpoint for the load
                                ///< balancer
    std::string executors;      ///< where executors send heartbeats
    std::string executor;       ///< endpoint of a guard's executor
    std::string advice;         ///< the advice service; empty: none
    std::string metrics;        ///< endpoint of the metrics; empty: not served
    double processors = 1;      ///< cores of the VM; the largest entries are
                                ///< preferred as leader
    std::int64_t memory_mb = 0; ///< limit; 0: unknown
    std::int64_t descriptors = 0; ///< limit; 0: unknown
    /// Maximum size of a value in the store.
    std::int64_t value_bytes = std::int64_t{1} << 20U;

    // Optional features of entries; without a value they are off.

    std::optional<urgent_room_options> urgent_room;
    std::optional<outage_backoff_options> outage_backoff;
    std::optional<overload_order_options> overload_order;
    std::optional<disruption_budget_options> disruption_budget;

    bool operator==(const job_settings&) const = default;
};

/// @brief Whether a settings document is for the job system.
bool is_job_settings(const json& document);

/// @brief Parses and validates a settings document of the job system.
/// @throw document_error 101 with every finding and its JSON pointer
job_settings parse_job_settings(const json& document);

/// @brief Converts settings to a document with all defaults filled in.
json to_document(const job_settings& settings);

} // namespace springstair
