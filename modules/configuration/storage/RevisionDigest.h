#pragma once

#include <map>
#include <string>

namespace papayashelf {

/**
    Computes the digest of a revision: SHA-256 over its sorted documents, each path and body preceded by its length.

    Thread safety: any thread.

    @param documents  body by path
    @returns 64 lower-case hexadecimal digits
*/
std::string digestOf(const std::map<std::string, std::string>& documents);

} // namespace papayashelf
