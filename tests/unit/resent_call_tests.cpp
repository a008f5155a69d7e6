// Guards against one call being executed twice.
//
// Failure: two runs of one task ran at once. An executor received one start
// twice although the guard had sent it once and recorded one answer, a refusal.
//
// The HTTP library resends a call by itself when its kept-alive connection ends
// before the first byte of the answer. The executor carried out the first copy,
// and the connection ended before the answer. It refused the second copy (busy,
// no capacity). The guard treated this as the answer to its only call and
// refused the run, and its task was started elsewhere.

#include <doctest/doctest.h>

#include "platform.hpp"

#include <springstair/transport.hpp>

#include <absl/synchronization/blocking_counter.h>
#include <absl/synchronization/notification.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;

// How a connection ends without an answer.
enum class cut : std::uint8_t
{
    closed, // as when a process stops
    reset   // as when a process is killed with unread bytes
};

// Answers each request with 200. After cut_reused_connections(), it executes a
// request on a connection that has carried an answer before and then ends the
// connection; on new connections it answers with 503.
class cutting_server
{
public:
    cutting_server()
    {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* const generic = reinterpret_cast<sockaddr*>(&address); // NOLINT
        socklen_t size = sizeof address;
        REQUIRE(bind(listener_, generic, size) == 0);
        REQUIRE(listen(listener_, SOMAXCONN) == 0);
        REQUIRE(getsockname(listener_, generic, &size) == 0);
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { accept_all(); });
    }

    ~cutting_server()
    {
        refuse_connections();
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (const int socket : open_)
            {
                shutdown(socket, SHUT_RDWR);
            }
        }
        for (std::thread& one : threads_)
        {
            one.join();
        }
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(port_);
    }

    // @param delay of each answer, so that concurrent calls need one connection
    // each
    void answer_after(milliseconds delay)
    {
        delay_ = delay;
    }

    void cut_reused_connections(cut how)
    {
        how_ = how;
        cuts_ = true;
    }

    // Closes all connections; none may carry a call.
    void close_idle()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const int socket : open_)
        {
            shutdown(socket, SHUT_RDWR);
        }
    }

    void refuse_connections()
    {
        if (listener_ < 0)
        {
            return;
        }
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        close(listener_);
        listener_ = -1;
    }

    // Executed requests, answered or not.
    [[nodiscard]] int carried_out() const
    {
        return carried_out_;
    }

    // All received requests.
    [[nodiscard]] int requests() const
    {
        return requests_;
    }

private:
    void accept_all()
    {
        while (true)
        {
            const int socket = accept(listener_, nullptr, nullptr);
            if (socket < 0)
            {
                return;
            }
            const std::lock_guard<std::mutex> lock(mutex_);
            open_.push_back(socket);
            threads_.emplace_back([this, socket] { serve(socket); });
        }
    }

    void serve(int socket)
    {
        bool was_used = false;
        while (take_request(socket))
        {
            ++requests_;
            if (cuts_ && was_used)
            {
                ++carried_out_;
                break;
            }
            std::this_thread::sleep_for(delay_.load());
            answer(socket);
            was_used = true;
        }
        end(socket);
    }

    // @return false if the connection ended
    static bool take_request(int socket)
    {
        std::array<char, 4096> buffer{};
        std::string received;
        while (!is_whole(received))
        {
            const ssize_t got = read(socket, buffer.data(), buffer.size());
            if (got <= 0)
            {
                return false;
            }
            received.append(buffer.data(), static_cast<std::size_t>(got));
        }
        return true;
    }

    static bool is_whole(const std::string& received)
    {
        static const std::string length_name = "Content-Length: ";
        const std::size_t end = received.find("\r\n\r\n");
        if (end == std::string::npos)
        {
            return false;
        }
        const std::size_t position = received.find(length_name);
        const std::size_t length =
            position == std::string::npos
                ? 0
                : std::stoul(received.substr(position + length_name.size()));
        return received.size() >= end + 4 + length;
    }

    void answer(int socket)
    {
        carried_out_ += cuts_ ? 0 : 1;
        const std::string text = std::string("HTTP/1.1 ") +
                                 (cuts_ ? "503 Busy" : "200 OK") +
                                 "\r\nContent-Length: 2\r\n\r\n{}";
        [[maybe_unused]] const auto written =
            send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    }

    void end(int socket)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        std::erase(open_, socket);
        if (how_ == cut::reset)
        {
            const linger at_once{.l_onoff = 1, .l_linger = 0};
            setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        close(socket);
    }

    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::mutex mutex_;
    std::vector<int> open_;
    std::vector<std::thread> threads_;
    std::atomic<milliseconds> delay_{milliseconds(0)};
    std::atomic<cut> how_ = cut::closed;
    std::atomic<bool> cuts_ = false;
    std::atomic<int> carried_out_ = 0;
    std::atomic<int> requests_ = 0;
    std::thread acceptor_;
};

