#pragma once
/// @file
/// Settings, supervisor and roles of the daemon.

#include <springstair/detail/daemon/job_settings.hpp>
#include <springstair/detail/daemon/roles.hpp>
#include <springstair/detail/daemon/settings.hpp>
#include <springstair/detail/daemon/supervisor.hpp>
