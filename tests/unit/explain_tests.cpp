// The timeline of a job from logs.

#include "explain.hpp"

#include <doctest/doctest.h>

#include <sstream>

using namespace springstair::cli; // NOLINT: a test

namespace
{

// Two concatenated logs with lines that are not events.
constexpr const char* logs = R"(
2026-12-02 10:00:00.500000 info {"name":"office_taken","process":"entry-0"}
 12.5 entry-0 2026-12-02 10:00:01.000000 info {"name":"job_accepted","process":"entry-0","job":"aa"}
2026-12-02 10:00:01.100000 info {"name":"run_placed","process":"entry-0","task":"aa.0.0.0","guard":"g-1"}
2026-12-02 10:00:01.200000 info {"name":"run_placed","process":"entry-0","task":"aab.0.0.0","guard":"g-2"}
2026-12-02 10:00:02.000000 info {"name":"job_ended","process":"entry-0","job":"aa","age_ms":"1000"}
2026-12-02 10:00:03.000000 warning {"name":"office_lost","process":"entry-0"}
no event at all {
2026-12-02 10:00:01.300000 warning {"name":"store_lost","process":"entry-1"}
2026-12-02 10:00:01.400000 info {"name":"worker_paced","process":"g-1"}
2026-12-02 10:00:01.500000 info {"name":"worker_paced","process":"g-2"}
)";

std::vector<std::string> names_of(const std::vector<log_line>& timeline)
{
    std::vector<std::string> names;
    names.reserve(timeline.size());
    for (const log_line& line : timeline)
    {
        names.push_back(line.event.at("name"));
    }
    return names;
}

} // namespace

TEST_CASE("a job's timeline: its own events and related ones during its time")
{
    std::istringstream in(logs);
    const auto lines = read_log(in);
    CHECK(lines.size() == 9);
    const auto timeline = timeline_of("aa", lines);
    CHECK(names_of(timeline) ==
          std::vector<std::string>{"job_accepted", "run_placed", "store_lost",
                                   "worker_paced", "job_ended"});
    CHECK(text_of(timeline.back()) ==
          "2026-12-02 10:00:02.000000  entry-0  job_ended  age_ms=1000  "
          "job=aa");
    CHECK(timeline_of("a", lines).empty());
}

TEST_CASE("the newest closure event of each data centre")
{
    std::istringstream in(R"(
2026-12-02 10:00:00.500000 info {"name":"closure_in_force","process":"entry-0","data_centre":"east","closed":"yes"}
2026-12-02 10:00:02.500000 info {"name":"closure_in_force","process":"entry-1","data_centre":"east","closed":"no"}
2026-12-02 10:00:01.500000 info {"name":"closure_in_force","process":"entry-0","data_centre":"west","closed":"yes"}
2026-12-02 10:00:03.500000 info {"name":"data_centre_closed","process":"entry-0","data_centre":"north"}
)");
    const auto closures = closures_in(read_log(in));
    REQUIRE(closures.size() == 2);
    CHECK(text_of(closures[0]) ==
          "2026-12-02 10:00:02.500000  entry-1  closure_in_force  closed=no  "
          "data_centre=east");
    CHECK(closures[1].event.at("closed") == "yes");
}
