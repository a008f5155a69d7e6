#pragma once
/// @file
/// The daemon: its settings, its supervisor, and the two roles.

#include <springstair/detail/daemon/job_settings.hpp>
#include <springstair/detail/daemon/roles.hpp>
#include <springstair/detail/daemon/settings.hpp>
#include <springstair/detail/daemon/supervisor.hpp>
