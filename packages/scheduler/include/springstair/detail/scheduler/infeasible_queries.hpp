#pragma once

#include <springstair/detail/scheduler/placement.hpp>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace springstair
{

/// @brief Searches of one placement pass that found no worker.
///
/// Within a pass free capacity only shrinks, so a task that demands at least as
/// much as one without a worker finds none either. Hundreds of waiting tasks of
/// a few images then need only a few searches.
class infeasible_queries
{
public:
    /// @brief A pass begins: free capacity may have grown.
    void clear()
    {
        known_.clear();
    }

    /// @brief Records that the query found no worker.
    void record(const placement_query& query)
    {
        if (is_comparable(query))
        {
            known_[key_of(query)].push_back(
                {.demand = query.step.demand,
                 .run_time = query.urgent_run_time.value_or(duration{0})});
        }
    }

    /// @brief Whether earlier failed searches imply that this one fails.
    [[nodiscard]] bool covers(const placement_query& query) const
    {
        const auto found = known_.find(key_of(query));
        if (found == known_.end() || !is_comparable(query))
        {
            return false;
        }
        const duration run_time = query.urgent_run_time.value_or(duration{0});
        return std::any_of(found->second.begin(), found->second.end(),
                           [&](const failed_search& failed)
                           {
                               return failed.demand.fits(query.step.demand) &&
                                      failed.run_time <= run_time;
                           });
    }

private:
    struct failed_search
    {
        resources demand;
        /// Of an urgent task: a shorter one may use more reserved capacity.
        duration run_time{0};
    };

    // Tasks of different classes may use different parts of the free capacity:
    // see available_to().
    enum class capacity_class : std::uint8_t
    {
        short_run,
        urgent,
        lasting,
        lasting_despite_holds
    };

    using key =
        std::tuple<std::string, std::string, std::string, bool, capacity_class>;

    static capacity_class class_of(const placement_query& query)
    {
        if (query.step.lasting)
        {
            return query.ignores_holds ? capacity_class::lasting_despite_holds
                                       : capacity_class::lasting;
        }
        return query.urgent_run_time ? capacity_class::urgent
                                     : capacity_class::short_run;
    }

    // The bound per worker and tickets depend on the job, ignored interference
    // on the waiting time, and suspects on the isolations in progress.
    static bool is_comparable(const placement_query& query)
    {
        return query.step.most_per_worker == 0 && !query.ignore_interference &&
               !query.is_suspect && query.tickets == nullptr;
    }

    static key key_of(const placement_query& query)
    {
        return {query.service, query.step.label, query.step.image,
                query.step.fills, class_of(query)};
    }

    std::map<key, std::vector<failed_search>> known_;
};

} // namespace springstair
