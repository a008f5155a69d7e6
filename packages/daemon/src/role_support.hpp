#pragma once
// Helpers of both roles between their state machines and the network.

#include <springstair/daemon.hpp>
#include <springstair/transport.hpp>

#include <memory>
#include <string>

namespace springstair
{

/// The clock of both roles. The state machines receive its readings as
/// arguments.
using daemon_clock = boot_clock_source;
static_assert(clock_source<daemon_clock>);

/// A received request and the responder that answers it.
struct http_arrival
{
    http_request request;
    std::shared_ptr<http_responder> responder;
};

/// Maximum time that a control part waits for events before its next tick. The
/// traffic parts check for a stop at this interval.
inline constexpr duration tick_length = std::chrono::milliseconds(20);
/// Timeout of JSON-RPC calls between processes.
inline constexpr duration control_timeout = std::chrono::seconds(1);
inline constexpr int incarnation_bytes = 6;
/// Limit on requests in flight to one guard or executor. The guard's
/// admission, by slots and queue, refuses requests before it is reached.
inline constexpr std::size_t max_requests_open = 1024;

/// Whether a request carries the fleet key.
bool has_fleet_key(const http_request& request, const std::string& key);

/// Builds a JSON-RPC call to another springstair process.
http_call make_rpc_call(const std::string& address, const std::string& key,
                        const std::string& method, const json& message);

/// The result of a JSON-RPC call; nothing if the call failed.
std::optional<json> rpc_result_of(const http_result& result);

/// A document as a message; nothing if there is none or it is no such message.
template <class Message>
std::optional<Message> message_in(const std::optional<json>& document)
{
    try
    {
        return document ? std::optional(document->get<Message>())
                        : std::nullopt;
    }
    catch (const json::exception&)
    {
        return std::nullopt;
    }
}

/// The result of a JSON-RPC call as a message; nothing if the call failed or
/// the result is not such a message.
template <class Message>
std::optional<Message> rpc_answer_of(const http_result& result)
{
    return message_in<Message>(rpc_result_of(result));
}

/// Parses a table received from another process; logs its findings and
/// returns nothing if it is invalid.
std::optional<table> table_of_peer(const json& document);

/// The header fields that pass between caller and executor: without those of
/// the connection and of springstair itself.
header_map end_to_end_headers(const header_map& all);

/// Dispatches a JSON-RPC request and sends the result.
void answer_rpc(http_arrival& arrival, rpc_dispatcher& methods);

/// Sends the metrics of the process.
void answer_metrics(http_responder& responder, const metrics& numbers);

/// Sends a 404 that does not reveal what exists.
void answer_not_found(http_responder& responder);

} // namespace springstair
