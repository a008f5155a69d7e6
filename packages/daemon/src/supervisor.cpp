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

bool supervisor::may_restart(part& failing, const std::string& why)
{
    const time_point now = boot_clock::now();
    failing.failures.push_back(now);
    while (now - failing.failures.front() > options_.restart_window)
    {
        failing.failures.pop_front();
    }
    const bool restart = failing.failures.size() <= options_.max_restarts;
    log_event(restart ? event_id::part_restarted : event_id::part_given_up,
              {{"part", failing.name}, {"why", why}});
    return restart;
}

void supervisor::run_part(part& item)
{
    while (!stopping_)
    {
        try
        {
            item.body();
            return;
        }
        catch (const std::exception& error)
        {
            if (!may_restart(item, error.what()))
            {
                restart_limit_exceeded_ = true;
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
    if (restart_limit_exceeded_)
    {
        throw std::runtime_error("a part exceeded its restart limit");
    }
}

} // namespace springstair
