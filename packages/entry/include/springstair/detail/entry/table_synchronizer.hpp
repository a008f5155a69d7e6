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

/// @brief Keys of the store that the table uses.
namespace store_keys
{
inline constexpr const char* table = "springstair/table";
inline constexpr const char* history = "springstair/history/";
} // namespace store_keys

/// @brief Times of the table's keeper.
struct table_synchronizer_options
{
    std::string writer; ///< prefix of the nonces of this process
    duration poll = std::chrono::seconds(1);
    duration edit_deadline = std::chrono::seconds(8);
    duration retry = std::chrono::milliseconds(200);
    std::int64_t kept_history = 1000; ///< revisions
};

/// @brief Names an operator's edit within its entry.
using edit_number = std::uint64_t;

/// @brief How an operator's edit ended.
struct edit_outcome
{
    /// @brief The ways an edit can end.
    enum class ending : std::uint8_t
    {
        committed,
        conflict,    ///< somebody else changed a named cell
        refused,     ///< the result has findings
        unavailable, ///< the store is away; nothing was written
        unknown      ///< the write may take effect
    };

    edit_number number = 0;
    ending how = ending::unknown;
    std::int64_t revision = 0; ///< of the commit
    std::vector<edit_conflict> conflicts;
    findings wrong;
};

/// @brief A newer table came from the store.
struct table_loaded
{
    table rows;
};

/// @brief A table of the store has findings; the last good one stays.
struct table_rejected
{
    findings wrong;
};

/// @brief The store stopped or began to answer.
struct store_availability
{
    bool available = false;
};

/// @brief What the table's keeper does next.
using table_action = std::variant<store_call, edit_outcome, table_loaded,
                                  table_rejected, store_availability>;

/// @brief Several of them, in order.
using table_actions = std::vector<table_action>;

/// @brief Reads the table from the store and commits operators' edits.
///
/// One edit at a time: read, apply, check, write if unchanged since the
/// read. Each write carries a nonce, so a lost answer is settled by reading
/// again: the nonce is there (committed), or the document has moved on (that
/// write can never take effect), or it has not (the same write is sent
/// again; only one of the two can win).
class table_synchronizer
{
public:
    /// @param options times and the writer's name
    explicit table_synchronizer(table_synchronizer_options options);

    /// @brief An operator's edit.
    table_actions on_edit(time_point now, edit_number number,
                          std::vector<cell_edit> edits);
    /// @brief The store's answer to an earlier call.
    table_actions on_store(time_point now, store_token token,
                           const kv_answer& answer);
    /// @brief Time passes.
    table_actions on_tick(time_point now);

    /// @brief Whether the store answered last.
    [[nodiscard]] bool store_available() const noexcept
    {
        return available_;
    }

private:
    enum class stage : std::uint8_t
    {
        reading,
        writing,
        waiting ///< for the next try
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
        bool in_doubt = false; ///< a write is out whose end is not known
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
