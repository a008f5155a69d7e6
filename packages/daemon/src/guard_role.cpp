// Runs the traffic and control parts of a guard.

#include "guard_control.hpp"

#include <thread>
#include <utility>

namespace springstair
{

namespace
{

// ---------------------------------------------------------------------------
// The traffic part
// ---------------------------------------------------------------------------

void serve(guard_process& process)
{
    const common_settings& common = process.own_settings.common;
    const http_server server(
        {.address = common.address,
         .port = common.port,
         .threads = common.threads,
         .limits = {.body_bytes = common.most_body_bytes}},
        [&](http_request request, http_responder responder)
        {
            if (!has_fleet_key(request, common.fleet_key))
            {
                log_event(event_id::stranger_refused, {{"path", request.path}});
                answer_not_found(responder);
                return;
            }
            process.events.post(http_arrival{
                std::move(request),
                std::make_shared<http_responder>(std::move(responder))});
        });
    log_event(
        event_id::process_started,
        {{"role", "guard"},
         {"address", common.address + ":" + std::to_string(server.port())}});
    while (!process.parts.stopping())
    {
        std::this_thread::sleep_for(tick_length);
    }
}

} // namespace

void run_guard(const settings& own_settings, const std::atomic<bool>& drain)
{
    guard_process process(own_settings, drain);
    process.parts.add("traffic", [&] { serve(process); });
    process.parts.add("control",
                      [&]
                      {
                          guard_control control(process);
                          control.run();
                      });
    process.parts.run();
    log_event(event_id::process_stopped);
}

} // namespace springstair
