#pragma once
/// @file
/// The platform's key-value store: its operations, and a client of the etcd v3
/// JSON gateway.

#include <springstair/detail/store/etcd_client.hpp>
#include <springstair/detail/store/operations.hpp>
