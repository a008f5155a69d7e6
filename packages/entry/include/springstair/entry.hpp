#pragma once
/// @file
/// State machines of the entry: requests, the table and task shards.

#include <springstair/detail/entry/request_core.hpp>
#include <springstair/detail/entry/table_synchronizer.hpp>
#include <springstair/detail/entry/task_core.hpp>
