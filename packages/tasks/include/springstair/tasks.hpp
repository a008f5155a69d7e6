#pragma once
/// @file
/// Tasks, the transitions of their states, and the books of shards.

#include <springstair/detail/tasks/shard_tasks.hpp>
#include <springstair/detail/tasks/task_messages.hpp>
