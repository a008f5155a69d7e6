#pragma once

#include <algorithm>
#include <cmath>

namespace springstair
{

/// @brief Bounds of the test for executors that fail what they start.
struct fault_detector_options
{
    /// Share of its runs that a sick executor is taken to fail. One that fails
    /// all is found sooner, one that fails a fifth later or not at all: there,
    /// to go on costs less than to do without it.
    double faulty_share = 0.5;
    /// Logarithm of how much likelier "sick" than "sound" must have become:
    /// 3,000 to 1. At 5% of failures by themselves that is four in a row, at
    /// 0.5% two.
    double fault_threshold = 8;
    /// An executor that comes back is believed half of that, so that a single
    /// failure, one run in twenty at 5%, does not put it out again.
    double evidence_at_return = 4;
    /// Of all ends of runs, those that count for the present share of failures:
    /// the last five hundred, about two seconds of 62 workers.
    double memory = 0.998;
    /// Assumed before: so many ends with this share of failures.
    double assumed_ends = 20;
    double assumed_share = 0.02;
    /// Bounds of that share: below, one failure would be evidence enough;
    /// above, what all executors fail says nothing of one.
    double min_share = 0.005;
    double max_share = 0.2;
};

/// @brief Tells executors that fail what they start from runs that fail by
/// themselves, by the present share of failures of all executors.
///
/// A sequential test: each end of a run adds to an executor's doubt how much
/// likelier it is of a sick one than of the fleet, down to zero at least. A
/// streak of failures, tried before, came up by chance once in 8,000 runs at 5%
/// of failures, and kept executors out that were long sound again.
class fault_detector
{
public:
    explicit fault_detector(fault_detector_options options = {})
        : options_(options), ends_(options.assumed_ends),
          failures_(options.assumed_ends * options.assumed_share)
    {
    }

    /// @brief An executor's doubt after one more end of a run there.
    [[nodiscard]] double fault_score_after(double fault_score, bool failed)
    {
        const double sound = share();
        const double weight =
            failed ? std::log(options_.faulty_share / sound)
                   : std::log((1 - options_.faulty_share) / (1 - sound));
        // Whoever is in doubt does not say what is usual: a sick executor is
        // free again at once and gets more runs than others.
        if (fault_score < options_.evidence_at_return)
        {
            ends_ = ends_ * options_.memory + 1;
            failures_ = failures_ * options_.memory + (failed ? 1 : 0);
        }
        return std::max(0.0, fault_score + weight);
    }

    /// @brief Whether so much doubt says that an executor is sick.
    [[nodiscard]] bool is_faulty(double fault_score) const noexcept
    {
        return fault_score >= options_.fault_threshold;
    }

    /// @brief The doubt of one that was put out for a while.
    [[nodiscard]] double fault_score_at_return() const noexcept
    {
        return options_.evidence_at_return;
    }

    /// @brief The present share of runs that fail, of all executors.
    [[nodiscard]] double share() const noexcept
    {
        return std::clamp(failures_ / ends_, options_.min_share,
                          options_.max_share);
    }

private:
    fault_detector_options options_;
    double ends_;
    double failures_;
};

} // namespace springstair
