#pragma once
// Callers' requests at one entry.

#include "job_holder.hpp"

#include <deque>
#include <memory>
#include <string>

namespace springstair
{

/// Where an entry takes jobs that another one cannot write.
inline constexpr const char* forward_path = "/internal/jobs";

/// Before the caller's own time is over, so that the answer still arrives.
inline constexpr duration answer_margin = std::chrono::milliseconds(250);
/// When a caller whose request was not taken may come back.
inline constexpr duration come_back = std::chrono::seconds(1);
/// Another entry that says nothing for so long is passed over.
inline constexpr duration holder_timeout = std::chrono::milliseconds(250);

/// Takes callers' requests. Any entry accepts a job by writing it to the
/// store; what became of it is asked of the holder, or read from the store.
class job_desk
{
public:
    job_desk(job_process& process, platform::store_client& store,
             office_keeper& office, job_holder& holder);

    void set_table(const queue_table& table);
    void on_request(const http_arrival& arrival);
    /// A job that another entry took but cannot write.
    void on_forwarded(const http_arrival& arrival);
    void tick(time_point now);

    /// Requests without an answer yet.
    [[nodiscard]] std::int64_t open() const noexcept
    {
        return open_;
    }
    [[nodiscard]] const queue_table& table() const noexcept
    {
        return table_;
    }
    /// What the holder knows of a job, for another entry.
    [[nodiscard]] json show_for_peer(const json& message) const;
    /// How many jobs of a queue wait, for another entry.
    [[nodiscard]] json count_for_peer(const json& message) const;

private:
    struct open_request
    {
        std::shared_ptr<http_responder> responder;
        time_point arrived;
        time_point give_up;       ///< then the caller waits no longer
        bool may_be_done = false; ///< some write got no answer
        std::int64_t tries = 0;
        std::int64_t unanswered = 0; ///< tries that the store left so
        bool passed_on = false;      ///< another entry has tried, or asks us
    };
    using request_ptr = std::shared_ptr<open_request>;

    void handle(const platform::submit_request& what, const request_ptr& to);
    void handle(const platform::show_request& what, const request_ptr& to);
    void handle(const platform::cancel_request& what, const request_ptr& to);
    void handle(const platform::count_request& what, const request_ptr& to);
    void handle(const platform::refused_request& what, const request_ptr& to);

    void submit(const job& what, const request_ptr& to);
    void on_submitted(const job& what, const request_ptr& to,
                      const platform::store_result& result);
    void on_unanswered(const job& what, const request_ptr& to);
    void forward(const job& what, const request_ptr& to);
    void on_forward_ended(const job& what, const request_ptr& to,
                          const http_result& result);
    [[nodiscard]] std::string other_entry();
    void probe(time_point now);
    void tell_holder(const job& what);
    void show_from_store(const std::string& id, const request_ptr& to);
    void on_job_read(const std::string& id, const request_ptr& to,
                     const platform::store_result& result);
    void show_progress(const std::string& id, bool cancelled,
                       const request_ptr& to);
    void cancel(const std::string& id, const request_ptr& to);
    void on_cancel_read(const std::string& id, const request_ptr& to,
                        const platform::store_result& result);
    void write_cancellation(const std::string& id, const request_ptr& to);

    /// Runs something later, or answers that the time is over.
    void again(const request_ptr& to, std::function<void()> what);
    void answer(const request_ptr& to, http_response with);
    void ask_holder(const char* method, const json& message,
                    std::function<void(std::optional<json>)> done);
    [[nodiscard]] duration call_time(const request_ptr& to) const;
    void note_store(const platform::store_result& result);
    void give_up(const job& what, const request_ptr& to, const char* why);
    void answer_unknown(const job& what, const request_ptr& to);
    void refuse_submission(const job& what, const request_ptr& to,
                           const char* why);

    job_process& process_;
    platform::store_client& store_;
    office_keeper& office_;
    job_holder& holder_;
    queue_table table_;
    adaptive_timeout timeout_;
    /// Since when the store has given no answer here; nothing while it does.
    std::optional<time_point> store_away_since_;
    bool probing_ = false; ///< a read finds out whether it is back
    time_point next_probe_{};
    std::size_t forwarded_ = 0; ///< counts, to take other entries in turn
    std::int64_t open_ = 0;
    std::deque<std::pair<time_point, std::function<void()>>> later_;
    std::map<std::string, std::int64_t> last_counts_;
};

} // namespace springstair
