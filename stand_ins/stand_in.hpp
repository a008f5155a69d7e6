#pragma once
/// @file
/// Common parts of the stand-ins: command line, delayed answers, waiting for
/// the stop signal. A stand-in replaces a part of the platform in tests.

#include <springstair/transport.hpp>

#include <absl/synchronization/mutex.h>

#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace stand_in
{

using namespace springstair; // NOLINT: a program of its own

/// @brief Runs callbacks at given times on one thread.
class timer
{
public:
    timer() : thread_([this] { run(); }) {}
    ~timer()
    {
        {
            const absl::MutexLock lock(&mutex_);
            stopping_ = true;
        }
        thread_.join();
    }
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    /// @brief Runs @p callback after @p wait.
    /// @return the sequence number of the callback
    std::uint64_t after(duration wait, std::function<void()> callback)
    {
        const absl::MutexLock lock(&mutex_);
        const std::uint64_t key = next_++;
        due_.emplace(std::pair(boot_clock::now() + wait, key),
                     std::move(callback));
        return key;
    }

private:
    bool something_due() const
    {
        return stopping_ || (!due_.empty() &&
                             due_.begin()->first.first <= boot_clock::now());
    }

    void run()
    {
        while (true)
        {
            std::function<void()> callback;
            {
                const absl::MutexLock lock(&mutex_);
                duration wait = std::chrono::milliseconds(20);
                if (!due_.empty())
                {
                    wait = std::clamp(due_.begin()->first.first -
                                          boot_clock::now(),
                                      duration{0}, wait);
                }
                mutex_.AwaitWithTimeout(absl::Condition(this, &timer::added),
                                        absl::Microseconds(wait.count()));
                seen_ = next_;
                if (stopping_)
                {
                    return;
                }
                if (!something_due())
                {
                    continue;
                }
                callback = std::move(due_.begin()->second);
                due_.erase(due_.begin());
            }
            callback();
        }
    }

    bool added() const
    {
        return stopping_ || next_ != seen_ || something_due();
    }

    absl::Mutex mutex_;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> due_;
    std::uint64_t next_ = 0;
    std::uint64_t seen_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

/// @brief The options of a stand-in: `key=value` arguments.
class options
{
public:
    options(int count, char** arguments)
    {
        for (int index = 1; index < count; ++index)
        {
            const std::string word = arguments[index]; // NOLINT
            const std::size_t equals = word.find('=');
            values_[word.substr(0, equals)] =
                equals == std::string::npos ? "" : word.substr(equals + 1);
        }
    }

    /// @brief The text value of an option.
    [[nodiscard]] std::string text(const std::string& key,
                                   const std::string& fallback) const
    {
        const auto found = values_.find(key);
        return found == values_.end() ? fallback : found->second;
    }

    /// @brief The numeric value of an option.
    [[nodiscard]] std::int64_t number(const std::string& key,
                                      std::int64_t fallback) const
    {
        const auto found = values_.find(key);
        return found == values_.end() ? fallback : std::stoll(found->second);
    }

private:
    std::map<std::string, std::string> values_;
};

/// @brief Sends a JSON response.
inline void answer(const std::shared_ptr<http_responder>& responder,
                   const json& document, int status = 200)
{
    responder->respond(json_response(status, document));
}

/// @brief Blocks the stop signals; must be called before threads are started.
inline sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// @brief Waits for a stop signal.
inline void await_stop(sigset_t signals)
{
    int taken = 0;
    sigwait(&signals, &taken);
}

} // namespace stand_in
