#pragma once

#include <springstair/core.hpp>

#include <functional>
#include <memory>
#include <string>

namespace springstair
{

/// @brief What a JSON-RPC method does: one object in, one object out.
using rpc_method = std::function<json(const json&)>;

/// @brief Serves JSON-RPC 2.0 methods; not tied to a connection or thread.
class rpc_dispatcher
{
public:
    rpc_dispatcher();
    ~rpc_dispatcher();
    rpc_dispatcher(const rpc_dispatcher&) = delete;
    rpc_dispatcher& operator=(const rpc_dispatcher&) = delete;

    /// @brief Adds a method that takes its object as parameter `message`.
    void add(const std::string& name, rpc_method method);

    /// @brief Runs one request on the calling thread.
    /// @return the text of the answer; an error answer if the method throws
    std::string handle(const std::string& request);

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// @brief The text of a JSON-RPC request.
std::string rpc_request(const std::string& method, json message);

/// @brief The result in the text of a JSON-RPC answer.
/// @throw rpc_error 301 if it is an error or cannot be read
json rpc_result(const std::string& answer);

} // namespace springstair
