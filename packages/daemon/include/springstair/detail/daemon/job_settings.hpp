#pragma once

#include <springstair/core.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace springstair
{

/// @brief What a process of the job system is.
enum class job_role : std::uint8_t
{
    job_entry, ///< takes jobs; one of them at a time holds them all
    job_guard  ///< beside an executor: the only one to give it orders
};

/// @brief Settings of a process of the job system, checked.
struct job_settings
{
    job_role role = job_role::job_entry;
    std::string name; ///< of its VM
    std::string data_centre;
    std::string address;              ///< an IP number
    std::string announced_address;    ///< where other processes reach it, if
                                      ///< not at its own address
    std::uint16_t internal_port = 0;  ///< between our own processes
    std::string store;                ///< address of the platform's store
    std::vector<std::string> entries; ///< internal addresses to begin with
    duration max_lease{0};            ///< that workers take
    duration stop_time{0};            ///< that workers take to stop a run
    duration apply_within{0};         ///< of its acknowledgement, an operator's
                                      ///< configuration is in force everywhere
    duration close_within{0};         ///< of its acknowledgement, a closed data
                                      ///< centre gets no starts any more
    duration grace{0};                ///< between SIGTERM and SIGKILL
    std::string callers;              ///< an entry's address for callers
    std::string readiness;            ///< an entry's address for the balancer
    std::string executors; ///< where an executor sends its heartbeats
    std::string executor;  ///< the executor beside a guard
    std::string advice;    ///< the service that queues with advice ask; empty:
                           ///< there is none
    std::string metrics;   ///< where figures are told; empty: nowhere
    double processors = 1; ///< of the VM, in cores; the largest entries hold
    std::int64_t memory_mb = 0;   ///< that the process may use; 0: not told
    std::int64_t descriptors = 0; ///< that it may have open; 0: not told

    bool operator==(const job_settings&) const = default;
};

/// @brief Whether a settings document is for the job system.
bool is_job_settings(const json& document);

/// @brief Checks a settings document of the job system.
/// @throw document_error 101 with every finding and its JSON pointer
job_settings parse_job_settings(const json& document);

/// @brief The settings with every default filled in.
json to_document(const job_settings& settings);

} // namespace springstair
