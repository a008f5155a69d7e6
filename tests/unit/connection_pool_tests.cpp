// connection_pool with simulated connections to many peers. The failure: all
// open connections become dead at once, as after the loss of the leader or a
// power failure. 160 peers and 90 simultaneous calls to one peer correspond to
// the largest fleet and its busiest peer. A worker accepts 64 connections; the
// smallest entry has 4,100 descriptors and 160 MB, at 32 KB per connection.

#include <doctest/doctest.h>

#include <springstair/transport.hpp>

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

using namespace springstair; // NOLINT: a test

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds order_timeout{300};
constexpr milliseconds ack_timeout{200};

// Simulates a client of the pool: a call without an idle connection opens one.
// Calls on dead connections fail after the ack timeout, others are answered
// after 2 ms.
class simulated_client
{
public:
    explicit simulated_client(std::size_t max_calls) : max_calls_(max_calls) {}

    void call(const std::string& peer)
    {
        if (pool_.begin_call(peer, max_calls_))
        {
            send(peer);
        }
        else
        {
            waiting_.push_back(peer);
        }
    }

    // Makes all open connections dead.
    void kill_connections()
    {
        for (connection& one : connections_)
        {
            one.dead = true;
        }
    }

    // Ends the calls that are due.
    // @return the number of calls that failed
    int step(time_point now)
    {
        now_ = now;
        int failed = 0;
        for (std::size_t at = 0; at < connections_.size(); ++at)
        {
            connection& one = connections_[at];
            if (!one.busy || now < one.ends)
            {
                continue;
            }
            one.busy = false;
            pool_.end_call(one.peer);
            failed += one.dead ? 1 : 0;
            one.dead ? lose(at) : pool_.answered(one.peer);
            answered_ += one.dead ? 0 : 1;
        }
        std::erase_if(connections_,
                      [](const connection& one) { return one.closed; });
        send_waiting();
        return failed;
    }

    [[nodiscard]] std::size_t connections() const
    {
        return pool_.connections();
    }
    [[nodiscard]] int answered() const
    {
        return answered_;
    }

private:
    struct connection
    {
        std::string peer;
        int socket = 0;
        bool busy = false;
        bool dead = false;
        bool closed = false;
        time_point sent{};
        time_point ends{};
    };

    void send(const std::string& peer)
    {
        auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [&](const connection& one)
                                  { return one.peer == peer && !one.busy; });
        if (found == connections_.end())
        {
            connections_.push_back({.peer = peer, .socket = ++last_socket_});
            found = std::prev(connections_.end());
            pool_.opened(peer, found->socket, now_);
        }
        found->busy = true;
        found->sent = now_;
        found->ends = now_ + (found->dead ? ack_timeout : milliseconds(2));
    }

    void lose(std::size_t at)
    {
        std::set<int> busy;
        for (const connection& one : connections_)
        {
            if (one.busy)
            {
                busy.insert(one.socket);
            }
        }
        connection& lost = connections_[at];
        lost.closed = true;
        pool_.closed(lost.socket);
        const auto to_close = pool_.on_unanswered(
            lost.peer, call_failure::unacknowledged, lost.sent, busy);
        for (connection& one : connections_)
        {
            if (std::count(to_close.begin(), to_close.end(), one.socket) != 0)
            {
                one.closed = true;
                pool_.closed(one.socket);
            }
        }
    }

    void send_waiting()
    {
        const std::deque<std::string> before = std::exchange(waiting_, {});
        for (const std::string& peer : before)
        {
            call(peer);
        }
    }

    std::size_t max_calls_;
    connection_pool pool_;
    std::vector<connection> connections_;
    std::deque<std::string> waiting_;
    time_point now_{};
    int last_socket_ = 0;
    int answered_ = 0;
};

} // namespace

