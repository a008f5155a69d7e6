#pragma once
// State shared by the components of a process of the job system.

#include "role_support.hpp"
#include "server_limits.hpp"

#include <springstair/daemon.hpp>
#include <springstair/transport.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

namespace springstair
{

/// Work for the control thread: the completion of a call, or a request.
using control_work = std::function<void()>;

/// State shared by the components of a process. The control thread owns all of
/// it; server threads and completions only post work to it.
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

    /// Returns a handler that runs @p then on the control thread.
    http_handler on_request(std::function<void(http_arrival)> then);

    /// Runs the control thread's work until the threads are stopped. Calls
    /// @p tick after each batch, which is awaited for at most @p step.
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

/// Wall clock time in milliseconds since 1970. It may jump.
std::int64_t unix_milliseconds();

/// Serves the metrics at the endpoint in the settings; returns null if it is
/// empty.
std::unique_ptr<http_server> serve_metrics(process_context& process,
                                           std::vector<named_server> servers);

/// The address at which this process listens for other processes.
std::string internal_address(const job_settings& settings);

/// The address at which other processes reach this one.
std::string announced_address(const job_settings& settings);

/// Timeout of calls to the store. The store usually answers within
/// milliseconds, but at times it is a hundred times slower, and at times
/// answers are lost.
class adaptive_timeout
{
public:
    /// Long compared with the store's usual few milliseconds, short compared
    /// with a caller's timeout of seconds.
    static constexpr duration default_min = std::chrono::milliseconds(250);
    static constexpr duration default_max = std::chrono::milliseconds(1500);
    static constexpr int factor = 4; ///< times the latency of the newest answer

    /// @param max upper bound, reached if calls remain unanswered
    /// @param min lower bound and initial value
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
