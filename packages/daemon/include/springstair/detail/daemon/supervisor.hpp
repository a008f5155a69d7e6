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

/// @brief Restart limit: a part that fails more than `max_restarts` times
/// within `restart_window` is not restarted.
struct supervisor_options
{
    std::size_t max_restarts = 5;
    duration restart_window = std::chrono::seconds(10);
};

/// @brief Runs each part in its own thread and restarts a part that threw.
///
/// A part that exceeds the restart limit stops all parts. Supervisors can be
/// nested: the exception that run() throws is then a failure of the outer
/// supervisor's part.
class supervisor
{
public:
    /// @param options the restart limit of each part
    explicit supervisor(supervisor_options options = {});
    ~supervisor();
    supervisor(const supervisor&) = delete;
    supervisor& operator=(const supervisor&) = delete;

    /// @brief Adds a part. Must be called before run().
    /// @param name of the part in the log
    /// @param body returns when stopping() is true
    void add(std::string name, std::function<void()> body);

    /// @brief Runs all parts and waits until each has returned.
    /// @throw std::runtime_error if a part exceeded the restart limit
    void run();

    /// @brief Whether the parts must return. Safe from any thread.
    [[nodiscard]] bool stopping() const noexcept
    {
        return stopping_;
    }

    /// @brief Requests that all parts return. Safe from any thread.
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

    void run_part(part& item);
    bool may_restart(part& failing, const std::string& why);

    supervisor_options options_;
    std::vector<std::unique_ptr<part>> parts_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> restart_limit_exceeded_ = false;
};

} // namespace springstair
