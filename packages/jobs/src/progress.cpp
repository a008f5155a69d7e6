#include <springstair/jobs.hpp>

namespace springstair
{

namespace
{

// A task is an array of values in this order; member names would triple its
// size. Members that older versions do not write or read are last.
json encode_task(const task_progress& task)
{
    json row = json::array({task.position.round, task.position.step,
                            task.position.index, task.done ? 1 : 0, task.runs,
                            task.failures, task.guard, task.executor.id,
                            task.checkpoint});
    const bool has_failed_run = task.failed_run > 0;
    const bool has_losses = task.losses > 0 || has_failed_run;
    const bool has_start_time = task.executor.born_ms != 0 || has_losses;
    if (task.suspicion > 0 || has_start_time)
    {
        row.push_back(task.suspicion);
        row.push_back(task.crashes);
        row.push_back(task.judged_run);
    }
    if (has_start_time)
    {
        row.push_back(task.executor.born_ms);
    }
    if (has_losses)
    {
        row.push_back(task.losses);
    }
    if (has_failed_run)
    {
        row.push_back(task.failed_run);
    }
    return row;
}

task_progress decode_task(const json& row)
{
    const bool has_suspicion = row.size() > 11;
    const bool has_start_time = row.size() > 12;
    const bool has_losses = row.size() > 13;
    const bool has_failed_run = row.size() > 14;
    return {
        .position = {.round = row.at(0), .step = row.at(1), .index = row.at(2)},
        .done = row.at(3).get<int>() != 0,
        .runs = row.at(4),
        .failures = row.at(5),
        .failed_run = has_failed_run ? row.at(14).get<std::int64_t>() : 0,
        .guard = row.at(6),
        .executor = {row.at(7).get<std::string>(),
                     has_start_time ? row.at(12).get<std::int64_t>() : 0},
        .checkpoint = row.at(8),
        .suspicion = has_suspicion ? row.at(9).get<std::int64_t>() : 0,
        .crashes = has_suspicion ? row.at(10).get<std::int64_t>() : 0,
        .judged_run = has_suspicion ? row.at(11).get<std::int64_t>() : 0,
        .losses = has_losses ? row.at(13).get<std::int64_t>() : 0};
}

job_state decode_state(const json& number)
{
    const auto state = static_cast<job_state>(number.get<std::uint8_t>());
    if (to_string(state).empty() || number != json(static_cast<int>(state)))
    {
        throw document_error("a job's progress: " + number.dump() +
                             " is no state");
    }
    return state;
}

} // namespace

std::string encode(const job_progress& progress)
{
    json tasks = json::array();
    for (const task_progress& task : progress.tasks)
    {
        tasks.push_back(encode_task(task));
    }
    return json{{"state", static_cast<int>(progress.state)}, {"tasks", tasks}}
        .dump();
}

job_progress decode_progress(const std::string& text)
{
    try
    {
        const json document = parse_json(text);
        job_progress progress;
        progress.state = decode_state(document.at("state"));
        for (const json& row : document.at("tasks"))
        {
            progress.tasks.push_back(decode_task(row));
        }
        return progress;
    }
    catch (const json::exception& error)
    {
        throw document_error(std::string("a job's progress: ") + error.what());
    }
}

} // namespace springstair
