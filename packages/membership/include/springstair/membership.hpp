#pragma once
/// @file
/// The messages between our processes, and who is known to be alive.

#include <springstair/detail/membership/directory.hpp>
#include <springstair/detail/membership/messages.hpp>
