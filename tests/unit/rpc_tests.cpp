// JSON-RPC between processes, checked against libjsonrpccpp.

#include "rpc_client_codec.hpp"

#include <doctest/doctest.h>

#include <springstair/transport.hpp>

#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace springstair; // NOLINT: a test

namespace
{

// A libjsonrpccpp server with one method.
struct reference_server : jsonrpc::IProcedureInvokationHandler
{
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol{
        jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)};

    reference_server()
    {
        protocol->AddProcedure(jsonrpc::Procedure(
            "twice", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, "message",
            jsonrpc::JSON_OBJECT, nullptr));
    }

    void HandleMethodCall( // NOLINT: the library's name
        jsonrpc::Procedure& /*procedure*/, const Json::Value& input,
        Json::Value& output) override
    {
        output["n"] = 2 * input["message"]["n"].asInt();
    }

    void HandleNotificationCall( // NOLINT: the library's name
        jsonrpc::Procedure& /*procedure*/,
        const Json::Value& /*input*/) override
    {
    }
};

} // namespace

TEST_CASE("JSON-RPC: results, errors and malformed input")
{
    rpc_dispatcher dispatcher;
    dispatcher.add("twice",
                   [](const json& in) -> json {
                       return {{"n", 2 * in.at("n").get<int>()}};
                   });
    const auto call = [&](const std::string& method, const json& message)
    {
        return rpc_result(dispatcher.handle(rpc_request(method, message)));
    };
    CHECK(call("twice", {{"n", 21}}) == json{{"n", 42}});
    CHECK_THROWS_AS(call("twice", {{"m", 1}}), rpc_error);
    CHECK_THROWS_AS(call("thrice", {{"n", 1}}), rpc_error);
    CHECK_THROWS_AS(rpc_result("rubbish"), rpc_error);
    CHECK_THROWS_AS(rpc_result(dispatcher.handle("rubbish")), rpc_error);
}

TEST_CASE("JSON-RPC: interoperates with libjsonrpccpp in both directions")
{
    SUBCASE("our requests, its answers")
    {
        reference_server server;
        std::string answer;
        server.protocol->HandleRequest(rpc_request("twice", {{"n", 21}}),
                                       answer);
        CHECK(rpc_result(answer) == json{{"n", 42}});
        server.protocol->HandleRequest(rpc_request("thrice", {{"n", 1}}),
                                       answer);
        CHECK_THROWS_AS(rpc_result(answer), rpc_error);
    }
    SUBCASE("its requests, our answers")
    {
        rpc_dispatcher dispatcher;
        dispatcher.add("twice",
                       [](const json& in) -> json {
                           return {{"n", 2 * in.at("n").get<int>()}};
                       });
        const auto call = [&](const char* method, const char* message)
        {
            return decode_rpc_answer(
                dispatcher.handle(encode_rpc_request(method, message)));
        };
        const decoded_answer good = call("twice", R"({"n":21})");
        CHECK(good.good);
        CHECK(json::parse(good.text) == json{{"n", 42}});
        CHECK_FALSE(call("thrice", R"({"n":1})").good);
        CHECK_FALSE(call("twice", R"({"m":1})").good);
    }
}

TEST_CASE("JSON-RPC: malformed requests get the standard error codes")
{
    rpc_dispatcher dispatcher;
    dispatcher.add("echo", [](const json& in) { return in; });
    const std::vector<std::pair<std::string, int>> cases{
        {"rubbish", -32700},
        {"[]", -32600},
        {R"({"id":1,"method":"echo"})", -32600},
        {R"({"jsonrpc":"2.0","id":1,"method":7})", -32600},
        {R"({"jsonrpc":"2.0","id":1,"method":"other"})", -32601},
        {R"({"jsonrpc":"2.0","id":1,"method":"echo"})", -32602},
        {R"({"jsonrpc":"2.0","id":1,"method":"echo","params":[1]})", -32602},
    };
    for (const auto& [request, code] : cases)
    {
        const std::string& text = request;
        const json answer = json::parse(dispatcher.handle(text));
        INFO(text);
        CHECK(answer.at("error").at("code") == code);
        CHECK_THROWS_AS(rpc_result(answer.dump()), rpc_error);
    }
    CHECK_THROWS_AS(rpc_result(R"({"jsonrpc":"2.0","id":1})"), rpc_error);
}
