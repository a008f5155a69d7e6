#pragma once

#include <springstair/detail/entry/task_journal.hpp>
#include <springstair/policy.hpp>
#include <springstair/store.hpp>
#include <springstair/tasks.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief Settings of an entry's task path.
struct task_core_options
{
    entry_name name;
    std::string incarnation;
    std::int64_t shards = 8; ///< in the whole fleet; must never change
    std::int64_t lease_seconds = 10;
    duration renew_interval = std::chrono::seconds(3);
    duration shard_poll_interval = std::chrono::seconds(2);
    duration takeover_delay = std::chrono::seconds(3);
    duration commit_interval = std::chrono::milliseconds(200);
    duration retry_delay = std::chrono::milliseconds(300); ///< of store calls
    /// A start that the guard does not list is sent again after this time.
    duration start_resend_delay = std::chrono::seconds(1);
    /// A guard whose VM disappeared is gone after this time without a
    /// heartbeat.
    duration gone_timeout = std::chrono::seconds(10);
    /// Heartbeat timeouts of guards, as the entry's request path uses them.
    directory_options liveness;
    /// How long attempts of unknown tasks are remembered.
    duration unknown_attempt_retention = std::chrono::minutes(1);
    /// A shard with an unreadable record is read again after this time.
    duration reload_interval = std::chrono::seconds(5);
    std::int64_t snapshot_interval = 64; ///< segments
    std::size_t max_snapshot_bytes = 700'000;
    std::int64_t max_failures = 3;
    std::size_t max_placements_per_tick = 200;
    std::uint64_t seed = 1;
};

/// @brief Identifies a caller's task call within its entry.
using task_call = std::uint64_t;

/// @brief Action: answers a submission or a cancel.
struct task_answer
{
    task_call call = 0;
    std::optional<task_record> record;     ///< if it succeeded
    std::optional<problem_report> problem; ///< if it failed
};

/// @brief Action: sends a start to a guard.
struct send_start
{
    guard_name guard;
    std::string address;
    start_task request;
};

/// @brief Action: sends a stop to a guard.
struct send_stop
{
    guard_name guard;
    std::string address;
    stop_task request;
};

/// @brief Action: logs that this entry acquired or lost a shard.
struct log_shard
{
    event_id event = event_id::shard_taken;
    std::int64_t shard = 0;
};

/// @brief Action: logs that a shard has an unreadable record.
struct log_unreadable
{
    unreadable_shard found;
};

/// @brief Action: logs and counts a task that reached a final state.
struct log_task_end
{
    task_record record;
};

/// @brief An action that the entry carries out for tasks.
using task_action = std::variant<store_call, task_answer, send_start, send_stop,
                                 log_shard, log_unreadable, log_task_end>;

/// @brief Actions in the order in which they are carried out.
using task_actions = std::vector<task_action>;

/// @brief Identifies an attempt of a task.
struct task_attempt_key
{
    std::string task;
    std::int64_t attempt = 0;
};

/// @brief The guards known to the entry's request path.
using guard_views = std::map<guard_name, guard_view>;

/// @brief The state machine of the task shards that an entry owns.
///
/// Every transition is committed to the journal before it takes effect: only
/// after the commit is a submission confirmed, a start sent to a guard, or an
/// ended attempt acknowledged. Commits are fenced writes, conditioned on the
/// creation revision of the shard owner's key, so a previous owner can write
/// nothing once there is a new one.
class task_core
{
public:
    /// @param options from the settings
    explicit task_core(task_core_options options);

    /// @brief Handles a submission and assigns the task's id.
    void on_submit(task_call call, time_point deadline, task_spec spec,
                   const guard_views& guards, task_actions& actions);
    /// @brief Handles a workspace's cancel of a task of an owned shard.
    void on_cancel(task_call call, time_point deadline,
                   const std::string& workspace, const std::string& task,
                   task_actions& actions);
    /// @brief Handles the store's answer to an earlier call.
    void on_store(time_point now, store_token token, const kv_answer& answer,
                  task_actions& actions);
    /// @brief Handles a guard's heartbeat.
    /// @return ended attempts to acknowledge in the answer
    std::vector<attempt_ack> on_report(time_point now,
                                       const guard_report& report,
                                       task_actions& actions);
    /// @brief Handles a guard's reply to a start.
    void on_start_reply(const start_task& start, const task_reply& reply);
    /// @brief Handles a guard's reply to a stop.
    void on_stop_reply(const stop_task& stop, const task_reply& reply);
    /// @brief Handles VMs that disappeared from the platform's list.
    void on_gone(time_point now, const std::set<std::string>& names,
                 const guard_views& guards);
    /// @brief Applies a new table of classes and workspace limits.
    void on_table(const table& rows);
    /// @brief Handles a peer's report of the resources it has placed.
    void on_peer_usage(const std::string& peer,
                       std::map<std::string, resources> usage);
    /// @brief Forgets the usage of all other peers. Their tasks are owned, and
    /// reported, by other entries once their leases have expired.
    /// @param peers whose leases may be valid
    void keep_peer_usage(const std::set<std::string>& peers);
    /// @brief Starts draining: releases the owned shards.
    void on_drain(time_point now, task_actions& actions);
    /// @brief Renews the lease, polls shard owners, places tasks, commits.
    /// @param entries names of all live entries, including this one
    void on_tick(time_point now, const guard_views& guards,
                 const std::set<std::string>& entries, task_actions& actions);

