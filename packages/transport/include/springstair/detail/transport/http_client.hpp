#pragma once

#include <springstair/detail/transport/http_message.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace springstair
{

/// @brief Whether a call reached its peer and was answered.
enum class delivery : std::uint8_t
{
    answered,               ///< a complete answer was received
    not_sent,               ///< no connection: no byte of the request was sent
    no_eligible_connection, ///< no connection that the call may use: no byte
                            ///< was sent
    unknown ///< at least part of the request was sent; no complete answer
};

/// @brief A call to make.
///
/// A GET may be resent automatically. Any other call is sent at most once: if
/// its reused connection ends without an answer, the call ends as `unknown` and
/// the caller decides whether to repeat it. With automatic resending, one call
/// was executed three times when the receiver closed three reused connections;
/// and an executed start was sent again and answered as refused, so its task
/// was also started on a second worker.
struct http_call
{
    std::string method = "POST";
    std::string url;
    header_map headers;
    shared_body body;
    duration timeout = std::chrono::seconds(5);
    duration connect_timeout = std::chrono::milliseconds(500);
    /// Use a new connection for this call only, so that even a GET is not
    /// resent and no idle connection that is about to close can lose the call.
    bool dedicated_connection = false;
    /// Use only a connection established before this time. The call then
    /// reaches the process that listened at that time or fails; it never
    /// reaches a process that was started later at the same address.
    std::optional<time_point> connected_before;
    /// Maximum number of calls in flight to the peer, and thereby of
    /// connections. Further calls are queued in order and end as `not_sent`
    /// after their timeout; the timeout restarts when a call is sent.
    std::size_t max_open_calls = default_max_open_calls;
    /// A call whose answer has a larger body ends without an answer.
    std::size_t max_answer_bytes = 64U << 20U;
    /// Whether timeouts indicate dead connections to this peer. False for a
    /// peer that may leave single calls unanswered: there, only unacknowledged
    /// bytes indicate a dead connection.
    bool answers_each_call = true;
    /// How long sent bytes may stay unacknowledged before the connection is
    /// considered dead. The default exceeds the queueing delay of a congested
    /// slow link: 1.1 s for a page of 1 MB at 10 Mbit/s.
    duration ack_timeout = std::chrono::milliseconds(3000);

    /// Sufficient for calls that take milliseconds.
    static constexpr std::size_t default_max_open_calls = 6;
};

/// @brief The result of a call.
struct http_result
{
    delivery how = delivery::unknown;
    http_response response;
    std::string error;
};

/// @brief Called once per call, on the client's thread; must not block.
using http_completion = std::function<void(http_result)>;

/// @brief HTTP client that makes concurrent calls on one thread.
class http_client
{
public:
    http_client();
    /// @brief Ends calls in flight as `unknown` and queued ones as `not_sent`.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// @brief Starts a call. Safe from any thread.
    void send(http_call call, http_completion done);

    /// @brief Makes a call and waits for its result. Must not be called from a
    /// completion.
    http_result send_and_wait(http_call call);

    /// @brief Number of calls since construction that got no answer on a
    /// reused connection, or that libcurl did not end at their timeout.
    [[nodiscard]] std::int64_t silent_connections() const noexcept;

    /// @brief Number of currently open connections to all peers.
    [[nodiscard]] std::int64_t connections() const noexcept;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace springstair
