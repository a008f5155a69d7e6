#pragma once
/// @file
/// Tasks, their state transitions, and the tasks of a shard.

#include <springstair/detail/tasks/shard_tasks.hpp>
#include <springstair/detail/tasks/task_messages.hpp>
