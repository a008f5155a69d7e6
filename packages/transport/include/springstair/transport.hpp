#pragma once
/// @file
/// Asynchronous HTTP server and client, and JSON-RPC.

#include <springstair/detail/transport/connection_pool.hpp>
#include <springstair/detail/transport/http_client.hpp>
#include <springstair/detail/transport/http_message.hpp>
#include <springstair/detail/transport/http_server.hpp>
#include <springstair/detail/transport/problem.hpp>
#include <springstair/detail/transport/rpc.hpp>
