#pragma once

#include <springstair/jobs.hpp>

#include <string>
#include <utility>

namespace springstair
{

/// @brief The certainty that a run is over, or never begins.
///
/// A task whose run is closed may run again, and an end that is not of its
/// present run is acknowledged without a look. So a run is closed on certainty
/// alone, and these are all the ways to have it. That a report is believed and
/// speaks of the run's own guard and life is asked before.
class end_proof
{
public:
    /// @brief Its worker lists its end. A worker begins no run that is not
    /// above one that has ended there.
    static end_proof listed(const ended_task& end)
    {
        return {end.how, end.checkpoint, {}};
    }
    /// @brief Its guard gives it back: the worker did not begin it. Where a
    /// copy of the start may be under way, the worker was told never to begin
    /// it, and a later look did not show it. Not so if the same report shows
    /// the run, or another copy of its order.
    static end_proof refused_by_worker()
    {
        return {run_end::refused, {}, {}};
    }
    /// @brief A guard has looked at another life of its executor: what ran in
    /// the life before died with it. Not so of a run that the next life of the
    /// same executor shows, and of one whose start may still reach it: starts
    /// name the executor by its id alone.
    static end_proof incarnation_ended()
    {
        return {run_end::lost, {}, "its executor began another life"};
    }
    /// @brief The same for a run that an earlier holder placed.
    static end_proof past_incarnation_ended()
    {
        return {run_end::lost,
                {},
                "placed by another holder, its executor is gone"};
    }
    /// @brief A guard says that every lease it asked for has run out. It holds
    /// for runs that were seen at work only: an order that was not carried out
    /// yet may wait in the guard.
    static end_proof lapsed()
    {
        return {run_end::lost, {}, "it is silent and its lease has run out"};
    }
    /// @brief The last permit for its worker has run out, with a slow clock and
    /// delays: leases, and starts of all orders, end with it.
    static end_proof lease_bound_passed()
    {
        return {run_end::lost, {}, "its lease has surely run out"};
    }
    /// @brief The permits of earlier holders have run out, and this one has
    /// given none beyond them: its guard has not looked at its worker since.
    static end_proof guard_never_reported()
    {
        return {run_end::lost, {}, "its guard has not come to this holder"};
    }

    [[nodiscard]] run_end how() const noexcept
    {
        return how_;
    }
    /// @brief What was saved at its end; empty if nothing was.
    [[nodiscard]] const std::string& checkpoint() const noexcept
    {
        return checkpoint_;
    }
    /// @brief Why a run is lost, for the log.
    [[nodiscard]] const std::string& why() const noexcept
    {
        return why_;
    }

    bool operator==(const end_proof&) const = default;

private:
    end_proof(run_end how, std::string checkpoint, std::string why)
        : how_(how), checkpoint_(std::move(checkpoint)), why_(std::move(why))
    {
    }

    run_end how_;
    std::string checkpoint_;
    std::string why_;
};

} // namespace springstair
