#pragma once
/// @file
/// Messages between entries and guards, and the directories of live ones.

#include <springstair/detail/membership/directory.hpp>
#include <springstair/detail/membership/messages.hpp>
