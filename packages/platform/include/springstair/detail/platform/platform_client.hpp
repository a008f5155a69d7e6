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

/// @brief Called with a worker's list, or with nothing if it gave none.
using list_completion = std::function<void(std::optional<worker_list>)>;

/// @brief Anything that runs tasks for a guard.
template <class Worker>
concept task_worker = requires(Worker& worker, const worker_action& what,
                               list_completion done)
{
    worker.list(std::move(done));
    worker.carry_out(what);
};

/// @brief A worker behind its JSON interface.
class worker_client
{
public:
    /// @param client carries the calls; must outlive this
    /// @param address of the worker, `ip:port`
    /// @param lease for which the worker runs a task unless renewed
    worker_client(http_client& client, std::string address, duration lease);

    /// @brief Asks what runs.
    void list(list_completion done);
    /// @brief Sends a command. What became of it shows in the list.
    void carry_out(const worker_action& what);

private:
    void post(const std::string& path, const json& body);

    http_client& client_;
    std::string address_;
    duration lease_;
};

/// @brief Called with the VMs, or with nothing if there was no answer.
using vm_completion =
    std::function<void(std::optional<std::vector<listed_vm>>)>;

/// @brief Fetches the platform's list of VMs.
/// @param address of the platform, `ip:port`
void fetch_vms(http_client& client, const std::string& address,
               vm_completion done);

/// @brief Reads the platform's list of VMs.
/// @throw nlohmann's exceptions if it is not one
std::vector<listed_vm> parse_vms(const json& document);

/// @brief Reads a worker's list.
/// @throw nlohmann's exceptions or document_error if it is not one
worker_list parse_worker_list(const json& document);

} // namespace springstair
