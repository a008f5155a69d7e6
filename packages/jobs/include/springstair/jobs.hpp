#pragma once

/// @file
/// @brief Jobs and their messages and stored records.

#include <springstair/detail/jobs/advice.hpp>
#include <springstair/detail/jobs/closed_data_centres.hpp>
#include <springstair/detail/jobs/entry_messages.hpp>
#include <springstair/detail/jobs/executor_incarnation.hpp>
#include <springstair/detail/jobs/job.hpp>
#include <springstair/detail/jobs/progress.hpp>
#include <springstair/detail/jobs/queue_table.hpp>
#include <springstair/detail/jobs/shared_text.hpp>
#include <springstair/detail/jobs/stored_ends.hpp>
#include <springstair/detail/jobs/waiting_counts.hpp>
#include <springstair/detail/jobs/worker_messages.hpp>
