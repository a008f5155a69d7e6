#pragma once
/// @file
/// Decisions of the request path: admission, queueing, routing and retries.
/// This package does no I/O, reads no clock and starts no threads.

#include <springstair/detail/policy/admission.hpp>
#include <springstair/detail/policy/fleet_limits.hpp>
#include <springstair/detail/policy/outage_backoff.hpp>
#include <springstair/detail/policy/outlier_detector.hpp>
#include <springstair/detail/policy/retry_budget.hpp>
#include <springstair/detail/policy/router.hpp>
