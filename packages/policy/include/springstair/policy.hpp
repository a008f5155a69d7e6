#pragma once
/// @file
/// Every decision of the request path: who is admitted, what waits, where
/// a request goes, when it is tried again. No I/O, no clock, no thread.

#include <springstair/detail/policy/admission.hpp>
#include <springstair/detail/policy/fleet_limits.hpp>
#include <springstair/detail/policy/outlier_detector.hpp>
#include <springstair/detail/policy/retry_budget.hpp>
#include <springstair/detail/policy/router.hpp>
