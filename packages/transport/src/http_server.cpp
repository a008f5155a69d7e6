#include <springstair/transport.hpp>

#include "ack_timeout.hpp"

#include <absl/synchronization/mutex.h>

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <set>
#include <utility>

namespace springstair
{

// One request and its response. The server thread fills in the request and
// suspends the connection; answer() resumes it.
struct http_responder::exchange
{
    absl::Mutex mutex;
    MHD_Connection* connection = nullptr;
    http_request request;
    std::string received;
    time_point since;
    std::atomic<bool> handed_over = false;
    bool answered = false;
    bool closed = false;
    http_response response;

    void answer(http_response reply)
    {
        const absl::MutexLock lock(&mutex);
        if (answered || closed)
        {
            return;
        }
        answered = true;
        response = std::move(reply);
        MHD_resume_connection(connection);
    }

    bool is_answered()
    {
        const absl::MutexLock lock(&mutex);
        return answered;
    }
};

namespace
{

using exchange = http_responder::exchange;

constexpr int socket_failed = 201;
constexpr std::size_t header_memory = 32U << 10U;
constexpr duration max_flush = std::chrono::seconds(2);
// A client that vanished without a reset holds 32 KB and a descriptor. The
// value exceeds the queueing delay of a congested slow link.
constexpr duration ack_timeout = std::chrono::seconds(5);
constexpr int payload_too_large = 413;

std::string lower_case(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return lower;
}

MHD_Result collect(void* map, MHD_ValueKind /*kind*/, const char* key,
                   const char* value)
{
    auto& fields = *static_cast<header_map*>(map);
    fields[lower_case(key)] = value == nullptr ? "" : value;
    return MHD_YES;
}

MHD_Result queue(MHD_Connection* connection, const http_response& response,
                 bool closing = false)
{
    static const std::string nothing;
    const std::string& body = response.body ? *response.body : nothing;
    MHD_Response* const answer = MHD_create_response_from_buffer(
        body.size(), const_cast<char*>(body.data()), // NOLINT: C interface
        MHD_RESPMEM_MUST_COPY);
    for (const auto& [name, value] : response.headers)
    {
        MHD_add_response_header(answer, name.c_str(), value.c_str());
    }
    if (closing)
    {
        MHD_add_response_header(answer, "Connection", "close");
    }
    const MHD_Result queued = MHD_queue_response(
        connection, static_cast<unsigned int>(response.status), answer);
    MHD_destroy_response(answer);
    return queued;
}

bool announces_more_than(MHD_Connection* connection, std::size_t most)
{
    const char* const length = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Content-Length");
    return length != nullptr && std::strtoull(length, nullptr, 10) > most;
}

} // namespace

struct http_server::state
{
    http_server_options options;
    http_handler handler;
    MHD_Daemon* daemon = nullptr;
    absl::Mutex mutex;
    std::set<std::shared_ptr<exchange>> open;
    bool stopping = false;
    std::atomic<bool> closing = false;
    std::atomic<std::int64_t> connections = 0;

    std::shared_ptr<exchange>* begin(MHD_Connection* connection,
                                     const char* url, const char* method)
    {
        auto fresh = std::make_shared<exchange>();
        fresh->connection = connection;
        fresh->since = boot_clock::now();
        fresh->request.method = method;
        fresh->request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect,
                                  &fresh->request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collect,
                                  &fresh->request.query);
        const absl::MutexLock lock(&mutex);
        open.insert(fresh);
        return new std::shared_ptr<exchange>(std::move(fresh));
    }

    MHD_Result receive(exchange& current, const char* data,
                       std::size_t size) const
    {
        const bool too_large =
            current.received.size() + size > options.most_body_bytes;
        const bool too_slow =
            boot_clock::now() - current.since > options.max_upload;
        if (too_large || too_slow)
        {
            return MHD_NO;
        }
        current.received.append(data, size);
        return MHD_YES;
    }

    void hand_over(const std::shared_ptr<exchange>& current)
    {
        current->handed_over = true;
        current->request.body = make_body(std::move(current->received));
        MHD_suspend_connection(current->connection);
        bool refuse = false;
        {
            const absl::MutexLock lock(&mutex);
            refuse = stopping;
        }
        http_responder responder(current);
        if (refuse)
        {
            responder.respond(to_response({.reason = refusal::draining}));
            return;
        }
        handler(std::move(current->request), std::move(responder));
    }

    void end(const std::shared_ptr<exchange>& current)
    {
        {
            const absl::MutexLock lock(&current->mutex);
            current->closed = true;
        }
        const absl::MutexLock lock(&mutex);
        open.erase(current);
    }

    bool nothing_open() const
    {
        return open.empty();
    }

