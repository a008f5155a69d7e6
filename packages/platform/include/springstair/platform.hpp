#pragma once
/// @file
/// The platform: workers that run tasks under leases, and its list of VMs.

#include <springstair/detail/platform/platform_client.hpp>
#include <springstair/detail/platform/worker_types.hpp>
