#include <springstair/jobs.hpp>

#include <algorithm>

namespace springstair
{

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(advice_terms, decide_ms,
                                                each_ms, valid_ms)

void to_json(json& to, const queue_row& from)
{
    to = {{"service", from.service},
          {"priority", from.priority},
          {"most_attempts", from.most_attempts},
          {"stretch", from.stretch},
          {"target_ms", from.target_ms}};
    if (from.advice)
    {
        to["advice"] = *from.advice;
    }
}

void from_json(const json& from, queue_row& to)
{
    to = {.service = from.value("service", ""),
          .priority = from.value("priority", std::int64_t{0}),
          .most_attempts = from.value("most_attempts", std::int64_t{1}),
          .stretch = from.value("stretch", 1.0),
          .target_ms = from.value("target_ms", std::int64_t{0})};
    if (from.contains("advice"))
    {
        to.advice = from.at("advice").get<advice_terms>();
    }
}

const queue_row* queue_table::queue(std::string_view name) const
{
    const auto found =
        std::find_if(queues.begin(), queues.end(),
                     [name](const queue_row& row) { return row.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const queue_row* queue_table::route(std::string_view host,
                                    std::string_view path) const
{
    const queue_row* best = nullptr;
    for (const queue_row& row : queues)
    {
        const bool matches =
            row.host == host && path.starts_with(row.path_prefix);
        if (matches && (best == nullptr ||
                        row.path_prefix.size() > best->path_prefix.size()))
        {
            best = &row;
        }
    }
    return best;
}

} // namespace springstair
