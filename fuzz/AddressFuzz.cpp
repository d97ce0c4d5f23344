/** Any text as an endpoint or an address range; an endpoint that is read has one spelling of its own. */
#include "publication/documents/AddressRange.h"
#include "settings/reading/FieldRules.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace papayashelf;
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto endpoint = parseEndpoint(text);
    if (endpoint && parseEndpoint(endpoint->string()) != endpoint)
        std::abort();
    const auto range = AddressRange::parse(text);
    // An endpoint by itself is also a range of one.
    if (endpoint && (!range || !range->contains(*endpoint)))
        std::abort();
    return 0;
}
