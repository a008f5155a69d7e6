#pragma once

#include <springstair/core.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace springstair
{

/// @brief How often a part may fail.
struct supervisor_options
{
    std::size_t max_restarts = 5;
    duration within = std::chrono::seconds(10);
};

/// @brief Owns threads and starts a part again that ended by an exception.
///
/// A part that fails too often stops all parts. A supervisor may be a part
/// of another one: its run() then throws, which counts as its failure.
class supervisor
{
public:
    /// @param options bounds
    explicit supervisor(supervisor_options options = {});
    ~supervisor();
    supervisor(const supervisor&) = delete;
    supervisor& operator=(const supervisor&) = delete;

    /// @brief Adds a part before run().
    /// @param name for the log @param body runs until stopping() is true
    void add(std::string name, std::function<void()> body);

    /// @brief Runs all parts until each has returned.
    /// @throw std::runtime_error if a part failed too often
    void run();

    /// @brief Whether the parts are to return. Safe from any thread.
    [[nodiscard]] bool stopping() const noexcept
    {
        return stopping_;
    }

    /// @brief Has the parts return. Safe from any thread.
    void stop() noexcept
    {
        stopping_ = true;
    }

private:
    struct part
    {
        std::string name;
        std::function<void()> body;
        std::deque<time_point> failures;
        std::thread thread;
    };

    void run_part(part& one);
    bool may_restart(part& one, const std::string& why);

    supervisor_options options_;
    std::vector<std::unique_ptr<part>> parts_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> given_up_ = false;
};

} // namespace springstair
