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
                        const leader_heartbeat& heartbeat);

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
        time_point deadline;         ///< then the caller waits no longer
        bool may_be_written = false; ///< some write got no answer
        std::int64_t tries = 0;
        std::int64_t unanswered_tries = 0; ///< tries that the store left so
        bool forwarded = false; ///< another entry has tried, or asks us
        std::vector<std::string>
            tried_peers{}; ///< entries that it was passed on to
    };
    using request_ptr = std::shared_ptr<open_request>;

    /// What another entry is to do.
    struct forwarded_request
    {
        std::string method;
        std::string job; ///< its id
        shared_body body{};
    };

    void handle(const platform::submit_request& message,
                const request_ptr& request);
    void handle(const platform::show_request& message,
                const request_ptr& request);
    void handle(const platform::cancel_request& message,
                const request_ptr& request);
    void handle(const platform::count_request& message,
                const request_ptr& request);
    void handle(const platform::refused_request& refused,
                const request_ptr& request);

    void submit(const job& definition, const request_ptr& request);
    void on_submitted(const job& definition, const request_ptr& request,
                      const platform::store_result& result);
    void on_store_failed(const job& definition, const request_ptr& request);
    void forward_submission(const job& definition, const request_ptr& request);
    void notify_leader(const job& definition);
    void show(const std::string& id, const request_ptr& request);
    void show_from_store(const std::string& id, const request_ptr& request);
    void on_job_read(const std::string& id, const request_ptr& request,
                     const platform::store_result& result);
    void show_progress(const std::string& id, bool cancelled,
                       const request_ptr& request);
    void cancel(const std::string& id, const request_ptr& request);
    void on_cancel_read(const std::string& id, const request_ptr& request,
                        const platform::store_result& result);
    void write_cancellation(const std::string& id, const request_ptr& request);

    // Passing requests on while the store gives no service here.
    void forward_request(const forwarded_request& forwarded,
                         const request_ptr& request,
                         std::function<void()> on_forward_failed);
    void on_forward_result(const forwarded_request& forwarded,
                           const request_ptr& request,
                           const http_result& result,
                           std::function<void()> on_forward_failed);
    [[nodiscard]] std::string
    next_forward_target(const open_request& request) const;
    void serve_forwarded(const http_request& incoming,
                         const request_ptr& request);
    void forward_or_retry(const char* method, const std::string& id,
                          const request_ptr& request,
                          std::function<void()> retry_here);
    void probe(time_point now);

    /// Runs something later, or answers that the time is over.
    void retry_later(const request_ptr& request, std::function<void()> action);
    void answer(const request_ptr& request, http_response response);
    void query_leader(const char* method, const json& message,
                      std::function<void(std::optional<json>)> done);
    [[nodiscard]] duration call_timeout(const request_ptr& request) const;
    void record_store_result(const platform::store_result& result);
    void fail_submission(const job& definition, const request_ptr& request,
                         const char* why);
    void answer_unknown(const job& definition, const request_ptr& request);
    void refuse_submission(const job& definition, const request_ptr& request,
                           const char* why);

    process_context& process_;
    platform::store_client& store_;
    leader_election& leader_election_;
    job_scheduler& job_scheduler_;
    const leader_heartbeat& leader_heartbeat_;
    queue_table table_;
    adaptive_timeout timeout_;
    /// Since when the store has given no answer here; nothing while it does.
    std::optional<time_point> store_unavailable_since_;
    bool probing_ = false; ///< a read finds out whether it is back
    time_point next_probe_{};
    /// Entries that could not help, and when they last could not.
    std::map<std::string, time_point> failed_peers_;
    std::int64_t open_ = 0;
    std::deque<std::pair<time_point, std::function<void()>>> delayed_;
    std::map<std::string, std::int64_t> last_counts_;
};

} // namespace springstair
