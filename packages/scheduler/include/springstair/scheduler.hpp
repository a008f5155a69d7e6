#pragma once

/// @file
/// @brief The decisions about jobs: what runs where, and what became of it.
///
/// Nothing here does I/O or reads a clock; every call is given the time.

#include <springstair/detail/scheduler/crash_suspicion.hpp>
#include <springstair/detail/scheduler/data_centre_book.hpp>
#include <springstair/detail/scheduler/entry_list.hpp>
#include <springstair/detail/scheduler/failure_test.hpp>
#include <springstair/detail/scheduler/interference_model.hpp>
#include <springstair/detail/scheduler/job_order.hpp>
#include <springstair/detail/scheduler/job_record.hpp>
#include <springstair/detail/scheduler/placement.hpp>
#include <springstair/detail/scheduler/run_over.hpp>
#include <springstair/detail/scheduler/scheduler_core.hpp>
#include <springstair/detail/scheduler/service_account.hpp>
#include <springstair/detail/scheduler/sibling_headroom.hpp>
#include <springstair/detail/scheduler/ticket_book.hpp>
#include <springstair/detail/scheduler/vain_queries.hpp>
#include <springstair/detail/scheduler/wait_report.hpp>
#include <springstair/detail/scheduler/worker_ledger.hpp>
