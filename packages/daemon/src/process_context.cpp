#include "process_context.hpp"

#include <sys/resource.h>

namespace springstair
{

namespace
{

constexpr std::int64_t kb_per_mb = 1024;

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
        server_options(endpoint, process.settings, server_clients::operators),
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
                const std::string name(one.name);
                registry.set("connections_of_" + name,
                             static_cast<double>(one.server->connections()));
                registry.set(
                    "body_bytes_of_" + name,
                    static_cast<double>(one.server->figures().body_bytes));
            }
            registry.set("peak_memory_mb", peak_memory_mb());
            answer_metrics(responder, registry);
        });
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
