#include <springstair/scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace springstair
{

namespace
{

// Tasks without figures for so long have ended.
constexpr duration cleaning = std::chrono::seconds(10);

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
interference_model::changes(const fill_usage& from, const fill_usage& to)
{
    fill_usage difference = to;
    for (const auto& [filling, use] : from)
    {
        difference[filling] -= use;
    }
    std::vector<std::pair<std::size_t, double>> out;
    for (const auto& [filling, change] : difference)
    {
        const auto index = index_of(filling);
        if (index && std::abs(change) >= options_.min_change)
        {
            out.emplace_back(*index, change);
        }
    }
    return out;
}

void interference_model::observe(const serving_figure& from,
                                 const fill_usage& beside, time_point now)
{
    forget_old(now);
    headroom_sample seen{.headroom = from.headroom, .beside = beside};
    sibling_headroom& siblings = siblings_[from.job];
    past_figure& before = last_[from.task];
    const auto others = siblings.mean_without(from.task);
    const bool told = others && compare(from.image, *others, seen);
    if (!told && now - before.at <= options_.max_gap)
    {
        compare(from.image, before.figure, seen);
    }
    before = {.at = now, .figure = seen};
    siblings.note(from.task, std::move(seen), now);
}

// Learns from the difference of two figures of one load, if it says anything.
bool interference_model::compare(const std::string& serving,
                                 const headroom_sample& with,
                                 const headroom_sample& seen)
{
    if (std::max(with.headroom, seen.headroom) < options_.min_headroom)
    {
        return false;
    }
    const auto more = changes(with.beside, seen.beside);
    if (more.empty())
    {
        return false;
    }
    learn(fits_[serving], with.headroom - seen.headroom, more);
    return true;
}

void interference_model::learn(
    fit& of, double loss,
    const std::vector<std::pair<std::size_t, double>>& changes)
{
    resize(of);
    for (std::size_t row = 0; row < of.harms.size(); ++row)
    {
        of.targets[row] *= options_.memory;
        for (double& cell : of.products[row])
        {
            cell *= options_.memory;
        }
    }
    for (const auto& [row, left] : changes)
    {
        of.targets[row] += left * loss;
        for (const auto& [column, right] : changes)
        {
            of.products[row][column] += left * right;
        }
    }
    solve(of);
}

void interference_model::resize(fit& of) const
{
    const std::size_t size = images_.size();
    of.products.resize(size);
    of.targets.resize(size);
    of.harms.resize(size, options_.assumed);
    for (std::vector<double>& row : of.products)
    {
        row.resize(size);
    }
}

std::vector<pair_interference> interference_model::known() const
{
    std::vector<pair_interference> out;
    for (const auto& [serving, of] : fits_)
    {
        for (const auto& [filling, index] : images_)
        {
            const bool fitted = index < of.harms.size();
            if (fitted && of.harms[index] >= options_.min_interference)
            {
                out.push_back({.serving = serving,
                               .filling = filling,
                               .harm = of.harms[index]});
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
        fit& of = fits_[one.serving];
        resize(of);
        of.products[*index][*index] += options_.inherited;
        of.targets[*index] += options_.inherited * one.harm;
        solve(of);
    }
}

// Coordinate descent on the weighted squares, harms kept at zero or more.
void interference_model::solve(fit& of) const
{
    const std::size_t size = of.harms.size();
    for (int round = 0; round < options_.rounds; ++round)
    {
        for (std::size_t row = 0; row < size; ++row)
        {
            double rest = of.targets[row];
            for (std::size_t column = 0; column < size; ++column)
            {
                if (column != row)
                {
                    rest -= of.products[row][column] * of.harms[column];
                }
            }
            const double weight = of.products[row][row] + options_.caution;
            of.harms[row] = std::max(
                0.0, (rest + options_.caution * options_.assumed) / weight);
        }
    }
}

void interference_model::forget_old(time_point now)
{
    if (now < next_cleaning_)
    {
        return;
    }
    next_cleaning_ = now + cleaning;
    std::erase_if(last_, [now](const auto& entry)
                  { return now - entry.second.at > cleaning; });
    std::erase_if(siblings_, [now](const auto& entry)
                  { return now - entry.second.noted() > cleaning; });
}

double interference_model::harm(const std::string& serving,
                                const std::string& filling) const
{
    const auto of = fits_.find(serving);
    const auto image = images_.find(filling);
    const bool known = of != fits_.end() && image != images_.end() &&
                       image->second < of->second.harms.size();
    return known ? of->second.harms[image->second] : options_.assumed;
}

double interference_model::interference_of(const std::string& serving,
                                           const fill_usage& beside) const
{
    double sum = 0;
    for (const auto& [filling, use] : beside)
    {
        sum += harm(serving, filling) * use;
    }
    return sum;
}

} // namespace springstair
