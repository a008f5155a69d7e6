#pragma once

#include <springstair/detail/scheduler/sibling_headroom.hpp>
#include <springstair/jobs.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace springstair
{

/// @brief How the model learns.
struct interference_model_options
{
    /// What an older sample still weighs when one more comes: those of the
    /// last five thousand count, a minute of 45 tasks of one image.
    double memory = 0.9998;
    /// Harm that is assumed of a pair before anything is seen: the mean of
    /// both sites' pairs. Fills of an unknown image are spread by it.
    double assumed = 1.0;
    /// Weight of that assumption: a few changes of use by a tenth of a worker
    /// (trials on both sites).
    double caution = 0.03;
    /// Two figures further apart say little: the load has changed too.
    duration max_gap = std::chrono::milliseconds(900);
    /// A headroom below this is saturated and no longer falls with harm; two
    /// such figures in a row say nothing.
    double min_headroom = 0.2;
    /// Changes of use below this are noise of the figures.
    double min_change = 0.01;
    /// Images that are told apart; of any further one nothing is learnt.
    std::size_t max_images = 48;
    /// Weight of what a predecessor knew, as that of @ref caution.
    double inherited = 0.05;
    /// Harms below this are not worth handing on.
    double min_interference = 1.2;
    /// Rounds of the fit at each sample; it starts from the last result.
    int rounds = 2;
};

/// @brief A serving task's figure.
struct serving_figure
{
    std::string task;
    std::string job;
    std::string image;
    double headroom = 0; ///< its target divided by its tail
};

/// @brief Learns from rough figures which images harm which.
///
/// A serving task's headroom is its target divided by its tail: 1 at the
/// target, more below it. Queueing makes it fall about linearly with the
/// task's own load and with what disturbs it. The model fits what a headroom
/// lacks to the mean of the task's siblings to what fills of each image use
/// beside it more than beside them; the load, which siblings share, drops out.
/// Where they say nothing (too few, or all beside the same fills), it fits the
/// change from the task's last figure. On 71,000 figures of one played day of
/// 160 workers, the mean error of a pair's harm (0 to 8) after 15, 20 and 30 s
/// is 0.98, 0.78 and 0.52 by siblings, 1.25, 1.03 and 0.86 by changes alone.
/// Harms are zero or more. A sample costs O(images^2).
class interference_model
{
public:
    explicit interference_model(interference_model_options options = {});

    /// @brief Takes in a task's figure and what fills used beside it.
    void observe(const serving_figure& from, const fill_usage& beside,
                 time_point now);

    /// @brief Headroom that a pair costs if the fills took a whole worker;
    /// what is assumed if nothing is known.
    [[nodiscard]] double harm(const std::string& serving,
                              const std::string& filling) const;
    /// @brief Every pair that is known to harm, for a successor.
    [[nodiscard]] std::vector<pair_interference> known() const;
    /// @brief Begins with what a predecessor knew.
    void adopt(const std::vector<pair_interference>& harms);

    /// @brief Headroom that all of these fills cost.
    [[nodiscard]] double interference_of(const std::string& serving,
                                         const fill_usage& beside) const;

private:
    struct past_figure
    {
        time_point at;
        headroom_sample figure;
    };

    /// One serving image's sums and harms, by index of the filling image.
    struct fit
    {
        std::vector<std::vector<double>> products;
        std::vector<double> targets;
        std::vector<double> harms;
    };

    std::optional<std::size_t> index_of(const std::string& filling);
    std::vector<std::pair<std::size_t, double>> changes(const fill_usage& from,
                                                        const fill_usage& to);
    bool compare(const std::string& serving, const headroom_sample& with,
                 const headroom_sample& seen);
    void learn(fit& of, double loss,
               const std::vector<std::pair<std::size_t, double>>& changes);
    void resize(fit& of) const;
    void solve(fit& of) const;
    void forget_old(time_point now);

    interference_model_options options_;
    std::map<std::string, std::size_t> images_;
    std::map<std::string, fit> fits_;
    std::map<std::string, past_figure> last_;          ///< by task
    std::map<std::string, sibling_headroom> siblings_; ///< by job
    time_point next_cleaning_{};
};

} // namespace springstair
