#pragma once

#include "foundation/outcomes/Outcome.h"
#include "platform/store/StoreCall.h"
#include "platform/vms/VmRecord.h"
#include <string>
#include <string_view>

namespace papayashelf {

/** Path of the key-value service's one call. */
constexpr std::string_view storeCallPath = "/v1/store";

/** Path of the VM list. */
constexpr std::string_view vmListPath = "/v1/vms";

/** A call with the lease that the service offers besides; a key under a lease is removed when it runs out. */
struct WireStoreRequest {
    StoreRequest request;
    Milliseconds lease; /**< 0 for a key that stays. Compare-and-swap only. */

    bool operator==(const WireStoreRequest&) const = default;
};

/** An HTTP status and its JSON body. */
struct WireAnswer {
    int status = 0;
    std::string body;

    bool operator==(const WireAnswer&) const = default;
};

/** Writes a call as JSON. Values must be valid UTF-8. */
std::string encodeStoreRequest(const WireStoreRequest& request);

/** Reads a call. Error: InvalidArgument. */
Outcome<WireStoreRequest> decodeStoreRequest(std::string_view body);

/** Writes a reply with the HTTP status that fits it. */
WireAnswer encodeStoreReply(const StoreReply& reply);

/**
    Reads a reply. An answer that cannot be understood leaves open whether a write took effect: OutcomeUnknown
    for a write, Unavailable for a read.
*/
StoreReply decodeStoreReply(StoreOperation operation, const WireAnswer& answer);

/** Writes the VM list as JSON. */
std::string encodeVmList(const VmList& list);

/** Reads the VM list and sorts it by VM. Error: Damaged. */
Outcome<VmList> decodeVmList(std::string_view body);

/** True for the operations that may change the store. */
constexpr bool isWrite(StoreOperation operation)
{
    return operation == StoreOperation::CompareAndSwap || operation == StoreOperation::Remove;
}

} // namespace papayashelf
