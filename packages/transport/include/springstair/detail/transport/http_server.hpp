#pragma once

#include <springstair/detail/transport/http_message.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace springstair
{

/// @brief Answers one request once, from any thread.
///
/// A responder that is destroyed without respond() answers `unknown`.
class http_responder
{
public:
    /// @brief Server-internal state of a request and its response.
    struct exchange;

    explicit http_responder(std::shared_ptr<exchange> current);
    ~http_responder();
    http_responder(http_responder&&) noexcept = default;
    http_responder& operator=(http_responder&&) noexcept = default;
    http_responder(const http_responder&) = delete;
    http_responder& operator=(const http_responder&) = delete;

    /// @brief Sends the response. Later calls have no effect.
    void respond(http_response response);

private:
    std::shared_ptr<exchange> exchange_;
};

/// @brief Called for each request, on a server thread; must not block.
using http_handler = std::function<void(http_request, http_responder)>;

/// @brief Limits on requests that may change while a server runs.
struct request_limits
{
    std::size_t body_bytes = 16U << 20U; ///< a larger body is answered 413
    duration header_timeout = std::chrono::seconds(20); ///< for one header
    duration idle_timeout = std::chrono::seconds(30);   ///< of a connection

    bool operator==(const request_limits&) const = default;
};

/// @brief Address and limits of a server.
struct http_server_options
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free port
    unsigned int threads = 2;
    unsigned int max_connections = 4096;
    request_limits limits;
    duration max_upload = std::chrono::seconds(20); ///< to receive one body
    /// Bytes that all open requests may hold together; 0: unlimited. A request
    /// that does not fit is refused, and has not run.
    std::size_t body_memory_bytes = 0;
    /// Memory that a request needs once it was received, in sizes of its body.
    std::size_t decoded_factor = 1;
    /// Bytes of a connection that the system receives ahead; 0: its default.
    int receive_buffer_bytes = 0;
};

/// @brief What a server holds now, and what it has turned away since its start.
struct http_server_figures
{
    std::size_t body_bytes = 0;          ///< reserved for open requests
    std::int64_t refused_bodies = 0;     ///< too large, or no memory was left
    std::int64_t closed_connections = 0; ///< overdue, or to make room

    bool operator==(const http_server_figures&) const = default;
};

/// @brief An HTTP/1.1 server on one address.
class http_server
{
public:
    /// @brief Listens and serves until destroyed.
    /// @throw transport_error 201 if the server cannot listen on the address
    http_server(const http_server_options& options, http_handler handler);
    /// @brief Answers `unknown` to all requests that were passed to the
    /// handler, waits until the responses are sent (at most 2 s), then stops.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// @brief The port that the server listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// @brief Number of currently open client connections.
    [[nodiscard]] std::int64_t connections() const noexcept;

    /// @brief Changes the limits for requests that begin from now on.
    /// Thread-safe.
    void set_limits(const request_limits& limits);

    /// @brief Closes connections whose header or body is overdue. To be called
    /// regularly. Thread-safe.
    void close_overdue(time_point now);

    /// @brief Figures for metrics and the log. Thread-safe.
    [[nodiscard]] http_server_figures figures() const;

    /// @brief Makes each further response close its connection, so that clients
    /// do not send on a connection that is about to close. Thread-safe.
    void close_connections() noexcept;

    /// @brief Implementation details.
    struct state;

private:
    std::unique_ptr<state> state_;
};

} // namespace springstair
