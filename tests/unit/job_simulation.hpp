// Simulates a fleet under faults: leaders that are superseded or killed, guards
// that restart, executors that crash, messages that are lost or carried out
// late, a store that loses answers, data centres that an operator closes and
// opens. Checks that every task runs in one place at a time, in the order of
// the steps, to one end.

#pragma once

#include "job_simulation_parts.hpp"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <random>

namespace springstair::job_simulations
{

/// @brief A fleet under random faults, reproducible from a seed.
class job_simulation
{
public:
    // job_rate: of a new job per step, unit as for faults
    job_simulation(std::uint32_t seed, job_faults faults,
                   int job_rate = usual_job_rate);
    void run(duration length, bool submitting);
    void stop_faults();
    void check_histories() const;
    void check_all_ended() const;
    // Each task that was lost with its executor runs again within this time.
    // Only for a load that leaves capacity for all of them.
    void check_restarts(duration max_absence) const;

private:
    struct leader_process
    {
        std::shared_ptr<scheduler_core> core;
        std::int64_t epoch = 0;
        time_point verified;
        std::optional<commit_batch> batch;
        bool writing = false;
        time_point next_closure_read{}; ///< next read of the closures
    };

    struct guard_process
    {
        std::string name;
        std::shared_ptr<run_reconciler> reconciler;
        std::string incarnation;
        std::int64_t sequence = 0;
        std::int64_t leader_epoch = 0; ///< of the leader it reports to
        bool reporting = false;
        time_point next_report{};
        time_point next_heartbeat{};
        time_point cut_until{};
        time_point began{};           ///< start of the guard process
        time_point down_until{};      ///< killed, not restarted before this
        time_point silent_until{};    ///< its polls get no answer
        time_point unheard_until{};   ///< it receives no heartbeat
        time_point suspended_until{}; ///< while its executor is suspended
        fake_executor executor;
        std::int64_t incarnations = 0;
        std::string executor_id; ///< incarnations may share it
    };

    int draw(int below);
    bool chance(int probability);
    void schedule(duration after, std::function<void()> event);
    // The same for an event on a guard's VM: while that is suspended, the event
    // waits.
    void schedule_on_vm(std::size_t index, duration after,
                        std::function<void()> event);
    [[nodiscard]] bool is_suspended(std::size_t index) const;
    void suspend(std::size_t index);
    void resume(std::size_t index);
    duration delay();
    // Delay of a held report or heartbeat.
    duration hold_time();

    // Jobs
    void submit();

    // The store
    void write(const std::shared_ptr<leader_process>& leader);
    bool apply(const leader_process& leader);
    void written(const std::shared_ptr<leader_process>& leader, bool lost,
                 bool applied, time_point sent);

    // Leaders
    void take_over();
    std::shared_ptr<leader_process> leader_of(std::int64_t epoch);
    void serve(const std::shared_ptr<leader_process>& leader);
    // Reads the closures from the store; the answer arrives after a delay. A
    // stale watch misses changes for up to a second.
    void read_closures(leader_process& leader);
    static std::string data_centre_of(std::size_t index);
    [[nodiscard]] std::set<std::string> closed_at(time_point when) const;
    // Whether a run may begin at this guard's executor now.
    [[nodiscard]] bool may_begin(std::size_t index) const;
    void deliver(const addressed_orders& one);
    void receive_orders(std::size_t index, const guard_orders& orders);

    // Guards
    void begin_incarnation(std::size_t index);
    duration restart_downtime();
    static executor_incarnation next_incarnation(guard_process& guard,
                                                 bool keeps_id);
    void begin_guard(std::size_t index);
    void serve(std::size_t index);
    void send_heartbeat(std::size_t index);
    // Delivers a report late, to the leader that it was sent to or to the
    // current one. The answer is dropped.
    void deliver_late(const worker_report& out,
                      const std::shared_ptr<leader_process>& sent_to);
    void report(std::size_t index);
    void end_report(std::size_t index,
                    const std::shared_ptr<run_reconciler>& reconciler,
                    duration pause);
    // Records the acknowledgement of ends by the leader, which has committed
    // them.
    void record_acknowledged(std::size_t index,
                             const executor_incarnation& incarnation,
                             std::int64_t number);

