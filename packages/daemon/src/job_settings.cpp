#include <springstair/daemon.hpp>

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <utility>

namespace springstair
{

namespace
{

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_milliseconds = 600'000;
constexpr double default_grace_s = 6; // the platform's own figure
constexpr double default_processors = 1;
constexpr std::int64_t max_memory_mb = 1 << 20;
constexpr std::int64_t max_descriptors = 1 << 20;
constexpr std::int64_t default_stop_ms = 400;   // the larger of both sites
constexpr std::int64_t default_close_ms = 5000; // the one site that tells it
constexpr std::int64_t default_apply_ms = 2000; // the least of all sites
constexpr std::int64_t default_lease_ms = 6000; // the smaller of both sites

std::string host_of(const std::string& endpoint)
{
    return endpoint.substr(0, endpoint.find(':'));
}

bool is_endpoint(const std::string& text)
{
    const std::size_t colon = text.find(':');
    in_addr parsed{};
    if (colon == std::string::npos ||
        inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1)
    {
        return false;
    }
    std::int64_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    return error == std::errc{} && stop == end && port > 0 && port <= max_port;
}

std::string endpoint(object_reader& reader, std::string_view key, bool required)
{
    std::string text = required
                           ? reader.text(key)
                           : reader.text(key, std::optional<std::string>(""));
    if (!text.empty() && !is_endpoint(text))
    {
        reader.report(key, text + " is not an IP number and a port");
    }
    return text;
}

duration milliseconds(object_reader& reader, std::string_view key,
                      std::int64_t usual)
{
    return std::chrono::milliseconds(
        reader.integer(key, usual, {.min = 1, .max = max_milliseconds}));
}

job_role read_role(object_reader& reader)
{
    const std::string role = reader.text("role");
    if (role != "job_entry" && role != "job_guard")
    {
        reader.report("role", "must be job_entry or job_guard");
    }
    return role == "job_guard" ? job_role::job_guard : job_role::job_entry;
}

// The other entries take internal calls at the same port as this process.
std::vector<std::string> read_entries(object_reader& reader, std::uint16_t port)
{
    std::vector<std::string> out;
    for (const std::string& one : reader.texts("entries"))
    {
        if (!is_endpoint(one))
        {
            reader.report("entries", one + " is not an IP number and a port");
            continue;
        }
        out.push_back(host_of(one) + ":" + std::to_string(port));
    }
    return out;
}

} // namespace

bool is_job_settings(const json& document)
{
    const auto role =
        document.is_object() ? document.find("role") : document.end();
    return role != document.end() && role->is_string() &&
           role->get<std::string>().starts_with("job_");
}

job_settings parse_job_settings(const json& document)
{
    findings all;
    object_reader reader(document, "", all);
    job_settings to;
    to.role = read_role(reader);
    const bool entry = to.role == job_role::job_entry;
    to.name = reader.text("name");
    to.data_centre = reader.text("data_centre");
    to.address = reader.text("address");
    to.announced_address =
        reader.text("announced_address", std::optional(to.address));
    to.internal_port = static_cast<std::uint16_t>(reader.integer(
        "internal_port", std::nullopt, {.min = 1, .max = max_port}));
    to.store = endpoint(reader, "store", true);
    to.entries = read_entries(reader, to.internal_port);
    to.max_lease = milliseconds(reader, "longest_lease_ms", default_lease_ms);
    to.stop_time = milliseconds(reader, "stop_ms", default_stop_ms);
    to.apply_within = milliseconds(reader, "apply_within_ms", default_apply_ms);
    to.close_within = milliseconds(reader, "close_within_ms", default_close_ms);
    to.grace = from_seconds(reader.positive("grace_s", default_grace_s));
    to.callers = endpoint(reader, "callers", entry);
    to.readiness = endpoint(reader, "readiness", entry);
    to.executors = endpoint(reader, "executors", !entry);
    to.executor = endpoint(reader, "executor", !entry);
    to.advice = endpoint(reader, "advice", false);
    to.metrics = endpoint(reader, "metrics", false);
    to.processors = reader.positive("processors", default_processors);
    to.memory_mb =
        reader.integer("memory_mb", 0, {.min = 0, .max = max_memory_mb});
    to.descriptors =
        reader.integer("descriptors", 0, {.min = 0, .max = max_descriptors});
    reader.reject_unknown();
    if (!all.empty())
    {
        throw document_error(std::move(all));
    }
    return to;
}

json to_document(const job_settings& from)
{
    json document{
        {"role", from.role == job_role::job_entry ? "job_entry" : "job_guard"},
        {"name", from.name},
        {"data_centre", from.data_centre},
        {"address", from.address},
        {"announced_address", from.announced_address},
        {"internal_port", from.internal_port},
        {"store", from.store},
        {"entries", from.entries},
        {"longest_lease_ms", to_milliseconds(from.max_lease)},
        {"stop_ms", to_milliseconds(from.stop_time)},
        {"apply_within_ms", to_milliseconds(from.apply_within)},
        {"close_within_ms", to_milliseconds(from.close_within)},
        {"grace_s", to_seconds(from.grace)},
        {"processors", from.processors},
        {"memory_mb", from.memory_mb},
        {"descriptors", from.descriptors}};
    const std::map<std::string, std::string> endpoints{
        {"callers", from.callers},     {"readiness", from.readiness},
        {"executors", from.executors}, {"executor", from.executor},
        {"advice", from.advice},       {"metrics", from.metrics}};
    for (const auto& [key, endpoint] : endpoints)
    {
        if (!endpoint.empty())
        {
            document[key] = endpoint;
        }
    }
    return document;
}

} // namespace springstair
