#include <springstair/daemon.hpp>
#include <springstair/policy.hpp>

#include <arpa/inet.h>

#include <fstream>
#include <sstream>

namespace springstair
{

namespace
{

constexpr std::size_t min_key_length = 16;
constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_body = std::int64_t{256} << 20;
constexpr std::int64_t default_max_body = std::int64_t{16} << 20;
constexpr std::int64_t max_threads = 64;
constexpr std::int64_t max_milliseconds = 3'600'000;
constexpr std::int64_t max_shards = 1024;

bool is_ipv4_address(const std::string& text)
{
    in_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

bool is_endpoint(const std::string& text)
{
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos || !is_ipv4_address(text.substr(0, colon)))
    {
        return false;
    }
    const std::string port = text.substr(colon + 1);
    return !port.empty() && port.size() <= 5 &&
           port.find_first_not_of("0123456789") == std::string::npos &&
           std::stol(port) <= max_port;
}

void check_endpoint(object_reader& reader, std::string_view key,
                    const std::string& text)
{
    if (!text.empty() && !is_endpoint(text))
    {
        reader.report(key, text + " is not an IPv4 address and port");
    }
}

void check_endpoints(object_reader& reader, std::string_view key,
                     const std::vector<std::string>& all)
{
    for (const std::string& one : all)
    {
        check_endpoint(reader, key, one);
    }
}

duration milliseconds(object_reader& reader, std::string_view key,
                      std::int64_t fallback)
{
    return std::chrono::milliseconds(
        reader.integer(key, fallback, {.min = 1, .max = max_milliseconds}));
}

common_settings read_common(object_reader& reader)
{
    common_settings common;
    const std::string role = reader.text("role");
    common.role = role == "guard" ? process_role::guard : process_role::entry;
    if (!role.empty() && role != "guard" && role != "entry")
    {
        reader.report("role", "must be entry or guard");
    }
    common.name = reader.text("name");
    common.data_centre = reader.text("data_centre");
    common.rack = reader.text("rack", "none");
    common.address = reader.text("address");
    if (!common.address.empty() && !is_ipv4_address(common.address))
    {
        reader.report("address", "must be an IPv4 address");
    }
    common.port = static_cast<std::uint16_t>(
        reader.integer("port", std::nullopt, {.min = 0, .max = max_port}));
    common.fleet_key = reader.text("fleet_key");
    if (!common.fleet_key.empty() && common.fleet_key.size() < min_key_length)
    {
        reader.report("fleet_key", "must have at least 16 characters");
    }
    common.entries = reader.texts("entries");
    check_endpoints(reader, "entries", common.entries);
    if (const json* platform = reader.member("platform"))
    {
        common.platform =
            platform->is_string() ? platform->get<std::string>() : "?";
        check_endpoint(reader, "platform", common.platform);
    }
    common.threads = static_cast<unsigned int>(
        reader.integer("threads", 2, {.min = 1, .max = max_threads}));
    common.most_body_bytes = static_cast<std::size_t>(reader.integer(
        "most_body_bytes", default_max_body, {.min = 1, .max = max_body}));
    return common;
}

entry_settings read_entry(const json& section, findings& wrong)
{
    object_reader reader(section, "/entry", wrong);
    entry_settings entry;
    entry.store = reader.texts("store");
    check_endpoints(reader, "store", entry.store);
    if (entry.store.empty())
    {
        reader.report("store", "must name at least one endpoint");
    }
    entry.operator_credential_hashes =
        reader.texts("operator_credential_hashes");
    entry.routing = reader.text("routing", "sampled");
    if (!router_named(entry.routing))
    {
        reader.report("routing", "must be sampled, random or least_loaded");
    }
    entry.shards = reader.integer("shards", 8, {.min = 1, .max = max_shards});
    entry.commit_interval = milliseconds(reader, "commit_every_ms", 200);
    entry.drain_grace = milliseconds(reader, "drain_grace_ms", 2000);
    reader.reject_unknown();
    return entry;
}

guard_settings read_guard(const json& section, findings& wrong)
{
    object_reader reader(section, "/guard", wrong);
    guard_settings guard;
    guard.executor = reader.text("executor");
    check_endpoint(reader, "executor", guard.executor);
    guard.worker = reader.text("worker");
    check_endpoint(reader, "worker", guard.worker);
    guard.slots = reader.integer("slots", 8, {.min = 1, .max = 1024});
    guard.reserve_slots = reader.boolean("reserve_slots", true);
    guard.capacity.cpu_millis = reader.integer("cpu_millis", std::nullopt);
    guard.capacity.memory_mb = reader.integer("memory_mb", std::nullopt);
    guard.capacity.accelerators = reader.integer("accelerators", 0);
    guard.heartbeat = milliseconds(reader, "heartbeat_ms", 500);
    guard.max_service_time =
        milliseconds(reader, "longest_service_ms", 600'000);
    guard.task_lease = milliseconds(reader, "task_lease_ms", 10'000);
    reader.reject_unknown();
    return guard;
}

} // namespace

settings parse_settings(const json& document)
{
    findings wrong;
    object_reader reader(document, "", wrong);
    settings result;
    result.common = read_common(reader);
    const bool is_entry = result.common.role == process_role::entry;
    const std::string section = is_entry ? "entry" : "guard";
    const json* const role_settings = reader.member(section);
    if (role_settings == nullptr)
    {
        reader.report(section, "is required for this role");
    }
    else if (is_entry)
    {
        result.entry = read_entry(*role_settings, wrong);
    }
    else
    {
        result.guard = read_guard(*role_settings, wrong);
    }
    reader.reject_unknown();
    if (!wrong.empty())
    {
        throw document_error(std::move(wrong));
    }
    return result;
}

json read_document(const std::string& path)
{
    const std::ifstream file(path);
    if (!file)
    {
        throw document_error(path + " cannot be read");
    }
    std::stringstream text;
    text << file.rdbuf();
    json document = try_parse_json(text.str());
    if (document.is_discarded())
    {
        throw document_error(path + " is not JSON");
    }
    return document;
}

settings read_settings(const std::string& path)
{
    return parse_settings(read_document(path));
}

json to_document(const settings& values)
{
    const common_settings& common = values.common;
    const bool is_entry = common.role == process_role::entry;
    json document{{"role", is_entry ? "entry" : "guard"},
                  {"name", common.name},
                  {"data_centre", common.data_centre},
                  {"rack", common.rack},
                  {"address", common.address},
                  {"port", common.port},
                  {"fleet_key", "(not shown)"},
                  {"entries", common.entries},
                  {"threads", common.threads},
                  {"most_body_bytes", common.most_body_bytes}};
    if (!common.platform.empty())
    {
        document["platform"] = common.platform;
    }
    if (is_entry)
    {
        const entry_settings& entry = values.entry;
        document["entry"] = {
            {"store", entry.store},
            {"operator_credential_hashes", entry.operator_credential_hashes},
            {"routing", entry.routing},
            {"shards", entry.shards},
            {"commit_every_ms", to_milliseconds(entry.commit_interval)},
            {"drain_grace_ms", to_milliseconds(entry.drain_grace)}};
        return document;
    }
    const guard_settings& guard = values.guard;
    document["guard"] = {
        {"executor", guard.executor},
        {"worker", guard.worker},
        {"slots", guard.slots},
        {"reserve_slots", guard.reserve_slots},
        {"cpu_millis", guard.capacity.cpu_millis},
        {"memory_mb", guard.capacity.memory_mb},
        {"accelerators", guard.capacity.accelerators},
        {"heartbeat_ms", to_milliseconds(guard.heartbeat)},
        {"longest_service_ms", to_milliseconds(guard.max_service_time)},
        {"task_lease_ms", to_milliseconds(guard.task_lease)}};
    return document;
}

} // namespace springstair
