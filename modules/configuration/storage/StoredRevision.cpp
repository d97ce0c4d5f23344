#include "configuration/storage/StoredRevision.h"

#include "configuration/storage/RevisionDigest.h"
#include "configuration/storage/StoredJson.h"
#include "foundation/hashing/Sha256.h"
#include "foundation/hashing/StableHash.h"
#include "platform/store/StoreCall.h"

#include <boost/json/serialize.hpp>

namespace papayashelf {

namespace {

std::string encodePart(const std::map<std::string, std::string>& documents)
{
    boost::json::object members;
    for (const auto& [path, body] : documents)
        members[path] = body;
    boost::json::object part;
    part["schema_version"] = configurationSchemaVersion;
    part["documents"] = std::move(members);
    return boost::json::serialize(part);
}

Outcome<ManifestPart> readManifestPart(const boost::json::value& value)
{
    const auto* part = value.if_object();
    if (!part)
        return Error { ErrorCode::Damaged, "an entry in the parts of the manifest is not an object" };
    BOOST_OUTCOME_TRY(std::string key, readText(*part, "key"));
    BOOST_OUTCOME_TRY(std::string digest, readText(*part, "digest"));
    return ManifestPart { std::move(key), std::move(digest) };
}

Outcome<void> addPartDocuments(const std::string& value, std::map<std::string, std::string>& documents)
{
    BOOST_OUTCOME_TRY(const auto part, readStoredObject(value, configurationSchemaVersion));
    const auto* members = part.if_contains("documents");
    if (!members || !members->is_object())
        return Error { ErrorCode::Damaged, "the part has no documents object" };
    for (const auto& member : members->get_object()) {
        const auto* body = member.value().if_string();
        if (!body)
            return Error { ErrorCode::Damaged, "the document " + std::string(member.key()) + " is not a string" };
        documents[std::string(member.key())] = std::string(body->c_str(), body->size());
    }
    return boost::outcome_v2::success();
}

} // namespace

std::uint64_t storedPartIndexOf(std::string_view path)
{
    return stableHash(path) % storedPartCount;
}

std::string encodeManifest(const Manifest& manifest)
{
    boost::json::array parts;
    for (const ManifestPart& part : manifest.parts)
        parts.push_back(boost::json::object { { "key", part.key }, { "digest", part.digest } });
    boost::json::object object;
    object["schema_version"] = configurationSchemaVersion;
    object["number"] = manifest.number;
    object["digest"] = manifest.digest;
    object["parts"] = std::move(parts);
    return boost::json::serialize(object);
}

Outcome<StoredRevision> encodeRevision(const Revision& revision)
{
    std::map<std::uint64_t, std::map<std::string, std::string>> documentsByPart;
    for (const auto& [path, body] : revision.documents)
        documentsByPart[storedPartIndexOf(path)][path] = body;

    StoredRevision stored;
    Manifest manifest { revision.number, digestOf(revision.documents), {} };
    for (const auto& [index, documents] : documentsByPart) {
        std::string value = encodePart(documents);
        if (value.size() > maximumStoreValueBytes)
            return Error { ErrorCode::TooLarge,
                "part " + std::to_string(index) + " of the configuration exceeds the size limit of a stored value" };
        const std::string digest = sha256Hex(value);
        std::string key = std::string(partKeyPrefix) + digest;
        manifest.parts.push_back({ key, digest });
        stored.parts.push_back({ std::move(key), std::move(value) });
    }
    stored.manifest = encodeManifest(manifest);
    if (stored.manifest.size() > maximumStoreValueBytes)
        return Error { ErrorCode::TooLarge,
            "the manifest of the configuration exceeds the size limit of a stored value" };
    return stored;
}

Outcome<Manifest> decodeManifest(std::string_view value)
{
    BOOST_OUTCOME_TRY(const auto object, readStoredObject(value, configurationSchemaVersion));
    BOOST_OUTCOME_TRY(const std::uint64_t number, readNumber(object, "number"));
    BOOST_OUTCOME_TRY(std::string digest, readText(object, "digest"));
    const auto* parts = object.if_contains("parts");
    if (!parts || !parts->is_array())
        return Error { ErrorCode::Damaged, "the manifest has no parts array" };
    Manifest manifest { number, std::move(digest), {} };
    for (const auto& entry : parts->get_array()) {
        BOOST_OUTCOME_TRY(auto part, readManifestPart(entry));
        manifest.parts.push_back(std::move(part));
    }
    return manifest;
}

Outcome<Revision> assembleRevision(const Manifest& manifest, const std::map<std::string, std::string>& parts)
{
    Revision revision { manifest.number, manifest.digest, {} };
    for (const ManifestPart& part : manifest.parts) {
        const auto found = parts.find(part.key);
        if (found == parts.end())
            return Error { ErrorCode::NotFound, part.key };
        if (sha256Hex(found->second) != part.digest)
            return Error { ErrorCode::Damaged, part.key + " does not match its digest" };
        BOOST_OUTCOME_TRY(addPartDocuments(found->second, revision.documents));
    }
    if (digestOf(revision.documents) != manifest.digest)
        return Error { ErrorCode::Damaged, "the documents do not match the manifest's digest" };
    return revision;
}

} // namespace papayashelf
