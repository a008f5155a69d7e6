#pragma once

#include <springstair/jobs.hpp>

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
    /// What an older sample still weighs when one more comes: those of the
    /// last two thousand count, half a minute of a dozen workers.
    double memory = 0.9995;
    /// Harm that is assumed of a pair before anything is seen: the mean of
    /// both sites' pairs. Fills of an unknown image are spread by it.
    double assumed = 1.0;
    /// Weight of that assumption: a few changes of use by a tenth of a worker
    /// (trials on both sites).
    double caution = 0.03;
    /// Two figures further apart say little: the load has changed too.
    duration longest_gap = std::chrono::milliseconds(900);
    /// A headroom below this is saturated and no longer falls with harm; two
    /// such figures in a row say nothing.
    double least_headroom = 0.2;
    /// Changes of use below this are noise of the figures.
    double least_change = 0.01;
    /// Images that are told apart; of any further one nothing is learnt.
    std::size_t most_images = 48;
    /// Weight of what a predecessor knew, as that of @ref caution.
    double inherited = 0.05;
    /// Harms below this are not worth handing on.
    double least_harm = 1.2;
    /// Rounds of the fit at each sample; it starts from the last result.
    int rounds = 2;
};

/// @brief Learns from rough figures which images harm which.
///
/// A serving task's headroom is its target divided by its tail: 1 at the
/// target, more below it. Queueing makes it fall about linearly with the
/// task's own load and with what disturbs it, so the model fits the change
/// of a task's headroom from one figure to the next to the changes of what
/// fills of each image use beside it; the task's own load drops out. Harms
/// are zero or more. A sample costs O(images^2).
class harm_model
{
public:
    explicit harm_model(harm_options options = {});

    /// @brief Takes in a task's figure and what fills used beside it.
    void observe(const std::string& task, const std::string& serving,
                 double headroom, const harm_sample& beside, time_point now);

    /// @brief Headroom that a pair costs if the fills took a whole worker;
    /// what is assumed if nothing is known.
    [[nodiscard]] double harm(const std::string& serving,
                              const std::string& filling) const;
    /// @brief Every pair that is known to harm, for a successor.
    [[nodiscard]] std::vector<pair_harm> known() const;
    /// @brief Begins with what a predecessor knew.
    void adopt(const std::vector<pair_harm>& harms);

    /// @brief Headroom that all of these fills cost.
    [[nodiscard]] double harm_of(const std::string& serving,
                                 const harm_sample& beside) const;

private:
    struct figure
    {
        time_point at;
        double headroom = 0;
        harm_sample beside;
    };

    /// One serving image's sums and harms, by index of the filling image.
    struct fit
    {
        std::vector<std::vector<double>> products;
        std::vector<double> targets;
        std::vector<double> harms;
    };

    std::optional<std::size_t> index_of(const std::string& filling);
    std::vector<std::pair<std::size_t, double>> changes(const harm_sample& from,
                                                        const harm_sample& to);
    void learn(fit& of, double loss,
               const std::vector<std::pair<std::size_t, double>>& changes);
    void resize(fit& of) const;
    void solve(fit& of) const;
    void forget_old(time_point now);

    harm_options options_;
    std::map<std::string, std::size_t> images_;
    std::map<std::string, fit> fits_;
    std::map<std::string, figure> last_; ///< by task
    time_point next_cleaning_{};
};

} // namespace springstair
