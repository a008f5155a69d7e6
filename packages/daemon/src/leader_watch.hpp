#pragma once
// Who holds the jobs, as the store tells it.

#include "process_context.hpp"

#include "platform.hpp"

#include <functional>
#include <optional>
#include <string>

namespace springstair
{

/// The store's key of the holder; it goes with the holder's lease.
inline constexpr const char* leader_key = "springstair/holder";

/// Watches the holder's key.
class leader_watch
{
public:
    /// Called with the key as it stands, or nothing once it is gone.
    using on_change =
        std::function<void(const std::optional<platform::store_item>&)>;

    /// @param wait how long a watch may wait; each one is a priced call
    leader_watch(process_context& process, platform::store_client& store,
                 duration wait, on_change changed);

    void tick(time_point now);
    /// Forgets what is known; the key is read anew. A watch that is under way
    /// has its answer later; it is void.
    void refresh();
    /// From the next watch on. @param wait see the constructor
    void set_wait(duration wait) noexcept
    {
        wait_ = wait;
    }

    /// When the store last answered here.
    [[nodiscard]] time_point store_answered() const noexcept
    {
        return store_answered_;
    }

private:
    void read_key();
    void on_key_read(const platform::store_result& result);
    void watch();
    void on_watch(const platform::store_result& result, time_point sent);

    process_context& process_;
    platform::store_client& store_;
    duration wait_;
    on_change changed_;
    adaptive_timeout timeout_;
    /// Revision to watch from; 0: look first.
    std::int64_t watched_revision_ = 0;
    bool busy_ = false;
    std::int64_t generation_ = 0; ///< counts; ends of earlier turns are void
    time_point next_call_at_{};
    time_point store_answered_{};
};

} // namespace springstair
