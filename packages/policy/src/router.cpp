#include <springstair/policy.hpp>

namespace springstair
{

static_assert(routing_policy<sampled_router>);
static_assert(routing_policy<random_router>);
static_assert(routing_policy<least_loaded_router>);

namespace
{

std::size_t draw(std::size_t below, random_source& random)
{
    return std::uniform_int_distribution<std::size_t>(0, below - 1)(random);
}

// The least loaded of sample_size members of a group, drawn without
// replacement.
std::size_t least_loaded_of_sample(std::vector<std::size_t> group,
                                   std::span<const route_candidate> candidates,
                                   random_source& random)
{
    const std::size_t few = std::min(group.size(), sampled_router::sample_size);
    for (std::size_t index = 0; index < few; ++index)
    {
        std::swap(group[index],
                  group[index + draw(group.size() - index, random)]);
    }
    return *std::min_element(
        group.begin(), group.begin() + static_cast<std::ptrdiff_t>(few),
        [&](std::size_t left, std::size_t right)
        { return candidates[left].load < candidates[right].load; });
}

template <class Predicate>
std::vector<std::size_t> matching(std::span<const route_candidate> candidates,
                                  Predicate wanted)
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < candidates.size(); ++index)
    {
        if (wanted(candidates[index]))
        {
            found.push_back(index);
        }
    }
    return found;
}

} // namespace

std::optional<std::size_t>
sampled_router::pick(std::span<const route_candidate> candidates,
                     random_source& random) const
{
    auto group =
        matching(candidates, [](const auto& candidate)
                 { return candidate.local && candidate.has_free_slot; });
    if (group.empty())
    {
        group = matching(candidates, [](const auto& candidate)
                         { return candidate.has_free_slot; });
    }
    if (group.empty())
    {
        group = matching(candidates, [](const auto&) { return true; });
    }
    if (group.empty())
    {
        return std::nullopt;
    }
    return least_loaded_of_sample(std::move(group), candidates, random);
}

std::optional<std::size_t>
random_router::pick(std::span<const route_candidate> candidates,
                    random_source& random) const
{
    if (candidates.empty())
    {
        return std::nullopt;
    }
    return draw(candidates.size(), random);
}

std::optional<std::size_t>
least_loaded_router::pick(std::span<const route_candidate> candidates,
                          random_source& /*random*/) const
{
    if (candidates.empty())
    {
        return std::nullopt;
    }
    const auto least = std::min_element(candidates.begin(), candidates.end(),
                                        [](const auto& left, const auto& right)
                                        { return left.load < right.load; });
    return static_cast<std::size_t>(least - candidates.begin());
}

std::optional<any_router> router_named(const std::string& name)
{
    if (name == "sampled")
    {
        return sampled_router{};
    }
    if (name == "random")
    {
        return random_router{};
    }
    if (name == "least_loaded")
    {
        return least_loaded_router{};
    }
    return std::nullopt;
}

route_candidate make_candidate(const load_report& load,
                               const outstanding_attempts& own, class_kind kind,
                               std::int64_t reserved)
{
    const auto slots = std::max<std::int64_t>(1, load.slots);
    const std::int64_t reserved_slots = std::min(reserved, slots - 1);
    const std::int64_t critical = load.running_critical + load.queued_critical -
                                  load.own_critical + own.critical;
    const std::int64_t other =
        load.running_other + load.queued_other - load.own_other + own.other;
    route_candidate candidate;
    if (kind == class_kind::latency_critical)
    {
        // Other requests can occupy at most the slots that are not reserved.
        const std::int64_t used =
            critical + std::min(other, slots - reserved_slots);
        candidate.load = static_cast<double>(used) / static_cast<double>(slots);
        candidate.has_free_slot = used < slots;
        return candidate;
    }
    const std::int64_t overflow =
        std::max<std::int64_t>(0, critical - reserved_slots);
    const std::int64_t used = other + overflow;
    candidate.load =
        static_cast<double>(used) / static_cast<double>(slots - reserved_slots);
    candidate.has_free_slot = used < slots - reserved_slots;
    return candidate;
}

} // namespace springstair
