#include <springstair/scheduler.hpp>

#include <algorithm>
#include <cmath>

namespace springstair
{

harm_model::harm_model(harm_options options) : options_(options) {}

std::optional<std::size_t> harm_model::index_of(const std::string& filling)
{
    const auto found = images_.find(filling);
    if (found != images_.end())
    {
        return found->second;
    }
    if (images_.size() >= options_.most_images)
    {
        return std::nullopt;
    }
    const std::size_t index = images_.size() + 1;
    images_.emplace(filling, index);
    return index;
}

void harm_model::observe(const std::string& serving, double tail,
                         const harm_sample& beside)
{
    std::vector<std::pair<std::size_t, double>> features{{0, 1.0}};
    for (const auto& [filling, use] : beside)
    {
        const auto index = index_of(filling);
        if (index && use > 0)
        {
            features.emplace_back(*index, use);
        }
    }
    fit& of = fits_[serving];
    const std::size_t size = images_.size() + 1;
    of.products.resize(size);
    for (std::vector<double>& row : of.products)
    {
        row.resize(size);
        for (double& cell : row)
        {
            cell *= options_.memory;
        }
    }
    of.targets.resize(size);
    of.values.resize(size);
    for (double& cell : of.targets)
    {
        cell *= options_.memory;
    }
    const double target =
        std::log(std::clamp(tail, options_.least_tail, options_.most_tail));
    for (const auto& [row, left] : features)
    {
        of.targets[row] += left * target;
        for (const auto& [column, right] : features)
        {
            of.products[row][column] += left * right;
        }
    }
    solve(of);
}

// Coordinate descent on the weighted squares, harms kept at zero or more.
void harm_model::solve(fit& of) const
{
    const std::size_t size = of.values.size();
    for (int round = 0; round < options_.rounds; ++round)
    {
        for (std::size_t row = 0; row < size; ++row)
        {
            double rest = of.targets[row];
            for (std::size_t column = 0; column < size; ++column)
            {
                if (column != row)
                {
                    rest -= of.products[row][column] * of.values[column];
                }
            }
            const double weight =
                of.products[row][row] + (row == 0 ? 0.0 : options_.caution);
            const double value = weight > 0 ? rest / weight : 0;
            of.values[row] = row == 0 ? value : std::max(0.0, value);
        }
    }
}

double harm_model::harm(const std::string& serving,
                        const std::string& filling) const
{
    const auto of = fits_.find(serving);
    const auto image = images_.find(filling);
    const bool known = of != fits_.end() && image != images_.end() &&
                       image->second < of->second.values.size();
    return known ? of->second.values[image->second] : 0;
}

std::optional<double> harm_model::tail_alone(const std::string& serving) const
{
    const auto of = fits_.find(serving);
    if (of == fits_.end() || of->second.values.empty())
    {
        return std::nullopt;
    }
    return std::exp(of->second.values.front());
}

} // namespace springstair
