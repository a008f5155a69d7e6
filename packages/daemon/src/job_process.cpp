#include "job_process.hpp"

namespace springstair
{

std::int64_t day_milliseconds()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
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

} // namespace springstair
