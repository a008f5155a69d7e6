#include <springstair/entry.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <utility>

namespace springstair
{

namespace
{

const json empty_document = {{"revision", 0}, {"rows", json::object()}};

// Zero-padded, so that the keys sort by revision.
std::string history_key(std::int64_t revision)
{
    std::array<char, 32> digits{};
    std::snprintf(digits.data(), digits.size(), "%012lld",
                  static_cast<long long>(revision));
    return store_keys::history + std::string(digits.data());
}

json history_entry(std::int64_t revision, const std::vector<cell_edit>& edits)
{
    json list = json::array();
    for (const cell_edit& edit : edits)
    {
        list.push_back(to_document(edit));
    }
    return {{"revision", revision}, {"edits", list}};
}

bool contains(const std::vector<std::string>& all, const std::string& one)
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

// What keeps an edit from being applied to a stored document. Invalid cells do
// not: an edit may correct them.
findings errors_in(const json& document)
{
    findings errors;
    object_reader reader(document, "", errors);
    reader.integer("revision", std::nullopt,
                   {.max = std::numeric_limits<std::int64_t>::max() - 1});
    reader.texts("writers");
    const json* const rows = reader.member("rows");
    if (rows == nullptr || !rows->is_object())
    {
        reader.report("rows", "must be an object of rows");
        return errors;
    }
    object_reader row_reader(*rows, "/rows", errors);
    for (const auto& [name, cells] : rows->items())
    {
        if (!cells.is_object())
        {
            row_reader.report(name, "must be an object of cells");
        }
    }
    return errors;
}

} // namespace

table_synchronizer::table_synchronizer(table_synchronizer_options options)
    : options_(std::move(options))
{
}

store_call table_synchronizer::make_call(kv_operation operation)
{
    return {.token = next_token_++, .operation = std::move(operation)};
}

void table_synchronizer::update_availability(const kv_answer& answer,
                                             table_actions& actions)
{
    const bool answered = answer.how == kv_answer::state::done;
    if (answered != available_)
    {
        available_ = answered;
        actions.emplace_back(store_availability{.available = answered});
    }
}

// ---------------------------------------------------------------------------
// Reading
// ---------------------------------------------------------------------------

void table_synchronizer::load_document(const kv_item& item,
                                       table_actions& actions)
{
    if (item.mod_revision <= seen_mod_revision_)
    {
        return;
    }
    seen_mod_revision_ = item.mod_revision;
    try
    {
        const json document = try_parse_json(item.value);
        if (document.is_discarded())
        {
            throw document_error(
                findings{{.place = "", .message = "is not JSON"}});
        }
        table rows = table::parse(document);
        if (rows.revision() > seen_revision_)
        {
            seen_revision_ = rows.revision();
            actions.emplace_back(table_loaded{.rows = std::move(rows)});
        }
    }
    catch (const document_error& error)
    {
        actions.emplace_back(table_rejected{.errors = error.all()});
    }
    catch (const json::exception&)
    {
        actions.emplace_back(table_rejected{
            .errors = {{.place = "", .message = "is not JSON"}}});
    }
}

table_actions table_synchronizer::on_tick(time_point now)
{
    table_actions actions;
    if (!poll_ && now >= next_poll_)
    {
        store_call call =
            make_call(kv_range{.key = store_keys::table,
                               .prefix = false,
                               .min_mod_revision = seen_mod_revision_ + 1});
        poll_ = call.token;
        next_poll_ = now + options_.poll_interval;
        actions.emplace_back(std::move(call));
    }
    while (!edits_.empty() && now >= edits_.front().deadline)
    {
        const pending_edit& expired = edits_.front();
        const auto how = expired.in_doubt || expired.state == stage::writing
                             ? edit_outcome::ending::unknown
                             : edit_outcome::ending::unavailable;
        finish_edit({.number = expired.number,
                     .how = how,
                     .revision = 0,
                     .conflicts = {},
                     .errors = {}},
                    now, actions);
    }
    if (!edits_.empty() && edits_.front().state == stage::waiting &&
        now >= edits_.front().retry_at)
    {
        send_read(actions);
    }
    return actions;
}

// ---------------------------------------------------------------------------
// Edits
// ---------------------------------------------------------------------------

table_actions table_synchronizer::on_edit(time_point now, edit_number number,
                                          std::vector<cell_edit> edits)
{
    table_actions actions;
    pending_edit edit;
    edit.number = number;
    edit.edits = std::move(edits);
    edit.deadline = now + options_.edit_timeout;
    edit.retry_at = now;
    edit.nonce = options_.writer + "." + std::to_string(next_nonce_++);
    edits_.push_back(std::move(edit));
    if (edits_.size() == 1)
    {
        start_next_edit(now, actions);
    }
    return actions;
}

void table_synchronizer::start_next_edit(time_point now, table_actions& actions)
{
    if (!edits_.empty() && now < edits_.front().deadline)
    {
        send_read(actions);
    }
}

void table_synchronizer::send_read(table_actions& actions)
{
    pending_edit& edit = edits_.front();
    store_call call = make_call(kv_range{.key = store_keys::table});
    edit.token = call.token;
    edit.state = stage::reading;
    actions.emplace_back(std::move(call));
}

void table_synchronizer::finish_edit(edit_outcome result, time_point now,
                                     table_actions& actions)
{
    edits_.pop_front();
    actions.emplace_back(std::move(result));
    start_next_edit(now, actions);
}

void table_synchronizer::write(const edit_result& edited,
                               std::int64_t mod_revision,
                               table_actions& actions)
{
    pending_edit& edit = edits_.front();
    const auto revision = edited.document.at("revision").get<std::int64_t>();
    kv_transaction transaction{
        .compares = {{.key = store_keys::table,
                      .target = kv_compare::number::mod_revision,
                      .equals = mod_revision}},
        .puts = {{.key = store_keys::table, .value = edited.document.dump()},
                 {.key = history_key(revision),
                  .value = history_entry(revision, edit.edits).dump()}},
        .deletes = {}};
    if (revision > options_.max_history)
    {
        transaction.deletes.push_back(
            {.key = history_key(revision - options_.max_history)});
    }
    store_call call = make_call(std::move(transaction));
    edit.token = call.token;
    edit.state = stage::writing;
    edit.written_revision = revision;
    actions.emplace_back(std::move(call));
}

void table_synchronizer::handle_read(time_point now, const kv_answer& answer,
                                     table_actions& actions)
{
    pending_edit& edit = edits_.front();
    if (answer.how != kv_answer::state::done)
    {
        edit.state = stage::waiting;
        edit.retry_at = now + options_.retry_delay;
        return;
    }
    json document = empty_document;
    std::int64_t mod_revision = 0;
    if (!answer.items.empty())
    {
        load_document(answer.items.front(), actions);
        document = try_parse_json(answer.items.front().value);
        mod_revision = answer.items.front().mod_revision;
    }
    if (findings errors = errors_in(document); !errors.empty())
    {
        // A write would replace the rows that cannot be read.
        finish_edit({.number = edit.number,
                     .how = edit_outcome::ending::refused,
                     .revision = 0,
                     .conflicts = {},
                     .errors = std::move(errors)},
                    now, actions);
        return;
    }
    if (contains(write_nonces_of(document), edit.nonce))
    {
        finish_edit({.number = edit.number,
                     .how = edit_outcome::ending::committed,
                     .revision = edit.written_revision,
                     .conflicts = {},
                     .errors = {}},
                    now, actions);
        return;
    }
    edit_result edited = apply_edits(document, edit.edits);
    if (!edited.conflicts.empty())
    {
        finish_edit({.number = edit.number,
                     .how = edit_outcome::ending::conflict,
                     .revision = 0,
                     .conflicts = std::move(edited.conflicts),
                     .errors = {}},
                    now, actions);
        return;
    }
    add_write_nonce(edited.document, edit.nonce);
    try
    {
        table::parse(edited.document);
    }
    catch (const document_error& error)
    {
        finish_edit({.number = edit.number,
                     .how = edit_outcome::ending::refused,
                     .revision = 0,
                     .conflicts = {},
                     .errors = error.all()},
                    now, actions);
        return;
    }
    write(edited, mod_revision, actions);
}

void table_synchronizer::handle_write(time_point now, const kv_answer& answer,
                                      table_actions& actions)
{
    pending_edit& edit = edits_.front();
    if (answer.how == kv_answer::state::unknown)
    {
        edit.in_doubt = true;
    }
    if (answer.how != kv_answer::state::done)
    {
        edit.state = stage::waiting;
        edit.retry_at = now + options_.retry_delay;
        return;
    }
    // The next read shows whether the write is committed or was superseded, and
    // loads the current table.
    send_read(actions);
}

table_actions table_synchronizer::on_store(time_point now, store_token token,
                                           const kv_answer& answer)
{
    table_actions actions;
    update_availability(answer, actions);
    if (poll_ == token)
    {
        poll_.reset();
        for (const kv_item& item : answer.items)
        {
            load_document(item, actions);
        }
        return actions;
    }
    if (edits_.empty() || edits_.front().token != token)
    {
        return actions; // belongs to an edit that has ended
    }
    if (edits_.front().state == stage::reading)
    {
        handle_read(now, answer, actions);
    }
    else if (edits_.front().state == stage::writing)
    {
        handle_write(now, answer, actions);
    }
    return actions;
}

} // namespace springstair
