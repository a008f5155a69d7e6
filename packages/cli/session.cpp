#include "session.hpp"

#include <iostream>

namespace springstair::cli
{

namespace
{

constexpr duration call_timeout = std::chrono::seconds(12);
constexpr int server_error = 500;

std::string url_of(const std::string& entry, const std::string& path)
{
    std::string url = "http://";
    url += entry;
    url += path;
    return url;
}

} // namespace

session::session(const invocation& call) : call_(call) {}

const invocation& session::call() const
{
    return call_;
}

answer session::ask(const std::string& method, const std::string& path,
                    const std::optional<json>& body)
{
    answer last;
    for (const std::string& entry : call_.entries)
    {
        const http_result result = client_.send_and_wait(
            {.method = method,
             .url = url_of(entry, path),
             .headers = {{"springstair-operator", call_.credential},
                         {"springstair-credential", call_.credential},
                         {"content-type", "application/json"}},
             .body = body ? make_body(body->dump()) : shared_body{},
             .timeout = call_timeout,
             .dedicated_connection = true});
        if (result.how == delivery::answered)
        {
            return {.status = result.response.status,
                    .body = try_parse_json(*result.response.body)};
        }
        const bool reads = method == "GET";
        if (result.how == delivery::unknown && !reads)
        {
            last.may_have_run = true;
            return last;
        }
    }
    return last;
}

int exit_code_of(const answer& response)
{
    if (response.status == 0)
    {
        return response.may_have_run ? exit_unknown : exit_unavailable;
    }
    if (response.status < 300)
    {
        return exit_ok;
    }
    if (response.body.is_object() && response.body.contains("conflicts"))
    {
        return exit_conflict;
    }
    if (response.body.is_object() && response.body.contains("findings"))
    {
        return exit_invalid;
    }
    if (response.body.is_object() &&
        response.body.value("outcome", std::string()) == "unknown")
    {
        return exit_unknown;
    }
    return response.status >= server_error ? exit_unavailable : exit_failed;
}

int report_error(const answer& response)
{
    const int code = exit_code_of(response);
    if (response.status == 0)
    {
        std::cerr << (response.may_have_run
                          ? "no answer; the request may have taken effect\n"
                          : "no entry answers\n");
        return code;
    }
    if (!response.body.is_object())
    {
        std::cerr << "answered " << response.status << "\n";
        return code;
    }
    for (const json& one : response.body.value("conflicts", json::array()))
    {
        std::cerr << "conflict at " << one.at("row").get<std::string>() << " "
                  << one.at("column").get<std::string>() << ": you expected "
                  << one.at("expected") << ", it is now " << one.at("present")
                  << "\n";
    }
    for (const json& one : response.body.value("findings", json::array()))
    {
        std::cerr << one.at("place").get<std::string>() << ": "
                  << one.at("message").get<std::string>() << "\n";
    }
    if (code == exit_conflict || code == exit_invalid)
    {
        return code;
    }
    std::cerr << response.body.value("title", std::string("refused")) << " ("
              << response.body.value(
                     "reason", response.body.value("outcome", std::string("?")))
              << ") " << response.body.value("detail", std::string()) << "\n";
    return code;
}

} // namespace springstair::cli
