// springstair: the command line for operators.

#include "commands.hpp"

#include <popt.h>

#include <cstdlib>
#include <iostream>

namespace
{

using namespace springstair::cli; // NOLINT: a program of its own

struct command_line
{
    char* entries = nullptr;
    char* credential = nullptr;
    char* output = nullptr;
    char* expects = nullptr;
    char* workspace = nullptr;
    int version = 0;
    int no_wait = 0;
};

std::string text_or(const char* text, const char* variable)
{
    if (text != nullptr)
    {
        return text;
    }
    const char* const from_environment = std::getenv(variable); // NOLINT
    return from_environment == nullptr ? "" : from_environment;
}

} // namespace

int main(int count, const char** arguments)
{
    command_line line;
    const poptOption options[] = {
        {"entries", 'e', POPT_ARG_STRING, &line.entries, 0,
         "entries to ask, tried in turn (or SPRINGSTAIR_ENTRIES)",
         "IP:PORT,..."},
        {"credential", 'k', POPT_ARG_STRING, &line.credential, 0,
         "credential (or SPRINGSTAIR_CREDENTIAL)", "TEXT"},
        {"output", 'o', POPT_ARG_STRING, &line.output, 0,
         "human (default) or json", "FORM"},
        {"expects", 'x', POPT_ARG_STRING, &line.expects, 0,
         "for `table set`: the value you saw; a conflict if it has changed",
         "JSON"},
        {"workspace", 'w', POPT_ARG_STRING, &line.workspace, 0,
         "for `task list`: whose tasks, with an operator's credential", "NAME"},
        {"no-wait", 'n', POPT_ARG_NONE, &line.no_wait, 0,
         "do not wait until an edit is in force everywhere", nullptr},
        {"version", 'v', POPT_ARG_NONE, &line.version, 0,
         "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    const poptContext context = poptGetContext(
        "springstair", count, arguments, options,
        POPT_CONTEXT_POSIXMEHARDER); // a value may start with a dash
    poptSetOtherOptionHelp(context, usage());
    const int result = poptGetNextOpt(context);
    if (result < -1)
    {
        std::cerr << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": "
                  << poptStrerror(result) << "\n";
        return exit_usage;
    }
    if (line.version != 0)
    {
        std::cout << "springstair " << springstair::version() << "\n";
        return exit_ok;
    }
    invocation call{
        .entries = split(text_or(line.entries, "SPRINGSTAIR_ENTRIES"), ','),
        .credential = text_or(line.credential, "SPRINGSTAIR_CREDENTIAL"),
        .as_json = std::string_view(line.output ? line.output : "") == "json",
        .expects = line.expects ? std::optional<std::string>(line.expects)
                                : std::nullopt,
        .workspace = line.workspace ? line.workspace : "",
        .wait = line.no_wait == 0};
    while (const char* word = poptGetArg(context))
    {
        call.arguments.emplace_back(word);
    }
    poptFreeContext(context);
    return run_command(call);
}