    /// @brief A task's record if this entry owns its shard, else null. Null
    /// also if the shard has an unreadable record and the task has not ended
    /// before it.
    [[nodiscard]] const task_record* find(const std::string& task) const;
    /// @brief Why calls about a task are refused: its shard has an unreadable
    /// record. Nothing if find() returns it or this entry does not own the
    /// shard.
    [[nodiscard]] std::optional<problem_report>
    refuse_unreadable(const std::string& task) const;
    /// @brief The owned shards with an unreadable record.
    [[nodiscard]] std::vector<unreadable_shard> unreadable_shards() const;
    /// @brief The records of a workspace's tasks in owned shards.
    [[nodiscard]] std::vector<task_record>
    records_of(const std::string& workspace) const;
    /// @brief The numbers of the owned shards.
    [[nodiscard]] std::vector<std::int64_t> owned_shards() const;
    /// @brief An entry that is silent for longer owns no shard: its lease has
    /// expired.
    [[nodiscard]] duration ownership_timeout() const noexcept
    {
        return std::chrono::seconds(options_.lease_seconds) +
               options_.takeover_delay;
    }
    /// @brief Resources of placed tasks by workspace.
    [[nodiscard]] std::map<std::string, resources> usage() const;
    /// @brief Journal transactions, and the transitions and bytes in them.
    struct counters
    {
        std::uint64_t commits = 0;
        std::uint64_t transitions = 0;
        std::uint64_t bytes = 0;
    };
    /// @brief Totals of the journal since the start.
    [[nodiscard]] const counters& cost() const noexcept
    {
        return cost_;
    }

private:
    enum class phase : std::uint8_t
    {
        unowned,
        acquiring,
        loading,
        owned,
        unreadable ///< owned, but not served; see hold_unreadable()
    };

    struct waiting_call
    {
        task_call call = 0;
        std::string task;
        time_point deadline;
        bool sent = false;
    };

    struct shard_state
    {
        phase state = phase::unowned;
        std::int64_t epoch = 0; ///< creation revision of the owner's key
        shard_tasks tasks;
        std::int64_t next_segment = 1;
        std::int64_t segments_since_snapshot = 0;
        std::vector<task_transition> pending;
        std::vector<task_transition> committing;
        std::string nonce; ///< of the write in flight
        std::optional<store_token> token;
        kv_operation in_flight;
        std::optional<kv_operation> retry_operation; ///< sent at retry_at
        /// Last snapshot exceeded max_snapshot_bytes.
        bool near_size_limit = false;
        bool snapshotting = false;
        std::int64_t snapshot_revision = 0; ///< of the last snapshot; 0: none
        std::optional<unreadable_record> unreadable;
        time_point reload_at{}; ///< of an unreadable shard
        bool verifying = false; ///< reading back a refused write
        time_point retry_at;
        time_point next_commit{};
        time_point unowned_since{};
        /// Send time of the last poll that confirmed this entry as the owner.
        time_point confirmed_at{};
        /// Tasks with uncommitted transitions.
        std::set<std::string> uncommitted_tasks;
        std::vector<waiting_call> calls;
    };

    struct sent_start
    {
        std::int64_t attempt = 0;
        time_point sent_at;
    };

    // The store and the shards.
    store_call make_call(kv_operation operation);
    void renew_lease(time_point now, task_actions& actions);
    void poll_shard_owners(time_point now, task_actions& actions);
    void update_ownership(time_point now, const kv_answer& answer,
                          const std::set<std::string>& entries,
                          task_actions& actions);
    void acquire_shard(std::int64_t number, task_actions& actions);
    void after_acquire(std::int64_t number, const kv_answer& answer,
                       task_actions& actions);
    void load_shard(std::int64_t number, task_actions& actions);
    void after_load(time_point now, std::int64_t number,
                    const kv_answer& answer, task_actions& actions);
    void hold_unreadable(time_point now, const unreadable_shard& found,
                         task_actions& actions);
    void reload_if_due(time_point now, std::int64_t number,
                       task_actions& actions);
    [[nodiscard]] static bool is_held(const shard_state& shard);
    [[nodiscard]] static bool is_certain(const shard_state& shard,
                                         const task_record& record);
    void release_shard(std::int64_t number, task_actions& actions);
    void drop_shard(std::int64_t number, bool may_be_written,
                    task_actions& actions);
    void drop_all_shards(task_actions& actions);

