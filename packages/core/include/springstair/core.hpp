#pragma once
/// @file
/// Types shared by all packages: names, time, errors, events and metrics.

#include <springstair/detail/core/errors.hpp>
#include <springstair/detail/core/events.hpp>
#include <springstair/detail/core/heap_optional.hpp>
#include <springstair/detail/core/json_text.hpp>
#include <springstair/detail/core/log_rate_limiter.hpp>
#include <springstair/detail/core/mailbox.hpp>
#include <springstair/detail/core/memory_budget.hpp>
#include <springstair/detail/core/metrics.hpp>
#include <springstair/detail/core/names.hpp>
#include <springstair/detail/core/object_reader.hpp>
#include <springstair/detail/core/problem_report.hpp>
#include <springstair/detail/core/secrets.hpp>
#include <springstair/detail/core/time.hpp>
