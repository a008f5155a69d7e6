#include <springstair/transport.hpp>

#include "ack_timeout.hpp"
#include "request_body.hpp"
#include "server_connections.hpp"

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
    request_body body;
    std::atomic<bool> handed_over = false;
    bool answered = false;
    bool closed = false;
    http_response response;

    exchange(memory_budget& budget, std::size_t max_bytes,
             std::size_t decoded_factor)
        : body(budget, max_bytes, decoded_factor)
    {
    }

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
// An ordinary request is smaller; see memory_budget.
constexpr std::size_t small_body_bytes = 16U << 10U;
// A client that just meets a time limit is not cut off by a late timer.
constexpr duration timeout_margin = std::chrono::seconds(1);

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

const char* header_of(MHD_Connection* connection, const char* name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

// The size of a body that a header announces; 0 if it does not.
std::size_t announced_bytes(MHD_Connection* connection)
{
    const char* const length = header_of(connection, "Content-Length");
    return length == nullptr ? 0 : std::strtoull(length, nullptr, 10);
}

} // namespace

struct http_server::state
{
    http_server_options options;
    http_handler handler;
    MHD_Daemon* daemon = nullptr;
    absl::Mutex mutex;
    std::set<std::shared_ptr<exchange>> open;
    request_limits limits;
    bool stopping = false;
    std::atomic<bool> closing = false;
    std::atomic<std::int64_t> refused_bodies = 0;
    memory_budget bodies;
    server_connections connections;

    explicit state(const http_server_options& given)
        : options(given), limits(given.limits),
          bodies(given.body_memory_bytes, small_body_bytes),
          connections(given.max_connections)
    {
    }

    request_limits current_limits()
    {
        const absl::MutexLock lock(&mutex);
        return limits;
    }

    std::shared_ptr<exchange>* begin(MHD_Connection* connection,
                                     const char* url, const char* method)
    {
        auto fresh = std::make_shared<exchange>(
            bodies, current_limits().body_bytes, options.decoded_factor);
        fresh->connection = connection;
        fresh->request.method = method;
        fresh->request.path = url;
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collect,
                                  &fresh->request.headers);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collect,
                                  &fresh->request.query);
        fresh->body.announce(announced_bytes(connection));
        connections.enter(connection, connection_phase::body,
                          boot_clock::now());
        const absl::MutexLock lock(&mutex);
        open.insert(fresh);
        return new std::shared_ptr<exchange>(std::move(fresh));
    }

    MHD_Result receive(exchange& current, const char* data, std::size_t size)
    {
        connections.note_progress(current.connection, boot_clock::now());
        return current.body.append(data, size) ? MHD_YES : MHD_NO;
    }

    MHD_Result hand_over(const std::shared_ptr<exchange>& current)
    {
        std::optional<std::string> received = current->body.take();
        if (!received)
        {
            return queue(current->connection, *current->body.refused_with(),
                         closing);
        }
        current->handed_over = true;
        current->request.body = make_body(*std::move(received));
        connections.enter(current->connection, connection_phase::answer,
                          boot_clock::now());
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
            return MHD_YES;
        }
        handler(std::move(current->request), std::move(responder));
        return MHD_YES;
    }

    void end(const std::shared_ptr<exchange>& current)
    {
        refused_bodies += current->body.refused_with() ? 1 : 0;
        current->body.release();
        connections.enter(current->connection, connection_phase::idle,
                          boot_clock::now());
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
        auto* const fresh = server.begin(connection, url, method);
        *own = fresh;
        const auto& refused_with = (*fresh)->body.refused_with();
        const bool is_awaited = header_of(connection, "Expect") != nullptr;
        return refused_with && is_awaited
                   ? queue(connection, *refused_with, server.closing)
                   : MHD_YES;
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
        return server.hand_over(current);
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
        server.connections.remove(connection);
        return;
    }
    const MHD_ConnectionInfo* const info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr)
    {
        server.connections.add(connection, info->connect_fd, boot_clock::now());
    }
    if (info == nullptr || !set_ack_timeout(info->connect_fd, ack_timeout))
    {
        // The idle timeout of the server still closes the connection.
        log_event(event_id::connection_not_opened,
                  {{"peer", "a caller"}, {"errno", std::to_string(errno)}});
    }
}

// Called with the first line of a request. Its result becomes the request's
// own pointer in on_access().
void* on_first_line(void* context, const char* /*line*/,
                    MHD_Connection* connection)
{
    static_cast<http_server::state*>(context)->connections.enter(
        connection, connection_phase::header, boot_clock::now());
    return nullptr;
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

// Accepted connections inherit the size. Without it, the system receives
// megabytes of a connection that is not read.
void limit_receive_buffer(MHD_Daemon& daemon, int bytes)
{
    const MHD_DaemonInfo* const info =
        MHD_get_daemon_info(&daemon, MHD_DAEMON_INFO_LISTEN_FD);
    setsockopt(info->listen_fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
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
    : state_(std::make_unique<state>(options))
{
    state_->handler = std::move(handler);
    sockaddr_in address = socket_address(options);
    state_->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, options.port,
        nullptr, nullptr, &on_access, state_.get(), MHD_OPTION_SOCK_ADDR,
        &address, MHD_OPTION_THREAD_POOL_SIZE, options.threads,
        MHD_OPTION_CONNECTION_LIMIT, options.max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT,
        static_cast<unsigned int>(to_seconds(options.limits.idle_timeout)),
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, header_memory,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED,
        &on_end, state_.get(), MHD_OPTION_NOTIFY_CONNECTION, &on_connection,
        state_.get(), MHD_OPTION_URI_LOG_CALLBACK, &on_first_line, state_.get(),
        MHD_OPTION_END);
    if (state_->daemon == nullptr)
    {
        throw transport_error(socket_failed, "cannot listen on " +
                                                 options.address + ":" +
                                                 std::to_string(options.port));
    }
    if (options.receive_buffer_bytes > 0)
    {
        limit_receive_buffer(*state_->daemon, options.receive_buffer_bytes);
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
    return static_cast<std::int64_t>(state_->connections.size());
}

void http_server::set_limits(const request_limits& limits)
{
    const absl::MutexLock lock(&state_->mutex);
    state_->limits = limits;
}

http_server_figures http_server::figures() const
{
    return {.body_bytes = state_->bodies.used(),
            .refused_bodies = state_->refused_bodies,
            .closed_connections = state_->connections.closed()};
}

void http_server::close_overdue(time_point now)
{
    const request_limits limits = state_->current_limits();
    state_->connections.close_overdue(
        {.idle = limits.idle_timeout + timeout_margin,
         .header = limits.header_timeout + timeout_margin,
         .body = state_->options.max_upload + timeout_margin},
        now);
}

std::uint16_t http_server::port() const noexcept
{
    return MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

} // namespace springstair
