#include "server_limits.hpp"

#include <algorithm>

namespace springstair
{

namespace
{

// A process has up to four servers; the rest of its descriptors is for outgoing
// calls and files.
constexpr std::int64_t server_share_divisor = 4;
constexpr std::int64_t kb_per_connection = 32; // memory of the HTTP library
constexpr std::int64_t kb_per_mb = 1024;
constexpr std::int64_t bytes_per_mb = kb_per_mb * 1024;
constexpr std::int64_t max_connections = 4096;
// Assumed if the settings name no limit.
constexpr std::int64_t default_memory_mb = 512;
// The bodies of a server hold at most this part of the process's memory.
constexpr std::int64_t body_share_divisor = 8;
// Jobs hold at most this part of it.
constexpr std::int64_t job_share_divisor = 4;
// Start orders under way take at most this part of it, several times over while
// they are encoded.
constexpr std::int64_t start_order_share_divisor = 32;
// A guard holds the newest lists of its executor, and their report while it is
// encoded.
constexpr std::int64_t poll_answer_share_divisor = 16;
constexpr std::size_t max_poll_answer_bytes = 8U << 20U;
// A quarter of a server's memory for bodies is kept for small ones.
constexpr std::size_t large_body_numerator = 3;
constexpr std::size_t large_body_divisor = 4;
constexpr std::size_t max_message_bytes = 16U << 20U; // of our own processes
constexpr std::size_t max_heartbeat_bytes = 1U << 20U;
constexpr std::size_t max_status_bytes = 4096; // the requests have no body
// A decoded submission, and the calls that it causes, hold several times its
// size: numbers of two characters become eight bytes, and the store's copy is
// encoded twice.
constexpr std::size_t submission_decoded_factor = 6;
constexpr duration upkeep_interval = std::chrono::milliseconds(250);
constexpr duration refusal_log_interval = std::chrono::seconds(5);
// A caller's link of 10 Mbit/s is used to the full up to a latency of 25 ms.
constexpr int caller_receive_buffer_bytes = 32 << 10;

std::int64_t max_connections_per_server(const job_settings& settings)
{
    std::int64_t max_per_server = max_connections;
    if (settings.memory_mb > 0)
    {
        max_per_server = std::min(
            max_per_server, settings.memory_mb * kb_per_mb /
                                (server_share_divisor * kb_per_connection));
    }
    if (settings.descriptors > 0)
    {
        max_per_server = std::min(max_per_server,
                                  settings.descriptors / server_share_divisor);
    }
    return std::max<std::int64_t>(max_per_server, 1);
}

std::int64_t memory_bytes(const job_settings& settings)
{
    const std::int64_t megabytes =
        settings.memory_mb > 0 ? settings.memory_mb : default_memory_mb;
    return megabytes * bytes_per_mb;
}

std::size_t body_memory_bytes(const job_settings& settings)
{
    return static_cast<std::size_t>(memory_bytes(settings) /
                                    body_share_divisor);
}

std::size_t max_body_bytes(server_clients clients, std::size_t body_memory)
{
    const std::size_t max_large =
        body_memory / large_body_divisor * large_body_numerator;
    switch (clients)
    {
    case server_clients::callers:
        return caller_bounds().body_bytes;
    case server_clients::processes:
        return std::min(max_message_bytes, max_large);
    case server_clients::executor:
        return std::min(max_heartbeat_bytes, max_large);
    case server_clients::operators:
        break;
    }
    return max_status_bytes;
}

} // namespace

http_server_options server_options(const std::string& endpoint,
                                   const job_settings& settings,
                                   server_clients clients)
{
    const std::size_t colon = endpoint.find(':');
    const std::size_t body_memory = body_memory_bytes(settings);
    const bool is_for_callers = clients == server_clients::callers;
    return {.address = endpoint.substr(0, colon),
            .port = static_cast<std::uint16_t>(
                std::stoul(endpoint.substr(colon + 1))),
            .threads = 1,
            .max_connections =
                static_cast<unsigned int>(max_connections_per_server(settings)),
            .limits = {.body_bytes = max_body_bytes(clients, body_memory)},
            .body_memory_bytes = body_memory,
            .decoded_factor = is_for_callers ? submission_decoded_factor : 1,
            .receive_buffer_bytes =
                is_for_callers ? caller_receive_buffer_bytes : 0};
}

std::int64_t job_capacity_bytes(const job_settings& settings)
{
    return memory_bytes(settings) / job_share_divisor;
}

std::int64_t start_order_bytes(const job_settings& settings)
{
    return memory_bytes(settings) / start_order_share_divisor;
}

std::size_t poll_answer_bytes(const job_settings& settings)
{
    return std::min(max_poll_answer_bytes,
                    static_cast<std::size_t>(memory_bytes(settings) /
                                             poll_answer_share_divisor));
}

request_limits limits_of(const caller_bounds& bounds)
{
    const request_limits usual;
    return {.body_bytes = bounds.body_bytes,
            .header_timeout = std::chrono::milliseconds(bounds.header_ms),
            .idle_timeout = std::max<duration>(
                usual.idle_timeout, std::chrono::milliseconds(bounds.idle_ms))};
}

server_upkeep::server_upkeep(const std::vector<named_server>& servers)
{
    for (const named_server& one : servers)
    {
        servers_.push_back({.server = one});
    }
}

void server_upkeep::tick(time_point now)
{
    if (now < next_)
    {
        return;
    }
    next_ = now + upkeep_interval;
    for (watched_server& one : servers_)
    {
        one.server.server->close_overdue(now);
        log_refusals(one, now);
    }
}

void server_upkeep::log_refusals(watched_server& one, time_point now)
{
    const http_server_figures figures = one.server.server->figures();
    const std::int64_t refused =
        figures.refused_bodies - one.logged.refused_bodies;
    const std::int64_t closed =
        figures.closed_connections - one.logged.closed_connections;
    if (now < one.next_log || (refused == 0 && closed == 0))
    {
        return;
    }
    one.next_log = now + refusal_log_interval;
    one.logged = figures;
    log_event(event_id::requests_refused,
              {{"server", std::string(one.server.name)},
               {"refused", std::to_string(refused)},
               {"closed", std::to_string(closed)},
               {"body_bytes", std::to_string(figures.body_bytes)}});
}

void log_process_limits(const job_settings& settings)
{
    log_event(
        event_id::process_bounds,
        {{"memory_mb", std::to_string(settings.memory_mb)},
         {"descriptors", std::to_string(settings.descriptors)},
         {"processors", std::to_string(settings.processors)},
         {"connections_a_server",
          std::to_string(max_connections_per_server(settings))},
         {"body_bytes_a_server", std::to_string(body_memory_bytes(settings))},
         {"job_bytes", std::to_string(job_capacity_bytes(settings))}});
}

} // namespace springstair
