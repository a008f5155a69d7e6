// Documents from outside that are nested very deeply. Copying or printing such
// a value exhausts the stack, which ends the process.

#include "platform.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <springstair/transport.hpp>

using namespace springstair; // NOLINT: a test
namespace adapter = springstair::platform;

namespace
{

constexpr std::size_t stack_depth = 300'000;

std::string nested(std::size_t depth, const std::string& open = "[",
                   const std::string& close = "]")
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
    {
        text += open;
    }
    for (std::size_t level = 0; level < depth; ++level)
    {
        text += close;
    }
    return text;
}

std::string nested_objects(std::size_t depth)
{
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
    {
        text += R"({"a":)";
    }
    return text + "1" + std::string(depth, '}');
}

http_result answer_of(const std::string& body)
{
    return {.how = delivery::answered,
            .response = {.status = 200, .body = make_body(body)}};
}

http_request heartbeat_of(const std::string& body)
{
    return {.method = "POST",
            .path = "/springstair/executors/i-7/heartbeat",
            .body = make_body(body)};
}

} // namespace

TEST_CASE("a document may be nested up to a bound")
{
    const auto bound = static_cast<std::size_t>(max_nesting);
    CHECK(parse_json(nested(bound)).is_array());
    CHECK_THROWS_WITH_AS(parse_json(nested(bound + 1)),
                         doctest::Contains("at byte 101"), document_error);
    CHECK(try_parse_json(nested(bound + 1)).is_discarded());
    CHECK(try_parse_json(nested_objects(bound + 1)).is_discarded());
    CHECK(parse_json("[" + nested(bound - 1) + "," + nested(bound - 1) + "]")
              .size() == 2);
}

TEST_CASE("brackets in strings are not nested")
{
    const std::string text = R"(["\"[[", ")" + std::string(200, '[') + R"("])";
    CHECK(parse_json(text).size() == 2);
}

TEST_CASE("parsing with a bound agrees with the library")
{
    CHECK(rc::check("random text",
                    []
                    {
                        const auto text =
                            *rc::gen::container<std::string>(rc::gen::element(
                                '[', ']', '{', '}', '"', '\\', ',', ':', '1'));
                        const json expected = json::parse(text, nullptr, false);
                        RC_ASSERT(try_parse_json(text).is_discarded() ==
                                  expected.is_discarded());
                    }));
}

// Guards against guards that ended at each answer of an executor whose lists
// were nested deeply: the lists were copied.
TEST_CASE("a deeply nested answer of an executor is no snapshot")
{
    for (const std::string& deep :
         {nested(stack_depth), nested_objects(stack_depth)})
    {
        for (const char* member : {"running", "ended", "other", "born"})
        {
            CAPTURE(member);
            const std::string body =
                R"({"clock_ms":1,")" + std::string(member) + "\":" + deep + "}";
            CHECK_FALSE(adapter::decode_poll(answer_of(body)));
        }
        CHECK_FALSE(adapter::decode_poll(
            answer_of(R"({"clock_ms":1,"running":[)" + deep + "]}")));
    }
}

// Guards against entries that ended again and again while a deeply nested
// configuration stood in the store.
TEST_CASE("a deeply nested configuration is refused")
{
    for (const char* member : {"routes", "services", "limits", "other"})
    {
        CAPTURE(member);
        const std::string text = R"({"version":1,")" + std::string(member) +
                                 "\":" + nested(stack_depth) + "}";
        CHECK_THROWS_AS(adapter::decode_configuration(text), document_error);
    }
}

// Guards against entries that ended at a request whose id was nested deeply: it
// was printed in the answer.
TEST_CASE("a deeply nested request is answered with an error")
{
    rpc_dispatcher dispatcher;
    for (const char* member : {"id", "jsonrpc", "method", "params"})
    {
        CAPTURE(member);
        const std::string text = R"({"jsonrpc":"2.0","method":"m",")" +
                                 std::string(member) +
                                 "\":" + nested(stack_depth) + "}";
        const json answer = parse_json(dispatcher.handle(text));
        CHECK(answer.contains("error"));
    }
    CHECK_THROWS_AS(rpc_result(R"({"error":)" + nested(stack_depth) + "}"),
                    rpc_error);
}

TEST_CASE("a deeply nested heartbeat or submission is refused with its place")
{
    CHECK_THROWS_WITH_AS(adapter::decode_heartbeat(heartbeat_of(
                             R"({"service":)" + nested(stack_depth) + "}")),
                         doctest::Contains("at byte"), document_error);
    CHECK_THROWS_AS(
        adapter::decode_heartbeat(heartbeat_of(nested(stack_depth))),
        document_error);
}
