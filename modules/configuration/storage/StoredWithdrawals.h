#pragma once

#include "configuration/messages/ConfigurationMessages.h"
#include "foundation/outcomes/Outcome.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace papayashelf {

/** Where the store keeps the withdrawn keys. */
constexpr std::string_view withdrawalsKey = "withdrawals/set";

/** Schema of that value; one with another schema is set aside. */
constexpr std::int64_t withdrawalsSchemaVersion = 1;

/** Writes the value of withdrawalsKey. Errors: TooLarge. Thread safety: any thread. */
Outcome<std::string> encodeWithdrawals(const std::vector<Withdrawal>& withdrawals);

/** Reads the value of withdrawalsKey. Errors: Damaged, UnknownSchemaVersion. Thread safety: any thread. */
Outcome<std::vector<Withdrawal>> decodeWithdrawals(std::string_view value);

} // namespace papayashelf
