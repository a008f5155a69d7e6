#pragma once

#include <springstair/core.hpp>

#include <functional>
#include <memory>
#include <string>

namespace springstair
{

/// @brief A JSON-RPC method: takes one object and returns one object.
using rpc_method = std::function<json(const json&)>;

/// @brief Dispatches JSON-RPC 2.0 requests; independent of the transport.
class rpc_dispatcher
{
public:
    rpc_dispatcher();
    ~rpc_dispatcher();
    rpc_dispatcher(const rpc_dispatcher&) = delete;
    rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

    /// @brief Adds a method; its object is the parameter `message`.
    void add(const std::string& name, rpc_method method);

    /// @brief Executes one request on the calling thread.
    /// @return the response text; an error response if the method throws
    std::string handle(const std::string& request);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// @brief Encodes a JSON-RPC request.
std::string rpc_request(const std::string& method, json message);

/// @brief Decodes the result of a JSON-RPC response.
/// @throw rpc_error 301 if the response is an error or malformed
json rpc_result(const std::string& answer);

} // namespace springstair
