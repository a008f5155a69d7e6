#pragma once

#include <springstair/detail/core/time.hpp>

#include <chrono>
#include <map>
#include <string>

namespace springstair
{

/// @brief Which kept connections of a peer a call may use.
struct connection_choice
{
    bool fresh = false; ///< none of them: it opens one
    /// Only younger ones; 0: any. Whole seconds, as the HTTP library counts.
    std::chrono::seconds younger_than{0};

    bool operator==(const connection_choice&) const = default;
};

/// @brief Remembers at which peers a kept connection has gone silent.
///
/// What silences one connection for good (a box between two machines that
/// lost its table) silences the others that were open beside it, and each of
/// them would cost a call its time limit, one after the other. So after two
/// in a row, calls use only connections that were opened since. One alone may
/// be a peer that did not answer this call: where workers leave orders
/// unanswered, new connections after each of those raised the prices of one
/// played day from 0.044 to 0.074 of its worth.
class peer_trust
{
public:
    /// @brief A call on a kept connection got no answer in time.
    void silent(const std::string& peer, time_point now);
    /// @brief A call on a kept connection was answered.
    void answered(const std::string& peer);

    /// @brief What the next call to a peer may use.
    [[nodiscard]] connection_choice choose(const std::string& peer,
                                           time_point now) const;

private:
    struct silence
    {
        time_point newest;
        int in_a_row = 0;
    };
    std::map<std::string, silence> silent_;
};

} // namespace springstair
