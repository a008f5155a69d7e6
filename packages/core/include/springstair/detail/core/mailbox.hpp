#pragma once

#include <springstair/detail/core/time.hpp>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <utility>
#include <vector>

namespace springstair
{

/// @brief Hands events from any thread to the one thread that drains it.
template <class Event>
class mailbox
{
public:
    /// @brief Adds an event. Safe from any thread. O(1) amortised.
    void post(Event event)
    {
        const absl::MutexLock lock(&mutex_);
        events_.push_back(std::move(event));
    }

    /// @brief Takes everything posted so far, waiting at most @p patience.
    /// @return the events in the order they were posted; maybe none
    std::vector<Event> drain(duration patience)
    {
        std::vector<Event> taken;
        const absl::MutexLock lock(&mutex_);
        mutex_.AwaitWithTimeout(absl::Condition(this, &mailbox::has_events),
                                absl::Microseconds(patience.count()));
        taken.swap(events_);
        return taken;
    }

private:
    bool has_events() const
    {
        return !events_.empty();
    }

    absl::Mutex mutex_;
    std::vector<Event> events_;
};

} // namespace springstair
