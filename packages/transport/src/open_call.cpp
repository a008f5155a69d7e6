#include "open_call.hpp"

#include "ack_timeout.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace springstair
{

namespace
{

// The peer of a call: its URL up to the path.
std::string peer_of(const std::string& url)
{
    const std::size_t scheme = url.find("://");
    const std::size_t from = scheme == std::string::npos ? 0 : scheme + 3;
    return url.substr(0, url.find('/', from));
}

std::size_t on_body(char* data, std::size_t size, std::size_t count,
                    void* context)
{
    auto& current = *static_cast<open_call*>(context);
    const std::size_t bytes = size * count;
    if (current.received.size() + bytes > current.call.max_answer_bytes)
    {
        return 0;
    }
    current.received.append(data, bytes);
    return bytes;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count,
                      void* context)
{
    auto& current = *static_cast<open_call*>(context);
    const std::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
    {
        return line.size();
    }
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    std::string_view value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
    value = value.substr(0, value.find_last_not_of("\r\n ") + 1);
    current.response.headers[name] = std::string(value);
    return line.size();
}

curl_socket_t open_socket(void* context, curlsocktype /*purpose*/,
                          curl_sockaddr* address)
{
    auto& current = *static_cast<open_call*>(context);
    current.no_eligible_connection = current.call.connected_before.has_value();
    if (current.no_eligible_connection || !current.may_be_sent())
    {
        return CURL_SOCKET_BAD; // the call may not be sent on it
    }
    current.opened_connection = true;
    const int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
                          address->protocol);
    if (fd < 0 || !set_ack_timeout(fd, current.call.ack_timeout))
    {
        log_event(event_id::connection_not_opened,
                  {{"peer", current.peer}, {"errno", std::to_string(errno)}});
        if (fd >= 0)
        {
            close(fd);
        }
        return CURL_SOCKET_BAD;
    }
    current.pool->opened(current.peer, fd, boot_clock::now());
    return fd;
}

// Called before a request is sent or resent, on a new or a reused connection.
int before_request(void* context, char* /*to_address*/, char* /*from_address*/,
                   int /*to_port*/, int from_port)
{
    auto& current = *static_cast<open_call*>(context);
    return current.may_be_sent() && current.may_use(from_port)
               ? CURL_PREREQFUNC_OK
               : CURL_PREREQFUNC_ABORT;
}

int port_of(int socket)
{
    sockaddr_in own{};
    socklen_t length = sizeof own;
    const bool is_known =
        getsockname(socket, reinterpret_cast<sockaddr*>(&own), &length) == 0;
    return is_known ? ntohs(own.sin_port) : 0;
}

int close_socket(void* context, curl_socket_t socket)
{
    static_cast<connection_pool*>(context)->closed(socket);
    return close(socket);
}

long whole_milliseconds(duration value)
{
    return std::max(1L, static_cast<long>(to_milliseconds(value)));
}

void set_headers(open_call& current)
{
    current.header_list = curl_slist_append(nullptr, "Expect:");
    for (const auto& [name, value] : current.call.headers)
    {
        std::string line = name;
        line += ": ";
        line += value;
        current.header_list =
            curl_slist_append(current.header_list, line.c_str());
    }
    curl_easy_setopt(current.handle, CURLOPT_HTTPHEADER, current.header_list);
}

void set_body(open_call& current)
{
    if (!current.call.body)
    {
        return;
    }
    curl_easy_setopt(current.handle, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(current.call.body->size()));
    curl_easy_setopt(current.handle, CURLOPT_POSTFIELDS,
                     current.call.body->data());
}

// CURLINFO_REQUEST_SIZE is the sum over all attempts of the request.
bool nothing_was_sent(CURL* handle)
{
    long request_bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    return request_bytes == 0;
}

} // namespace

open_call::open_call(http_call request, http_completion completion)
    : call(std::move(request)), done(std::move(completion)),
      peer(peer_of(call.url))
{
}

open_call::~open_call()
{
    curl_slist_free_all(header_list);
}

void open_call::set_up()
{
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &on_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &on_header);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     whole_milliseconds(call.timeout));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     whole_milliseconds(call.connect_timeout));
    set_body(*this);
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    set_headers(*this);
    const bool alone = call.dedicated_connection;
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, alone ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, alone ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &open_socket);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &before_request);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &close_socket);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, pool);
}

bool open_call::may_be_sent()
{
    resend_refused = call.method != "GET" && !nothing_was_sent(handle);
    return !resend_refused;
}

// The age of a connection counts from when it is established, not from the
// start of connecting: a process that started in between may have accepted it.
bool open_call::may_use(int port)
{
    if (!call.connected_before && !opened_connection)
    {
        return true; // the connection's age is irrelevant
    }
    for (const auto& [fd, since] : pool->usable_connections(peer))
    {
        if (port_of(fd) != port)
        {
            continue;
        }
        if (opened_connection)
        {
            pool->opened(peer, fd, boot_clock::now());
        }
        no_eligible_connection =
            call.connected_before && since >= *call.connected_before;
        return !no_eligible_connection;
    }
    no_eligible_connection = call.connected_before.has_value();
    return !no_eligible_connection;
}

http_result open_call::result(CURLcode code)
{
    http_result ended;
    if (no_eligible_connection)
    {
        ended.how = delivery::no_eligible_connection;
        ended.error = "no connection established before the given time";
        return ended;
    }
    if (code != CURLE_OK)
    {
        ended.how =
            nothing_was_sent(handle) ? delivery::not_sent : delivery::unknown;
        ended.error = resend_refused
                          ? "the connection was closed before an answer"
                          : curl_easy_strerror(code);
        return ended;
    }
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    ended.how = delivery::answered;
    ended.response = std::move(response);
    ended.response.status = static_cast<int>(status);
    ended.response.body = make_body(std::move(received));
    return ended;
}

} // namespace springstair