    // Workers
    // Delivers a call to the executor: at once or late, with or without an
    // answer, or not at all.
    template <class Order>
    void order(std::size_t index, const Order& call)
    {
        const auto reconciler = guards_[index].reconciler;
        if (!has_connection(index, call))
        {
            schedule_on_vm(
                index, milliseconds(1),
                [this, reconciler, call, sent = now_]
                { answer(*reconciler, call, sent, order_result::unanswered); });
            return;
        }
        if (chance(faults_.call_held))
        {
            hold_call(index, call, reconciler);
            return;
        }
        const bool late = chance(faults_.order_late);
        const bool lost = !late && chance(faults_.order_lost);
        if (late || lost)
        {
            if (late)
            {
                schedule_on_vm(
                    index, milliseconds(2000 + draw(4000)),
                    [this, index, call, target = incarnation_at(index)]
                    { carry_out_late(index, call, target); });
            }
            schedule_on_vm(
                index, milliseconds(300),
                [this, reconciler, call, sent = now_]
                { answer(*reconciler, call, sent, order_result::unanswered); });
            return;
        }
        const bool is_unanswered = gets_no_answer(index, call);
        if (is_unanswered)
        {
            schedule_on_vm(index, milliseconds(1),
                           [this, index, call]
                           { static_cast<void>(carry_out(index, call)); });
            schedule_on_vm(
                index, call_timeout,
                [this, reconciler, call, sent = now_]
                { answer(*reconciler, call, sent, order_result::unanswered); });
            return;
        }
        schedule_on_vm(
            index, milliseconds(1),
            [this, index, call, reconciler, sent = now_]
            {
                const order_result result = carry_out(index, call);
                std::optional<executor_snapshot> snapshot;
                if (result == order_result::accepted)
                {
                    snapshot = snapshot_of(guards_[index].executor);
                }
                schedule_on_vm(
                    index, milliseconds(1),
                    [this, reconciler, call, sent, result, snapshot]
                    { answer(*reconciler, call, sent, result, snapshot); });
            });
    }

    // A connection ends with the incarnation that it was opened to.
    template <class Order>
    bool has_connection(std::size_t index, const Order& call)
    {
        if constexpr (std::is_same_v<Order, poll_executor>)
        {
            return !call.connected_before ||
                   *call.connected_before >= guards_[index].executor.born;
        }
        return true;
    }

    // A call that waits unread is carried out later, whatever has happened to
    // its sender and to newer calls.
    template <class Order>
    void hold_call(std::size_t index, const Order& call,
                   const std::shared_ptr<run_reconciler>& reconciler)
    {
        schedule_on_vm(index, milliseconds(draw(max_wait_ms)),
                       [this, index, call, target = incarnation_at(index)]
                       { carry_out_late(index, call, target); });
        schedule_on_vm(
            index, call_timeout,
            [this, reconciler, call, sent = now_]
            { answer(*reconciler, call, sent, order_result::unanswered); });
    }

    [[nodiscard]] const executor_incarnation&
    incarnation_at(std::size_t index) const
    {
        return guards_[index].executor.incarnation;
    }

    // A call that waits at an executor is dropped with the incarnation that it
    // was delivered to, whichever one it was meant for. The bound on starts in
    // a closed data centre does not apply to it.
    template <class Order>
    void carry_out_late(std::size_t index, const Order& call,
                        const executor_incarnation& sent_to)
    {
        if (incarnation_at(index) != sent_to)
        {
            return;
        }
        is_late_ = true;
        static_cast<void>(carry_out(index, call));
        is_late_ = false;
    }

    template <class Order>
    bool gets_no_answer(std::size_t index, const Order& /*call*/)
    {
        const bool is_silent = std::is_same_v<Order, poll_executor> &&
                               now_ < guards_[index].silent_until;
        return chance(faults_.answer_lost) || is_silent;
    }

