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
                    .body = json::parse(*result.response.body, nullptr, false)};
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

int code_of(const answer& got)
{
    if (got.status == 0)
    {
        return got.may_have_run ? exit_unknown : exit_unavailable;
    }
    if (got.status < 300)
    {
        return exit_ok;
    }
    if (got.body.is_object() && got.body.contains("conflicts"))
    {
        return exit_conflict;
    }
    if (got.body.is_object() && got.body.contains("findings"))
    {
        return exit_invalid;
    }
    if (got.body.is_object() &&
        got.body.value("outcome", std::string()) == "unknown")
    {
        return exit_unknown;
    }
    return got.status >= server_error ? exit_unavailable : exit_failed;
}

int complain(const answer& got)
{
    const int code = code_of(got);
    if (got.status == 0)
    {
        std::cerr << (got.may_have_run
                          ? "no answer came; it may have taken effect\n"
                          : "no entry answers\n");
        return code;
    }
    if (!got.body.is_object())
    {
        std::cerr << "answered " << got.status << "\n";
        return code;
    }
    for (const json& one : got.body.value("conflicts", json::array()))
    {
        std::cerr << "conflict at " << one.at("row").get<std::string>() << " "
                  << one.at("column").get<std::string>() << ": you expected "
                  << one.at("expected") << ", it is now " << one.at("present")
                  << "\n";
    }
    for (const json& one : got.body.value("findings", json::array()))
    {
        std::cerr << one.at("place").get<std::string>() << ": "
                  << one.at("message").get<std::string>() << "\n";
    }
    if (code == exit_conflict || code == exit_invalid)
    {
        return code;
    }
    std::cerr << got.body.value("title", std::string("refused")) << " ("
              << got.body.value("reason",
                                got.body.value("outcome", std::string("?")))
              << ") " << got.body.value("detail", std::string()) << "\n";
    return code;
}

} // namespace springstair::cli
