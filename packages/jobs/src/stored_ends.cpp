#include <springstair/jobs.hpp>

namespace springstair
{

std::string encode(const std::vector<ended_task>& ends)
{
    return json(ends).dump();
}

std::vector<ended_task> decode_ends(const std::string& text)
{
    try
    {
        return parse_json(text).get<std::vector<ended_task>>();
    }
    catch (const json::exception& error)
    {
        throw document_error(std::string("a job's ends: ") + error.what());
    }
}

} // namespace springstair
