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
    void set_closed(const closed_data_centres& known);
    /// A guard's report, as the internal interface carries it.
    report_answer report(const worker_report& from);
    /// A job that this entry has just accepted or cancelled itself.
    void job_was_accepted(const job& what);
    void job_was_cancelled(const std::string& id);

    /// Whether it holds the jobs and has read them.
    [[nodiscard]] bool ready() const noexcept
    {
        return at_ == stage::holding;
    }
    /// What callers may be shown of a job; nothing if the store has to tell.
    [[nodiscard]] std::optional<job_state> shown(const std::string& id) const
    {
        return core_.shown(id, boot_clock::now(),
                           leader_election_.verified_at());
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
        holding
    };

    /// Before the store is called again after a call in vain.
    static constexpr duration pause = std::chrono::milliseconds(100);

    // Reading what is kept.
    void read_page();
    void decode_interference();
    void save_interference(time_point now);
    void on_page(const platform::store_result& result);
    void take_item(const platform::store_item& item);
    void adopt_all();

    // Learning of new jobs.
    void watch();
    void on_watch(const platform::store_result& result, time_point sent);
    void learn(const platform::store_item& item);
    void read_again();
    void on_read_again(const platform::store_result& result);

    // Writing.
    void write();
    void begin_batch(time_point now);
    void send_write_attempt(time_point now);
    void on_written(const platform::store_result& result, time_point sent);
    void end_batch(std::int64_t revision, time_point sent);
    std::optional<std::int64_t>
    written_before(const platform::store_result& result) const;

    void tell_guards(const leader_change& next);
    void ask_for_advice(time_point now);
    void send_orders();
    void log_decisions();
    void publish_service_metrics(const std::string& of,
                                 const availability_counts& account);
    void publish_metrics(time_point now);

    process_context& process_;
    platform::store_client& store_;
    leader_election& leader_election_;
    scheduler_core core_;
    stage at_ = stage::idle;
    std::int64_t term_ = 0; ///< counts offices; ends of older calls are void
    adaptive_timeout timeout_;
    adaptive_timeout page_timeout_;
    time_point next_read_{};
    bool reading_ = false;
    std::string page_after_;
    std::map<std::string, job> kept_jobs_;
    std::set<std::string> kept_cancellations_;
    std::map<std::string, std::pair<job_progress, std::int64_t>> kept_progress_;
    std::int64_t jobs_since_ = 0; ///< revision to watch jobs from
    bool watching_ = false;
    time_point next_watch_{};
    std::optional<commit_batch> batch_; ///< being written
    std::int64_t batches_ = 0; ///< counts; answers to earlier ones are void
    std::size_t write_attempts_ = 0; ///< of the batch, sent so far
    time_point first_attempt_at_{};  ///< when it was sent
    time_point next_attempt_at_{};
    adaptive_timeout hedge_delay_; ///< without an answer to those before
    time_point next_interference_save_{};
    time_point next_figures_{};
    std::vector<pair_interference> saved_interference_;
};

} // namespace springstair
