#pragma once
// How the servers of a process share its memory and descriptors.

#include <springstair/daemon.hpp>
#include <springstair/transport.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace springstair
{

/// Who sends requests to a server.
enum class server_clients : std::uint8_t
{
    callers,   ///< anybody
    processes, ///< our own
    executor,  ///< the one on the VM of a guard
    operators  ///< readiness checks and metrics
};

/// Options of a server at an endpoint, within the limits of the process.
http_server_options server_options(const std::string& endpoint,
                                   const job_settings& settings,
                                   server_clients clients);

/// Memory for jobs that a process has as the leader.
std::int64_t job_capacity_bytes(const job_settings& settings);

/// Bytes of unconfirmed start orders that a leader may have sent.
std::int64_t start_order_bytes(const job_settings& settings);

/// Maximum size of an executor's answer to a poll at its guard.
std::size_t poll_answer_bytes(const job_settings& settings);

/// Limits on callers' requests by the operators' configuration.
request_limits limits_of(const caller_bounds& bounds);

/// A server and its name in metrics and the log.
struct named_server
{
    std::string_view name;
    http_server* server = nullptr; ///< outlives its users
};

/// Closes the overdue connections of servers, and logs what they turn away.
class server_upkeep
{
public:
    explicit server_upkeep(const std::vector<named_server>& servers);

    /// To be called regularly.
    void tick(time_point now);

private:
    struct watched_server
    {
        named_server server;
        http_server_figures logged;
        time_point next_log{};
    };

    static void log_refusals(watched_server& one, time_point now);

    std::vector<watched_server> servers_;
    time_point next_{};
};

/// Logs the limits of the process and of its servers.
void log_process_limits(const job_settings& settings);

} // namespace springstair
