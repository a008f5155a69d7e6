#pragma once

#include <springstair/detail/transport/http_message.hpp>

#include <optional>

namespace springstair
{

/// @brief The HTTP status for a problem.
int status_of(const problem_report& problem) noexcept;

/// @brief The response that describes a problem (RFC 9457), with `Retry-After`
/// in whole seconds (rounded up) and `retry_after_ms` in the body.
http_response to_response(const problem_report& problem);

/// @brief Decodes a problem from the response of a springstair process.
/// @return nothing if the response is not a problem
std::optional<problem_report> problem_of(const http_response& response);

} // namespace springstair
