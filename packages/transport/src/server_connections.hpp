#pragma once
// The open connections of a server, and which of them to close.

#include <springstair/transport.hpp>

#include <absl/synchronization/mutex.h>

#include <unordered_map>

namespace springstair
{

/// What a server awaits on a connection.
enum class connection_phase : std::uint8_t
{
    idle,   ///< the first line of a request
    header, ///< the rest of its header
    body,
    answer ///< by the handler; the connection is never closed then
};

/// Time limits of the phases.
struct connection_timeouts
{
    duration idle;
    duration header;
    duration body;
};

/// Connections by the phase that they are in. Once there are nearly too many,
/// those that have sent nothing for the longest time make room for others.
/// Thread-safe.
class server_connections
{
public:
    using key = const void*;

    /// @param max number of connections that the server accepts
    explicit server_connections(std::size_t max) noexcept;

    /// Adds a connection and its socket. Closes another one if they are nearly
    /// too many.
    void add(key connection, int socket, time_point now);
    /// Must be called before the socket is closed.
    void remove(key connection);
    void enter(key connection, connection_phase phase, time_point now);
    /// Notes that a part of a body has arrived.
    void note_progress(key connection, time_point now);

    /// Closes connections that exceed a time limit.
    void close_overdue(const connection_timeouts& timeouts, time_point now);

    [[nodiscard]] std::size_t size() const;
    /// Number of connections that it has closed.
    [[nodiscard]] std::int64_t closed() const;

private:
    struct entry
    {
        int socket = -1;
        connection_phase phase = connection_phase::idle;
        time_point entered;       ///< the phase
        time_point last_progress; ///< by the client
        bool closing = false;
    };

    void close_stalest() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
    void close(entry& one) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

    mutable absl::Mutex mutex_;
    std::size_t max_open_;
    std::unordered_map<key, entry> entries_ ABSL_GUARDED_BY(mutex_);
    std::size_t closing_ ABSL_GUARDED_BY(mutex_) = 0;
    std::int64_t closed_ ABSL_GUARDED_BY(mutex_) = 0;
};

} // namespace springstair
