#include "rpc_client_codec.hpp"

#include <springstair/transport.hpp>

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

namespace springstair
{

namespace
{

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

Json::Value from_text(const std::string& text)
{
    Json::Value value;
    Json::Reader().parse(text, value);
    return value;
}

} // namespace

struct rpc_dispatcher::state : jsonrpc::IProcedureInvokationHandler
{
    std::map<std::string, rpc_method> methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol{
        jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)};

    void HandleMethodCall( // NOLINT: the library's name
        jsonrpc::Procedure& procedure, const Json::Value& input,
        Json::Value& output) override
    {
        try
        {
            const json message = json::parse(to_text(input["message"]));
            const rpc_method& method = methods.at(procedure.GetProcedureName());
            output = from_text(method(message).dump());
        }
        catch (const std::exception& error)
        {
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, error.what());
        }
    }

    void HandleNotificationCall( // NOLINT: the library's name
        jsonrpc::Procedure& /*procedure*/,
        const Json::Value& /*input*/) override
    {
    }
};

rpc_dispatcher::rpc_dispatcher() : state_(std::make_unique<state>()) {}

rpc_dispatcher::~rpc_dispatcher() = default;

void rpc_dispatcher::add(const std::string& name, rpc_method method)
{
    state_->methods[name] = std::move(method);
    state_->protocol->AddProcedure(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
                           "message", jsonrpc::JSON_OBJECT, nullptr));
}

std::string rpc_dispatcher::handle(const std::string& request)
{
    std::string answer;
    state_->protocol->HandleRequest(request, answer);
    return answer;
}

std::string rpc_request(const std::string& method, const json& message)
{
    return encode_rpc_request(method, message.dump());
}

json rpc_result(const std::string& answer)
{
    const decoded_answer decoded = decode_rpc_answer(answer);
    if (!decoded.good)
    {
        throw rpc_error(decoded.text);
    }
    return json::parse(decoded.text);
}

} // namespace springstair
