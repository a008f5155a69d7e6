// springstaird: runs one process in the role that its settings name.

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
constexpr const char* settings_variable = "SPRINGSTAIR_CONFIG";

struct command_line
{
    char* settings_path = nullptr;
    int check = 0;
    int print = 0;
    int version = 0;
};

// Parses the options. Prints the first invalid one and returns false.
bool read_options(int count, const char** arguments, command_line& parsed)
{
    const poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &parsed.settings_path, 0,
         "the settings file (JSON)", "FILE"},
        {"check-settings", 'c', POPT_ARG_NONE, &parsed.check, 0,
         "check the settings and exit", nullptr},
        {"print-settings", 'p', POPT_ARG_NONE, &parsed.print, 0,
         "print the settings with all defaults and exit", nullptr},
        {"version", 'v', POPT_ARG_NONE, &parsed.version, 0,
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

int print_findings(const springstair::document_error& error)
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

// Waits for a stop signal in its own thread; all other threads block them.
void await_stop_signal(sigset_t signals, std::atomic<bool>& drain)
{
    int received = 0;
    sigwait(&signals, &received);
    drain = true;
}

// Runs a role until it returns or throws. SIGTERM and SIGINT start a planned
// stop.
template <class Role>
int run_until_stopped(const std::string& name, Role role)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGHUP, SIG_IGN);
    static std::atomic<bool> drain = false;
    std::thread(await_stop_signal, signals, std::ref(drain)).detach();
    springstair::start_log(name);
    try
    {
        role(drain);
    }
    catch (const std::exception& error)
    {
        log_event(event_id::part_given_up, {{"why", error.what()}});
        return exit_failed;
    }
    return EXIT_SUCCESS;
}

int run_request_role(const springstair::settings& settings)
{
    const bool entry = settings.common.role == springstair::process_role::entry;
    return run_until_stopped(settings.common.name,
                             [&](const std::atomic<bool>& drain)
                             {
                                 entry
                                     ? springstair::run_entry(settings, drain)
                                     : springstair::run_guard(settings, drain);
                             });
}

int run_job_role(const springstair::job_settings& settings)
{
    const bool entry = settings.role == springstair::job_role::job_entry;
    return run_until_stopped(
        settings.name,
        [&](const std::atomic<bool>& drain)
        {
            entry ? springstair::run_job_entry(settings, drain)
                  : springstair::run_job_guard(settings, drain);
        });
}

// Prints the settings, only checks them, or runs the role, as the command line
// requests. The settings have been validated.
template <class Settings, class Run>
int print_or_run(const command_line& line, const Settings& settings,
                 Run run_role)
{
    if (line.print != 0)
    {
        std::cout << to_document(settings).dump(4) << "\n";
    }
    return line.check != 0 || line.print != 0 ? EXIT_SUCCESS
                                              : run_role(settings);
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
    const char* const path = line.settings_path != nullptr
                                 ? line.settings_path
                                 : std::getenv(settings_variable);
    if (path == nullptr)
    {
        std::cerr << "--settings or " << settings_variable << " is required\n";
        return exit_usage;
    }
    try
    {
        const auto document = springstair::read_document(path);
        if (springstair::is_job_settings(document))
        {
            return print_or_run(line, springstair::parse_job_settings(document),
                                run_job_role);
        }
        return print_or_run(line, springstair::parse_settings(document),
                            run_request_role);
    }
    catch (const springstair::document_error& error)
    {
        return print_findings(error);
    }
}
