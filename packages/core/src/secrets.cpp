#include <springstair/core.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <array>
#include <span>
#include <vector>

namespace springstair
{

namespace
{

constexpr int library_failed = 202;

std::string to_hex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

} // namespace

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    return to_hex(std::span(digest.data(), size));
}

bool equal_in_constant_time(std::string_view left,
                            std::string_view right) noexcept
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_hex(int bytes)
{
    std::vector<unsigned char> buffer(static_cast<std::size_t>(bytes));
    if (RAND_bytes(buffer.data(), bytes) != 1)
    {
        throw transport_error(library_failed, "RAND_bytes failed");
    }
    return to_hex(buffer);
}

} // namespace springstair
