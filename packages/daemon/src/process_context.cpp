#include "process_context.hpp"

#include <sys/resource.h>

namespace springstair
{

namespace
{

// A process has up to three servers; the rest of its memory and descriptors is
// for outgoing calls, files and computation.
constexpr std::int64_t server_share_divisor = 4;
constexpr std::int64_t kb_per_connection = 32; // memory of the HTTP library
constexpr std::int64_t kb_per_mb = 1024;
constexpr std::int64_t max_connections = 4096;

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

// Peak resident memory of the process.
double peak_memory_mb()
{
    rusage used{};
    return getrusage(RUSAGE_SELF, &used) == 0
               ? static_cast<double>(used.ru_maxrss) / kb_per_mb
               : 0;
}

// A request whose handling throws costs no other request anything. Without an
// answer, its responder tells the caller that the outcome is unknown.
void handle_request(const std::function<void(http_arrival)>& handler,
                    const http_arrival& arrival)
{
    try
    {
        handler(arrival);
    }
    catch (const std::exception& error)
    {
        log_event(event_id::message_failed,
                  {{"path", arrival.request.path}, {"why", error.what()}});
    }
}

} // namespace

http_handler process_context::on_request(std::function<void(http_arrival)> then)
{
    return [this, then = std::move(then)](http_request request,
                                          http_responder responder)
    {
        auto shared = std::make_shared<http_responder>(std::move(responder));
        work.post(
            [then, request = std::move(request), shared] {
                handle_request(then, {request, shared});
            });
    };
}

std::int64_t unix_milliseconds()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

std::unique_ptr<http_server> serve_metrics(process_context& process,
                                           std::vector<named_server> servers)
{
    const std::string& endpoint = process.settings.metrics;
    if (endpoint.empty())
    {
        return nullptr;
    }
    return std::make_unique<http_server>(
        server_options(endpoint, process.settings),
        [&process, servers = std::move(servers)](const http_request& request,
                                                 http_responder responder)
        {
            if (request.path != "/metrics")
            {
                answer_not_found(responder);
                return;
            }
            metrics& registry = process.process_metrics;
            registry.set("log_lines_dropped",
                         static_cast<double>(dropped_log_lines()));
            registry.set(
                "silent_connections",
                static_cast<double>(process.client.silent_connections()));
            registry.set("connections_to_peers",
                         static_cast<double>(process.client.connections()));
            for (const named_server& one : servers)
            {
                registry.set("connections_of_" + std::string(one.name),
                             static_cast<double>(one.server->connections()));
            }
            registry.set("peak_memory_mb", peak_memory_mb());
            answer_metrics(responder, registry);
        });
}

http_server_options server_options(const std::string& endpoint,
                                   const job_settings& settings)
{
    const std::size_t colon = endpoint.find(':');
    return {.address = endpoint.substr(0, colon),
            .port = static_cast<std::uint16_t>(
                std::stoul(endpoint.substr(colon + 1))),
            .threads = 1,
            .max_connections = static_cast<unsigned int>(
                max_connections_per_server(settings))};
}

void log_process_limits(const job_settings& settings)
{
    log_event(event_id::process_bounds,
              {{"memory_mb", std::to_string(settings.memory_mb)},
               {"descriptors", std::to_string(settings.descriptors)},
               {"processors", std::to_string(settings.processors)},
               {"connections_a_server",
                std::to_string(max_connections_per_server(settings))}});
}

std::string internal_address(const job_settings& settings)
{
    return settings.address + ":" + std::to_string(settings.internal_port);
}

std::string announced_address(const job_settings& settings)
{
    return settings.announced_address + ":" +
           std::to_string(settings.internal_port);
}

} // namespace springstair
