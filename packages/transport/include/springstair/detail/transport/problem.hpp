#pragma once

#include <springstair/detail/transport/http_message.hpp>

#include <optional>

namespace springstair
{

/// @brief The HTTP status that goes with a problem.
int status_of(const problem_report& what) noexcept;

/// @brief The answer that tells a problem (RFC 9457), with `Retry-After` in
/// whole seconds (rounded up) and `retry_after_ms` in the body.
http_response to_response(const problem_report& what);

/// @brief Reads a problem from an answer of one of our processes.
/// @return nothing if the answer is not a problem
std::optional<problem_report> problem_of(const http_response& response);

} // namespace springstair
