#include "job_process.hpp"

namespace springstair
{

http_handler job_process::on_request(std::function<void(http_arrival)> then)
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

std::unique_ptr<http_server> serve_metrics(job_process& process)
{
    const std::string& endpoint = process.from.metrics;
    if (endpoint.empty())
    {
        return nullptr;
    }
    return std::make_unique<http_server>(
        server_at(endpoint),
        [&process](const http_request& request, http_responder responder)
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
            answer_metrics(responder, numbers);
        });
}

http_server_options server_at(const std::string& endpoint)
{
    const std::size_t colon = endpoint.find(':');
    return {.address = endpoint.substr(0, colon),
            .port = static_cast<std::uint16_t>(
                std::stoul(endpoint.substr(colon + 1))),
            .threads = 1};
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