TEST_CASE("160 peers become unresponsive at once: few calls fail per peer")
{
    constexpr int peers = 160;
    constexpr int calls_each = 8;
    constexpr std::size_t max_calls = http_call::default_max_open_calls;
    simulated_client client(max_calls);
    time_point now{};
    const auto call_all = [&]
    {
        for (int call = 0; call < calls_each; ++call)
        {
            for (int peer = 0; peer < peers; ++peer)
            {
                client.call(std::to_string(peer));
            }
        }
    };
    int failed = 0;
    const auto play = [&](milliseconds length)
    {
        for (const time_point end = now + length; now < end;
             now += milliseconds(1))
        {
            failed += client.step(now);
            CHECK(client.connections() <= peers * max_calls);
        }
    };
    call_all();
    play(milliseconds(50));
    REQUIRE(client.answered() == peers * calls_each);
    client.kill_connections();
    call_all();
    play(order_timeout);
    CHECK(failed <= peers * static_cast<int>(max_calls));
    // All other calls are answered within the timeout of one order.
    CHECK(client.answered() == 2 * peers * calls_each - failed);
    call_all();
    play(milliseconds(50));
    CHECK(client.answered() == 3 * peers * calls_each - failed);
}

TEST_CASE("90 orders at once to one worker stay far below its 64 connections")
{
    simulated_client client(http_call::default_max_open_calls);
    for (int order = 0; order < 90; ++order)
    {
        client.call("worker");
    }
    time_point now{};
    for (; client.answered() < 90; now += milliseconds(1))
    {
        client.step(now);
        REQUIRE(client.connections() <= http_call::default_max_open_calls);
    }
    // 15 rounds of 2 ms take 30 ms; twice that is allowed.
    CHECK(now <= time_point{milliseconds(60)});
}

TEST_CASE("only idle connections opened before a failed call are closed")
{
    connection_pool pool;
    const time_point start{std::chrono::hours(1)};
    pool.opened("a", 1, start);
    pool.opened("a", 2, start);
    pool.opened("a", 3, start);
    pool.opened("b", 4, start);
    pool.opened("a", 5, start + milliseconds(100));
    // Socket 1 carried the failed call, 2 carries another call, 5 was opened
    // after the call was sent.
    pool.closed(1);
    CHECK(pool.on_unanswered("a", call_failure::unacknowledged,
                             start + milliseconds(50),
                             {2}) == std::vector<int>{3});
    // A socket is returned only once; it counts as open until it is closed.
    CHECK(pool.on_unanswered("a", call_failure::unacknowledged,
                             start + milliseconds(50), {2})
              .empty());
    CHECK(pool.connections() == 4);
    pool.closed(3);
    CHECK(pool.connections() == 3);
    CHECK(pool.on_unanswered("a", call_failure::unacknowledged,
                             start + milliseconds(200),
                             {}) == std::vector<int>{2, 5});
}

TEST_CASE("one unanswered call does not close the other connections")
{
    connection_pool pool;
    const time_point start{std::chrono::hours(1)};
    const auto unanswered = [&](const std::string& peer)
    {
        return pool.on_unanswered(peer, call_failure::unanswered, start, {});
    };
    pool.opened("a", 1, start);
    pool.opened("b", 2, start);
    CHECK(unanswered("a").empty());
    pool.answered("a");
    CHECK(unanswered("a").empty());
    CHECK(unanswered("b").empty());
    CHECK(unanswered("a") == std::vector<int>{1});
    CHECK(unanswered("b") == std::vector<int>{2});
}

TEST_CASE("the limit of calls in flight applies to each peer separately")
{
    connection_pool pool;
    CHECK(pool.begin_call("a", 2));
    CHECK(pool.begin_call("a", 2));
    CHECK_FALSE(pool.begin_call("a", 2));
    CHECK(pool.begin_call("b", 2));
    pool.end_call("a");
    CHECK(pool.calls("a") == 1);
    CHECK(pool.begin_call("a", 2));
}
