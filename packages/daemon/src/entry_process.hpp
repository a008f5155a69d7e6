#pragma once
// What the parts of an entry share, and the events they hand to control.

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

/// An attempt at a guard ended.
struct attempt_ended
{
    attempt_name attempt;
    http_result result;
};

/// Which state machine asked the store.
enum class store_user : std::uint8_t
{
    table,
    tasks,
    history
};

/// The store answered.
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
    std::string peer; ///< the name it was meant for, if known
    http_result result;
};

/// A guard replied to a start, or not.
struct start_ended
{
    start_task start;
    http_result result;
};

/// A guard replied to a stop, or not.
struct stop_ended
{
    stop_task stop;
    http_result result;
};

/// The platform's list of VMs came, or not.
struct vms_listed
{
    std::optional<std::vector<listed_vm>> vms;
};

/// A call handed to the entry that holds a task's shard ended.
struct forward_ended
{
    std::shared_ptr<http_responder> responder;
    http_result result;
};

/// Part of a list of tasks came from another entry, or not.
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
    std::atomic<bool> closing = false; ///< answers close their connections

    entry_process(const settings& all, const std::atomic<bool>& drain_flag)
        : own_settings(all), drain(drain_flag),
          store(client, {.endpoints = all.entry.store})
    {
    }
};

} // namespace springstair
