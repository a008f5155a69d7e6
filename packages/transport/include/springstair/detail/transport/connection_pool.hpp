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

/// @brief What ended a call on a kept connection without an answer.
enum class call_failure : std::uint8_t
{
    unanswered,    ///< its time limit: the peer may only be slow
    unacknowledged ///< not even its bytes arrived: the connection is dead
};

/// @brief The calls and connections of one client, by peer.
///
/// Bounds the calls that are open to a peer at once, and with them its
/// connections: each costs the peer 32 KB and a descriptor. Without a bound,
/// 160 peers that sent each order at once held 4,342 descriptors and 147 MB
/// in the process that all of them report to; with six, and dead ones given
/// up together, 391 and 22.5 MB (one played day each).
///
/// What silences one connection for good (a box between two machines that
/// lost its table) silences all that were open beside it, and each of them
/// would cost a call its time limit. So the idle ones are given up together:
/// at once if a connection is known to be dead, after two calls in a row
/// without an answer otherwise. One alone may be a peer that did not answer
/// this call.
///
/// Holds no sockets itself, only their numbers. Not safe from several threads.
class connection_pool
{
public:
    /// @brief Begins a call, if fewer than @p most are open to its peer.
    /// @return whether it may be sent now
    bool begin(const std::string& peer, std::size_t most);
    /// @brief A call that was begun has ended.
    void end(const std::string& peer);

    /// @brief A connection to a peer was opened.
    void opened(const std::string& peer, int socket, time_point now);
    /// @brief A connection was closed; unknown ones are passed over.
    void closed(int socket);

    /// @brief A call on a kept connection was answered.
    void answered(const std::string& peer);
    /// @brief A call on a kept connection ended without an answer.
    /// @param began when that call was sent: what was opened since, works
    /// @param busy the sockets that carry calls; each tells of itself
    /// @return the sockets of the peer to give up; they are not kept any more
    std::vector<int> lost(const std::string& peer, call_failure how,
                          time_point began, const std::set<int>& busy);

    /// @brief The kept connections to a peer: sockets, and since when.
    [[nodiscard]] std::map<int, time_point> kept(const std::string& peer) const;
    /// @brief Calls open to a peer.
    [[nodiscard]] std::size_t calls(const std::string& peer) const;
    /// @brief Connections kept or in use, to all peers.
    [[nodiscard]] std::size_t connections() const noexcept
    {
        return peers_of_.size();
    }

private:
    struct peer_state
    {
        std::size_t calls = 0;
        int unanswered_in_a_row = 0;
        std::map<int, time_point> opened; ///< kept sockets, and since when
    };

    void forget_unused(const std::string& peer);

    std::map<std::string, peer_state> peers_;
    std::map<int, std::string> peers_of_; ///< by socket, until it is closed
};

} // namespace springstair
