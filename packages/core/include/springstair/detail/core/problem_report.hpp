#pragma once

#include <springstair/detail/core/names.hpp>
#include <springstair/detail/core/time.hpp>

#include <string>
#include <utility>

namespace springstair
{

/// @brief What a refused or given-up request is told.
struct problem_report
{
    outcome result = outcome::not_run;
    refusal reason = refusal::bad_request;
    duration retry_after{0}; ///< zero: asking again will not help
    std::string detail;

    bool operator==(const problem_report&) const = default;
};

/// @brief A refusal of what did not run.
/// @param reason why @param retry_after when to come back; zero: never
/// @param detail for the caller to read
inline problem_report not_run(refusal reason, duration retry_after,
                              std::string detail = {})
{
    return {.result = outcome::not_run,
            .reason = reason,
            .retry_after = retry_after,
            .detail = std::move(detail)};
}

} // namespace springstair
