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
constexpr double default_grace_s = 6; // as the platform
constexpr double default_processors = 1;
constexpr std::int64_t max_memory_mb = 1 << 20;
constexpr std::int64_t max_descriptors = 1 << 20;
// The definition of a job of 256 kB fits into the least.
constexpr std::int64_t min_value_bytes = 512 << 10;
constexpr std::int64_t max_value_bytes = 16 << 20;
constexpr std::int64_t default_stop_ms = 400;   // larger of both sites' values
constexpr std::int64_t default_close_ms = 5000; // only one site has it
constexpr std::int64_t default_apply_ms = 2000; // smallest of all sites' values
constexpr std::int64_t default_lease_ms = 6000; // smaller of both sites' values

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
        reader.report(key, text + " is not an IPv4 address and port");
    }
    return text;
}

duration milliseconds(object_reader& reader, std::string_view key,
                      std::int64_t default_value)
{
    return std::chrono::milliseconds(reader.integer(
        key, default_value, {.min = 1, .max = max_milliseconds}));
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

// All entries use the same internal port as this process.
std::vector<std::string> read_entries(object_reader& reader, std::uint16_t port)
{
    std::vector<std::string> out;
    for (const std::string& one : reader.texts("entries"))
    {
        if (!is_endpoint(one))
        {
            reader.report("entries", one + " is not an IPv4 address and port");
            continue;
        }
        out.push_back(host_of(one) + ":" + std::to_string(port));
    }
    return out;
}

// ---------------------------------------------------------------------------
// Optional features: an absent section leaves the feature off
// ---------------------------------------------------------------------------

// Reads the section @p key with @p read, if it is an object.
template <class Options, class Read>
std::optional<Options> section(object_reader& reader, std::string_view key,
                               findings& all, Read read)
{
    const json* const found = reader.member(key);
    if (found == nullptr)
    {
        return std::nullopt;
    }
    if (!found->is_object())
    {
        reader.report(key, "must be an object");
        return std::nullopt;
    }
    object_reader inner(*found, reader.place_of(key), all);
    Options options = read(inner);
    inner.reject_unknown();
    return options;
}

urgent_room_options read_urgent_room(object_reader& reader)
{
    const urgent_room_options defaults;
    return {.lasting_patience =
                milliseconds(reader, "lasting_patience_ms",
                             to_milliseconds(defaults.lasting_patience)),
            .yield_after = milliseconds(reader, "yield_after_ms",
                                        to_milliseconds(defaults.yield_after))};
}

void read_features(object_reader& reader, findings& all, job_settings& settings)
{
    settings.urgent_room = section<urgent_room_options>(reader, "urgent_room",
                                                        all, read_urgent_room);
    settings.outage_backoff = section<outage_backoff_options>(
        reader, "outage_backoff", all,
        [](object_reader&) { return outage_backoff_options{}; });
    settings.overload_order = section<overload_order_options>(
        reader, "overload_order", all,
        [](object_reader&) { return overload_order_options{}; });
    settings.disruption_budget = section<disruption_budget_options>(
        reader, "disruption_budget", all,
        [](object_reader&) { return disruption_budget_options{}; });
}

void write_features(const job_settings& settings, json& document)
{
    if (settings.urgent_room)
    {
        document["urgent_room"] = {
            {"lasting_patience_ms",
             to_milliseconds(settings.urgent_room->lasting_patience)},
            {"yield_after_ms",
             to_milliseconds(settings.urgent_room->yield_after)}};
    }
    if (settings.outage_backoff)
    {
        document["outage_backoff"] = json::object();
    }
    if (settings.overload_order)
    {
        document["overload_order"] = json::object();
    }
    if (settings.disruption_budget)
    {
        document["disruption_budget"] = json::object();
    }
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
    job_settings settings;
    settings.role = read_role(reader);
    const bool entry = settings.role == job_role::job_entry;
    settings.name = reader.text("name");
    settings.data_centre = reader.text("data_centre");
    settings.address = reader.text("address");
    settings.announced_address =
        reader.text("announced_address", std::optional(settings.address));
    settings.internal_port = static_cast<std::uint16_t>(reader.integer(
        "internal_port", std::nullopt, {.min = 1, .max = max_port}));
    settings.store = endpoint(reader, "store", true);
    settings.entries = read_entries(reader, settings.internal_port);
    settings.max_lease =
        milliseconds(reader, "longest_lease_ms", default_lease_ms);
    settings.stop_time = milliseconds(reader, "stop_ms", default_stop_ms);
    settings.apply_within =
        milliseconds(reader, "apply_within_ms", default_apply_ms);
    settings.close_within =
        milliseconds(reader, "close_within_ms", default_close_ms);
    settings.grace = from_seconds(reader.positive("grace_s", default_grace_s));
    settings.callers = endpoint(reader, "callers", entry);
    settings.readiness = endpoint(reader, "readiness", entry);
    settings.executors = endpoint(reader, "executors", !entry);
    settings.executor = endpoint(reader, "executor", !entry);
    settings.advice = endpoint(reader, "advice", false);
    settings.metrics = endpoint(reader, "metrics", false);
    settings.processors = reader.positive("processors", default_processors);
    settings.memory_mb =
        reader.integer("memory_mb", 0, {.min = 0, .max = max_memory_mb});
    settings.descriptors =
        reader.integer("descriptors", 0, {.min = 0, .max = max_descriptors});
    settings.value_bytes =
        reader.integer("value_bytes", settings.value_bytes,
                       {.min = min_value_bytes, .max = max_value_bytes});
    if (entry)
    {
        read_features(reader, all, settings);
    }
    reader.reject_unknown();
    if (!all.empty())
    {
        throw document_error(std::move(all));
    }
    return settings;
}

json to_document(const job_settings& settings)
{
    json document{{"role", settings.role == job_role::job_entry ? "job_entry"
                                                                : "job_guard"},
                  {"name", settings.name},
                  {"data_centre", settings.data_centre},
                  {"address", settings.address},
                  {"announced_address", settings.announced_address},
                  {"internal_port", settings.internal_port},
                  {"store", settings.store},
                  {"entries", settings.entries},
                  {"longest_lease_ms", to_milliseconds(settings.max_lease)},
                  {"stop_ms", to_milliseconds(settings.stop_time)},
                  {"apply_within_ms", to_milliseconds(settings.apply_within)},
                  {"close_within_ms", to_milliseconds(settings.close_within)},
                  {"grace_s", to_seconds(settings.grace)},
                  {"processors", settings.processors},
                  {"memory_mb", settings.memory_mb},
                  {"descriptors", settings.descriptors},
                  {"value_bytes", settings.value_bytes}};
    const std::map<std::string, std::string> endpoints{
        {"callers", settings.callers},     {"readiness", settings.readiness},
        {"executors", settings.executors}, {"executor", settings.executor},
        {"advice", settings.advice},       {"metrics", settings.metrics}};
    for (const auto& [key, endpoint] : endpoints)
    {
        if (!endpoint.empty())
        {
            document[key] = endpoint;
        }
    }
    write_features(settings, document);
    return document;
}

} // namespace springstair
