#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include "foundation/outcomes/Outcome.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** Key in the store of the set of withdrawn keys. */
constexpr std::string_view withdrawalsKey = "withdrawals/set";

/** Schema version of the value of withdrawalsKey; a value with another version is not used. */
constexpr std::int64_t withdrawalsSchemaVersion = 1;

/** Encodes the value of withdrawalsKey. Errors: TooLarge. Thread safety: any thread. */
Outcome<std::string> encodeWithdrawals(const std::vector<Withdrawal>& withdrawals);

/** Decodes the value of withdrawalsKey. Errors: Damaged, UnknownSchemaVersion. Thread safety: any thread. */
Outcome<std::vector<Withdrawal>> decodeWithdrawals(std::string_view value);

} // namespace papayashelf
