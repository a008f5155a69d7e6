#include "rpc_client_codec.hpp"

#include <jsonrpccpp/client.h>

namespace springstair
{

namespace
{

// A connector without a connection: it records the request that the library
// sends and returns a prepared answer, so that only the library's encoding and
// decoding are used.
class recorded_connector : public jsonrpc::IClientConnector
{
public:
    std::string sent;
    std::string answer;

    void SendRPCMessage( // NOLINT: the library's name
        const std::string& message,
        std::string& result) throw(jsonrpc::JsonRpcException) override
    {
        sent = message;
        result = answer;
    }
};

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

} // namespace

std::string encode_rpc_request(const std::string& method,
                               const std::string& message)
{
    Json::Value parameters;
    Json::Reader().parse(message, parameters["message"]);
    recorded_connector connector;
    jsonrpc::Client client(connector);
    client.CallNotification(method, parameters);
    Json::Value request;
    Json::Reader().parse(connector.sent, request);
    request["id"] = 1;
    return to_text(request);
}

decoded_answer decode_rpc_answer(const std::string& answer)
{
    recorded_connector connector;
    connector.answer = answer;
    jsonrpc::Client client(connector);
    try
    {
        const Json::Value result =
            client.CallMethod("decode", Json::Value(Json::objectValue));
        return {true, to_text(result)};
    }
    catch (const jsonrpc::JsonRpcException& error)
    {
        return {false, error.what()};
    }
    catch (const std::exception& error)
    {
        return {false, error.what()};
    }
}

} // namespace springstair