    void await_sent()
    {
        const absl::MutexLock lock(&mutex);
        mutex.AwaitWithTimeout(absl::Condition(this, &state::nothing_open),
                               absl::Microseconds(max_flush.count()));
    }

    void answer_all()
    {
        std::set<std::shared_ptr<exchange>> left;
        {
            const absl::MutexLock lock(&mutex);
            stopping = true;
            left = open;
        }
        for (const auto& one : left)
        {
            if (one->handed_over)
            {
                one->answer(to_response({.result = outcome::unknown,
                                         .reason = refusal::connection_lost}));
            }
        }
    }
};

namespace
{

MHD_Result on_access(void* context, MHD_Connection* connection, const char* url,
                     const char* method, const char* /*version*/,
                     const char* data, std::size_t* size, void** own)
{
    auto& server = *static_cast<http_server::state*>(context);
    if (*own == nullptr)
    {
        if (announces_more_than(connection, server.options.most_body_bytes))
        {
            return queue(connection, {.status = payload_too_large});
        }
        *own = server.begin(connection, url, method);
        return MHD_YES;
    }
    const auto& current = *static_cast<std::shared_ptr<exchange>*>(*own);
    if (*size > 0)
    {
        const MHD_Result taken = server.receive(*current, data, *size);
        *size = 0;
        return taken;
    }
    if (!current->handed_over)
    {
        server.hand_over(current);
        return MHD_YES;
    }
    if (!current->is_answered())
    {
        return MHD_YES;
    }
    return queue(connection, current->response, server.closing);
}

void on_end(void* context, MHD_Connection* /*connection*/, void** own,
            MHD_RequestTerminationCode /*code*/)
{
    if (*own == nullptr)
    {
        return;
    }
    auto* const current = static_cast<std::shared_ptr<exchange>*>(*own);
    static_cast<http_server::state*>(context)->end(*current);
    delete current;
    *own = nullptr;
}

void on_connection(void* context, MHD_Connection* connection, void** /*own*/,
                   MHD_ConnectionNotificationCode code)
{
    auto& server = *static_cast<http_server::state*>(context);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED)
    {
        --server.connections;
        return;
    }
    ++server.connections;
    const MHD_ConnectionInfo* const info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr || !set_ack_timeout(info->connect_fd, ack_timeout))
    {
        // The idle timeout of the server still closes the connection.
        log_event(event_id::connection_not_opened,
                  {{"peer", "a caller"}, {"errno", std::to_string(errno)}});
    }
}

sockaddr_in socket_address(const http_server_options& options)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(options.port);
    if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1)
    {
        throw transport_error(socket_failed,
                              options.address + " is not an IP number");
    }
    return address;
}

} // namespace

http_responder::http_responder(std::shared_ptr<exchange> current)
    : exchange_(std::move(current))
{
}

http_responder::~http_responder()
{
    respond(to_response(
        {.result = outcome::unknown, .reason = refusal::connection_lost}));
}

void http_responder::respond(http_response response)
{
    if (exchange_)
    {
        exchange_->answer(std::move(response));
        exchange_.reset();
    }
}

http_server::http_server(const http_server_options& options,
                         http_handler handler)
    : state_(std::make_unique<state>())
{
    state_->options = options;
    state_->handler = std::move(handler);
    sockaddr_in address = socket_address(options);
    state_->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, options.port,
        nullptr, nullptr, &on_access, state_.get(), MHD_OPTION_SOCK_ADDR,
        &address, MHD_OPTION_THREAD_POOL_SIZE, options.threads,
        MHD_OPTION_CONNECTION_LIMIT, options.max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned int>(to_seconds(options.idle_timeout)),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, header_memory,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
        &on_end, state_.get(), MHD_OPTION_NOTIFY_CONNECTION, &on_connection,
        state_.get(), MHD_OPTION_END);
    if (state_->daemon == nullptr)
    {
        throw transport_error(socket_failed, "cannot listen on " +
                                                 options.address + ":" +
                                                 std::to_string(options.port));
    }
}

http_server::~http_server()
{
    // Refuses new connections from here on instead of letting them wait.
    // MHD_quiesce_daemon is not usable: it removes the socket from the epoll
    // set while the library's own thread may do the same, which aborts the
    // process.
    const MHD_DaemonInfo* const info =
        MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_LISTEN_FD);
    shutdown(info->listen_fd, SHUT_RDWR);
    state_->answer_all();
    state_->await_sent();
    MHD_stop_daemon(state_->daemon);
}

void http_server::close_connections() noexcept
{
    state_->closing = true;
}

std::int64_t http_server::connections() const noexcept
{
    return state_->connections;
}

std::uint16_t http_server::port() const noexcept
{
    return MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

} // namespace springstair
