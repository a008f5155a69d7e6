#pragma once
// The holder of all jobs: binds the scheduler's decisions to the store and
// to the guards.

#include "job_store.hpp"
#include "leader_election.hpp"

#include <springstair/scheduler.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace springstair
{

class job_scheduler
{
public:
    job_scheduler(process_context& process, platform::store_client& store,
                  leader_election& election);

    /// The office was taken: reads all that the store keeps.
    void begin(std::int64_t epoch);
    /// The office was lost. The guards hear of the next holder, if it is
    /// known.
    void end(const leader_change& next);
    void tick(time_point now);

    void set_table(const queue_table& table);
    void set_closed(const closed_data_centres& closed);
    /// A guard's report, as the internal interface carries it.
    report_answer report(const worker_report& incoming);
    /// A job that this entry has just accepted or cancelled itself.
    void job_was_accepted(const job& definition);
    void job_was_cancelled(const std::string& id);

    /// Whether it holds the jobs and has read them.
    [[nodiscard]] bool ready() const noexcept
    {
        return stage_ == stage::ready;
    }
    /// What callers may be shown of a job; nothing if the store has to tell.
    [[nodiscard]] std::optional<job_state> shown(const std::string& id) const
    {
        return core_.shown(id, boot_clock::now(),
                           leader_election_.confirmed_at());
    }
    [[nodiscard]] const scheduler_core& core() const noexcept
    {
        return core_;
    }

private:
    enum class stage : std::uint8_t
    {
        idle,
        reading_jobs,
        reading_progress,
        loading_interference,
        ready
    };

    /// Before the store is called again after a call in vain.
    static constexpr duration retry_delay = std::chrono::milliseconds(100);

    // Reading what is kept.
    void read_page();
    void load_interference();
    void save_interference(time_point now);
    void on_page(const platform::store_result& result);
    void load_item(const platform::store_item& item);
    void adopt_all();

    // Learning of new jobs.
    void watch();
    void on_watch(const platform::store_result& result, time_point sent);
    void apply_job_item(const platform::store_item& item);
    void reread_jobs();
    void on_jobs_reread(const platform::store_result& result);

    // Writing.
    void write();
    void begin_batch(time_point now);
    void send_write_attempt(time_point now);
    void on_written(const platform::store_result& result, time_point sent);
    void end_batch(std::int64_t revision, time_point sent);
    std::optional<std::int64_t>
    earlier_write_revision(const platform::store_result& result) const;

    void notify_guards(const leader_change& next);
    void request_advice(time_point now);
    void send_orders();
    void log_decisions();
    void publish_service_metrics(const std::string& prefix,
                                 const availability_counts& account);
    void publish_metrics(time_point now);

    process_context& process_;
    platform::store_client& store_;
    leader_election& leader_election_;
    scheduler_core core_;
    stage stage_ = stage::idle;
    std::int64_t generation_ =
        0; ///< counts offices; ends of older calls are void
    adaptive_timeout timeout_;
    adaptive_timeout page_timeout_;
    time_point next_read_{};
    bool reading_ = false;
    std::string page_after_;
    std::map<std::string, job> loaded_jobs_;
    std::set<std::string> loaded_cancellations_;
    std::map<std::string, std::pair<job_progress, std::int64_t>>
        loaded_progress_;
    std::int64_t jobs_revision_ = 0; ///< revision to watch jobs from
    bool watching_ = false;
    time_point next_watch_{};
    std::optional<commit_batch> batch_; ///< being written
    std::int64_t batch_number_ =
        0; ///< counts; answers to earlier ones are void
    std::size_t write_attempts_ = 0; ///< of the batch, sent so far
    time_point first_attempt_at_{};  ///< when it was sent
    time_point next_attempt_at_{};
    adaptive_timeout hedge_delay_; ///< without an answer to those before
    time_point next_interference_save_{};
    time_point next_metrics_at_{};
    std::vector<pair_interference> saved_interference_;
};

} // namespace springstair
