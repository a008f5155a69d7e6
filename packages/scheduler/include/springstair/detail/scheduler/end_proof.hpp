#pragma once

#include <springstair/jobs.hpp>

#include <string>
#include <utility>

namespace springstair
{

/// @brief Proof that a run has ended or will never begin.
///
/// Once a run is closed, its task may run again, and later ends of the closed
/// run are acknowledged without a check. So a run is closed only with one of
/// these proofs; there are no others. The caller has checked before that the
/// report is admitted and concerns the guard and the executor incarnation of
/// the run.
class end_proof
{
public:
    /// @brief The worker lists its end. A worker does not begin a run whose
    /// number is not above that of a run of the task which ended there.
    static end_proof listed(const ended_task& end)
    {
        return {end.how, end.checkpoint, {}};
    }
    /// @brief The guard refuses it: the worker did not begin it. If a duplicate
    /// of the start may be in flight, the worker was ordered never to begin it,
    /// and a later poll did not show it. Not valid if the same report shows the
    /// run or a duplicate of its order.
    static end_proof refused_by_worker()
    {
        return {run_end::refused, {}, {}};
    }
    /// @brief The guard has polled another incarnation of the executor: the
    /// runs of the past incarnation ended with it. Not valid for runs that the
    /// next incarnation of the same executor lists, or whose start may still
    /// reach it: starts name the executor by its id alone.
    static end_proof incarnation_ended()
    {
        return {
            run_end::lost, {}, "its executor has restarted or been replaced"};
    }
    /// @brief The same for a run that a previous leader placed.
    static end_proof past_incarnation_ended()
    {
        return {run_end::lost,
                {},
                "placed by a previous leader, its executor is gone"};
    }
    /// @brief The guard reports that every lease it requested has expired.
    /// Valid only for runs that were seen running: an order that is not carried
    /// out yet may wait in the guard.
    static end_proof lapsed()
    {
        return {run_end::lost,
                {},
                "its executor is unresponsive and its lease has expired"};
    }
    /// @brief The last lease grant for the worker has expired, with clock drift
    /// and delays included. Leases and all starts end with it.
    static end_proof lease_bound_passed()
    {
        return {run_end::lost, {}, "its last lease grant has expired"};
    }
    /// @brief The lease grants of previous leaders have expired, and this
    /// leader has granted nothing beyond them: the guard has not polled its
    /// worker since.
    static end_proof guard_never_polled()
    {
        return {run_end::lost,
                {},
                "its guard has reported no poll of it to this leader"};
    }
    /// @brief The same, earlier: the guard process has no lease, and has run
    /// for longer than the grants of earlier processes on its VM.
    static end_proof outlived_leases()
    {
        return {run_end::lost,
                {},
                "its guard has outlived every lease, without a poll of it"};
    }

    [[nodiscard]] run_end how() const noexcept
    {
        return how_;
    }
    /// @brief The checkpoint saved at its end; empty if there is none.
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
