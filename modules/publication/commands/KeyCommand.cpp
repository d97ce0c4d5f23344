#include "foundation/hashing/Sha256.h"
#include "publication/commands/Commands.h"
#include <array>
#include <openssl/rand.h>
#include <ostream>
#include <string_view>

namespace papayashelf {

int runMakeKey(std::ostream& output, std::ostream& errors)
{
    constexpr std::size_t keyBytes = 32;
    constexpr std::string_view digits = "0123456789abcdef";
    std::array<unsigned char, keyBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        errors << "the machine gives no random bytes\n";
        return static_cast<int>(ExitCode::Unavailable);
    }
    std::string key;
    for (const unsigned char byte : bytes) {
        key.push_back(digits[byte >> 4]);
        key.push_back(digits[byte & 0xF]);
    }
    output << "key    " << key << "\ndigest " << sha256Hex(key) << "\n";
    return static_cast<int>(ExitCode::Success);
}

} // namespace papayashelf
