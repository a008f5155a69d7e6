#pragma once
/// @file
/// The operators' table: its rows, its validation and edits of single cells.

#include <springstair/detail/table/edit.hpp>
#include <springstair/detail/table/table.hpp>
