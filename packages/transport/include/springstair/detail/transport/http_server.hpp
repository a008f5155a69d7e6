#pragma once

#include <springstair/detail/transport/http_message.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace springstair
{

/// @brief Answers one request, once, from any thread.
///
/// A responder that is destroyed unused answers `unknown` by itself.
class http_responder
{
public:
    /// @brief One side of a suspended exchange, known to the server only.
    struct exchange;

    explicit http_responder(std::shared_ptr<exchange> of);
    ~http_responder();
    http_responder(http_responder&&) noexcept = default;
    http_responder& operator=(http_responder&&) noexcept = default;
    http_responder(const http_responder&) = delete;
    http_responder& operator=(const http_responder&) = delete;

    /// @brief Sends the answer. Later calls do nothing.
    void respond(http_response response);

private:
    std::shared_ptr<exchange> exchange_;
};

/// @brief What is called for each request, on a traffic thread; it must
/// not block.
using http_handler = std::function<void(http_request, http_responder)>;

/// @brief Bounds and address of a server.
struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free one
    unsigned int threads = 2;
    unsigned int max_connections = 4096;
    std::size_t most_body_bytes = 16U << 20U;
    duration idle_timeout = std::chrono::seconds(30);
    duration max_upload = std::chrono::seconds(20);
};

/// @brief An HTTP/1.1 server on one address.
class http_server
{
public:
    /// @brief Listens and serves until destroyed.
    /// @throw transport_error 201 if the address cannot be had
    http_server(const http_server_options& options, http_handler handler);
    /// @brief Answers `unknown` to whatever is still open, waits until the
    /// answers are sent, then stops.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @brief The port it listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// @brief Callers' connections that are open now.
    [[nodiscard]] std::int64_t connections() const noexcept;

    /// @brief From now on each answer closes its connection, so that callers
    /// do not send on one that is about to end. Safe from any thread.
    void close_connections() noexcept;

    /// @brief State known to the implementation only.
    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace springstair
