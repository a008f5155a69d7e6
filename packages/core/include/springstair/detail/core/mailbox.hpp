#pragma once

#include <springstair/detail/core/time.hpp>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <utility>
#include <vector>

namespace springstair
{

/// @brief Queue of events from any number of threads to one consumer thread.
template <class Event>
class mailbox
{
public:
    /// @brief Adds an event. Thread-safe. Amortised O(1).
    void post(Event event)
    {
        const absl::MutexLock lock(&mutex_);
        events_.push_back(std::move(event));
    }

    /// @brief Removes all queued events; if there are none, waits for one for
    /// at most @p timeout.
    /// @return the events in the order of posting; may be empty
    std::vector<Event> drain(duration timeout)
    {
        std::vector<Event> taken;
        const absl::MutexLock lock(&mutex_);
        mutex_.AwaitWithTimeout(absl::Condition(this, &mailbox::has_events),
                                absl::Microseconds(timeout.count()));
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