    // The journal.
    static void rebuild_uncommitted_tasks(shard_state& shard);
    static void append_transition(shard_state& shard, task_transition step);
    void commit(time_point now, std::int64_t number, task_actions& actions);
    void snapshot(std::int64_t number, task_actions& actions);
    void send_for(shard_state& shard, kv_operation operation,
                  task_actions& actions);
    void after_commit(time_point now, std::int64_t number,
                      const kv_answer& answer, task_actions& actions);
    void after_write(time_point now, std::int64_t number, std::int64_t revision,
                     task_actions& actions);
    std::string next_nonce();
    void on_committed(time_point now, std::int64_t number,
                      task_actions& actions);
    void answer_calls(std::int64_t number, task_actions& actions);
    static void refuse_calls(shard_state& shard, bool may_be_written,
                             task_actions& actions);
    static void queue_transition(shard_state& shard, task_call call,
                                 time_point deadline, task_transition step);
    void expire_calls(time_point now, shard_state& shard,
                      task_actions& actions);

    // Placement.
    using waiting_tasks =
        std::map<std::string, std::vector<const task_record*>>;

    void drop_stale_reservations();
    void update_usage();
    void run_placement_pass(time_point now, const guard_views& guards);
    [[nodiscard]] waiting_tasks waiting() const;
    bool place_task(time_point now, const task_record& record,
                    const guard_views& guards);
    using loaded_guards = std::vector<std::pair<double, guard_name>>;

    [[nodiscard]] loaded_guards fitting_guards(time_point now,
                                               const task_record& record,
                                               const guard_views& guards,
                                               bool include_failed) const;
    [[nodiscard]] std::optional<guard_name>
    choose_guard(time_point now, const task_record& record,
                 const guard_views& guards);
    [[nodiscard]] bool within_quota(const task_spec& spec) const;
    [[nodiscard]] resources used_by(const std::string& workspace) const;
    [[nodiscard]] double share_of(const std::string& workspace,
                                  const resources& fleet) const;
    [[nodiscard]] resources free_of(const guard_view& view) const;
    [[nodiscard]] static bool fits_somewhere(const task_spec& spec,
                                             const guard_views& guards);
    void start_placed(time_point now, const task_record& record,
                      task_actions& actions);
    void stop_attempt(const std::string& guard, const task_attempt_key& name,
                      bool keep_checkpoint, task_actions& actions);

    // Guard reports.
    bool is_orphan(time_point now, const shard_state& shard,
                   const attempt_report& attempt);
    void record_ended_attempt(const std::string& guard,
                              const task_record& record,
                              const attempt_report& report);
    void record_failed_attempt(const std::string& guard,
                               const task_record& record,
                               const attempt_report& report);
    void handle_missing_attempts(time_point now, const guard_report& report,
                                 task_actions& actions);
    void record_lost(const std::string& task, std::int64_t attempt,
                     const std::string& why);

    std::string new_id(std::int64_t number);
    shard_state* owned_shard(const std::string& task);
    [[nodiscard]] const shard_state* owned_shard(const std::string& task) const;

    task_core_options options_;
    table table_;
    std::map<std::int64_t, shard_state> shards_;
    std::map<store_token, std::int64_t> shard_of_token_;
    std::map<std::string, std::map<std::string, resources>> peer_usage_;
    std::map<std::string, resources> usage_;
    std::map<std::string, sent_start> starts_; ///< by task
    std::map<guard_name, std::map<std::string, resources>> reservations_;
    std::map<std::string, std::set<std::string>> placed_on_; ///< by guard
    std::map<std::string, std::string> addresses_;           ///< by guard
    std::map<std::string, std::set<guard_name>> failed_on_;  ///< by task
    outlier_detector workers_; ///< ejects workers whose tasks keep failing
    std::int64_t lease_ = 0;
    std::optional<store_token> lease_token_;
    time_point next_renewal_{};
    std::optional<store_token> shard_poll_token_;
    time_point next_shard_poll_{};
    time_point shard_poll_sent_at_{};
    std::optional<kv_answer> last_shard_poll_;
    std::map<std::pair<std::string, std::int64_t>, time_point>
        unknown_attempts_since_;
    store_token next_token_ = 1;
    std::uint64_t next_nonce_ = 1;
    random_source random_;
    counters cost_;
    bool store_available_ = true;
    bool draining_ = false;
};

} // namespace springstair
