#pragma once
// Connects the scheduler's decisions to the store and the guards while this
// entry is the leader.

#include "job_store.hpp"
#include "leader_election.hpp"

#include <springstair/scheduler.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>

namespace springstair
{

/// Loads, schedules and commits all jobs while this entry is the leader.
class job_scheduler
{
public:
    job_scheduler(process_context& process, platform::store_client& store,
                  leader_election& election);

    /// Begins a term: loads all jobs and their progress from the store.
    void begin(std::int64_t epoch);
    /// Ends the term. Notifies the guards of the next leader, if it is known.
    void end(const leader_change& next);
    void tick(time_point now);

    void set_table(const queue_table& table);
    void set_closed(const closed_data_centres& closed);
    /// Handles a guard's report.
    report_answer report(const worker_report& incoming);
    /// An entry accepted or cancelled a job: saves the time until the watch
    /// reports it. Ignored while not ready().
    void job_was_accepted(const job& definition);
    void job_was_cancelled(const std::string& id);

    /// Whether this entry is the leader and has loaded all jobs.
    [[nodiscard]] bool ready() const noexcept
    {
        return stage_ == stage::ready;
    }
    /// Whether this entry is the leader and knows that a job was accepted. It
    /// may hold the job for another term.
    [[nodiscard]] bool knows(const std::string& id) const
    {
        return ready() && (core_.knows(id) || held_jobs_.contains(id));
    }
    /// The state of a job that callers may be shown; nothing if it must be read
    /// from the store.
    [[nodiscard]] std::optional<job_state> shown(const std::string& id) const
    {
        return core_.shown(id, boot_clock::now(),
                           leader_election_.confirmed_at());
    }
    /// The number of jobs of a queue of which no task has begun; nothing if
    /// this entry is not the leader or cannot vouch for a count of
    /// max_count_age.
    [[nodiscard]] std::optional<waiting_count>
    waiting(const std::string& queue) const;
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

    /// Delay after a failed call to the store.
    static constexpr duration retry_delay = std::chrono::milliseconds(100);

    // Loading stored jobs, progress and interference.
    void read_page();
    void load_interference();
    void save_interference(time_point now);
    void on_page(const platform::store_result& result);
    void adopt_interference(const platform::store_result& result);
    void load_item(const platform::store_item& item);
    void require_memory(const job& definition) const;
    [[nodiscard]] bool has_ended(const std::string& id) const;
    void load_progress(const platform::store_item& item);
    std::optional<job> decode_item(const platform::store_item& item);
    void hold(const std::string& id, const std::string& key,
              const std::exception& error);
    void adopt(job definition, time_point now);
    void adopt_all();

    // New jobs and cancellations.
    void watch();
    void on_watch(const platform::store_result& result, time_point sent);
    void reread_after_failed_watch(time_point now, time_point sent);
    void apply_job_item(const platform::store_item& item);
    void accept(const job& definition, time_point now);
    void reread_jobs();
    void on_jobs_reread(const platform::store_result& result);

    // Commits.
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
    std::int64_t generation_ = 0; ///< older answers are stale
    adaptive_timeout timeout_;
    adaptive_timeout page_timeout_;
    time_point next_read_{};
    bool reading_ = false;
    std::string page_after_;
    std::map<std::string, job> loaded_jobs_; ///< those that have not ended
    job_bytes loaded_bytes_;                 ///< of their records
    std::set<std::string> loaded_cancellations_;
    std::map<std::string, std::pair<job_progress, std::int64_t>>
        loaded_progress_;
    std::map<std::string, std::vector<ended_task>> loaded_ends_; ///< by job
    /// Jobs that this term leaves out: they cannot be read or scheduled.
    std::set<std::string> held_jobs_;
    std::int64_t jobs_revision_ = 0; ///< to watch jobs from; 0: read first
    bool watching_ = false;
    time_point next_watch_{};
    std::optional<commit_batch> batch_; ///< in flight
    std::int64_t batch_number_ = 0;     ///< answers for earlier ones are stale
    std::size_t write_attempts_ = 0;    ///< of the batch
    time_point first_attempt_at_{};
    time_point next_attempt_at_{};
    adaptive_timeout hedge_delay_; ///< until the next write attempt
    time_point next_interference_save_{};
    time_point next_metrics_at_{};
    std::vector<pair_interference> saved_interference_;
};

} // namespace springstair
