#pragma once
// Kept free of newer language features: the library's client headers use
// dynamic exception specifications, which ended with C++14.

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
