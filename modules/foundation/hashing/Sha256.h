#pragma once

#include <string>
#include <string_view>

namespace papayashelf {

/** SHA-256 of the bytes, in lower-case hexadecimal. */
std::string sha256Hex(std::string_view bytes);

} // namespace papayashelf
