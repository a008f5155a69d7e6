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
Enum enum_from(const json& from)
{
    const auto name = from.get<std::string>();
    if (const auto value = from_string<Enum>(name))
    {
        return *value;
    }
    throw document_error(name + " is not known");
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
    // The rest is about the attempt that is placed now, and no other.
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
    shard_tasks book;
    for (const json& item : document.at("tasks"))
    {
        auto record = item.get<task_record>();
        const std::string id = record.spec.id;
        book.records_.emplace(id, std::move(record));
    }
    document.at("ended").get_to(book.ended_);
    return book;
}

// ---------------------------------------------------------------------------
// Wire form
// ---------------------------------------------------------------------------

void to_json(json& to, const task_spec& from)
{
    to = {{"id", from.id},
          {"workspace", from.of.workspace},
          {"class", from.of.work_class},
          {"needs", from.needs},
          {"run_ms", from.run_ms},
          {"urgent", from.urgent},
          {"payload", from.payload}};
}

void from_json(const json& from, task_spec& to)
{
    from.at("id").get_to(to.id);
    from.at("workspace").get_to(to.of.workspace);
    from.at("class").get_to(to.of.work_class);
    from.at("needs").get_to(to.needs);
    from.at("run_ms").get_to(to.run_ms);
    from.at("urgent").get_to(to.urgent);
    from.at("payload").get_to(to.payload);
}

void to_json(json& to, const task_record& from)
{
    to = {{"spec", from.spec},
          {"state", to_string(from.state)},
          {"attempt", from.attempt},
          {"guard", from.guard},
          {"incarnation", from.incarnation},
          {"checkpoint", from.checkpoint},
          {"failures", from.failures},
          {"evictions", from.evictions},
          {"detail", from.detail}};
}

void from_json(const json& from, task_record& to)
{
    from.at("spec").get_to(to.spec);
    to.state = enum_from<task_state>(from.at("state"));
    from.at("attempt").get_to(to.attempt);
    from.at("guard").get_to(to.guard);
    from.at("incarnation").get_to(to.incarnation);
    from.at("checkpoint").get_to(to.checkpoint);
    from.at("failures").get_to(to.failures);
    from.at("evictions").get_to(to.evictions);
    from.at("detail").get_to(to.detail);
}

void to_json(json& to, const task_transition& from)
{
    to = {{"step", to_string(from.what)}, {"task", from.task}};
    if (from.attempt != 0)
    {
        to["attempt"] = from.attempt;
    }
    if (!from.guard.empty())
    {
        to["guard"] = from.guard;
        to["incarnation"] = from.incarnation;
    }
    if (!from.detail.empty())
    {
        to["detail"] = from.detail;
    }
    if (from.spec)
    {
        to["spec"] = *from.spec;
    }
}

void from_json(const json& from, task_transition& to)
{
    to.what = enum_from<task_transition::step>(from.at("step"));
    from.at("task").get_to(to.task);
    to.attempt = from.value("attempt", std::int64_t{0});
    to.guard = from.value("guard", std::string());
    to.incarnation = from.value("incarnation", std::string());
    to.detail = from.value("detail", std::string());
    if (const auto spec = from.find("spec"); spec != from.end())
    {
        to.spec = spec->get<task_spec>();
    }
}

} // namespace springstair
