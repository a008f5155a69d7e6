#pragma once

#include <springstair/detail/platform/worker_types.hpp>
#include <springstair/transport.hpp>

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief Called with the worker's list, or with nothing on failure.
using list_completion = std::function<void(std::optional<worker_list>)>;

/// @brief A type that runs tasks for a guard.
template <class Worker>
concept task_worker = requires(Worker& worker, const worker_action& action,
                               list_completion done)
{
    worker.list(std::move(done));
    worker.execute(action);
};

/// @brief Client for the JSON interface of a worker.
class worker_client
{
public:
    /// @param client makes the calls; must outlive this
    /// @param address of the worker, `ip:port`
    /// @param lease how long the worker runs a task without a renewal
    worker_client(http_client& client, std::string address, duration lease);

    /// @brief Requests the worker's list of attempts, running and ended.
    void list(list_completion done);
    /// @brief Sends a command. Its effect is visible in the next list.
    void execute(const worker_action& action);

private:
    void post(const std::string& path, const json& body);

    http_client& client_;
    std::string address_;
    duration lease_;
};

/// @brief Called with the VMs, or with nothing on failure.
using vm_completion =
    std::function<void(std::optional<std::vector<listed_vm>>)>;

/// @brief Fetches the platform's list of VMs.
/// @param address of the platform, `ip:port`
void fetch_vms(http_client& client, const std::string& address,
               vm_completion done);

/// @brief Parses the platform's list of VMs.
/// @throw nlohmann::json::exception if the document is malformed
std::vector<listed_vm> parse_vms(const json& document);

/// @brief Parses a worker's list.
/// @throw nlohmann::json::exception or document_error if the document is
/// malformed
worker_list parse_worker_list(const json& document);

} // namespace springstair
