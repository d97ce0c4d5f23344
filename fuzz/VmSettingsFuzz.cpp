/** Any bytes as a VM's settings: faults or settings, never a crash; faults have a place. */
#include "settings/settings.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    const auto checked = papayashelf::checkSettings("vm.toml", text);
    if (!checked && checked.error().empty())
        std::abort();
    return 0;
}
