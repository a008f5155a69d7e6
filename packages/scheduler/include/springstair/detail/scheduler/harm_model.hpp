#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief What fills used at a worker, by image, as shares of its processors.
using harm_sample = std::map<std::string, double>;

/// @brief How the model learns.
struct harm_options
{
    /// What an older sample still weighs when one more comes: figures of the
    /// last couple of hundred count, which is about ten seconds of a fleet
    /// that has a dozen workers.
    double memory = 0.997;
    /// Weight of the prior that a pair does no harm, in samples at full use.
    double caution = 0.15;
    /// Tails are clipped to this range of shares of a target: the figures
    /// are rough, and one outlier says little more than "far too high".
    double least_tail = 0.1;
    double most_tail = 8;
    /// Images that are told apart; any further one is taken as harmless.
    std::size_t most_images = 48;
    /// Rounds of the fit at each sample; it starts from the last result.
    int rounds = 2;
};

/// @brief Learns from rough figures which images harm which.
///
/// The logarithm of a serving task's tail is fitted as a value of its image
/// plus, for each image that fills beside it, a harm of the pair times the
/// processors used. Harms are zero or more. A sample costs O(images^2).
class harm_model
{
public:
    explicit harm_model(harm_options options = {});

    /// @brief Takes in one figure. @param tail as a share of its target
    void observe(const std::string& serving, double tail,
                 const harm_sample& beside);

    /// @brief The harm of a pair; 0 if nothing is known.
    [[nodiscard]] double harm(const std::string& serving,
                              const std::string& filling) const;
    /// @brief The tail of an image without fills, as a share of its target.
    [[nodiscard]] std::optional<double>
    tail_alone(const std::string& serving) const;

private:
    /// One serving image's sums and fit; index 0 is the image's own value,
    /// the others are harms by index of the filling image.
    struct fit
    {
        std::vector<std::vector<double>> products;
        std::vector<double> targets;
        std::vector<double> values;
    };

    std::optional<std::size_t> index_of(const std::string& filling);
    void solve(fit& of) const;

    harm_options options_;
    std::map<std::string, std::size_t> images_; ///< indices from 1
    std::map<std::string, fit> fits_;
};

} // namespace springstair
