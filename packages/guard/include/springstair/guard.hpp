#pragma once
/// @file
/// The guard's decision logic. Only the guard admits work to its executor and
/// worker.

#include <springstair/detail/guard/attempt_tracker.hpp>
#include <springstair/detail/guard/guard_core.hpp>
#include <springstair/detail/guard/leader_finder.hpp>
#include <springstair/detail/guard/pause_detector.hpp>
#include <springstair/detail/guard/run_reconciler.hpp>
