#pragma once
// Callers' requests at one entry.

#include "job_scheduler.hpp"
#include "leader_heartbeat.hpp"

#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace springstair
{

/// Where an entry takes what another one cannot do: jobs to write, and below
/// it, by their ids, jobs to show (GET) or to cancel (DELETE).
inline constexpr std::string_view forward_path = "/internal/jobs";

/// Before the caller's own time is over, so that the answer still arrives.
inline constexpr duration answer_margin = std::chrono::milliseconds(250);
/// When a caller whose request was not taken may come back.
inline constexpr duration caller_retry_after = std::chrono::seconds(1);
/// Another entry that says nothing for so long is passed over.
inline constexpr duration leader_timeout = std::chrono::milliseconds(250);

/// Takes callers' requests. Any entry accepts a job by writing it to the
/// store; what became of it is asked of the holder, or read from the store.
class job_request_handler
{
public:
    job_request_handler(process_context& process, platform::store_client& store,
                        leader_election& election, job_scheduler& scheduler,
                        const leader_heartbeat& contact);

    void set_table(const queue_table& table);
    void on_request(const http_arrival& arrival);
    /// A request that another entry took but cannot serve.
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
        std::vector<std::string> asked{}; ///< entries that it was passed on to
    };
    using request_ptr = std::shared_ptr<open_request>;

    /// What another entry is to do.
    struct forwarded_request
    {
        std::string method;
        std::string job; ///< its id
        shared_body body{};
    };

    void handle(const platform::submit_request& what, const request_ptr& to);
    void handle(const platform::show_request& what, const request_ptr& to);
    void handle(const platform::cancel_request& what, const request_ptr& to);
    void handle(const platform::count_request& what, const request_ptr& to);
    void handle(const platform::refused_request& what, const request_ptr& to);

    void submit(const job& what, const request_ptr& to);
    void on_submitted(const job& what, const request_ptr& to,
                      const platform::store_result& result);
    void on_unserved(const job& what, const request_ptr& to);
    void forward(const job& what, const request_ptr& to);
    void notify_leader(const job& what);
    void show(const std::string& id, const request_ptr& to);
    void show_from_store(const std::string& id, const request_ptr& to);
    void on_job_read(const std::string& id, const request_ptr& to,
                     const platform::store_result& result);
    void show_progress(const std::string& id, bool cancelled,
                       const request_ptr& to);
    void cancel(const std::string& id, const request_ptr& to);
    void on_cancel_read(const std::string& id, const request_ptr& to,
                        const platform::store_result& result);
    void write_cancellation(const std::string& id, const request_ptr& to);

    // Passing requests on while the store gives no service here.
    void forward_request(const forwarded_request& what, const request_ptr& to,
                         std::function<void()> in_vain);
    void on_forward_result(const forwarded_request& what, const request_ptr& to,
                           const http_result& result,
                           std::function<void()> in_vain);
    [[nodiscard]] std::string next_forward_target(const open_request& of) const;
    void serve_forwarded(const http_request& what, const request_ptr& to);
    void forward_or_retry(const char* method, const std::string& id,
                          const request_ptr& to, std::function<void()> again);
    void probe(time_point now);

    /// Runs something later, or answers that the time is over.
    void again(const request_ptr& to, std::function<void()> what);
    void answer(const request_ptr& to, http_response with);
    void query_leader(const char* method, const json& message,
                      std::function<void(std::optional<json>)> done);
    [[nodiscard]] duration call_time(const request_ptr& to) const;
    void note_store(const platform::store_result& result);
    void give_up(const job& what, const request_ptr& to, const char* why);
    void answer_unknown(const job& what, const request_ptr& to);
    void refuse_submission(const job& what, const request_ptr& to,
                           const char* why);

    process_context& process_;
    platform::store_client& store_;
    leader_election& leader_election_;
    job_scheduler& job_scheduler_;
    const leader_heartbeat& contact_;
    queue_table table_;
    adaptive_timeout timeout_;
    /// Since when the store has given no answer here; nothing while it does.
    std::optional<time_point> store_unavailable_since_;
    bool probing_ = false; ///< a read finds out whether it is back
    time_point next_probe_{};
    /// Entries that could not help, and when they last could not.
    std::map<std::string, time_point> failed_peers_;
    std::int64_t open_ = 0;
    std::deque<std::pair<time_point, std::function<void()>>> later_;
    std::map<std::string, std::int64_t> last_counts_;
};

} // namespace springstair
