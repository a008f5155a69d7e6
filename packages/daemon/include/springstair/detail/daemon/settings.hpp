#pragma once

#include <springstair/core.hpp>
#include <springstair/membership.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace springstair
{

/// @brief The role of a process.
enum class process_role : std::uint8_t
{
    entry,
    guard
};

/// @brief Settings of both roles.
struct common_settings
{
    process_role role = process_role::entry;
    std::string name; ///< name of its VM in the platform's list
    std::string data_centre;
    std::string rack;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string fleet_key; ///< secret shared by all springstair processes
    std::vector<std::string> entries; ///< initially known addresses of entries
    std::string platform; ///< address that serves the list of VMs; may be empty
    unsigned int threads = 2;
    std::size_t most_body_bytes = 0;
};

/// @brief Settings of an entry.
struct entry_settings
{
    std::vector<std::string> store;
    std::vector<std::string> operator_credential_hashes;
    std::string routing = "sampled";
    std::int64_t shards = 8;
    duration commit_interval{0};
    /// A draining entry still admits requests for this time, so that the load
    /// balancer notices the drain.
    duration drain_grace{0};
};

/// @brief Settings of a guard.
struct guard_settings
{
    std::string executor;   ///< its address
    std::int64_t slots = 8; ///< max requests that the executor runs at a time
    bool reserve_slots = true;
    std::string worker;
    resources capacity;    ///< for tasks; excludes the executor's own needs
    duration heartbeat{0}; ///< interval between heartbeats
    duration max_service_time{0}; ///< timeout of a request to the executor
    duration task_lease{0};
};

/// @brief The validated settings of one process.
struct settings
{
    common_settings common;
    entry_settings entry;
    guard_settings guard;
};

/// @brief Parses and validates a settings document.
/// @throw document_error 101 with every finding and its JSON pointer
settings parse_settings(const json& document);

/// @brief Reads a JSON file.
/// @throw document_error 102 if the file is unreadable or not JSON
json read_document(const std::string& path);

/// @brief Reads and validates a settings file.
/// @throw document_error 101 with every finding and its JSON pointer, or 102
/// if the file is unreadable or not JSON
settings read_settings(const std::string& path);

/// @brief Returns the settings with all defaults; masks the fleet key.
json to_document(const settings& values);

} // namespace springstair
