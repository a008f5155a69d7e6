#include <springstair/jobs.hpp>

#include <algorithm>

namespace springstair
{

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