http_call call_to(const cutting_server& server, const char* method = "POST")
{
    return {.method = method,
            .url = "http://" + server.address() + "/x",
            .body = std::string(method) == "POST" ? make_body("{}") : nullptr,
            .timeout = milliseconds(1000)};
}

void open_connections(http_client& client, cutting_server& server, int count)
{
    server.answer_after(milliseconds(60));
    absl::BlockingCounter answered(count);
    for (int call = 0; call < count; ++call)
    {
        client.send(call_to(server),
                    [&](const http_result& result)
                    {
                        CHECK(result.how == delivery::answered);
                        answered.DecrementCount();
                    });
    }
    answered.Wait();
    server.answer_after(milliseconds(0));
}

} // namespace

TEST_CASE("a call that was executed but not answered is not sent again")
{
    for (const cut how : {cut::closed, cut::reset})
    {
        CAPTURE(static_cast<int>(how));
        cutting_server server;
        http_client client;
        open_connections(client, server, 1);
        server.cut_reused_connections(how);
        const http_result result = client.send_and_wait(call_to(server));
        CHECK(server.carried_out() == 1 + 1);
        CHECK(result.how == delivery::unknown);
        CHECK(server.requests() == 1 + 1); // sent once
    }
}

TEST_CASE("an interrupted call is not sent on another kept-alive connection")
{
    cutting_server server;
    http_client client;
    open_connections(client, server, 3);
    server.cut_reused_connections(cut::closed);
    CHECK(client.send_and_wait(call_to(server)).how == delivery::unknown);
    CHECK(server.requests() == 3 + 1);
}

TEST_CASE("an interrupted call does not count as not sent")
{
    cutting_server server;
    http_client client;
    open_connections(client, server, 1);
    server.refuse_connections();
    server.cut_reused_connections(cut::closed);
    CHECK(client.send_and_wait(call_to(server)).how == delivery::unknown);
    CHECK(server.carried_out() == 1 + 1);
    // No connection could be opened, so nothing was sent.
    CHECK(client.send_and_wait(call_to(server)).how == delivery::not_sent);
}

TEST_CASE("a connection closed while idle fails no call")
{
    cutting_server server;
    http_client client;
    open_connections(client, server, 3);
    server.close_idle();
    for (int call = 0; call < 3; ++call)
    {
        CHECK(client.send_and_wait(call_to(server)).how == delivery::answered);
    }
    CHECK(server.requests() == 3 + 3);
}

TEST_CASE("an interrupted read is sent again")
{
    cutting_server server;
    http_client client;
    open_connections(client, server, 1);
    server.cut_reused_connections(cut::closed);
    const http_result result = client.send_and_wait(call_to(server, "GET"));
    CHECK(result.how == delivery::answered);
    CHECK(result.response.status == 503);
    CHECK(server.requests() == 1 + 2);
}

TEST_CASE("an interrupted start counts as unanswered")
{
    cutting_server server;
    http_client client;
    open_connections(client, server, 1);
    server.cut_reused_connections(cut::closed);
    const start_run start{.order = {.task = "j.0.0.0", .run = 1},
                          .deadline_ms = 900,
                          .fence = 7,
                          .executor = "i-7"};
    const http_result result =
        client.send_and_wait(platform::encode(start, server.address()));
    CHECK(server.carried_out() == 1 + 1);
    CHECK(platform::decode_result(result) == order_result::unanswered);
}

TEST_CASE("the outcome of an interrupted store write is unknown")
{
    cutting_server server;
    http_client client;
    open_connections(client, server, 1);
    server.cut_reused_connections(cut::closed);
    platform::store_client store(client, server.address());
    auto status = platform::store_status::done;
    absl::Notification ended;
    store.transact({.puts = {{.key = "k", .value = "v"}}}, milliseconds(1000),
                   [&](const platform::store_result& result)
                   {
                       status = result.status;
                       ended.Notify();
                   });
    ended.WaitForNotification();
    CHECK(server.carried_out() == 1 + 1);
    CHECK(status == platform::store_status::unknown);
}
