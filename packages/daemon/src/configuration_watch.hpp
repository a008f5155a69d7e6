#pragma once
// The operator's configuration, as the store has it.

#include "job_process.hpp"

#include "platform.hpp"

#include <functional>

namespace springstair
{

/// Reads and watches the configuration; hands on each newer version.
class configuration_watch
{
public:
    using on_change = std::function<void(const queue_table&)>;

    configuration_watch(job_process& process, platform::store_client& store,
                        on_change changed);

    void tick(time_point now);
    /// When the configuration was last known to be the newest.
    [[nodiscard]] time_point fresh_at() const noexcept
    {
        return fresh_at_;
    }

private:
    void read();
    void on_read(const platform::store_result& result, time_point sent);
    void watch();
    void on_watch(const platform::store_result& result, time_point sent);
    void take(const platform::store_item& item);

    job_process& process_;
    platform::store_client& store_;
    on_change changed_;
    adaptive_timeout timeout_;
    std::int64_t version_ = 0;
    std::int64_t watched_ = 0;
    bool reading_ = false;
    bool watching_ = false;
    time_point next_read_{};
    time_point fresh_at_{};
};

} // namespace springstair
