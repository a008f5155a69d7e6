#pragma once
// The leader according to the store.

#include "process_context.hpp"

#include "platform.hpp"

#include <functional>
#include <optional>
#include <string>

namespace springstair
{

/// The leader's key in the store; it is deleted with the leader's lease.
inline constexpr const char* leader_key = "springstair/holder";

/// Watches the leader's key.
class leader_watch
{
public:
    /// Called with the current key, or nothing if it is deleted.
    using on_change =
        std::function<void(const std::optional<platform::store_item>&)>;

    /// @param wait timeout of each watch; every watch is a charged call
    leader_watch(process_context& process, platform::store_client& store,
                 duration wait, on_change changed);

    void tick(time_point now);
    /// Reads the key again. The answer to a call in flight is ignored as stale.
    void refresh();
    /// Takes effect with the next watch. @param wait see the constructor
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
    /// Revision to watch from; 0: read the key first.
    std::int64_t watched_revision_ = 0;
    bool busy_ = false;
    std::int64_t generation_ = 0; ///< older answers are stale
    time_point next_call_at_{};
    time_point store_answered_{};
};

} // namespace springstair
