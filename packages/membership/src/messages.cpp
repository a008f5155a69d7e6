#include <springstair/membership.hpp>

#include <sstream>

namespace springstair
{

bool resources::fits(const resources& room) const noexcept
{
    return cpu_millis <= room.cpu_millis && memory_mb <= room.memory_mb &&
           accelerators <= room.accelerators;
}

resources& resources::operator+=(const resources& other) noexcept
{
    cpu_millis += other.cpu_millis;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(const resources& other) noexcept
{
    cpu_millis -= other.cpu_millis;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(load_report, slots, running_critical,
                                   running_other, queued_critical, queued_other,
                                   own_critical, own_other)

void to_json(json& to, const resources& from)
{
    to = {{"cpu_millis", from.cpu_millis},
          {"memory_mb", from.memory_mb},
          {"accelerators", from.accelerators}};
}

void from_json(const json& from, resources& to)
{
    from.at("cpu_millis").get_to(to.cpu_millis);
    from.at("memory_mb").get_to(to.memory_mb);
    from.at("accelerators").get_to(to.accelerators);
}

void to_json(json& to, const attempt_report& from)
{
    to = {{"task", from.task},
          {"attempt", from.attempt},
          {"state", from.state},
          {"detail", from.detail}};
}

void from_json(const json& from, attempt_report& to)
{
    from.at("task").get_to(to.task);
    from.at("attempt").get_to(to.attempt);
    from.at("state").get_to(to.state);
    from.at("detail").get_to(to.detail);
}

void to_json(json& to, const attempt_ack& from)
{
    to = {{"task", from.task},
          {"attempt", from.attempt},
          {"shard", from.shard},
          {"epoch", from.epoch}};
}

void from_json(const json& from, attempt_ack& to)
{
    from.at("task").get_to(to.task);
    from.at("attempt").get_to(to.attempt);
    from.at("shard").get_to(to.shard);
    from.at("epoch").get_to(to.epoch);
}

void to_json(json& to, const guard_report& from)
{
    to = {{"guard", from.guard.value},
          {"incarnation", from.incarnation},
          {"data_centre", from.data_centre},
          {"rack", from.rack},
          {"address", from.address},
          {"leaving", from.leaving},
          {"ready", from.ready},
          {"tasks_ready", from.tasks_ready},
          {"load", from.load},
          {"table_revision", from.table_revision},
          {"entries_heard", from.entries_heard},
          {"capacity", from.capacity},
          {"free", from.free},
          {"attempts", from.attempts}};
}

void from_json(const json& from, guard_report& to)
{
    from.at("guard").get_to(to.guard.value);
    from.at("incarnation").get_to(to.incarnation);
    from.at("data_centre").get_to(to.data_centre);
    from.at("rack").get_to(to.rack);
    from.at("address").get_to(to.address);
    from.at("leaving").get_to(to.leaving);
    from.at("ready").get_to(to.ready);
    from.at("tasks_ready").get_to(to.tasks_ready);
    from.at("load").get_to(to.load);
    from.at("table_revision").get_to(to.table_revision);
    from.at("entries_heard").get_to(to.entries_heard);
    from.at("capacity").get_to(to.capacity);
    from.at("free").get_to(to.free);
    from.at("attempts").get_to(to.attempts);
}

void to_json(json& to, const heartbeat_answer& from)
{
    to = {{"entry", from.entry.value},
          {"table", from.table},
          {"entries", from.entries},
          {"acked", from.acked}};
}

void from_json(const json& from, heartbeat_answer& to)
{
    from.at("entry").get_to(to.entry.value);
    to.table = from.at("table");
    from.at("entries").get_to(to.entries);
    from.at("acked").get_to(to.acked);
}

void to_json(json& to, const entry_summary& from)
{
    to = {
        {"entry", from.entry.value},    {"incarnation", from.incarnation},
        {"address", from.address},      {"data_centre", from.data_centre},
        {"leaving", from.leaving},      {"table_revision", from.table_revision},
        {"table", from.table},          {"entries", from.entries},
        {"wants", from.wants},          {"lends", from.lends},
        {"holds", from.holds},          {"shards", from.shards},
        {"task_usage", from.task_usage}};
}

void from_json(const json& from, entry_summary& to)
{
    from.at("entry").get_to(to.entry.value);
    from.at("incarnation").get_to(to.incarnation);
    from.at("address").get_to(to.address);
    from.at("data_centre").get_to(to.data_centre);
    from.at("leaving").get_to(to.leaving);
    from.at("table_revision").get_to(to.table_revision);
    to.table = from.at("table");
    from.at("entries").get_to(to.entries);
    from.at("wants").get_to(to.wants);
    from.at("lends").get_to(to.lends);
    from.at("holds").get_to(to.holds);
    from.at("shards").get_to(to.shards);
    from.at("task_usage").get_to(to.task_usage);
}

std::string to_header(const load_report& load)
{
    std::ostringstream text;
    text << load.slots << ' ' << load.running_critical << ' '
         << load.running_other << ' ' << load.queued_critical << ' '
         << load.queued_other << ' ' << load.own_critical << ' '
         << load.own_other;
    return text.str();
}

std::optional<load_report> load_of_header(const std::string& text)
{
    std::istringstream in(text);
    load_report load;
    in >> load.slots >> load.running_critical >> load.running_other >>
        load.queued_critical >> load.queued_other >> load.own_critical >>
        load.own_other;
    if (!in)
    {
        return std::nullopt;
    }
    return load;
}

} // namespace springstair
