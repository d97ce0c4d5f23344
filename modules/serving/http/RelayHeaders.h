#pragma once

#include <string_view>

/** Headers that VMs exchange on relayed requests. All start with the prefix; such headers from callers are dropped. */
namespace papayashelf::relayheaders {

constexpr std::string_view prefix = "papayashelf-";
constexpr std::string_view key = "papayashelf-relay-key"; /**< Relay key of the receiving process. */
constexpr std::string_view service = "papayashelf-service"; /**< Service that the relaying VM chose. */
constexpr std::string_view stream = "papayashelf-stream"; /**< "1" if the answer is a stream, else "0". */
constexpr std::string_view notRun = "papayashelf-not-run"; /**< The VM's guarantee that the request has not run. */
/** "1" beside that guarantee if no upstream has received the request, so that another attempt is not a retry there. */
constexpr std::string_view notSent = "papayashelf-not-sent";
/** "1" beside that guarantee if the VM reaches no upstream itself. */
constexpr std::string_view unreachable = "papayashelf-unreachable";
/** Milliseconds that the request may wait for an upstream with free capacity; absent if it must not wait. */
constexpr std::string_view capacityWait = "papayashelf-capacity-wait";
/** "1" if an upstream crashed as it began to answer the request. */
constexpr std::string_view crashSuspect = "papayashelf-crash-suspect";

/**
    In a relayed request: software version of the upstreams that may continue the stream; absent if any may begin it.
    In the answer: software version of the upstream that the events come from; absent if it is uncertain.
*/
constexpr std::string_view version = "papayashelf-version";

} // namespace papayashelf::relayheaders
