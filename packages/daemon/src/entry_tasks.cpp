// Tasks: callers' submissions, queries and cancellations, and calls to guards.

#include "entry_control.hpp"

#include <set>
#include <utility>

namespace springstair
{

namespace
{

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int partial_content = 206;
constexpr std::string_view tasks_path = "/v1/tasks";
constexpr duration call_deadline = std::chrono::seconds(5);
constexpr duration forward_timeout = std::chrono::seconds(6);
constexpr duration list_timeout = std::chrono::seconds(1);
constexpr std::int64_t max_cpu_millis = 10'000'000;
constexpr std::int64_t max_run_ms = std::int64_t{30} * 24 * 3600 * 1000;

json to_answer(const task_record& record)
{
    json answer{{"id", record.spec.id},
                {"workspace", record.spec.of.workspace},
                {"class", record.spec.of.work_class},
                {"state", to_string(record.state)},
                {"attempt", record.attempt},
                {"evictions", record.evictions},
                {"failures", record.failures}};
    if (!record.guard.empty())
    {
        answer["worker"] = record.guard;
    }
    if (!record.detail.empty())
    {
        answer["detail"] = record.detail;
    }
    return answer;
}

// Parses a submission. Throws document_error with every finding.
task_spec parse_submission(const json& body, const std::string& workspace)
{
    findings wrong;
    object_reader reader(body, "", wrong);
    task_spec spec;
    spec.of = {.workspace = workspace, .work_class = reader.text("class")};
    spec.needs.cpu_millis = reader.integer("cpu_millis", std::nullopt,
                                           {.min = 1, .max = max_cpu_millis});
    spec.needs.memory_mb =
        reader.integer("memory_mb", std::nullopt, {.min = 1});
    spec.needs.accelerators = reader.integer("accelerators", 0);
    spec.run_ms = reader.integer("run_ms", 0, {.max = max_run_ms});
    spec.urgent = reader.boolean("urgent", false);
    spec.payload = reader.text("payload", std::string());
    reader.reject_unknown();
    if (!wrong.empty())
    {
        throw document_error(std::move(wrong));
    }
    return spec;
}

} // namespace

// ---------------------------------------------------------------------------
// Callers
// ---------------------------------------------------------------------------

void entry_control::on_task_call(http_arrival& arrival,
                                 const std::string& workspace)
{
    const http_request& request = arrival.request;
    std::string rest = request.path.substr(tasks_path.size());
    if (rest.empty())
    {
        request.method == "POST" ? on_submit(arrival, workspace)
                                 : on_list(arrival, workspace);
        return;
    }
    rest.erase(0, 1);
    const bool cancel = request.method == "DELETE";
    if (!cancel && request.method != "GET")
    {
        answer_not_found(*arrival.responder);
        return;
    }
    on_one_task(arrival, workspace, rest, cancel);
}

void entry_control::on_submit(http_arrival& arrival,
                              const std::string& workspace)
{
    try
    {
        task_spec spec =
            parse_submission(parse_body(arrival.request.body), workspace);
        const task_call call = next_number_++;
        task_calls_[call] = arrival.responder;
        task_actions actions;
        tasks_.on_submit(call, clock_.now() + call_deadline, std::move(spec),
                         requests_.guards().all(), actions);
        carry_out(actions);
    }
    catch (const document_error& error)
    {
        arrival.responder->respond(to_response(
            {.reason = refusal::bad_request, .detail = error.what()}));
    }
}

void entry_control::on_one_task(http_arrival& arrival,
                                const std::string& workspace,
                                const std::string& task, bool cancel)
{
    const task_record* const record = tasks_.find(task);
    if (record == nullptr)
    {
        if (const auto refused = tasks_.refuse_unreadable(task))
        {
            arrival.responder->respond(to_response(*refused));
        }
        else if (!forward_task_call(arrival, workspace, task))
        {
            answer_not_found(*arrival.responder);
        }
        return;
    }
    if (record->spec.of.workspace != workspace)
    {
        answer_not_found(*arrival.responder);
        return;
    }
    if (!cancel)
    {
        arrival.responder->respond(json_response(ok, to_answer(*record)));
        return;
    }
    const task_call call = next_number_++;
    task_calls_[call] = arrival.responder;
    task_actions actions;
    tasks_.on_cancel(call, clock_.now() + call_deadline, workspace, task,
                     actions);
    carry_out(actions);
}

// Forwards a call to the owner of the task's shard. Returns false if the task
// name is invalid or another entry has forwarded the call already.
bool entry_control::forward_task_call(http_arrival& arrival,
                                      const std::string& workspace,
                                      const std::string& task)
{
    const auto shard = shard_of(task);
    if (!shard || arrival.request.headers.contains(wire::fleet_key))
    {
        return false;
    }
    const entry_summary* const owner =
        requests_.entries().owner_of(*shard, clock_.now());
    if (owner == nullptr)
    {
        arrival.responder->respond(
            to_response({.reason = refusal::starting,
                         .retry_after = std::chrono::seconds(1),
                         .detail = "no live entry owns the task's shard"}));
        return true;
    }
    process_.client.send(
        {.method = arrival.request.method,
         .url = "http://" + owner->address + arrival.request.path,
         .headers = {{wire::fleet_key, process_.own_settings.common.fleet_key},
                     {wire::workspace, workspace}},
         .body = {},
         .timeout = forward_timeout},
        [&process = process_, responder = arrival.responder](http_result result)
        {
            process.events.post(forward_ended{responder, std::move(result)});
        });
    return true;
}

void entry_control::on(forward_ended& ended)
{
    if (ended.result.how == delivery::answered)
    {
        ended.result.response.headers =
            end_to_end_headers(ended.result.response.headers);
        ended.responder->respond(std::move(ended.result.response));
        return;
    }
    const bool not_sent = ended.result.how == delivery::not_sent;
    ended.responder->respond(
        to_response({.result = not_sent ? outcome::not_run : outcome::unknown,
                     .reason = refusal::connection_lost,
                     .retry_after = std::chrono::seconds(1)}));
}

void entry_control::on_list(http_arrival& arrival, const std::string& workspace)
{
    const std::uint64_t number = next_number_++;
    task_list& list = task_lists_[number];
    list.responder = arrival.responder;
    for (const task_record& record : tasks_.records_of(workspace))
    {
        list.tasks.push_back(to_answer(record));
    }
    list.complete = tasks_.unreadable_shards().empty();
    if (!arrival.request.headers.contains(wire::fleet_key))
    {
        request_list_parts(number, workspace);
    }
    finish_list(number);
}

// Queries the owners of the shards that this entry does not own. Without a live
// owner of each, the list is incomplete.
void entry_control::request_list_parts(std::uint64_t number,
                                       const std::string& workspace)
{
    const std::vector<std::int64_t> owned = tasks_.owned_shards();
    const std::set<std::int64_t> own(owned.begin(), owned.end());
    task_list& list = task_lists_.at(number);
    std::set<std::string> addresses;
    for (std::int64_t shard = 0; shard < process_.own_settings.entry.shards;
         ++shard)
    {
        const entry_summary* const owner =
            requests_.entries().owner_of(shard, clock_.now());
        if (own.contains(shard))
        {
            continue;
        }
        if (owner == nullptr)
        {
            list.complete = false;
            continue;
        }
        addresses.insert(owner->address);
    }
    list.outstanding = addresses.size();
    for (const std::string& address : addresses)
    {
        process_.client.send(
            {.method = "GET",
             .url = "http://" + address + std::string(tasks_path),
             .headers = {{wire::fleet_key,
                          process_.own_settings.common.fleet_key},
                         {wire::workspace, workspace}},
             .body = {},
             .timeout = list_timeout},
            [&process = process_, number](http_result result) {
                process.events.post(list_part_ended{number, std::move(result)});
            });
    }
}

void entry_control::on(list_part_ended& ended)
{
    const auto found = task_lists_.find(ended.list);
    if (found == task_lists_.end())
    {
        return;
    }
    task_list& list = found->second;
    --list.outstanding;
    const json part = ended.result.how == delivery::answered
                          ? try_parse_json(*ended.result.response.body)
                          : json();
    if (part.is_object() && part.contains("tasks"))
    {
        list.complete = list.complete && part.value("complete", json()) == true;
        for (const json& task : part["tasks"])
        {
            list.tasks.push_back(task);
        }
    }
    else
    {
        list.complete = false;
    }
    finish_list(ended.list);
}

void entry_control::finish_list(std::uint64_t number)
{
    const task_list& list = task_lists_.at(number);
    if (list.outstanding > 0)
    {
        return;
    }
    list.responder->respond(
        json_response(list.complete ? ok : partial_content,
                      {{"tasks", list.tasks}, {"complete", list.complete}}));
    task_lists_.erase(number);
}

// ---------------------------------------------------------------------------
// Actions of the task state machine
// ---------------------------------------------------------------------------

void entry_control::carry_out(const task_actions& actions)
{
    carry_out_for(store_user::tasks, actions);
}

void entry_control::act(const task_answer& answer)
{
    const auto found = task_calls_.find(answer.call);
    if (found == task_calls_.end())
    {
        return;
    }
    if (answer.record)
    {
        const bool in_progress = !is_final(answer.record->state);
        found->second->respond(json_response(in_progress ? accepted : ok,
                                             to_answer(*answer.record)));
    }
    else
    {
        found->second->respond(
            to_response(answer.problem.value_or(problem_report{})));
    }
    task_calls_.erase(found);
}

void entry_control::act(const send_start& start)
{
    process_.client.send(
        make_rpc_call(start.address, process_.own_settings.common.fleet_key,
                      wire::start_task_method, start.request),
        [&process = process_, request = start.request](http_result result) {
            process.events.post(start_ended{request, std::move(result)});
        });
}

void entry_control::act(const send_stop& stop)
{
    process_.client.send(
        make_rpc_call(stop.address, process_.own_settings.common.fleet_key,
                      wire::stop_task_method, stop.request),
        [&process = process_, request = stop.request](http_result result) {
            process.events.post(stop_ended{request, std::move(result)});
        });
}

void entry_control::act(const log_shard& note)
{
    log_event(note.event, {{"shard", std::to_string(note.shard)}});
}

void entry_control::act(const log_unreadable& note)
{
    log_event(event_id::shard_unreadable,
              {{"shard", std::to_string(note.found.shard)},
               {"key", note.found.record.key},
               {"why", note.found.record.why}});
}

void entry_control::act(const log_task_end& note)
{
    log_event(event_id::task_ended,
              {{"task", note.record.spec.id},
               {"state", std::string(to_string(note.record.state))}});
    process_.numbers.count("tasks", note.record.spec.of,
                           to_string(note.record.state));
}

void entry_control::on(start_ended& ended)
{
    if (const auto reply = rpc_answer_of<task_reply>(ended.result))
    {
        tasks_.on_start_reply(ended.start, *reply);
    }
}

void entry_control::on(stop_ended& ended)
{
    if (const auto reply = rpc_answer_of<task_reply>(ended.result))
    {
        tasks_.on_stop_reply(ended.stop, *reply);
    }
}

} // namespace springstair
