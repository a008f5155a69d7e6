#include <springstair/transport.hpp>

namespace springstair
{

namespace
{

constexpr std::string_view problem_type = "application/problem+json";
constexpr int millis_per_second = 1000;

std::string title_of(const problem_report& problem)
{
    switch (problem.result)
    {
    case outcome::not_run:
        return "The request was not run";
    case outcome::unknown:
        return "The request may have run";
    case outcome::failed:
        break;
    }
    return "The request failed";
}

duration retry_after_in(const json& body)
{
    const json millis = body.value("retry_after_ms", json());
    return std::chrono::milliseconds(
        millis.is_number_integer() ? millis.get<std::int64_t>() : 0);
}

} // namespace

int status_of(const problem_report& problem) noexcept
{
    switch (problem.reason)
    {
    case refusal::unauthenticated:
        return 401;
    case refusal::bad_request:
        return 400;
    case refusal::unknown_class:
        return 404;
    case refusal::never_fits:
        return 422;
    case refusal::over_limit:
        return 429;
    case refusal::deadline:
        return 504;
    case refusal::connection_lost:
        return 502;
    case refusal::duplicate:
        return 409;
    default:
        return 503;
    }
}

http_response to_response(const problem_report& problem)
{
    const std::int64_t millis = to_milliseconds(problem.retry_after);
    json body{{"type", "about:blank"},
              {"title", title_of(problem)},
              {"status", status_of(problem)},
              {"outcome", to_string(problem.result)},
              {"reason", to_string(problem.reason)}};
    if (!problem.detail.empty())
    {
        body["detail"] = problem.detail;
    }
    http_response response{
        .status = status_of(problem),
        .headers = {{"content-type", std::string(problem_type)}},
        .body = {}};
    if (millis > 0)
    {
        body["retry_after_ms"] = millis;
        const auto seconds =
            (millis + millis_per_second - 1) / millis_per_second;
        response.headers["retry-after"] = std::to_string(seconds);
    }
    response.body = make_body(to_text(body));
    return response;
}

std::optional<problem_report> problem_of(const http_response& response)
{
    const auto type = response.headers.find("content-type");
    if (type == response.headers.end() || type->second != problem_type ||
        !response.body)
    {
        return std::nullopt;
    }
    const json body = try_parse_json(*response.body);
    if (!body.is_object())
    {
        return std::nullopt;
    }
    const auto result = from_string<outcome>(text_member(body, "outcome"));
    const auto reason = from_string<refusal>(text_member(body, "reason"));
    if (!result || !reason)
    {
        return std::nullopt;
    }
    return problem_report{.result = *result,
                          .reason = *reason,
                          .retry_after = retry_after_in(body),
                          .detail = text_member(body, "detail")};
}

} // namespace springstair
