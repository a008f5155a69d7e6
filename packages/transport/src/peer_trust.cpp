#include <springstair/transport.hpp>

namespace springstair
{

namespace
{

// The library drops connections that were idle for so long (its default).
constexpr duration longest_idle = std::chrono::seconds(118);

} // namespace

void peer_trust::silent(const std::string& peer, time_point now)
{
    std::erase_if(silent_since_, [&](const auto& one)
                  { return now - one.second > longest_idle; });
    silent_since_[peer] = now;
}

connection_choice peer_trust::choose(const std::string& peer,
                                     time_point now) const
{
    const auto found = silent_since_.find(peer);
    if (found == silent_since_.end())
    {
        return {};
    }
    // The library compares whole seconds, and takes a bound of 0 for none.
    const auto bound =
        std::chrono::floor<std::chrono::seconds>(now - found->second) -
        std::chrono::seconds(1);
    return bound.count() > 0 ? connection_choice{.younger_than = bound}
                             : connection_choice{.fresh = true};
}

} // namespace springstair
