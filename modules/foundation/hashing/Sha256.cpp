#include "foundation/hashing/Sha256.h"

#include <array>
#include <openssl/evp.h>

namespace papayashelf {

std::string sha256Hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string text;
    text.reserve(std::size_t { length } * 2);
    for (unsigned int index = 0; index < length; ++index) {
        text.push_back(digits[digest.at(index) >> 4U]);
        text.push_back(digits[digest.at(index) & 15U]);
    }
    return text;
}

} // namespace papayashelf
