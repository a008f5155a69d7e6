#include "ack_timeout.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace springstair
{

namespace
{

// With a longer interval, a dead connection could be detected only after the
// lease that depends on it has expired.
constexpr int probe_interval_s = 1;

bool set_option(int socket, int level, int name, int value)
{
    return setsockopt(socket, level, name, &value, sizeof value) == 0;
}

} // namespace

bool set_ack_timeout(int socket, duration timeout)
{
    const int timeout_ms = static_cast<int>(to_milliseconds(timeout));
    return set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1) &&
           set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval_s) &&
           set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s) &&
           set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
}

} // namespace springstair
