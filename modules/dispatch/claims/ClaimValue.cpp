#include "dispatch/claims/ClaimValue.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

namespace papayashelf {

namespace {

constexpr std::int64_t schemaVersion = 1;

bool isUtf8(const std::string& text)
{
    boost::system::error_code error;
    boost::json::parse(boost::json::serialize(boost::json::string(text)), error);
    return !error;
}

const boost::json::value* findMember(const boost::json::object& object, std::string_view name, boost::json::kind kind)
{
    const boost::json::value* const value = object.if_contains(name);
    return value && value->kind() == kind ? value : nullptr;
}

std::int64_t readNumber(const boost::json::object& object, std::string_view name, bool& isValid)
{
    const boost::json::value* const value = findMember(object, name, boost::json::kind::int64);
    isValid = isValid && value;
    return value ? value->get_int64() : 0;
}

std::string readText(const boost::json::object& object, std::string_view name, bool& isValid)
{
    const boost::json::value* const value = findMember(object, name, boost::json::kind::string);
    isValid = isValid && value;
    return value ? std::string(value->get_string()) : std::string();
}

} // namespace

std::string encodeClaim(const ClaimValue& claim)
{
    boost::json::object object;
    object["schema"] = schemaVersion;
    object["vm"] = claim.vm.string();
    object["incarnation"] = static_cast<std::int64_t>(claim.incarnation);
    object["nonce"] = static_cast<std::int64_t>(claim.nonce);
    object["claimed_at_ms"] = claim.claimedAt.count();
    object["state"] = claim.isConfirmed ? "confirmed" : "claimed";
    if (claim.isConfirmed)
        object["status"] = claim.status;
    if (claim.isConfirmed && claim.isBodyHeld && isUtf8(claim.body) && isUtf8(claim.contentType)) {
        object["content_type"] = claim.contentType;
        object["body"] = claim.body;
    }
    return boost::json::serialize(object);
}

Outcome<ClaimValue> decodeClaim(const std::string& text)
{
    boost::system::error_code error;
    const boost::json::value parsed = boost::json::parse(text, error);
    const boost::json::object* const object = error ? nullptr : parsed.if_object();
    if (!object)
        return Error { ErrorCode::Damaged, "stored claim is not a JSON object" };
    bool isValid = true;
    if (readNumber(*object, "schema", isValid) != schemaVersion)
        return Error { ErrorCode::UnknownSchemaVersion, "stored claim has an unknown schema version" };

    ClaimValue claim;
    claim.vm = VmId(readText(*object, "vm", isValid));
    claim.incarnation = static_cast<Incarnation>(readNumber(*object, "incarnation", isValid));
    claim.nonce = static_cast<std::uint64_t>(readNumber(*object, "nonce", isValid));
    claim.claimedAt = Milliseconds(readNumber(*object, "claimed_at_ms", isValid));
    claim.isConfirmed = readText(*object, "state", isValid) == "confirmed";
    if (claim.isConfirmed)
        claim.status = static_cast<int>(readNumber(*object, "status", isValid));
    claim.isBodyHeld = object->contains("body");
    if (claim.isBodyHeld) {
        claim.contentType = readText(*object, "content_type", isValid);
        claim.body = readText(*object, "body", isValid);
    }
    if (!isValid)
        return Error { ErrorCode::Damaged, "stored claim has a missing or mistyped member" };
    return claim;
}

} // namespace papayashelf
