#include <springstair/jobs.hpp>

#include <map>
#include <optional>
#include <tuple>

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

// Names of guards and executors, each stored once. Such a record is written
// only if the plain form is too large, as earlier versions cannot read it.
class name_table
{
public:
    // Replaces the names in a row of encode_task() by their number.
    void shorten(json& row)
    {
        const std::pair<std::string, std::string> names{row.at(guard_column),
                                                        row.at(id_column)};
        if (names.first.empty())
        {
            return;
        }
        const auto [found, is_new] = numbers_.try_emplace(names, rows_.size());
        if (is_new)
        {
            rows_.push_back(json::array({names.first, names.second}));
        }
        row.at(guard_column) = found->second;
        row.at(id_column) = "";
    }

    [[nodiscard]] const json& rows() const noexcept
    {
        return rows_;
    }

    // The row with its names, which `rows` lists.
    static json expanded(json row, const json& rows)
    {
        if (row.at(guard_column).is_number())
        {
            const json& names =
                rows.at(row.at(guard_column).get<std::size_t>());
            row.at(guard_column) = names.at(0);
            row.at(id_column) = names.at(1);
        }
        return row;
    }

private:
    static constexpr std::size_t guard_column = 6;
    static constexpr std::size_t id_column = 7;

    json rows_ = json::array();
    std::map<std::pair<std::string, std::string>, std::size_t> numbers_;
};

std::size_t checkpoint_bytes(const job_progress& progress)
{
    std::size_t bytes = 0;
    for (const task_progress& task : progress.tasks)
    {
        bytes += task.checkpoint.size();
    }
    return bytes;
}

std::string encode_with_name_table(const job_progress& progress)
{
    name_table names;
    json tasks = json::array();
    for (const task_progress& task : progress.tasks)
    {
        tasks.push_back(encode_task(task));
        names.shorten(tasks.back());
    }
    return json{{"state", static_cast<int>(progress.state)},
                {"names", names.rows()},
                {"tasks", tasks}}
        .dump();
}

// Fills `to`, which has no checkpoints, with those of the tasks that wait or of
// those that run. Returns the bytes that are left.
std::size_t add_checkpoints(const job_progress& from, bool waiting,
                            std::size_t bytes_left, limited_record& record,
                            job_progress& to)
{
    for (std::size_t index = 0; index < from.tasks.size(); ++index)
    {
        const task_progress& task = from.tasks[index];
        if (task.guard.empty() != waiting || task.checkpoint.empty())
        {
            continue;
        }
        const std::size_t bytes = json(task.checkpoint).dump().size();
        if (bytes > bytes_left)
        {
            ++record.checkpoints_left_out;
            continue;
        }
        bytes_left -= bytes;
        to.tasks[index].checkpoint = task.checkpoint;
    }
    return bytes_left;
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

limited_record encode_within(const job_progress& progress,
                             std::size_t max_bytes)
{
    limited_record record;
    if (checkpoint_bytes(progress) <= max_bytes)
    {
        record.text = encode(progress);
        if (record.text.size() <= max_bytes)
        {
            return record;
        }
    }
    job_progress limited{.state = progress.state};
    for (task_progress task : progress.tasks)
    {
        task.checkpoint.clear();
        limited.tasks.push_back(std::move(task));
    }
    const std::size_t bytes = encode_with_name_table(limited).size();
    std::size_t left = bytes < max_bytes ? max_bytes - bytes : 0;
    left = add_checkpoints(progress, true, left, record, limited);
    add_checkpoints(progress, false, left, record, limited);
    record.text = encode_with_name_table(limited);
    return record;
}

job_progress decode_progress(const std::string& text)
{
    try
    {
        const json document = parse_json(text);
        job_progress progress;
        progress.state = decode_state(document.at("state"));
        const json names = document.value("names", json::array());
        for (const json& row : document.at("tasks"))
        {
            progress.tasks.push_back(
                decode_task(name_table::expanded(row, names)));
        }
        return progress;
    }
    catch (const json::exception& error)
    {
        throw document_error(std::string("a job's progress: ") + error.what());
    }
}

} // namespace springstair
