#pragma once
// State shared by the parts of an entry, and the events posted to its control
// part.

#include "role_support.hpp"

#include <springstair/entry.hpp>
#include <springstair/platform.hpp>

#include <atomic>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace springstair
{

/// A call with an attempt to a guard ended.
struct attempt_ended
{
    attempt_name attempt;
    http_result result;
};

/// The originator of a store call.
enum class store_user : std::uint8_t
{
    table,
    tasks,
    history
};

/// A call to the store ended.
struct store_answered
{
    store_user user = store_user::table;
    store_token token = 0;
    kv_answer answer;
};

/// An exchange with another entry ended.
struct exchange_ended
{
    std::string address;
    std::string peer; ///< name at the time of the call; empty if unknown
    http_result result;
};

/// A call to start a task on a guard ended.
struct start_ended
{
    start_task start;
    http_result result;
};

/// A call to stop a task on a guard ended.
struct stop_ended
{
    stop_task stop;
    http_result result;
};

/// The query for the platform's list of VMs ended; no list if it failed.
struct vms_listed
{
    std::optional<std::vector<listed_vm>> vms;
};

/// A call forwarded to the owner of a task's shard ended.
struct forward_ended
{
    std::shared_ptr<http_responder> responder;
    http_result result;
};

/// A query for another entry's part of a task list ended.
struct list_part_ended
{
    std::uint64_t list = 0;
    http_result result;
};

using entry_event = std::variant<http_arrival, attempt_ended, store_answered,
                                 exchange_ended, start_ended, stop_ended,
                                 vms_listed, forward_ended, list_part_ended>;

struct entry_process
{
    const settings& own_settings;
    const std::atomic<bool>& drain;
    supervisor parts;
    mailbox<entry_event> events;
    metrics numbers;
    http_client client;
    etcd_client store;
    std::atomic<bool> closing = false; ///< each response closes its connection

    entry_process(const settings& all, const std::atomic<bool>& drain_flag)
        : own_settings(all), drain(drain_flag),
          store(client, {.endpoints = all.entry.store})
    {
    }
};

} // namespace springstair
