// Limits that keep clients that don't behave from using up a process: memory of
// bodies, connections, and the jobs that a leader holds.

#include "scheduler_harness.hpp"

#include <doctest/doctest.h>

#include <springstair/daemon.hpp>
#include <springstair/transport.hpp>

#include <absl/synchronization/notification.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <rapidcheck.h>

#include <thread>

using namespace springstair;        // NOLINT: a test
using namespace springstair::tests; // NOLINT: a test

namespace
{

// A connection of a client that sends what it likes.
class raw_client
{
public:
    explicit raw_client(std::uint16_t port)
        : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{.sin_family = AF_INET, .sin_port = htons(port)};
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(socket_,
                        reinterpret_cast<sockaddr*>(&address), // NOLINT
                        sizeof(address)) == 0);
    }
    ~raw_client()
    {
        close(socket_);
    }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    void send(const std::string& text) const
    {
        ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
    }

    // What the server sends next; empty once it has closed the connection.
    [[nodiscard]] std::string receive() const
    {
        std::string text(1000, '\0');
        const ssize_t bytes = recv(socket_, text.data(), text.size(), 0);
        text.resize(bytes > 0 ? static_cast<std::size_t>(bytes) : 0);
        return text;
    }

private:
    int socket_;
};

std::string post(std::size_t announced)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
           std::to_string(announced) + "\r\n\r\n";
}

void answer_ok(const http_request& /*request*/, http_responder responder)
{
    responder.respond({.status = 200});
}

void wait_until_held(const http_server& server, std::size_t bytes)
{
    while (server.figures().body_bytes < bytes)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
}

} // namespace

// Guards against a sum of reservations that exceeds the budget.
TEST_CASE("a memory budget is never exceeded and is returned whole")
{
    rc::check(
        [](const std::vector<std::uint16_t>& sizes)
        {
            constexpr std::size_t capacity = 100'000;
            memory_budget budget(capacity, 1000);
            std::deque<memory_reservation> held;
            for (const std::size_t size : sizes)
            {
                memory_reservation& one = held.emplace_back(budget);
                const bool fits = one.resize(size);
                RC_ASSERT(one.held() == (fits ? size : 0));
                RC_ASSERT(budget.used() <= capacity);
            }
            held.clear();
            RC_ASSERT(budget.used() == 0U);
        });
}

TEST_CASE("a part of a memory budget is kept for small reservations")
{
    memory_budget budget(1000, 10);
    memory_reservation large(budget);
    CHECK_FALSE(large.resize(751));
    CHECK(large.resize(750));
    memory_reservation second(budget);
    CHECK_FALSE(second.resize(11));
    CHECK(second.resize(10));
    large.release();
    CHECK(second.resize(700));
}

