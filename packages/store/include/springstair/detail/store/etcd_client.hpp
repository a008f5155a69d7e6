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

/// @brief Called once for each call, on a client's thread.
using kv_completion = std::function<void(kv_answer)>;

/// @brief Anything that carries out store operations.
template <class Store>
concept key_value_store = requires(Store& store, kv_operation operation,
                                   kv_completion done)
{
    store.send(std::move(operation), std::move(done));
};

/// @brief Where the store is and how long to wait for it.
struct etcd_options
{
    std::vector<std::string> endpoints; ///< `ip:port`, tried in turn
    duration timeout = std::chrono::seconds(2);
};

/// @brief The store behind etcd v3's JSON gateway.
class etcd_client
{
public:
    /// @param client carries the calls; must outlive this
    etcd_client(http_client& client, etcd_options options);

    /// @brief Makes one call, once; it is never repeated by itself.
    void send(const kv_operation& operation, kv_completion done);

private:
    http_client& client_;
    etcd_options options_;
    std::atomic<std::size_t> current_ = 0;
};

} // namespace springstair
