/** Any bytes as calls and answers of the platform; what is understood survives another pass over the wire. */
#include "platform/http/StoreWire.h"

#include <cstdint>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace papayashelf;
    const std::string body(reinterpret_cast<const char*>(data), size);
    const auto request = decodeStoreRequest(body);
    if (request && !decodeStoreRequest(encodeStoreRequest(request.value())))
        std::abort();
    const auto reply = decodeStoreReply(StoreOperation::Get, { 200, body });
    if (reply && decodeStoreReply(StoreOperation::Get, encodeStoreReply(reply)).value() != reply.value())
        std::abort();
    const auto list = decodeVmList(body);
    if (list && decodeVmList(encodeVmList(list.value())).value().size() != list.value().size())
        std::abort();
    return 0;
}
