#pragma once
// Callers' requests to an entry.

#include "job_scheduler.hpp"
#include "leader_handover.hpp"
#include "leader_heartbeat.hpp"
#include "tombstone_lease.hpp"

#include <deque>
#include <memory>
#include <string>
#include <string_view>

namespace springstair
{

/// Path for requests forwarded by other entries: submit a job (POST), and with
/// the job's id appended and its queue as an argument, show it (GET) or cancel
/// it (DELETE).
inline constexpr std::string_view forward_path = "/internal/jobs";

/// Time between the handler's deadline and the caller's timeout, so that the
/// answer arrives in time.
inline constexpr duration answer_margin = std::chrono::milliseconds(250);
/// Retry delay sent to callers whose request was not accepted.
inline constexpr duration caller_retry_after = std::chrono::seconds(1);
/// Timeout of calls to the leader and of connections to other entries.
inline constexpr duration leader_timeout = std::chrono::milliseconds(250);

/// Reason of a refusal: repeating the write would not help.
inline constexpr const char* store_rejects = "the store rejects the record";

/// Handles callers' requests. Any entry accepts a job by writing it to the
/// store. The state of a job is queried from the leader, or read from the
/// store.
class job_request_handler
{
public:
    job_request_handler(process_context& process, platform::store_client& store,
                        leader_election& election, job_scheduler& scheduler,
                        leader_heartbeat& heartbeat,
                        const leader_handover& handover);

    void set_table(const queue_table& table);
    void on_request(const http_arrival& arrival);
    /// A request forwarded by another entry that cannot serve it.
    void on_forwarded(const http_arrival& arrival);
    void tick(time_point now);

    /// The memory for jobs at the leader, which this entry is; submissions
    /// without an answer count as held.
    [[nodiscard]] job_memory memory_for_jobs() const;
    /// Number of requests without an answer.
    [[nodiscard]] std::int64_t open() const noexcept
    {
        return open_;
    }
    [[nodiscard]] const queue_table& table() const noexcept
    {
        return table_;
    }
    /// The leader's answer to another entry's query for the state of a job.
    [[nodiscard]] json show_for_peer(const json& message) const;
    /// The leader's answer to another entry's query for the number of waiting
    /// jobs in a queue.
    [[nodiscard]] json count_for_peer(const json& message) const;

private:
    struct open_request
    {
        std::shared_ptr<http_responder> responder;
        time_point arrived;
        time_point deadline;         ///< for the answer
        bool may_be_written = false; ///< a write's outcome is unknown
        bool is_admitted = false;    ///< the leader has memory for the job
        std::int64_t job_bytes = 0;  ///< that a submission was admitted with
        std::int64_t tries = 0;
        std::int64_t unanswered_tries = 0; ///< by the store
        bool forwarded = false;            ///< to another entry, or from one
        bool answered = false;
        std::vector<std::string> tried_peers{}; ///< forwarded to these
    };
    using request_ptr = std::shared_ptr<open_request>;

    /// A request to forward to another entry.
    struct forwarded_request
    {
        std::string method;
        job_reference job;
        shared_body body{};
        /// The leader's memory for a submitted job is reserved already.
        bool is_admitted = false;
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

    [[nodiscard]] bool admit(const job& definition, const request_ptr& request);
    void submit(const job& definition, const request_ptr& request);
    void on_submitted(const job& definition, const request_ptr& request,
                      const platform::store_result& result);
    void on_store_failed(const job& definition, const request_ptr& request);
    void forward_submission(const job& definition, const request_ptr& request,
                            const char* why);
    void serve_forwarded_submission(const job& definition, bool is_admitted,
                                    const request_ptr& request);
    void notify_leader(const job& definition);
    void show(const job_reference& asked, const request_ptr& request);
    void show_from_store(const job_reference& asked,
                         const request_ptr& request);
    void on_job_read(const job_reference& asked, const request_ptr& request,
                     const platform::store_result& result);
    void show_progress(const job_reference& asked, bool cancelled,
                       const request_ptr& request);
    void cancel(const job_reference& asked, const request_ptr& request);
    void on_cancel_read(const job_reference& asked, const request_ptr& request,
                        const platform::store_result& result);
    void write_cancellation(const job_reference& asked,
                            const request_ptr& request);
    void write_tombstone(const job_reference& asked,
                         const request_ptr& request);
    void write_tombstone_under(std::int64_t lease, const job_reference& asked,
                               const request_ptr& request);
    void request_tombstone_lease(const job_reference& asked,
                                 const request_ptr& request);
    void on_tombstone_written(const job_reference& asked,
                              const request_ptr& request,
                              const platform::store_result& result);
    void retry_cancellation(const job_reference& asked,
                            const request_ptr& request);
    [[nodiscard]] std::optional<job_state>
    shown(const job_reference& asked) const;
    [[nodiscard]] bool is_in_queue(const std::string& queue,
                                   const job_reference& asked) const;
    [[nodiscard]] bool is_other_job(const platform::store_result& result,
                                    const job_reference& asked) const;

    // Forwarding while the store is unavailable to this entry.
    [[nodiscard]] static std::string
    forwarded_path(const forwarded_request& forwarded);
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
    void forward_or_retry(const char* method, const job_reference& asked,
                          const request_ptr& request,
                          std::function<void()> retry_here);
    void probe(time_point now);

    void count(const std::string& queue, const request_ptr& request);
    void answer_count(const std::string& queue, const request_ptr& request);

    /// Runs @p action after a delay; returns false if the request's deadline is
    /// before that.
    bool delay(const request_ptr& request, std::function<void()> action);
    /// The same; answers that the request failed if its deadline is before
    /// that.
    void retry_later(const request_ptr& request, std::function<void()> action);
    void answer(const request_ptr& request, http_response response);
    /// The only answer that refuses a submission or a cancellation. One whose
    /// write may still take effect is told that its outcome is unknown.
    [[nodiscard]] http_response not_served(const open_request& request,
                                           const char* why) const;
    void query_leader(const char* method, const json& message,
                      std::function<void(std::optional<json>)> done);
    [[nodiscard]] duration call_timeout(const request_ptr& request) const;
    void record_store_result(const platform::store_result& result);
    void fail_submission(const job& definition, const request_ptr& request,
                         const char* why);
    [[nodiscard]] duration retry_after() const;

    process_context& process_;
    platform::store_client& store_;
    leader_election& leader_election_;
    job_scheduler& job_scheduler_;
    leader_heartbeat& leader_heartbeat_;
    const leader_handover& leader_handover_;
    queue_table table_;
    adaptive_timeout timeout_;
    /// Since when the store has been unavailable to this entry, if it is.
    std::optional<time_point> store_unavailable_since_;
    bool probing_ = false; ///< a probe of the store is in flight
    time_point next_probe_{};
    /// Entries that could not serve a forwarded request, and when they last
    /// failed.
    std::map<std::string, time_point> failed_peers_;
    std::int64_t open_ = 0;
    std::int64_t open_job_bytes_ = 0; ///< of submissions without an answer
    std::deque<std::pair<time_point, std::function<void()>>> delayed_;
    tombstone_lease tombstone_lease_;
    waiting_counts waiting_counts_; ///< by the leader's newest answers
};

} // namespace springstair
