/** Any bytes as the one document of a revision. */
#include "publication/publication.h"

#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string body(reinterpret_cast<const char*>(data), size);
    static_cast<void>(papayashelf::buildGovernance({ 1, "", { { "document", body } } }));
    static_cast<void>(papayashelf::decodeManifest(body));
    static_cast<void>(papayashelf::decodeWithdrawals(body));
    static_cast<void>(papayashelf::readStamp(body));
    return 0;
}
