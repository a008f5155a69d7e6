// The table: operators' edits, answers of the store, and distribution to the
// other entries.

#include "entry_control.hpp"

#include <utility>

namespace springstair
{

namespace
{

constexpr int ok = 200;
constexpr int bad_request = 400;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int unavailable = 503;
constexpr int gateway_timeout = 504;
constexpr duration max_forward_time = std::chrono::seconds(2);

json to_document(const findings& wrong)
{
    json list = json::array();
    for (const finding& one : wrong)
    {
        list.push_back({{"place", one.place}, {"message", one.message}});
    }
    return list;
}

json to_document(const std::vector<edit_conflict>& conflicts)
{
    json list = json::array();
    for (const edit_conflict& one : conflicts)
    {
        list.push_back({{"row", one.row},
                        {"column", one.column},
                        {"expected", one.expected},
                        {"present", one.present}});
    }
    return list;
}

// A stored row of the history; one that cannot be parsed is shown with its key.
json history_row(const kv_item& item)
{
    json row = try_parse_json(item.value);
    if (row.is_discarded())
    {
        row = {{"unreadable", item.key}};
    }
    return row;
}

} // namespace

void entry_control::on_edit(http_arrival& arrival)
{
    try
    {
        std::vector<cell_edit> edits =
            parse_edits(parse_body(arrival.request.body));
        const edit_number number = next_number_++;
        edits_[number] = arrival.responder;
        carry_out(table_.on_edit(clock_.now(), number, std::move(edits)));
    }
    catch (const document_error& error)
    {
        arrival.responder->respond(json_response(
            bad_request, {{"outcome", "not_run"},
                          {"detail", error.what()},
                          {"findings", to_document(error.all())}}));
    }
}

void entry_control::carry_out(const table_actions& actions)
{
    carry_out_for(store_user::table, actions);
}

void entry_control::act(const store_call& call, store_user user)
{
    process_.store.send(
        call.operation,
        [&process = process_, user, token = call.token](kv_answer answer) {
            process.events.post(store_answered{user, token, std::move(answer)});
        });
}

void entry_control::on(store_answered& answered)
{
    const time_point now = clock_.now();
    switch (answered.user)
    {
    case store_user::table:
        carry_out(table_.on_store(now, answered.token, answered.answer));
        break;
    case store_user::tasks:
    {
        task_actions actions;
        tasks_.on_store(now, answered.token, answered.answer, actions);
        carry_out(actions);
        break;
    }
    case store_user::history:
        if (const auto found = history_calls_.find(answered.token);
            found != history_calls_.end())
        {
            json list = json::array();
            for (const kv_item& item : answered.answer.items)
            {
                list.push_back(history_row(item));
            }
            const bool done = answered.answer.how == kv_answer::state::done;
            found->second->respond(
                json_response(done ? ok : unavailable, {{"history", list}}));
            history_calls_.erase(found);
        }
        break;
    }
}

void entry_control::act(const table_loaded& loaded)
{
    apply_table(loaded.rows);
}

void entry_control::act(const table_rejected& rejected)
{
    log_event(event_id::table_refused,
              {{"findings", to_document(rejected.errors).dump()}});
}

void entry_control::act(const store_availability& change)
{
    log_event(change.available ? event_id::store_back : event_id::store_lost);
}

bool entry_control::apply_table(const table& rows)
{
    if (!requests_.on_table(rows))
    {
        return false;
    }
    tasks_.on_table(rows);
    process_.numbers.set("table_revision",
                         static_cast<double>(rows.revision()));
    log_event(event_id::table_in_force,
              {{"revision", std::to_string(rows.revision())}});
    return true;
}

// A committed edit is acknowledged to the operator only after every entry
// that answered recently has it, or after max_forward_time: the store or this
// process may fail right after the operator receives the acknowledgement.
void entry_control::act(const edit_outcome& ended)
{
    const auto found = edits_.find(ended.number);
    if (found == edits_.end())
    {
        return;
    }
    const std::shared_ptr<http_responder> responder = found->second;
    edits_.erase(found);
    switch (ended.how)
    {
    case edit_outcome::ending::committed:
    {
        committed_edit edit{.responder = responder,
                            .revision = ended.revision,
                            .deadline = clock_.now() + max_forward_time};
        for (const auto& [address, peer] : peers_)
        {
            const bool answered_recently =
                clock_.now() - peer.answered_at < std::chrono::seconds(5);
            if (answered_recently)
            {
                edit.waiting_for.insert(address);
            }
        }
        committed_.push_back(std::move(edit));
        exchange_with_all();
        break;
    }
    case edit_outcome::ending::conflict:
        responder->respond(json_response(
            conflict, {{"outcome", "not_run"},
                       {"conflicts", to_document(ended.conflicts)}}));
        break;
    case edit_outcome::ending::refused:
        responder->respond(json_response(
            unprocessable,
            {{"outcome", "not_run"}, {"findings", to_document(ended.errors)}}));
        break;
    case edit_outcome::ending::unavailable:
        responder->respond(json_response(
            unavailable,
            {{"outcome", "not_run"}, {"detail", "the store is unavailable"}}));
        break;
    case edit_outcome::ending::unknown:
        responder->respond(json_response(
            gateway_timeout,
            {{"outcome", "unknown"},
             {"detail", "the outcome of the write to the store is unknown"}}));
        break;
    }
}

void entry_control::finish_edits(time_point now)
{
    std::vector<committed_edit> pending;
    for (committed_edit& edit : committed_)
    {
        if (!edit.waiting_for.empty() && now < edit.deadline)
        {
            pending.push_back(std::move(edit));
            continue;
        }
        edit.responder->respond(
            json_response(ok, {{"revision", edit.revision}}));
    }
    committed_ = std::move(pending);
}

} // namespace springstair
