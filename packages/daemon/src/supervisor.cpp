#include <springstair/daemon.hpp>

#include <stdexcept>
#include <utility>

namespace springstair
{

supervisor::supervisor(supervisor_options options) : options_(options) {}

supervisor::~supervisor() = default;

void supervisor::add(std::string name, std::function<void()> body)
{
    auto added = std::make_unique<part>();
    added->name = std::move(name);
    added->body = std::move(body);
    parts_.push_back(std::move(added));
}

bool supervisor::may_restart(part& one, const std::string& why)
{
    const time_point now = boot_clock::now();
    one.failures.push_back(now);
    while (now - one.failures.front() > options_.within)
    {
        one.failures.pop_front();
    }
    const bool restart = one.failures.size() <= options_.max_restarts;
    log_event(restart ? event_id::part_restarted : event_id::part_given_up,
              {{"part", one.name}, {"why", why}});
    return restart;
}

void supervisor::run_part(part& one)
{
    while (!stopping_)
    {
        try
        {
            one.body();
            return;
        }
        catch (const std::exception& error)
        {
            if (!may_restart(one, error.what()))
            {
                given_up_ = true;
                stop();
            }
        }
    }
}

void supervisor::run()
{
    for (auto& one : parts_)
    {
        one->thread = std::thread([this, &part = *one] { run_part(part); });
    }
    for (auto& one : parts_)
    {
        one->thread.join();
    }
    if (given_up_)
    {
        throw std::runtime_error("a part exceeded its restart limit");
    }
}

} // namespace springstair
