#include "server_connections.hpp"

#include <sys/socket.h>

#include <algorithm>

namespace springstair
{

namespace
{

// A full server accepts no connection. This share of them stays free, so that a
// new one is accepted while an old one is closed.
constexpr std::size_t free_divisor = 16;

duration timeout_of(connection_phase phase, const connection_timeouts& timeouts)
{
    switch (phase)
    {
    case connection_phase::idle:
        return timeouts.idle;
    case connection_phase::header:
        return timeouts.header;
    case connection_phase::body:
        return timeouts.body;
    case connection_phase::answer:
        break;
    }
    return duration::max();
}

} // namespace

server_connections::server_connections(std::size_t max) noexcept
    : max_open_(max - std::min(max / free_divisor + 1, max - 1))
{
}

void server_connections::add(key connection, int socket, time_point now)
{
    const absl::MutexLock lock(&mutex_);
    if (entries_.size() - closing_ >= max_open_)
    {
        close_stalest();
    }
    entries_[connection] = {
        .socket = socket, .entered = now, .last_progress = now};
}

void server_connections::remove(key connection)
{
    const absl::MutexLock lock(&mutex_);
    const auto found = entries_.find(connection);
    if (found != entries_.end())
    {
        closing_ -= found->second.closing ? 1 : 0;
        entries_.erase(found);
    }
}

void server_connections::enter(key connection, connection_phase phase,
                               time_point now)
{
    const absl::MutexLock lock(&mutex_);
    const auto found = entries_.find(connection);
    if (found != entries_.end())
    {
        found->second.phase = phase;
        found->second.entered = now;
        found->second.last_progress = now;
    }
}

void server_connections::note_progress(key connection, time_point now)
{
    const absl::MutexLock lock(&mutex_);
    const auto found = entries_.find(connection);
    if (found != entries_.end())
    {
        found->second.last_progress = now;
    }
}

void server_connections::close_overdue(const connection_timeouts& timeouts,
                                       time_point now)
{
    const absl::MutexLock lock(&mutex_);
    for (auto& [connection, one] : entries_)
    {
        if (!one.closing && now - one.entered > timeout_of(one.phase, timeouts))
        {
            close(one);
        }
    }
}

std::size_t server_connections::size() const
{
    const absl::MutexLock lock(&mutex_);
    return entries_.size();
}

std::int64_t server_connections::closed() const
{
    const absl::MutexLock lock(&mutex_);
    return closed_;
}

void server_connections::close_stalest()
{
    entry* stalest = nullptr;
    for (auto& [connection, one] : entries_)
    {
        const bool may_close =
            !one.closing && one.phase != connection_phase::answer;
        if (may_close &&
            (stalest == nullptr || one.last_progress < stalest->last_progress))
        {
            stalest = &one;
        }
    }
    if (stalest != nullptr)
    {
        close(*stalest);
    }
}

// The server's thread finds the end of the stream and closes the socket.
void server_connections::close(entry& one)
{
    one.closing = true;
    ++closing_;
    ++closed_;
    shutdown(one.socket, SHUT_RDWR);
}

} // namespace springstair
