#pragma once
// What both roles need between their state machine and the network.

#include <springstair/daemon.hpp>
#include <springstair/transport.hpp>

#include <memory>
#include <string>

namespace springstair
{

/// The clock of both roles; their state machines are given its readings.
using daemon_clock = system_clock_source;
static_assert(clock_source<daemon_clock>);

/// A request that came in, and the means to answer it.
struct http_arrival
{
    http_request request;
    std::shared_ptr<http_responder> responder;
};

inline constexpr duration tick_length = std::chrono::milliseconds(20);
inline constexpr duration control_timeout = std::chrono::seconds(1);
inline constexpr int incarnation_bytes = 6;
/// Requests open to one guard or executor: its admission, by slots and queue,
/// bounds them first.
inline constexpr std::size_t max_requests_open = 1024;

/// Whether a request carries the key that our processes share.
bool has_fleet_key(const http_request& request, const std::string& key);

/// A JSON-RPC call to another of our processes.
http_call make_rpc_call(const std::string& address, const std::string& key,
                        const std::string& method, const json& message);

/// The result of such a call, or nothing.
std::optional<json> rpc_result_of(const http_result& result);

/// The same as a message; nothing if it has not the message's shape.
template <class Message>
std::optional<Message> rpc_answer_of(const http_result& result)
{
    const auto document = rpc_result_of(result);
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

/// A table handed on by another process, or nothing if it has findings.
std::optional<table> table_of_peer(const json& document);

/// Header fields that belong to the caller's and the executor's exchange,
/// not to a connection or to us.
header_map end_to_end_headers(const header_map& all);

/// Runs a JSON-RPC request and answers it.
void answer_rpc(http_arrival& arrival, rpc_dispatcher& methods);

/// Answers with the metrics of the process.
void answer_metrics(http_responder& responder, const metrics& numbers);

/// Answers 404 without a word about what exists.
void answer_not_found(http_responder& responder);

} // namespace springstair
