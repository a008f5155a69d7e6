#include <springstair/transport.hpp>

#include <map>
#include <optional>
#include <utility>

namespace springstair
{

namespace
{

constexpr const char* protocol_version = "2.0";
// HTTP pairs each response with its request, so the id can be constant.
constexpr int constant_id = 1;

// Error codes of JSON-RPC 2.0.
constexpr int parse_error = -32700;
constexpr int invalid_request = -32600;
constexpr int method_not_found = -32601;
constexpr int invalid_params = -32602;

std::string error_answer(int code, const std::string& why, const json& id)
{
    return to_text({{"jsonrpc", protocol_version},
                    {"id", id},
                    {"error", {{"code", code}, {"message", why}}}});
}

std::string result_answer(json result, const json& id)
{
    json answer{{"jsonrpc", protocol_version}, {"id", id}};
    answer["result"] = std::move(result);
    return to_text(answer);
}

bool is_request(const json& request)
{
    return request.is_object() &&
           request.value("jsonrpc", json()) == protocol_version &&
           request.value("method", json()).is_string() &&
           request.contains("id");
}

// The `message` parameter; null if the request has none.
json message_of(json& request)
{
    const auto params = request.find("params");
    if (params == request.end() || !params->is_object())
    {
        return {};
    }
    const auto message = params->find("message");
    return message == params->end() ? json() : std::move(*message);
}

} // namespace

struct rpc_dispatcher::state
{
    std::map<std::string, rpc_method> methods;
};

rpc_dispatcher::rpc_dispatcher() : state_(std::make_unique<state>()) {}

rpc_dispatcher::~rpc_dispatcher() = default;

void rpc_dispatcher::add(const std::string& name, rpc_method method)
{
    state_->methods[name] = std::move(method);
}

std::string rpc_dispatcher::handle(const std::string& text)
{
    json request = try_parse_json(text);
    if (request.is_discarded())
    {
        return error_answer(parse_error, "this is not JSON", nullptr);
    }
    if (!is_request(request))
    {
        return error_answer(invalid_request, "this is no JSON-RPC 2.0 request",
                            nullptr);
    }
    const json id = request["id"];
    const auto method =
        state_->methods.find(request["method"].get_ref<const std::string&>());
    if (method == state_->methods.end())
    {
        return error_answer(method_not_found, "there is no such method", id);
    }
    const json message = message_of(request);
    if (!message.is_object())
    {
        return error_answer(invalid_params, "the parameter message is missing",
                            id);
    }
    try
    {
        return result_answer(method->second(message), id);
    }
    catch (const std::exception& error)
    {
        return error_answer(invalid_params, error.what(), id);
    }
}

std::string rpc_request(const std::string& method, json message)
{
    json request{
        {"jsonrpc", protocol_version}, {"id", constant_id}, {"method", method}};
    request["params"]["message"] = std::move(message);
    return to_text(request);
}

json rpc_result(const std::string& text)
{
    json answer = try_parse_json(text);
    if (!answer.is_object())
    {
        throw rpc_error("the answer is not a JSON object");
    }
    if (const auto error = answer.find("error"); error != answer.end())
    {
        throw rpc_error(error->is_object() ? text_member(*error, "message")
                                           : error->dump());
    }
    const auto result = answer.find("result");
    if (result == answer.end())
    {
        throw rpc_error("the answer has no result");
    }
    return std::move(*result);
}

} // namespace springstair
