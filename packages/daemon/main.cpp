// springstaird: one process of the system; its settings name the role.

#include <springstair/daemon.hpp>

#include <popt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace
{

using springstair::event_id;

constexpr int exit_usage = 2;
constexpr int exit_settings = 78;
constexpr int exit_failed = 70;

struct command_line
{
    char* settings_path = nullptr;
    int check = 0;
    int print = 0;
    int version = 0;
};

// Reads the options; on a bad one says which and gives nothing.
bool read_options(int count, const char** arguments, command_line& to)
{
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &to.settings_path, 0,
         "the settings file (JSON)", "FILE"},
        {"check-settings", 'c', POPT_ARG_NONE, &to.check, 0,
         "check the settings and exit", nullptr},
        {"print-settings", 'p', POPT_ARG_NONE, &to.print, 0,
         "print the settings with all defaults and exit", nullptr},
        {"version", 'v', POPT_ARG_NONE, &to.version, 0,
         "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context =
        poptGetContext("springstaird", count, arguments, options, 0);
    const int result = poptGetNextOpt(context);
    if (result < -1)
    {
        std::cerr << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": "
                  << poptStrerror(result) << "\n";
    }
    poptFreeContext(context);
    return result >= -1;
}

int refuse_settings(const springstair::document_error& error)
{
    if (error.all().empty())
    {
        std::cerr << error.what() << "\n";
    }
    for (const springstair::finding& one : error.all())
    {
        std::cerr << one.place << ": " << one.message << "\n";
    }
    return exit_settings;
}

// Signals are taken by one thread; all others block them.
void await_stop_signal(sigset_t signals, std::atomic<bool>& drain)
{
    int taken = 0;
    sigwait(&signals, &taken);
    drain = true;
}

int run(const springstair::settings& all)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    static std::atomic<bool> drain = false;
    std::thread(await_stop_signal, signals, std::ref(drain)).detach();
    springstair::start_log(all.common.name);
    try
    {
        if (all.common.role == springstair::process_role::entry)
        {
            springstair::run_entry(all, drain);
        }
        else
        {
            springstair::run_guard(all, drain);
        }
    }
    catch (const std::exception& error)
    {
        log_event(event_id::part_given_up, {{"why", error.what()}});
        return exit_failed;
    }
    return EXIT_SUCCESS;
}

} // namespace

int main(int count, const char** arguments)
{
    command_line line;
    if (!read_options(count, arguments, line))
    {
        return exit_usage;
    }
    if (line.version != 0)
    {
        std::cout << "springstaird " << springstair::version() << "\n";
        return EXIT_SUCCESS;
    }
    if (line.settings_path == nullptr)
    {
        std::cerr << "--settings is required\n";
        return exit_usage;
    }
    try
    {
        const auto all = springstair::read_settings(line.settings_path);
        if (line.print != 0)
        {
            std::cout << to_document(all).dump(4) << "\n";
        }
        return line.check != 0 || line.print != 0 ? EXIT_SUCCESS : run(all);
    }
    catch (const springstair::document_error& error)
    {
        return refuse_settings(error);
    }
}
