#pragma once

#include <map>
#include <string>
#include <string_view>

namespace papayashelf {

/** SHA-256 of the bytes in lower-case hexadecimal. Thread safety: any thread. */
std::string sha256Hex(std::string_view bytes);

/**
    The digest of a revision: SHA-256 over its sorted documents, each path and body preceded by its length.

    Thread safety: any thread.

    @param documents  body by path
    @returns 64 lower-case hexadecimal digits
*/
std::string digestOf(const std::map<std::string, std::string>& documents);

} // namespace papayashelf