// Guards against memory for bodies that stop just short of their end.
TEST_CASE("bodies that do not fit into the server's memory are refused")
{
    const http_server server(
        {.limits = {.body_bytes = 60'000}, .body_memory_bytes = 100'000},
        &answer_ok);
    const raw_client unfinished(server.port());
    unfinished.send(post(50'000) + std::string(49'999, 'x'));
    wait_until_held(server, 50'000);
    const raw_client refused(server.port());
    refused.send(post(50'000) + std::string(50'000, 'x'));
    const std::string answer = refused.receive();
    CHECK(answer.find(" 503 ") != std::string::npos);
    CHECK(answer.find("etry-") != std::string::npos);
    const raw_client small(server.port());
    small.send(post(1000) + std::string(1000, 'x'));
    CHECK(small.receive().find(" 200 ") != std::string::npos);
    unfinished.send("x");
    CHECK(unfinished.receive().find(" 200 ") != std::string::npos);
}

TEST_CASE("memory for what a decoded body needs is reserved as well")
{
    const http_server server(
        {.body_memory_bytes = 100'000, .decoded_factor = 10}, &answer_ok);
    const raw_client client(server.port());
    client.send(post(20'000) + std::string(20'000, 'x'));
    CHECK(client.receive().find(" 503 ") != std::string::npos);
    client.send(post(2000) + std::string(2000, 'x'));
    CHECK(client.receive().find(" 200 ") != std::string::npos);
    CHECK(server.figures().refused_bodies == 1);
}

TEST_CASE("new limits hold for the next request")
{
    http_server server({}, &answer_ok);
    const raw_client client(server.port());
    client.send(post(2000) + std::string(2000, 'x'));
    CHECK(client.receive().find(" 200 ") != std::string::npos);
    server.set_limits({.body_bytes = 1000});
    client.send(post(2000) + std::string(2000, 'x'));
    CHECK(client.receive().find(" 413 ") != std::string::npos);
}

// Guards against connections that keep everybody else out.
TEST_CASE("a full server closes the connection that was silent the longest")
{
    const http_server server({.threads = 1, .max_connections = 4}, &answer_ok);
    const raw_client silent(server.port());
    while (server.connections() < 1)
    {
        std::this_thread::sleep_for(milliseconds(1));
    }
    for (int number = 0; number < 10; ++number)
    {
        const raw_client other(server.port());
        other.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        CHECK(other.receive().find(" 200 ") != std::string::npos);
    }
    const raw_client one(server.port());
    const raw_client two(server.port());
    const raw_client three(server.port());
    three.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(three.receive().find(" 200 ") != std::string::npos);
    CHECK(silent.receive().empty());
}

TEST_CASE("overdue headers and bodies are closed, unanswered requests are not")
{
    absl::Notification arrived;
    std::optional<http_responder> waiting;
    http_server server({.threads = 1},
                       [&](const http_request&, http_responder responder)
                       {
                           waiting.emplace(std::move(responder));
                           arrived.Notify();
                       });
    const raw_client header(server.port());
    header.send("GET / HTTP/1.1\r\nHost: h\r\n");
    const raw_client body(server.port());
    body.send(post(10) + "x");
    const raw_client unanswered(server.port());
    unanswered.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    arrived.WaitForNotification();
    wait_until_held(server, 10);
    server.close_overdue(boot_clock::now() + seconds(25));
    CHECK(header.receive().empty());
    CHECK(body.receive().empty());
    waiting->respond({.status = 200});
    CHECK(unanswered.receive().find(" 200 ") != std::string::npos);
}

// Guards against jobs in the store that no leader has the memory for.
TEST_CASE("jobs are admitted within the memory of the smallest entry")
{
    const job_memory memory{.capacity_bytes = 4'000'000,
                            .held_bytes = 2'500'000};
    CHECK(memory.admits(500'000));
    CHECK_FALSE(memory.admits(500'001)); // a quarter is kept for small jobs
    CHECK(memory.admits(job_memory::small_job_bytes));
    CHECK(memory.allotment(3) == 500'000);
    const job_memory full{.capacity_bytes = 1000, .held_bytes = 1200};
    CHECK_FALSE(full.admits(1));
    CHECK(full.allotment(3) == 0);
}

TEST_CASE("an entry accepts small jobs within its allotment")
{
    job_allotment allotment(4'000'000); // a quarter until a leader answers
    CHECK_FALSE(allotment.take(job_memory::small_job_bytes + 1));
    int taken = 0;
    while (allotment.take(100'000))
    {
        ++taken;
    }
    CHECK(taken == 10);
    allotment.renew(150'000);
    CHECK(allotment.take(100'000));
    CHECK_FALSE(allotment.take(100'000));
    allotment.renew(std::nullopt); // a leader of an earlier version
    CHECK(allotment.take(100'000));
}

TEST_CASE("the smallest entry that is present bounds the memory for jobs")
{
    entry_list list;
    const time_point now = time_point{seconds(100)};
    CHECK(list.job_capacity(900, now) == 900);
    list.record_heartbeat({.address = "a", .job_capacity_bytes = 500}, now);
    list.record_heartbeat({.address = "b"}, now); // an earlier version
    CHECK(list.job_capacity(900, now) == 500);
    CHECK(list.job_capacity(900, now + seconds(60)) == 900);
    CHECK(list.size() == 2);
}

// Guards against a leader whose memory grows with every job that ever ended.
TEST_CASE("a job that has ended costs no memory and is never accepted again")
{
    scheduler_harness harness;
    harness.worker("g1");
    const std::int64_t before = harness.core.held_bytes().total;
    const job definition = harness.submit({step_of(200)});
    const std::int64_t open = harness.core.held_bytes().total - before;
    CHECK(open == job_record::memory_bytes(definition));
    harness.core.cancel(definition.id, harness.now);
    harness.advance();
    harness.advance(seconds(30));
    CHECK(harness.core.held_bytes().total - before < open / 10);
    CHECK(harness.shown(definition.id) == job_state::cancelled);
    harness.advance(seconds(200));
    CHECK(harness.core.held_bytes().total == before);
    CHECK(harness.core.find(definition.id) == nullptr);
    harness.core.accept(definition, harness.now); // a late notification
    CHECK(harness.core.find(definition.id) == nullptr);
    CHECK(harness.core.knows(definition.id));
}
