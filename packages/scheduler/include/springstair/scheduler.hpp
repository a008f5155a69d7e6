#pragma once

/// @file
/// @brief Scheduling of jobs: placement, leases, lost runs and ends.
///
/// Nothing here does I/O or reads a clock; the caller passes the time.

#include <springstair/detail/scheduler/availability_counts.hpp>
#include <springstair/detail/scheduler/closure_tracker.hpp>
#include <springstair/detail/scheduler/crash_suspicion.hpp>
#include <springstair/detail/scheduler/disruption_budget.hpp>
#include <springstair/detail/scheduler/end_proof.hpp>
#include <springstair/detail/scheduler/entry_list.hpp>
#include <springstair/detail/scheduler/fault_detector.hpp>
#include <springstair/detail/scheduler/held_ends.hpp>
#include <springstair/detail/scheduler/infeasible_queries.hpp>
#include <springstair/detail/scheduler/interference_model.hpp>
#include <springstair/detail/scheduler/job_forecast.hpp>
#include <springstair/detail/scheduler/job_memory.hpp>
#include <springstair/detail/scheduler/job_order.hpp>
#include <springstair/detail/scheduler/job_record.hpp>
#include <springstair/detail/scheduler/placement.hpp>
#include <springstair/detail/scheduler/run_time_model.hpp>
#include <springstair/detail/scheduler/scheduler_core.hpp>
#include <springstair/detail/scheduler/scheduler_options.hpp>
#include <springstair/detail/scheduler/sibling_headroom.hpp>
#include <springstair/detail/scheduler/start_queue.hpp>
#include <springstair/detail/scheduler/ticket_cache.hpp>
#include <springstair/detail/scheduler/urgent_room.hpp>
#include <springstair/detail/scheduler/wait_report.hpp>
#include <springstair/detail/scheduler/worker_ledger.hpp>
