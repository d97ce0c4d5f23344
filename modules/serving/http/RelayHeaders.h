#pragma once

#include <string_view>

/** Headers between two VMs of the system. Each begins with the prefix; callers' own are dropped. */
namespace papayashelf::relayheaders {

constexpr std::string_view prefix = "papayashelf-";
constexpr std::string_view key = "papayashelf-relay-key"; /**< The receiving process's own key. */
constexpr std::string_view service = "papayashelf-service"; /**< The service that the first VM chose. */
constexpr std::string_view stream = "papayashelf-stream"; /**< "1" if the answer is a stream. */
constexpr std::string_view notRun = "papayashelf-not-run"; /**< The VM's promise that the request has not run. */

} // namespace papayashelf::relayheaders
