#include "configuration/storage/StoredWithdrawals.h"

#include "configuration/storage/StoredJson.h"
#include "platform/store/StoreCall.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace papayashelf {

Outcome<std::string> encodeWithdrawals(const std::vector<Withdrawal>& withdrawals)
{
    boost::json::array entries;
    for (const Withdrawal& withdrawal : withdrawals) {
        entries.push_back(boost::json::object {
            { "key", withdrawal.key.string() }, { "published_after", withdrawal.publishedAfter } });
    }
    boost::json::object object;
    object["schema_version"] = withdrawalsSchemaVersion;
    object["withdrawals"] = std::move(entries);
    std::string value = boost::json::serialize(object);
    if (value.size() > maximumStoreValueBytes)
        return Error { ErrorCode::TooLarge, "the set of withdrawn keys exceeds the size limit of a stored value" };
    return value;
}

Outcome<std::vector<Withdrawal>> decodeWithdrawals(std::string_view value)
{
    BOOST_OUTCOME_TRY(const auto object, readStoredObject(value, withdrawalsSchemaVersion));
    const auto* entries = object.if_contains("withdrawals");
    if (!entries || !entries->is_array())
        return Error { ErrorCode::Damaged, "the stored set of withdrawn keys has no withdrawals array" };
    std::vector<Withdrawal> withdrawals;
    for (const auto& entry : entries->get_array()) {
        const auto* members = entry.if_object();
        if (!members)
            return Error { ErrorCode::Damaged, "an entry of the stored set of withdrawn keys is not an object" };
        BOOST_OUTCOME_TRY(std::string key, readText(*members, "key"));
        BOOST_OUTCOME_TRY(const std::uint64_t publishedAfter, readNumber(*members, "published_after"));
        withdrawals.push_back({ KeyDigest(std::move(key)), publishedAfter });
    }
    return withdrawals;
}

} // namespace papayashelf
