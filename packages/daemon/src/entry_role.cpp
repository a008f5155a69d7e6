// Runs the traffic and control parts of an entry.

#include "entry_control.hpp"

#include <chrono>
#include <thread>
#include <utility>

namespace springstair
{

namespace
{

// ---------------------------------------------------------------------------
// The traffic part
// ---------------------------------------------------------------------------

void serve(entry_process& process)
{
    const common_settings& common = process.own_settings.common;
    http_server server(
        {.address = common.address,
         .port = common.port,
         .threads = common.threads,
         .limits = {.body_bytes = common.most_body_bytes}},
        [&](http_request request, http_responder responder)
        {
            process.events.post(http_arrival{
                std::move(request),
                std::make_shared<http_responder>(std::move(responder))});
        });
    log_event(
        event_id::process_started,
        {{"role", "entry"},
         {"address", common.address + ":" + std::to_string(server.port())}});
    while (!process.parts.stopping())
    {
        if (process.closing)
        {
            server.close_connections();
        }
        std::this_thread::sleep_for(tick_length);
    }
}

} // namespace

void run_entry(const settings& own_settings, const std::atomic<bool>& drain)
{
    entry_process process(own_settings, drain);
    process.parts.add("traffic", [&] { serve(process); });
    process.parts.add("control",
                      [&]
                      {
                          entry_control control(process);
                          control.run();
                      });
    process.parts.run();
    log_event(event_id::process_stopped);
}

} // namespace springstair
