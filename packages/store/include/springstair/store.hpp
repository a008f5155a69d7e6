#pragma once
/// @file
/// The platform's key-value service: operations, and a client that speaks
/// the JSON gateway that etcd v3 publishes.

#include <springstair/detail/store/etcd_client.hpp>
#include <springstair/detail/store/operations.hpp>
