#include "process_context.hpp"

#include <sys/resource.h>

namespace springstair
{

namespace
{

// A process has up to three servers; the rest is for calls, files and work.
constexpr std::int64_t share_of_a_server = 4;
constexpr std::int64_t kb_a_connection = 32; // the HTTP library's memory
constexpr std::int64_t kb_a_mb = 1024;
constexpr std::int64_t max_connections = 4096;

std::int64_t connections_of_a_server(const job_settings& of)
{
    std::int64_t most = max_connections;
    if (of.memory_mb > 0)
    {
        most = std::min(most, of.memory_mb * kb_a_mb /
                                  (share_of_a_server * kb_a_connection));
    }
    if (of.descriptors > 0)
    {
        most = std::min(most, of.descriptors / share_of_a_server);
    }
    return std::max<std::int64_t>(most, 1);
}

// The most that the process has held so far.
double peak_memory_mb()
{
    rusage used{};
    return getrusage(RUSAGE_SELF, &used) == 0
               ? static_cast<double>(used.ru_maxrss) / kb_a_mb
               : 0;
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
                then({request, shared});
            });
    };
}

std::int64_t day_milliseconds()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

std::unique_ptr<http_server> serve_metrics(process_context& process,
                                           std::vector<named_server> servers)
{
    const std::string& endpoint = process.from.metrics;
    if (endpoint.empty())
    {
        return nullptr;
    }
    return std::make_unique<http_server>(
        server_at(endpoint, process.from),
        [&process, servers = std::move(servers)](const http_request& request,
                                                 http_responder responder)
        {
            if (request.path != "/metrics")
            {
                answer_not_found(responder);
                return;
            }
            metrics& numbers = process.numbers;
            numbers.set("log_lines_dropped",
                        static_cast<double>(dropped_log_lines()));
            numbers.set(
                "silent_connections",
                static_cast<double>(process.client.silent_connections()));
            numbers.set("connections_to_peers",
                        static_cast<double>(process.client.connections()));
            for (const named_server& one : servers)
            {
                numbers.set("connections_of_" + std::string(one.name),
                            static_cast<double>(one.server->connections()));
            }
            numbers.set("peak_memory_mb", peak_memory_mb());
            answer_metrics(responder, numbers);
        });
}

http_server_options server_at(const std::string& endpoint,
                              const job_settings& of)
{
    const std::size_t colon = endpoint.find(':');
    return {.address = endpoint.substr(0, colon),
            .port = static_cast<std::uint16_t>(
                std::stoul(endpoint.substr(colon + 1))),
            .threads = 1,
            .max_connections =
                static_cast<unsigned int>(connections_of_a_server(of))};
}

void log_bounds(const job_settings& of)
{
    log_event(event_id::process_bounds,
              {{"memory_mb", std::to_string(of.memory_mb)},
               {"descriptors", std::to_string(of.descriptors)},
               {"processors", std::to_string(of.processors)},
               {"connections_a_server",
                std::to_string(connections_of_a_server(of))}});
}

std::string internal_address(const job_settings& of)
{
    return of.address + ":" + std::to_string(of.internal_port);
}

std::string announced_address(const job_settings& of)
{
    return of.announced_address + ":" + std::to_string(of.internal_port);
}

} // namespace springstair
