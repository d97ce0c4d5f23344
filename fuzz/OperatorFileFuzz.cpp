/** Any bytes as an operators' file; what is accepted has a document that reads the same again. */
#include "publication/publication.h"

#include "settings/reading/ConfigNode.h"
#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace papayashelf;
    const std::string text(reinterpret_cast<const char*>(data), size);
    Faults faults;
    OperatorFiles fromToml;
    const ParsedToml parsed = parseToml("file", text, faults);
    readOperatorFile(parsed.root, "file", fromToml, faults);
    if (!faults.empty())
        return 0;

    const auto document = parseJson(canonicalJson(parsed.root));
    OperatorFiles fromJson;
    readOperatorFile(document.value(), "file", fromJson, faults);
    if (!faults.empty() || !(indexFiles(fromToml, 1) == indexFiles(fromJson, 1)))
        std::abort();
    return 0;
}
