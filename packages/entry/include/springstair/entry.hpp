#pragma once
/// @file
/// The entry's decisions: requests, the table, and shards of tasks.

#include <springstair/detail/entry/request_core.hpp>
#include <springstair/detail/entry/table_synchronizer.hpp>
#include <springstair/detail/entry/task_core.hpp>
