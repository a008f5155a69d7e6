#pragma once

#include <string>
#include <string_view>

namespace springstair
{

/// @brief Lower-case hexadecimal SHA-256 of a text (64 characters).
std::string sha256_hex(std::string_view text);

/// @brief Whether two texts are equal, in time that depends on length only.
bool equal_in_constant_time(std::string_view left,
                            std::string_view right) noexcept;

/// @brief Hexadecimal text of @p bytes bytes from the system's generator.
/// @throw transport_error 202 if the generator fails
std::string random_hex(int bytes);

} // namespace springstair
