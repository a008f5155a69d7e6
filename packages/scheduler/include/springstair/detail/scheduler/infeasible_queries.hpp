#pragma once

#include <springstair/detail/scheduler/placement.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace springstair
{

/// @brief Searches of one pass that found no worker.
///
/// Within a pass room only shrinks, so a task that asks for as much as one
/// that found nothing, or more, finds nothing either. Hundreds of waiting
/// tasks of a few images then cost a few searches.
class infeasible_queries
{
public:
    /// @brief A pass begins: room may have grown.
    void clear()
    {
        known_.clear();
    }

    /// @brief The query found no worker.
    void note(const placement_query& query)
    {
        if (is_comparable(query))
        {
            known_[key_of(query)].push_back(query.step.demand);
        }
    }

    /// @brief Whether it surely finds none, by those before it.
    [[nodiscard]] bool covers(const placement_query& query) const
    {
        const auto found = known_.find(key_of(query));
        if (found == known_.end() || !is_comparable(query))
        {
            return false;
        }
        return std::any_of(found->second.begin(), found->second.end(),
                           [&](const resources& less)
                           { return less.fits(query.step.demand); });
    }

private:
    using key = std::tuple<std::string, std::string, std::string, bool>;

    // Bounds a worker and tickets depend on the job; who waited too long on
    // the moment. Suspects are bound by the trials that are under way.
    static bool is_comparable(const placement_query& query)
    {
        return query.step.most_per_worker == 0 && !query.ignore_interference &&
               !query.isolated && query.tickets == nullptr;
    }

    static key key_of(const placement_query& query)
    {
        return {query.service, query.step.label, query.step.image,
                query.step.fills};
    }

    std::map<key, std::vector<resources>> known_;
};

} // namespace springstair
