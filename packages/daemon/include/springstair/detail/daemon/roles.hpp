#pragma once

#include <springstair/detail/daemon/job_settings.hpp>
#include <springstair/detail/daemon/settings.hpp>
#include <springstair/detail/daemon/supervisor.hpp>

#include <atomic>

namespace springstair
{

/// @brief Runs an entry until a planned stop has ended.
/// @param own_settings the settings @param drain set when a planned stop begins
/// @throw transport_error if its address cannot be had
/// @throw std::runtime_error if a part failed too often
void run_entry(const settings& own_settings, const std::atomic<bool>& drain);

/// @copydoc run_entry
/// The same for a guard.
void run_guard(const settings& own_settings, const std::atomic<bool>& drain);

/// @copydoc run_entry
/// The same for an entry of the job system.
void run_job_entry(const job_settings& own_settings,
                   const std::atomic<bool>& drain);

/// @copydoc run_entry
/// The same for a guard of the job system.
void run_job_guard(const job_settings& own_settings,
                   const std::atomic<bool>& drain);

} // namespace springstair
