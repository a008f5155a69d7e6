#include <springstair/scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace springstair
{

namespace
{

// A task without samples for this long is taken to have ended.
constexpr duration retention = std::chrono::seconds(10);

} // namespace

interference_model::interference_model(interference_model_options options)
    : options_(options)
{
}

std::optional<std::size_t>
interference_model::index_of(const std::string& filling)
{
    const auto found = images_.find(filling);
    if (found != images_.end())
    {
        return found->second;
    }
    if (images_.size() >= options_.max_images)
    {
        return std::nullopt;
    }
    const std::size_t index = images_.size();
    images_.emplace(filling, index);
    return index;
}

std::vector<std::pair<std::size_t, double>>
interference_model::changes(const fill_usage& before, const fill_usage& after)
{
    fill_usage difference = after;
    for (const auto& [filling, use] : before)
    {
        difference[filling] -= use;
    }
    std::vector<std::pair<std::size_t, double>> significant;
    for (const auto& [filling, change] : difference)
    {
        const auto index = index_of(filling);
        if (index && std::abs(change) >= options_.min_change)
        {
            significant.emplace_back(*index, change);
        }
    }
    return significant;
}

void interference_model::observe(const serving_sample& sample,
                                 const fill_usage& beside, time_point now)
{
    forget_old(now);
    headroom_sample current{.headroom = sample.headroom, .beside = beside};
    sibling_headroom& siblings = siblings_[sample.job];
    past_sample& previous = last_[sample.task];
    const auto others = siblings.mean_without(sample.task);
    const bool learned = others && compare(sample.image, *others, current);
    if (!learned && now - previous.recorded_at <= options_.max_gap)
    {
        compare(sample.image, previous.sample, current);
    }
    previous = {.recorded_at = now, .sample = current};
    siblings.record(sample.task, std::move(current), now);
}

// Learns from the difference of two samples under the same load. Returns false
// if the headroom is too small or the usage differs too little to learn from.
bool interference_model::compare(const std::string& serving,
                                 const headroom_sample& reference,
                                 const headroom_sample& sample)
{
    if (std::max(reference.headroom, sample.headroom) < options_.min_headroom)
    {
        return false;
    }
    const auto usage_changes = changes(reference.beside, sample.beside);
    if (usage_changes.empty())
    {
        return false;
    }
    learn(fits_[serving], reference.headroom - sample.headroom, usage_changes);
    return true;
}

void interference_model::learn(
    fit& estimate, double loss,
    const std::vector<std::pair<std::size_t, double>>& changes)
{
    resize(estimate);
    for (std::size_t row = 0; row < estimate.harms.size(); ++row)
    {
        estimate.targets[row] *= options_.decay;
        for (double& cell : estimate.products[row])
        {
            cell *= options_.decay;
        }
    }
    for (const auto& [row, row_change] : changes)
    {
        estimate.targets[row] += row_change * loss;
        for (const auto& [column, column_change] : changes)
        {
            estimate.products[row][column] += row_change * column_change;
        }
    }
    solve(estimate);
}

void interference_model::resize(fit& estimate) const
{
    const std::size_t size = images_.size();
    estimate.products.resize(size);
    estimate.targets.resize(size);
    estimate.harms.resize(size, options_.default_interference);
    for (std::vector<double>& row : estimate.products)
    {
        row.resize(size);
    }
}

std::vector<pair_interference> interference_model::known() const
{
    std::vector<pair_interference> out;
    for (const auto& [serving, estimate] : fits_)
    {
        for (const auto& [filling, index] : images_)
        {
            const bool is_fitted = index < estimate.harms.size();
            if (is_fitted && estimate.harms[index] >= options_.min_interference)
            {
                out.push_back({.serving = serving,
                               .filling = filling,
                               .harm = estimate.harms[index]});
            }
        }
    }
    return out;
}

void interference_model::adopt(const std::vector<pair_interference>& harms)
{
    for (const pair_interference& one : harms)
    {
        const auto index = index_of(one.filling);
        if (!index)
        {
            continue;
        }
        fit& estimate = fits_[one.serving];
        resize(estimate);
        estimate.products[*index][*index] += options_.inherited_weight;
        estimate.targets[*index] += options_.inherited_weight * one.harm;
        solve(estimate);
    }
}

// Coordinate descent on weighted least squares, with coefficients kept
// non-negative.
void interference_model::solve(fit& estimate) const
{
    const std::size_t size = estimate.harms.size();
    for (int iteration = 0; iteration < options_.fit_iterations; ++iteration)
    {
        for (std::size_t row = 0; row < size; ++row)
        {
            double residual = estimate.targets[row];
            for (std::size_t column = 0; column < size; ++column)
            {
                if (column != row)
                {
                    residual -=
                        estimate.products[row][column] * estimate.harms[column];
                }
            }
            const double weight =
                estimate.products[row][row] + options_.prior_weight;
            estimate.harms[row] =
                std::max(0.0, (residual + options_.prior_weight *
                                              options_.default_interference) /
                                  weight);
        }
    }
}

void interference_model::forget_old(time_point now)
{
    if (now < next_cleaning_)
    {
        return;
    }
    next_cleaning_ = now + retention;
    std::erase_if(last_, [now](const auto& entry)
                  { return now - entry.second.recorded_at > retention; });
    std::erase_if(siblings_, [now](const auto& entry)
                  { return now - entry.second.last_recorded() > retention; });
}

double
interference_model::interference_coefficient(const std::string& serving,
                                             const std::string& filling) const
{
    const auto found = fits_.find(serving);
    const auto image = images_.find(filling);
    const bool known = found != fits_.end() && image != images_.end() &&
                       image->second < found->second.harms.size();
    return known ? found->second.harms[image->second]
                 : options_.default_interference;
}

double interference_model::interference_of(const std::string& serving,
                                           const fill_usage& beside) const
{
    double sum = 0;
    for (const auto& [filling, use] : beside)
    {
        sum += interference_coefficient(serving, filling) * use;
    }
    return sum;
}

} // namespace springstair
