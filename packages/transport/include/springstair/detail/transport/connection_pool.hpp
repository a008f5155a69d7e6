#pragma once

#include <springstair/detail/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Why a call on a reused connection ended without an answer.
enum class call_failure : std::uint8_t
{
    unanswered,    ///< the timeout elapsed: the peer may only be slow
    unacknowledged ///< TCP got no acknowledgement: the connection is dead
};

/// @brief Tracks the calls and connections of one client by peer.
///
/// Limits the calls in flight to each peer, and thereby the connections: each
/// costs the peer 32 KB and a descriptor. In simulated days, a process to
/// which 160 peers report held 4,342 descriptors and 147 MB without a limit;
/// 391 and 22.5 MB with a limit of six calls per peer and dead connections
/// closed together.
///
/// A failure that makes one connection dead (for example, a middlebox that
/// lost its connection table) affects all connections that were open to the
/// peer at that time, and each of them would cost one call its timeout.
/// Therefore the idle ones are closed together: immediately if a connection is
/// known to be dead, otherwise after two consecutive unanswered calls. A single
/// unanswered call may only mean that the peer did not answer that call.
///
/// Holds only socket numbers and owns no socket. Not thread-safe.
class connection_pool
{
public:
    /// @brief Registers a call if fewer than @p max_calls are in flight to the
    /// peer.
    /// @return whether the call may be sent now
    bool begin_call(const std::string& peer, std::size_t max_calls);
    /// @brief Unregisters a call that begin_call() has registered.
    void end_call(const std::string& peer);

    /// @brief Records a new connection to a peer.
    void opened(const std::string& peer, int socket, time_point now);
    /// @brief Removes a closed connection; unknown sockets are ignored.
    void closed(int socket);

    /// @brief Records that a call on a reused connection was answered.
    void answered(const std::string& peer);
    /// @brief Records that a call on a reused connection got no answer.
    /// @param sent_at when that call was sent; connections that were opened
    /// later are not affected
    /// @param busy the sockets that carry calls; these fail by themselves
    /// @return the peer's idle sockets to close; they are no longer reused
    std::vector<int> on_unanswered(const std::string& peer,
                                   call_failure failure, time_point sent_at,
                                   const std::set<int>& busy);

    /// @brief The usable connections to a peer: sockets and opening times.
    [[nodiscard]] std::map<int, time_point>
    usable_connections(const std::string& peer) const;
    /// @brief Number of calls in flight to a peer.
    [[nodiscard]] std::size_t calls(const std::string& peer) const;
    /// @brief Number of open connections to all peers, idle or in use.
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return peer_by_socket_.size();
    }

private:
    struct peer_state
    {
        std::size_t calls = 0;
        int unanswered_in_a_row = 0;
        std::map<int, time_point> opened; ///< usable sockets, opening times
    };

    void erase_if_unused(const std::string& peer);

    std::map<std::string, peer_state> peers_;
    std::map<int, std::string> peer_by_socket_; ///< open sockets
};

} // namespace springstair
