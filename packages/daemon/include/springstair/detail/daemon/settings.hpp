#pragma once

#include <springstair/core.hpp>
#include <springstair/membership.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace springstair
{

/// @brief What a process is.
enum class process_role : std::uint8_t
{
    entry,
    guard
};

/// @brief Settings that both roles have.
struct common_settings
{
    process_role role = process_role::entry;
    std::string name; ///< of its VM, as the platform lists it
    std::string data_centre;
    std::string rack;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::string fleet_key;            ///< shared by all our processes
    std::vector<std::string> entries; ///< addresses to begin with
    std::string platform;             ///< address of the list of VMs
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
    duration drain_grace{0}; ///< for the balancer to notice
};

/// @brief Settings of a guard.
struct guard_settings
{
    std::string executor;
    std::int64_t slots = 8;
    bool reserve_slots = true;
    std::string worker;
    resources capacity; ///< for tasks: what the executor leaves
    duration heartbeat{0};
    duration max_service_time{0};
    duration task_lease{0};
};

/// @brief One process's settings, checked.
struct settings
{
    common_settings common;
    entry_settings entry;
    guard_settings guard;
};

/// @brief Checks a settings document.
/// @throw document_error 101 with every finding and its JSON pointer
settings parse_settings(const json& document);

/// @brief Reads a file of JSON.
/// @throw document_error 102 if it cannot be read
json read_document(const std::string& path);

/// @brief Reads and checks a settings file.
/// @throw document_error 101, or 102 if the file cannot be read
settings read_settings(const std::string& path);

/// @brief The settings with every default filled in; the key is left out.
json to_document(const settings& values);

} // namespace springstair
