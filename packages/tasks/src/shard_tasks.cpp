#include <springstair/tasks.hpp>

#include <array>
#include <charconv>

namespace springstair
{

namespace
{

constexpr std::array<std::string_view, 5> state_names{
    "queued", "placed", "finished", "failed", "cancelled"};
constexpr std::array<std::string_view, 8> step_names{
    "accept", "place", "evict", "lose", "retry", "finish", "fail", "cancel"};

template <class Enum>
Enum enum_from(const json& document)
{
    const auto name = document.get<std::string>();
    if (const auto value = from_string<Enum>(name))
    {
        return *value;
    }
    throw document_error(name + " is not a known value");
}

} // namespace

std::string_view to_string(task_state value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < state_names.size() ? state_names[index] : std::string_view{};
}

std::string_view to_string(task_transition::step value) noexcept
{
    const auto index = static_cast<std::size_t>(value);
    return index < step_names.size() ? step_names[index] : std::string_view{};
}

std::optional<std::int64_t> shard_of(const std::string& task)
{
    const std::size_t dash = task.find('-');
    if (dash == std::string::npos || dash < 2 || task.front() != 't')
    {
        return std::nullopt;
    }
    std::int64_t shard = 0;
    const char* const end = task.data() + dash;
    const auto [parsed, error] = std::from_chars(task.data() + 1, end, shard);
    if (error != std::errc{} || parsed != end || shard < 0)
    {
        return std::nullopt;
    }
    return shard;
}

// ---------------------------------------------------------------------------
// Steps
// ---------------------------------------------------------------------------

void shard_tasks::end(task_record& record, task_state state,
                      const std::string& detail)
{
    record.state = state;
    record.detail = detail;
    record.checkpoint.clear();
    record.spec.payload.clear();
    ended_.push_back(record.spec.id);
    if (ended_.size() > kept_ended)
    {
        records_.erase(ended_.front());
        ended_.pop_front();
    }
}

bool shard_tasks::apply(const task_transition& step)
{
    using what = task_transition::step;
    if (step.what == what::accept)
    {
        task_record fresh;
        fresh.spec = step.spec.value_or(task_spec{});
        return records_.emplace(step.task, std::move(fresh)).second;
    }
    const auto found = records_.find(step.task);
    if (found == records_.end() || is_final(found->second.state))
    {
        return false;
    }
    task_record& record = found->second;
    if (step.what == what::cancel)
    {
        end(record, task_state::cancelled, step.detail);
        return true;
    }
    if (step.what == what::fail && step.attempt == 0)
    {
        end(record, task_state::failed, step.detail);
        return true;
    }
    if (step.what == what::place)
    {
        const bool follows = record.state == task_state::queued &&
                             step.attempt == record.attempt + 1;
        if (follows)
        {
            record.state = task_state::placed;
            record.attempt = step.attempt;
            record.guard = step.guard;
            record.incarnation = step.incarnation;
        }
        return follows;
    }
    // The remaining transitions are valid only for the placed attempt.
    if (record.state != task_state::placed || step.attempt != record.attempt)
    {
        return false;
    }
    switch (step.what)
    {
    case what::evict:
        record.state = task_state::queued;
        record.checkpoint = step.detail;
        ++record.evictions;
        break;
    case what::lose:
        record.state = task_state::queued;
        break;
    case what::retry:
        record.state = task_state::queued;
        record.detail = step.detail;
        ++record.failures;
        break;
    case what::finish:
        end(record, task_state::finished, step.detail);
        break;
    default:
        end(record, task_state::failed, step.detail);
        break;
    }
    return true;
}

const task_record* shard_tasks::find(const std::string& task) const
{
    const auto found = records_.find(task);
    return found == records_.end() ? nullptr : &found->second;
}

json shard_tasks::to_document() const
{
    json tasks = json::array();
    for (const auto& [id, record] : records_)
    {
        tasks.push_back(record);
    }
    return {{"tasks", tasks}, {"ended", ended_}};
}

shard_tasks shard_tasks::parse(const json& document)
{
    shard_tasks parsed;
    for (const json& item : document.at("tasks"))
    {
        auto record = item.get<task_record>();
        const std::string id = record.spec.id;
        parsed.records_.emplace(id, std::move(record));
    }
    document.at("ended").get_to(parsed.ended_);
    return parsed;
}

// ---------------------------------------------------------------------------
// Serialization
// ---------------------------------------------------------------------------

void to_json(json& document, const task_spec& value)
{
    document = {{"id", value.id},
                {"workspace", value.of.workspace},
                {"class", value.of.work_class},
                {"needs", value.needs},
                {"run_ms", value.run_ms},
                {"urgent", value.urgent},
                {"payload", value.payload}};
}

void from_json(const json& document, task_spec& value)
{
    document.at("id").get_to(value.id);
    document.at("workspace").get_to(value.of.workspace);
    document.at("class").get_to(value.of.work_class);
    document.at("needs").get_to(value.needs);
    document.at("run_ms").get_to(value.run_ms);
    document.at("urgent").get_to(value.urgent);
    document.at("payload").get_to(value.payload);
}

void to_json(json& document, const task_record& value)
{
    document = {{"spec", value.spec},
                {"state", to_string(value.state)},
                {"attempt", value.attempt},
                {"guard", value.guard},
                {"incarnation", value.incarnation},
                {"checkpoint", value.checkpoint},
                {"failures", value.failures},
                {"evictions", value.evictions},
                {"detail", value.detail}};
}

void from_json(const json& document, task_record& value)
{
    document.at("spec").get_to(value.spec);
    value.state = enum_from<task_state>(document.at("state"));
    document.at("attempt").get_to(value.attempt);
    document.at("guard").get_to(value.guard);
    document.at("incarnation").get_to(value.incarnation);
    document.at("checkpoint").get_to(value.checkpoint);
    document.at("failures").get_to(value.failures);
    document.at("evictions").get_to(value.evictions);
    document.at("detail").get_to(value.detail);
}

void to_json(json& document, const task_transition& value)
{
    document = {{"step", to_string(value.what)}, {"task", value.task}};
    if (value.attempt != 0)
    {
        document["attempt"] = value.attempt;
    }
    if (!value.guard.empty())
    {
        document["guard"] = value.guard;
        document["incarnation"] = value.incarnation;
    }
    if (!value.detail.empty())
    {
        document["detail"] = value.detail;
    }
    if (value.spec)
    {
        document["spec"] = *value.spec;
    }
}

void from_json(const json& document, task_transition& value)
{
    value.what = enum_from<task_transition::step>(document.at("step"));
    document.at("task").get_to(value.task);
    value.attempt = document.value("attempt", std::int64_t{0});
    value.guard = document.value("guard", std::string());
    value.incarnation = document.value("incarnation", std::string());
    value.detail = document.value("detail", std::string());
    if (const auto spec = document.find("spec"); spec != document.end())
    {
        value.spec = spec->get<task_spec>();
    }
}

} // namespace springstair
