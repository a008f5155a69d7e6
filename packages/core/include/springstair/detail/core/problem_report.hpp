#pragma once

#include <springstair/detail/core/names.hpp>
#include <springstair/detail/core/time.hpp>

#include <string>
#include <utility>

namespace springstair
{

/// @brief The answer to a request that was refused or abandoned.
struct problem_report
{
    outcome result = outcome::not_run;
    refusal reason = refusal::bad_request;
    duration retry_after{0}; ///< 0: retrying does not help
    std::string detail;

    bool operator==(const problem_report&) const = default;
};

/// @brief Reports the refusal of a request that did not run.
/// @param reason why it was refused
/// @param retry_after delay before a retry; 0: retrying does not help
/// @param detail explanation for the caller
inline problem_report not_run(refusal reason, duration retry_after,
                              std::string detail = {})
{
    return {.result = outcome::not_run,
            .reason = reason,
            .retry_after = retry_after,
            .detail = std::move(detail)};
}

} // namespace springstair
