// Calls restricted by connected_before: they must not reach a process that was
// started later at the same address. A connection ends with the process that
// accepted it.

#include <doctest/doctest.h>

#include <springstair/transport.hpp>

#include <atomic>
#include <memory>

using namespace springstair; // NOLINT: a test

namespace
{

class counting_server
{
public:
    explicit counting_server(std::uint16_t port = 0)
        : server_({.port = port},
                  [this](const http_request&, http_responder to)
                  {
                      ++calls;
                      to.respond({.status = 200, .body = make_body("x")});
                  })
    {
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return server_.port();
    }

    std::atomic<int> calls = 0;

private:
    http_server server_;
};

http_call call_to(std::uint16_t port,
                  std::optional<time_point> connected_before = std::nullopt)
{
    return {.url = "http://127.0.0.1:" + std::to_string(port) + "/x",
            .body = make_body("{}"),
            .connected_before = connected_before};
}

} // namespace

TEST_CASE("a call uses only a connection established before the given time")
{
    const counting_server server;
    http_client client;
    const time_point at_first = boot_clock::now();
    REQUIRE(client.send_and_wait(call_to(server.port())).how ==
            delivery::answered);
    const time_point since = boot_clock::now();
    CHECK(client.send_and_wait(call_to(server.port(), since)).how ==
          delivery::answered);
    CHECK(client.send_and_wait(call_to(server.port(), at_first)).how ==
          delivery::no_eligible_connection);
    CHECK(server.calls == 2);
}

TEST_CASE("a call does not reach a process restarted at the same address")
{
    auto server = std::make_unique<counting_server>();
    const std::uint16_t port = server->port();
    http_client client;
    REQUIRE(client.send_and_wait(call_to(port)).how == delivery::answered);
    const time_point since = boot_clock::now();
    server.reset();
    server = std::make_unique<counting_server>(port);
    CHECK(client.send_and_wait(call_to(port, since)).how != delivery::answered);
    CHECK(server->calls == 0);
    // A connection that another call has opened later is not eligible.
    REQUIRE(client.send_and_wait(call_to(port)).how == delivery::answered);
    CHECK(client.send_and_wait(call_to(port, since)).how ==
          delivery::no_eligible_connection);
    CHECK(server->calls == 1);
}
