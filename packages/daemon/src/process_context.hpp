#pragma once
// What the parts of a process of the job system share.

#include "role_support.hpp"

#include <springstair/daemon.hpp>
#include <springstair/transport.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace springstair
{

/// Work handed to the control thread: the end of a call, or an arrival.
using control_work = std::function<void()>;

/// What the parts of a process share. The control thread owns all state;
/// traffic threads and calls only post work to it.
struct process_context
{
    const job_settings& settings;
    const std::atomic<bool>& drain;
    supervisor threads;
    mailbox<control_work> work;
    metrics process_metrics;
    http_client client;

    process_context(const job_settings& validated,
                    const std::atomic<bool>& flag)
        : settings(validated), drain(flag)
    {
    }

    /// Hands each request to the control thread.
    http_handler on_request(std::function<void(http_arrival)> then);

    /// Does the control thread's work until the parts are to stop, and calls
    /// @p tick after each batch, at least once in a @p step.
    template <class Tick>
    void run_control(duration step, Tick tick)
    {
        while (!threads.stopping())
        {
            for (const control_work& one : work.drain(step))
            {
                one();
            }
            tick(boot_clock::now());
        }
    }

    /// Wraps a completion so that it runs on the control thread.
    template <class... Arguments, class Done>
    std::function<void(Arguments...)> on_control(Done done)
    {
        return [this, done = std::move(done)](Arguments... arguments)
        {
            work.post([done, ... held = std::move(arguments)]() mutable
                      { done(std::move(held)...); });
        };
    }
};

/// The time of day, in milliseconds since 1970. It may jump.
std::int64_t unix_milliseconds();

/// A server and the name under which its connections are counted.
struct named_server
{
    std::string_view name;
    const http_server* server = nullptr; ///< outlives the metrics
};

/// Serves the metrics at the settings' endpoint; nothing for an empty one.
std::unique_ptr<http_server> serve_metrics(process_context& process,
                                           std::vector<named_server> servers);

/// A server's options at an endpoint, within what the process may use.
http_server_options server_options(const std::string& endpoint,
                                   const job_settings& settings);

/// Tells what the process may use and what its servers take of it.
void log_process_limits(const job_settings& settings);

/// Where this process listens for others.
std::string internal_address(const job_settings& settings);

/// Where others reach it.
std::string announced_address(const job_settings& settings);

/// How long to wait for the store: it answers within milliseconds, but there
/// are times when it is a hundred times slower, and times when answers are
/// lost and waiting is vain.
class adaptive_timeout
{
public:
    /// Ample beside the store's usual few milliseconds, short beside a
    /// caller's patience of seconds.
    static constexpr duration default_min = std::chrono::milliseconds(250);
    static constexpr duration default_max = std::chrono::milliseconds(1500);
    static constexpr int factor = 4; ///< of the newest answer's time

    /// @param most how long to wait in the end, if nothing is answered
    /// @param begin how long to wait at first, and at least
    explicit adaptive_timeout(duration max = default_max,
                              duration min = default_min)
        : max_(max), min_(min), value_(min)
    {
    }

    [[nodiscard]] duration value() const noexcept
    {
        return value_;
    }
    void answered(duration took) noexcept
    {
        value_ = std::clamp<duration>(took * factor, min_, max_);
    }
    void unanswered() noexcept
    {
        value_ = std::min<duration>(value_ * 2, max_);
    }

private:
    duration max_;
    duration min_;
    duration value_;
};

} // namespace springstair
