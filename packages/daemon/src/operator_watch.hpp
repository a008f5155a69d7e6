#pragma once
// The operator's keys in the store: the configuration and the closed data
// centres.

#include "process_context.hpp"

#include "platform.hpp"

#include <functional>

namespace springstair
{

/// Reads and watches the operator's keys. Reports each newer version of the
/// queue table, and the closed data centres each time the store confirms them.
///
/// One watch covers both, since each call to the store is charged. If the
/// leader reports the changes that it sees, a watch may be a long poll: the
/// number of calls to the store then grows with the operator's changes, not
/// with the number of entries.
class operator_watch
{
public:
    struct callbacks
    {
        std::function<void(const queue_table&)> table;
        std::function<void(const closed_data_centres&)> closed;
    };

    operator_watch(process_context& process, platform::store_client& store,
                   callbacks handlers);

    void tick(time_point now);
    /// Switches to long polls, or back to short ones. Long polls require that
    /// another entry reports each change that this one may miss.
    void use_long_poll(bool enabled);
    /// Another entry reports a change at @p revision of the store. Reads again
    /// if it is newer than what is known here.
    void on_remote_change(std::int64_t revision);

    /// When the store last answered.
    [[nodiscard]] time_point fresh_at() const noexcept
    {
        return fresh_at_;
    }
    /// Revision of the newest change known here; 0: none.
    [[nodiscard]] std::int64_t newest_change() const noexcept
    {
        return newest_change_;
    }

private:
    void read();
    void on_read(const platform::store_result& result, time_point sent);
    void end_read();
    void watch();
    void on_watch(const platform::store_result& result, time_point sent,
                  duration waited);
    void restart_read();
    void apply_change(const platform::store_item& item);
    void apply_table(const platform::store_item& item);
    void apply_closure(const std::string& data_centre, bool is_closed,
                       std::int64_t revision);
    void publish_closed(time_point known_at);

    process_context& process_;
    platform::store_client& store_;
    callbacks callbacks_;
    adaptive_timeout timeout_;
    std::int64_t table_version_ = 0;
    /// Changes after this revision are watched; 0: read first.
    std::int64_t watched_revision_ = 0;
    std::int64_t newest_change_ = 0;
    bool long_poll_ = false;
    bool busy_ = false;
    std::int64_t generation_ = 0;  ///< older answers are stale
    std::size_t open_watches_ = 0; ///< in flight, of any generation
    time_point next_read_{};
    time_point fresh_at_{};
    closed_data_centres closed_;

    // State of a read, page by page. Changes after its first page are watched.
    std::string page_after_;
    std::int64_t read_revision_ = 0; ///< revision of its first page
    time_point read_sent_at_{};
    std::set<std::string> closed_in_read_;
};

} // namespace springstair
