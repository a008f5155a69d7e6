#pragma once

#include <springstair/store.hpp>
#include <springstair/table.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace springstair
{

/// @brief Store keys of the table.
namespace store_keys
{
inline constexpr const char* table = "springstair/table";
inline constexpr const char* history = "springstair/history/";
} // namespace store_keys

/// @brief Settings of the table synchronizer.
struct table_synchronizer_options
{
    std::string writer; ///< prefix of this process's nonces
    duration poll_interval = std::chrono::seconds(1);
    duration edit_timeout = std::chrono::seconds(8); ///< after an edit arrives
    duration retry_delay = std::chrono::milliseconds(200); ///< of store calls
    std::int64_t max_history = 1000; ///< revisions in the stored history
};

/// @brief Identifies an operator's edit within its entry.
using edit_number = std::uint64_t;

/// @brief The outcome of an operator's edit.
struct edit_outcome
{
    /// @brief The ways an edit can end.
    enum class ending : std::uint8_t
    {
        committed,
        conflict,    ///< another writer changed an edited cell
        refused,     ///< the resulting table has findings
        unavailable, ///< store outage; nothing was written
        unknown      ///< the write may take effect
    };

    edit_number number = 0;
    ending how = ending::unknown;
    std::int64_t revision = 0; ///< of the commit
    std::vector<edit_conflict> conflicts;
    findings errors;
};

/// @brief Action: puts a newer table from the store in force.
struct table_loaded
{
    table rows;
};

/// @brief Action: reports that the stored table has findings. The last valid
/// table stays in force.
struct table_rejected
{
    findings errors;
};

/// @brief Action: reports that the store became available or unavailable.
struct store_availability
{
    bool available = false;
};

/// @brief An action of the table synchronizer.
using table_action = std::variant<store_call, edit_outcome, table_loaded,
                                  table_rejected, store_availability>;

/// @brief Actions in the order in which they are carried out.
using table_actions = std::vector<table_action>;

/// @brief Reads the table from the store and commits operators' edits.
///
/// Processes one edit at a time: reads the document, applies and checks the
/// edit, and writes the result if the document is unchanged since the read.
/// Each write carries a nonce. After each write, whether it was answered or
/// not, the document is read again:
/// - it contains the nonce: the write is committed;
/// - it has changed without the nonce: that write can never take effect; the
///   edit is applied to the new document;
/// - it is unchanged: the same write is sent again; at most one of the two
///   takes effect.
class table_synchronizer
{
public:
    /// @param options intervals, timeouts and the writer's name
    explicit table_synchronizer(table_synchronizer_options options);

    /// @brief Queues an operator's edit.
    table_actions on_edit(time_point now, edit_number number,
                          std::vector<cell_edit> edits);
    /// @brief Handles the store's answer to an earlier call.
    table_actions on_store(time_point now, store_token token,
                           const kv_answer& answer);
    /// @brief Polls the table, expires edits and retries store calls.
    table_actions on_tick(time_point now);

    /// @brief Whether the store answered the last call.
    [[nodiscard]] bool store_available() const noexcept
    {
        return available_;
    }

private:
    enum class stage : std::uint8_t
    {
        reading,
        writing,
        waiting ///< for the next attempt
    };

    struct pending_edit
    {
        edit_number number = 0;
        std::vector<cell_edit> edits;
        time_point deadline;
        stage state = stage::waiting;
        time_point retry_at;
        store_token token = 0;
        std::string nonce;
        std::int64_t written_revision = 0;
        bool in_doubt = false; ///< a write has an unknown outcome
    };

    store_call make_call(kv_operation operation);
    void start_next_edit(time_point now, table_actions& actions);
    void send_read(table_actions& actions);
    void load_document(const kv_item& item, table_actions& actions);
    void handle_read(time_point now, const kv_answer& answer,
                     table_actions& actions);
    void handle_write(time_point now, const kv_answer& answer,
                      table_actions& actions);
    void write(const edit_result& edited, std::int64_t mod_revision,
               table_actions& actions);
    void finish_edit(edit_outcome result, time_point now,
                     table_actions& actions);
    void update_availability(const kv_answer& answer, table_actions& actions);

    table_synchronizer_options options_;
    std::deque<pending_edit> edits_;
    std::int64_t seen_mod_revision_ = 0;
    std::int64_t seen_revision_ = 0;
    std::optional<store_token> poll_;
    time_point next_poll_{};
    store_token next_token_ = 1;
    std::uint64_t next_nonce_ = 1;
    bool available_ = true;
};

} // namespace springstair
