#pragma once

#include <springstair/detail/core/names.hpp>
#include <springstair/detail/core/time.hpp>

#include <string>

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

} // namespace springstair
