#include <springstair/transport.hpp>

namespace springstair
{

namespace
{

// Consecutive unanswered calls on reused connections after which the peer's
// idle connections are considered dead. With 1, each order that a worker left
// unanswered caused new connections; in a simulated day this raised the prices
// from 0.044 to 0.074 of the day's value.
constexpr int too_many_unanswered = 2;

} // namespace

bool connection_pool::begin(const std::string& peer, std::size_t most)
{
    peer_state& of = peers_[peer];
    if (of.calls >= most)
    {
        return false;
    }
    ++of.calls;
    return true;
}

void connection_pool::end(const std::string& peer)
{
    --peers_.at(peer).calls;
    forget_unused(peer);
}

void connection_pool::opened(const std::string& peer, int socket,
                             time_point now)
{
    closed(socket); // the kernel reuses socket numbers
    peers_[peer].opened[socket] = now;
    peers_of_[socket] = peer;
}

void connection_pool::closed(int socket)
{
    const auto found = peers_of_.find(socket);
    if (found == peers_of_.end())
    {
        return;
    }
    const std::string peer = std::move(found->second);
    peers_of_.erase(found);
    peers_[peer].opened.erase(socket);
    forget_unused(peer);
}

void connection_pool::answered(const std::string& peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end())
    {
        found->second.unanswered_in_a_row = 0;
    }
}

std::vector<int> connection_pool::lost(const std::string& peer,
                                       call_failure how, time_point began,
                                       const std::set<int>& busy)
{
    peer_state& of = peers_[peer];
    ++of.unanswered_in_a_row;
    const bool dead = how == call_failure::unacknowledged ||
                      of.unanswered_in_a_row >= too_many_unanswered;
    std::vector<int> given_up;
    if (!dead)
    {
        return given_up;
    }
    of.unanswered_in_a_row = 0;
    for (const auto& [socket, since] : of.opened)
    {
        if (since <= began && !busy.contains(socket))
        {
            given_up.push_back(socket);
        }
    }
    for (const int socket : given_up)
    {
        of.opened.erase(socket);
    }
    return given_up;
}

std::map<int, time_point> connection_pool::kept(const std::string& peer) const
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
void connection_pool::forget_unused(const std::string& peer)
{
    const auto found = peers_.find(peer);
    if (found != peers_.end() && found->second.calls == 0 &&
        found->second.opened.empty())
    {
        peers_.erase(found);
    }
}

} // namespace springstair
