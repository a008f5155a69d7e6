#include <springstair/transport.hpp>

namespace springstair
{

namespace
{

// The library drops connections that were idle for so long (its default).
constexpr duration longest_idle = std::chrono::seconds(118);
// Calls in vain, with none answered on a kept connection between them, that
// take the trust away.
constexpr int too_many = 2;

} // namespace

void peer_trust::silent(const std::string& peer, time_point now)
{
    std::erase_if(silent_, [&](const auto& one)
                  { return now - one.second.newest > longest_idle; });
    silence& of = silent_[peer];
    of.newest = now;
    ++of.in_a_row;
}

void peer_trust::answered(const std::string& peer)
{
    const auto found = silent_.find(peer);
    if (found != silent_.end() && found->second.in_a_row < too_many)
    {
        silent_.erase(found);
    }
}

connection_choice peer_trust::choose(const std::string& peer,
                                     time_point now) const
{
    const auto found = silent_.find(peer);
    if (found == silent_.end() || found->second.in_a_row < too_many)
    {
        return {};
    }
    // The library compares whole seconds, and takes a bound of 0 for none.
    const auto bound =
        std::chrono::floor<std::chrono::seconds>(now - found->second.newest) -
        std::chrono::seconds(1);
    return bound.count() > 0 ? connection_choice{.younger_than = bound}
                             : connection_choice{.fresh = true};
}

} // namespace springstair
