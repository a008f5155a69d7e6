#pragma once

#include <string>
#include <string_view>

namespace springstair
{

/// @brief SHA-256 of @p text as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view text);

/// @brief Compares two strings in time that depends on their lengths only.
bool equal_in_constant_time(std::string_view left,
                            std::string_view right) noexcept;

/// @brief @p bytes random bytes from OpenSSL's generator, in hexadecimal.
/// @throw transport_error 202 if the generator fails
std::string random_hex(int bytes);

} // namespace springstair
