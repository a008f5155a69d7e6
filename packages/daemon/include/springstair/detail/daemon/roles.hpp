#pragma once

#include <springstair/detail/daemon/job_settings.hpp>
#include <springstair/detail/daemon/settings.hpp>
#include <springstair/detail/daemon/supervisor.hpp>

#include <atomic>

namespace springstair
{

/// @brief Runs an entry until a planned stop is complete.
/// @param own_settings the settings of this process
/// @param drain set when the planned stop begins
/// @throw std::runtime_error if a part exceeded its restart limit, for example
/// because the address cannot be bound
void run_entry(const settings& own_settings, const std::atomic<bool>& drain);

/// @copydoc run_entry
/// Runs a guard instead.
void run_guard(const settings& own_settings, const std::atomic<bool>& drain);

/// @copydoc run_entry
/// Runs an entry of the job system instead.
void run_job_entry(const job_settings& own_settings,
                   const std::atomic<bool>& drain);

/// @copydoc run_entry
/// Runs a guard of the job system instead.
void run_job_guard(const job_settings& own_settings,
                   const std::atomic<bool>& drain);

} // namespace springstair