    void answer(run_reconciler& reconciler, const start_run& call,
                time_point sent, order_result result,
                const std::optional<executor_snapshot>& /*snapshot*/ = {});
    void answer(run_reconciler& reconciler, const stop_run& call,
                time_point sent, order_result result,
                const std::optional<executor_snapshot>& /*snapshot*/ = {});
    void answer(run_reconciler& reconciler, const throttle_run& call,
                time_point sent, order_result result,
                const std::optional<executor_snapshot>& /*snapshot*/ = {});
    void answer(run_reconciler& reconciler, const poll_executor& call,
                time_point sent, order_result result,
                const std::optional<executor_snapshot>& snapshot = {});
    executor_snapshot snapshot_of(const fake_executor& executor) const;
    std::int64_t draw_percent(const fake_executor::active_run& work) const;
    std::optional<order_result> refusal(fake_executor& executor,
                                        const executor_incarnation& incarnation,
                                        std::int64_t fence) const;
    order_result carry_out(std::size_t index, const start_run& call);
    void start(fake_executor& executor, const std::string& task,
               std::int64_t run);
    void count_start_after_crashes(const std::string& task,
                                   const fake_executor& executor);
    // Checks ORDER and BUDGET (platform rules) when a run starts: the steps
    // before it are done, and the attempts are not used up.
    void check_start(const task_name& name) const;
    std::int64_t count_ended(const task_name& name,
                             const std::string& how) const;
    order_result carry_out(std::size_t index, const stop_run& call);
    order_result carry_out(std::size_t /*index*/, const throttle_run& /*call*/);
    order_result carry_out(std::size_t index, const poll_executor& call);
    void end(fake_executor& executor, const std::string& task, run_end how);
    void end_due_runs(fake_executor& executor);

    // Faults and time
    void inject_faults();
    duration restart_time();
    void restart_guard(std::size_t index);
    void kill_guards();
    [[nodiscard]] bool is_executor_lost() const;
    void lose_executor(std::size_t index);
    void lose_heartbeats(std::size_t index);
    void take_over_soon();
    // Writes in flight when the leader is killed may still be applied.
    void kill_all();
    void crash_if_marked(std::size_t index);
    void advance();

    // Checks
    void check_pair(const run_interval& one, const run_interval& other) const;
    [[nodiscard]] std::string format_decision(const decision& one,
                                              std::int64_t epoch) const;
    void log_run(const run_interval& one) const;
    void log_runs(const std::string& task) const;
    // No run starts after an end as done has been acknowledged.
    void check_after_done(const run_interval& done,
                          const run_interval& start) const;
    // No run starts after an end as done, either, if its executor received the
    // acknowledgement before its lease expired.
    void check_after_received(const run_interval& done,
                              const run_interval& start) const;
    void log_job_runs(const std::string& id) const;
    // Whether a task of the job failed, or executors crashed under it often
    // enough for it to fail.
    [[nodiscard]] bool has_failure_cause(const job& definition) const;
    void check_done(const job& definition) const;

    std::mt19937 random_;
    job_faults faults_;
    int job_rate_;
    time_point now_{std::chrono::hours(1)};
    std::multimap<time_point, std::function<void()>> events_;
    queue_table table_;
    std::map<std::string, job> jobs_;
    std::set<std::string> cancelled_;
    std::set<std::string> crashing_; ///< tasks that crash their executors
    std::map<std::string, std::int64_t> crashes_; ///< under each task
    std::map<std::string, std::int64_t> lost_with_executor_;
    std::map<std::string, std::int64_t> starts_after_;
    std::map<std::string, std::pair<std::string, std::int64_t>> progress_;
    std::int64_t revision_ = 0;
    std::int64_t epoch_ = 0;
    std::shared_ptr<leader_process> current_;
    leader_process leader_copy_; ///< state of current_ after the last step
    std::vector<std::shared_ptr<leader_process>> superseded_leaders_;
    std::array<guard_process, guard_count> guards_;
    std::vector<run_interval> runs_;
    bool over_capacity_ = false;
    /// For each data centre, when it was closed (true) and opened (false).
    std::map<std::string, std::map<time_point, bool>> closures_;
    bool is_late_ = false; ///< the current call is carried out late
    int begun_in_closed_ = 0;
    std::vector<std::string> decision_log_; ///< printed if a check fails
};

} // namespace springstair::job_simulations
