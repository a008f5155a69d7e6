#include "role_support.hpp"

#include <set>

namespace springstair
{

namespace
{

constexpr int ok = 200;
constexpr int not_found = 404;

const std::set<std::string, std::less<>>& connection_headers()
{
    static const std::set<std::string, std::less<>> names{
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "content-length",
        "host",
        "date",
        "expect",
        "server",
        "proxy-authorization"};
    return names;
}

} // namespace

bool has_fleet_key(const http_request& request, const std::string& key)
{
    return equal_in_constant_time(request.header(wire::fleet_key), key);
}

http_call make_rpc_call(const std::string& address, const std::string& key,
                        const std::string& method, const json& message)
{
    return {.method = "POST",
            .url = "http://" + address + wire::rpc_path,
            .headers = {{wire::fleet_key, key},
                        {"content-type", "application/json"}},
            .body = make_body(rpc_request(method, message)),
            .timeout = control_timeout};
}

std::optional<json> rpc_result_of(const http_result& result)
{
    if (result.how != delivery::answered || result.response.status != ok)
    {
        return std::nullopt;
    }
    try
    {
        return rpc_result(*result.response.body);
    }
    catch (const std::exception&)
    {
        return std::nullopt;
    }
}

std::optional<table> table_of_peer(const json& document)
{
    try
    {
        return table::parse(document);
    }
    catch (const document_error& error)
    {
        log_event(event_id::table_refused, {{"why", error.what()}});
        return std::nullopt;
    }
}

header_map end_to_end_headers(const header_map& all)
{
    header_map result;
    for (const auto& [name, value] : all)
    {
        if (!connection_headers().contains(name) &&
            !name.starts_with(wire::own_prefix))
        {
            result.emplace(name, value);
        }
    }
    return result;
}

void answer_rpc(http_arrival& arrival, rpc_dispatcher& methods)
{
    arrival.responder->respond(
        {.status = ok,
         .headers = {{"content-type", "application/json"}},
         .body = make_body(methods.handle(*arrival.request.body))});
}

void answer_metrics(http_responder& responder, const metrics& numbers)
{
    responder.respond({.status = ok,
                       .headers = {{"content-type", "text/plain"}},
                       .body = make_body(numbers.text())});
}

void answer_not_found(http_responder& responder)
{
    responder.respond(
        json_response(not_found, {{"type", "about:blank"},
                                  {"title", "Not found"},
                                  {"status", not_found},
                                  {"outcome", to_string(outcome::not_run)}}));
}

} // namespace springstair
