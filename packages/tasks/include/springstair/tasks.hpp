#pragma once
/// @file
/// Tasks, the transitions of their states, and the books of shards.

#include <springstair/detail/tasks/task_book.hpp>
#include <springstair/detail/tasks/task_messages.hpp>
