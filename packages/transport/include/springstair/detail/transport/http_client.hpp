#pragma once

#include <springstair/detail/transport/http_message.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace springstair
{

/// @brief What is known of a call that ended.
enum class delivery : std::uint8_t
{
    answered,               ///< the whole answer is here
    not_sent,               ///< no connection: not a byte of the request left
    no_eligible_connection, ///< no connection that the call may use: not a byte
                            ///< left
    unknown ///< the request, or part of it, was sent; no whole answer
};

/// @brief A call to make.
///
/// Of a call that is no GET at most one copy leaves: one whose kept connection
/// ends without an answer ends as `unknown`, and its sender decides whether to
/// repeat it. Sent again unseen, a start that was carried out came back as
/// refused, and its task was started elsewhere too; with three kept
/// connections to a receiver that ends each, one call was carried out three
/// times. A GET may leave again, unseen.
struct http_call
{
    std::string method = "POST";
    std::string url;
    header_map headers;
    shared_body body;
    duration timeout = std::chrono::seconds(5);
    duration connect_timeout = std::chrono::milliseconds(500);
    /// A connection of its own, so that not even a read is sent twice, and
    /// no idle connection that is about to end loses it.
    bool dedicated_connection = false;
    /// Only on a connection that was made before then: it reaches the process
    /// that was there at that time, or nobody. One that has started since at
    /// the same address gets it on no account.
    std::optional<time_point> connected_before;
    /// Calls open to the peer at once, and so its connections; more wait for
    /// their turn, in order, and end as `not_sent` if it takes longer than
    /// their timeout, which counts anew once they are sent.
    std::size_t max_open_calls = default_max_open_calls;
    /// Whether time limits tell that connections to this peer are silent. Not
    /// for one that leaves single calls unanswered: there, only bytes that
    /// are not acknowledged tell.
    bool answers_each_call = true;
    /// How long bytes may stay unacknowledged before a connection to the peer
    /// is dead. The usual is above the queue of a crowded thin link: 1.1 s for
    /// a page of 1 MB at 10 Mbit/s.
    duration ack_timeout = std::chrono::milliseconds(3000);

    /// Enough for calls that take milliseconds.
    static constexpr std::size_t default_max_open_calls = 6;
};

/// @brief What came of a call.
struct http_result
{
    delivery how = delivery::unknown;
    http_response response;
    std::string error;
};

/// @brief Called once for each call, on the client's thread; it must not
/// block.
using http_completion = std::function<void(http_result)>;

/// @brief Makes many calls at once on one thread.
class http_client
{
public:
    http_client();
    /// @brief Ends open calls as `unknown`, then stops.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Starts a call. Safe from any thread.
    void send(http_call call, http_completion done);

    /// @brief Makes a call and waits for its end. Not from a completion.
    http_result send_and_wait(http_call call);

    /// @brief Calls on kept connections that got no answer, since the client
    /// began.
    [[nodiscard]] std::int64_t silent_connections() const noexcept;

    /// @brief Connections that are open now, to all peers.
    [[nodiscard]] std::int64_t connections() const noexcept;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace springstair
