#pragma once
// Compiled as C++14: the client headers of the library use
// dynamic exception specifications, which C++17 removed.

#include <string>

namespace springstair
{

struct decoded_answer
{
    bool good;
    std::string text; // the result as JSON, or the error's message
};

std::string encode_rpc_request(const std::string& method,
                               const std::string& message);
decoded_answer decode_rpc_answer(const std::string& answer);

} // namespace springstair
