#pragma once

#include <springstair/detail/store/operations.hpp>
#include <springstair/transport.hpp>

#include <atomic>
#include <concepts>
#include <functional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Callback, invoked exactly once per call on an HTTP client thread.
using kv_completion = std::function<void(kv_answer)>;

/// @brief A type that executes store operations asynchronously.
template <class Store>
concept key_value_store = requires(Store& store, kv_operation operation,
                                   kv_completion done)
{
    store.send(std::move(operation), std::move(done));
};

/// @brief Endpoints and timeout of the store.
struct etcd_options
{
    /// `ip:port`; after an unanswered call, the next call uses the next one.
    std::vector<std::string> endpoints;
    duration timeout = std::chrono::seconds(2);
};

/// @brief Client of the store through the etcd v3 JSON gateway.
class etcd_client
{
public:
    /// @param client HTTP client for the calls; must outlive this object
    /// @param options endpoints and timeout
    etcd_client(http_client& client, etcd_options options);

    /// @brief Sends one operation; it is never retried automatically.
    void send(const kv_operation& operation, kv_completion done);

private:
    http_client& client_;
    etcd_options options_;
    std::atomic<std::size_t> current_ = 0;
};

} // namespace springstair
