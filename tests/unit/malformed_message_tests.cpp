// Malformed heartbeats and answers: missing members, wrong types, unknown
// states, invalid JSON. They must neither register an executor nor end the
// process.

#include "platform.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <limits>

using namespace springstair; // NOLINT: a test
namespace adapter = springstair::platform;

namespace
{

json valid_heartbeat()
{
    return {{"service", "s"},
            {"address", "10.0.0.1:1"},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_remaining_ms", 0},
            {"capacity", {{"cpu", 16000}, {"mem_mb", 100}, {"gpu", 0}}},
            {"labels", {"a", "r1-3"}},
            {"clock_ms", 5},
            {"seq", 4}};
}

std::optional<adapter::worker_heartbeat> decode(const std::string& body)
{
    http_request from;
    from.method = "POST";
    from.path = "/springstair/executors/i-7/heartbeat";
    from.body = make_body(body);
    return adapter::decode_heartbeat(from);
}

const std::vector<json>& strange_values()
{
    static const std::vector<json> values{nullptr,
                                          true,
                                          -1,
                                          1.5,
                                          "",
                                          "other",
                                          json::array(),
                                          json::object(),
                                          json::array({1, 2}),
                                          json{{"cpu", "many"}}};
    return values;
}

} // namespace

TEST_CASE("a heartbeat without a required member is refused")
{
    for (const char* member : {"service", "address", "zone", "state",
                               "capacity", "labels", "clock_ms", "seq"})
    {
        CAPTURE(member);
        json body = valid_heartbeat();
        body.erase(member);
        CHECK_THROWS_AS(decode(body.dump()), document_error);
    }
    for (const char* member : {"cpu", "mem_mb"})
    {
        CAPTURE(member);
        json body = valid_heartbeat();
        body["capacity"].erase(member);
        CHECK_THROWS_AS(decode(body.dump()), document_error);
    }
}

TEST_CASE("a heartbeat with a member of a wrong type or value is refused")
{
    const std::vector<std::pair<const char*, json>> cases{
        {"state", "resting"},
        {"state", 1},
        {"service", ""},
        {"service", json::array()},
        {"address", 8080},
        {"labels", "a"},
        {"labels", json::array({1, 2})},
        {"capacity", 16000},
        {"capacity", json{{"cpu", "many"}, {"mem_mb", 1}}},
        {"capacity", json{{"cpu", -1}, {"mem_mb", 1}}},
        {"clock_ms", "5"},
        {"seq", -1},
        {"clock_ms", std::numeric_limits<std::int64_t>::max()},
        {"remaining_ms", std::numeric_limits<std::int64_t>::max()},
        {"remaining_ms", "soon"}};
    for (const auto& one : cases)
    {
        CAPTURE(one.first);
        CAPTURE(one.second.dump());
        json body = valid_heartbeat();
        body[one.first] = one.second;
        CHECK_THROWS_AS(decode(body.dump()), document_error);
    }
    CHECK_THROWS_AS(decode("[]"), document_error);
    CHECK_THROWS_AS(decode(""), document_error);
    CHECK_THROWS_AS(decode("\xff\xfe{}"), document_error);
}

// Guards against a guard that ends at each report with such an id: no message
// can contain it.
TEST_CASE("a heartbeat of an executor whose id is not UTF-8 is refused")
{
    http_request from;
    from.method = "POST";
    from.path = "/springstair/executors/i-\xff/heartbeat";
    from.body = make_body(valid_heartbeat().dump());
    CHECK_THROWS_AS(adapter::decode_heartbeat(from), document_error);
}

// Guards against an exception while the error is written: a parser's message
// contains the bytes that it cannot read.
TEST_CASE("a submission that is not UTF-8 is answered with 400")
{
    const queue_table table{
        .version = 1,
        .queues = {
            {.name = "q", .host = "h", .path_prefix = "/q/", .service = "s"}}};
    const auto request =
        adapter::decode_request({.method = "POST",
                                 .path = "/q/5c0e7a21d94b36f8",
                                 .headers = {{"host", "h"}},
                                 .body = make_body("{\"spec\": \"\xff\xfe\"}")},
                                table);
    const auto& refused = std::get<adapter::refused_request>(request);
    CHECK(refused.answer.status == 400);
    CHECK(json::accept(*refused.answer.body));
}

// Guards against the same exception in an error answer between processes.
TEST_CASE("an error whose text is not UTF-8 is answered")
{
    rpc_dispatcher methods;
    methods.add("fail",
                [](const json&) -> json
                { throw std::runtime_error("bytes \xff\xfe"); });
    const std::string answer =
        methods.handle(rpc_request("fail", json::object()));
    CHECK(json::accept(answer));
    CHECK(answer.find("error") != std::string::npos);
}

TEST_CASE("a refused heartbeat reports all errors together with their places")
{
    json body = valid_heartbeat();
    body.erase("service");
    body["capacity"]["cpu"] = "many";
    try
    {
        decode(body.dump());
        FAIL("the heartbeat was accepted");
    }
    catch (const document_error& error)
    {
        const std::string text = error.what();
        CHECK(text.find("/service") != std::string::npos);
        CHECK(text.find("/capacity/cpu") != std::string::npos);
    }
}

TEST_CASE("a heartbeat is decoded completely or refused")
{
    CHECK(rc::check(
        "members or bytes are removed, replaced or truncated",
        []
        {
            json body = valid_heartbeat();
            const auto changes = *rc::gen::inRange(0, 4);
            for (int change = 0; change < changes; ++change)
            {
                auto member = body.begin();
                std::advance(member,
                             *rc::gen::inRange<std::size_t>(0, body.size()));
                if (*rc::gen::arbitrary<bool>())
                {
                    body.erase(member);
                }
                else
                {
                    *member = *rc::gen::elementOf(strange_values());
                }
            }
            std::string text = body.dump();
            if (*rc::gen::inRange(0, 4) == 0)
            {
                text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
            }
            if (!text.empty() && *rc::gen::inRange(0, 4) == 0)
            {
                text[*rc::gen::inRange<std::size_t>(0, text.size())] =
                    *rc::gen::arbitrary<char>();
            }
            try
            {
                const auto beat = decode(text);
                RC_ASSERT(beat.has_value());
                RC_ASSERT(beat->worker.executor == "i-7");
                RC_ASSERT(!beat->worker.service.empty());
                RC_ASSERT(!beat->address.empty());
                RC_ASSERT(beat->worker.capacity.cpu_millis >= 0);
                RC_ASSERT(beat->worker.capacity.memory_mb >= 0);
                RC_ASSERT(beat->sequence >= 0);
            }
            catch (const document_error&)
            {
                // Refused with a reason.
            }
        }));
}

TEST_CASE("a malformed answer of a worker is a refusal or no snapshot")
{
    for (const char* body :
         {"", "no", "[]", "7", "null", R"({"reason": 7})", R"({"running": 3})",
          R"({"ended": [[]]})", R"({"clock_ms": 9223372036854775807})"})
    {
        CAPTURE(body);
        http_result answer;
        answer.how = delivery::answered;
        answer.response.status = 409;
        answer.response.body = make_body(body);
        CHECK(adapter::decode_result(answer) == order_result::no_room);
        answer.response.status = 200;
        CHECK_FALSE(adapter::decode_poll(answer).has_value());
    }
}
