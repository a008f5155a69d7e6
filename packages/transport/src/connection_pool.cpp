#include <springstair/transport.hpp>

namespace springstair
{

namespace
{

// Consecutive unanswered calls on reused connections after which the peer's
// idle connections are considered dead. More than 1, because a single
// unanswered call may mean only that the peer did not answer it. With 1, when
// worker orders were not yet exempt (http_call::answers_each_call), the new
// connections after each unanswered order raised the costs of a simulated day
// from 0.044 to 0.074 of its value.
constexpr int unanswered_threshold = 2;

} // namespace

bool connection_pool::begin_call(const std::string& peer, std::size_t max_calls)
{
    peer_state& state = peers_[peer];
    if (state.calls >= max_calls)
    {
        return false;
    }
    ++state.calls;
    return true;
}

void connection_pool::end_call(const std::string& peer)
{
    --peers_.at(peer).calls;
    erase_if_unused(peer);
}

void connection_pool::opened(const std::string& peer, int socket,
                             time_point now)
{
    closed(socket); // the kernel reuses socket numbers
    peers_[peer].opened[socket] = now;
    peer_by_socket_[socket] = peer;
}

void connection_pool::closed(int socket)
{
    const auto found = peer_by_socket_.find(socket);
    if (found == peer_by_socket_.end())
    {
        return;
    }
    const std::string peer = std::move(found->second);
    peer_by_socket_.erase(found);
    peers_[peer].opened.erase(socket);
    erase_if_unused(peer);
}

void connection_pool::answered(const std::string& peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end())
    {
        found->second.unanswered_in_a_row = 0;
    }
}

std::vector<int> connection_pool::on_unanswered(const std::string& peer,
                                                call_failure failure,
                                                time_point sent_at,
                                                const std::set<int>& busy)
{
    peer_state& state = peers_[peer];
    ++state.unanswered_in_a_row;
    const bool dead = failure == call_failure::unacknowledged ||
                      state.unanswered_in_a_row >= unanswered_threshold;
    std::vector<int> to_close;
    if (!dead)
    {
        return to_close;
    }
    state.unanswered_in_a_row = 0;
    for (const auto& [socket, since] : state.opened)
    {
        if (since <= sent_at && !busy.contains(socket))
        {
            to_close.push_back(socket);
        }
    }
    for (const int socket : to_close)
    {
        state.opened.erase(socket);
    }
    return to_close;
}

std::map<int, time_point>
connection_pool::usable_connections(const std::string& peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? std::map<int, time_point>{}
                                 : found->second.opened;
}

std::size_t connection_pool::calls(const std::string& peer) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.calls;
}

// Peer addresses keep changing; without this, peers_ would only grow.
void connection_pool::erase_if_unused(const std::string& peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end() && found->second.calls == 0 &&
        found->second.opened.empty())
    {
        peers_.erase(found);
    }
}

} // namespace springstair
