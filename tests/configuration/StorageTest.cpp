#include "configuration/configuration.h"
#include "foundation/hashing/Sha256.h"
#include "platform/store/StoreCall.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class StorageTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StorageTest);
    CPPUNIT_TEST(testRevisionRoundTripsThroughStore);
    CPPUNIT_TEST(testStoredValuesStayWithinSizeLimit);
    CPPUNIT_TEST(testOneChangedDocumentChangesOnePart);
    CPPUNIT_TEST(testDamagedOrMissingPartIsRefused);
    CPPUNIT_TEST(testUnknownSchemaVersionIsRejected);
    CPPUNIT_TEST(testDeltaProducesTargetRevision);
    CPPUNIT_TEST(testMergedDeltaContainsPathsOfBothDeltas);
    CPPUNIT_TEST(testDigestSeparatesPathFromBody);
    CPPUNIT_TEST(testWithdrawalsRoundTrip);
    CPPUNIT_TEST_SUITE_END();

    static Revision makeRevision(RevisionNumber number, int documents)
    {
        Revision revision { number, {}, {} };
        for (int index = 0; index < documents; ++index)
            revision.documents["workspaces/w" + std::to_string(index) + ".toml"] = std::string(300, 'x');
        revision.digest = digestOf(revision.documents);
        return revision;
    }

    static std::map<std::string, std::string> mapPartsByKey(const StoredRevision& stored)
    {
        std::map<std::string, std::string> parts;
        for (const StoredPart& part : stored.parts)
            parts[part.key] = part.value;
        return parts;
    }

    void testRevisionRoundTripsThroughStore()
    {
        const Revision revision = makeRevision(7, 200);
        const StoredRevision stored = encodeRevision(revision).value();
        const Manifest manifest = decodeManifest(stored.manifest).value();
        CPPUNIT_ASSERT(assembleRevision(manifest, mapPartsByKey(stored)).value() == revision);
    }

    void testStoredValuesStayWithinSizeLimit()
    {
        const StoredRevision stored = encodeRevision(makeRevision(1, 20000)).value();
        for (const StoredPart& part : stored.parts)
            CPPUNIT_ASSERT(part.value.size() < maximumStoreValueBytes);
        Revision large = makeRevision(1, 1);
        large.documents["large"] = std::string(maximumStoreValueBytes, 'x');
        CPPUNIT_ASSERT(encodeRevision(large).error().code == ErrorCode::TooLarge);
    }

    void testOneChangedDocumentChangesOnePart()
    {
        Revision revision = makeRevision(1, 4800);
        const auto before = mapPartsByKey(encodeRevision(revision).value());
        revision.documents["workspaces/w17.toml"] = "other";
        revision.number = 2;
        std::size_t newParts = 0;
        for (const auto& [key, value] : mapPartsByKey(encodeRevision(revision).value()))
            newParts += before.count(key) == 0 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, newParts);
    }

    void testDamagedOrMissingPartIsRefused()
    {
        const StoredRevision stored = encodeRevision(makeRevision(3, 50)).value();
        const Manifest manifest = decodeManifest(stored.manifest).value();
        auto parts = mapPartsByKey(stored);
        parts.begin()->second.back() = ' ';
        CPPUNIT_ASSERT(assembleRevision(manifest, parts).error().code == ErrorCode::Damaged);
        parts.erase(parts.begin());
        CPPUNIT_ASSERT(assembleRevision(manifest, parts).error().code == ErrorCode::NotFound);
        Manifest other = manifest;
        other.parts.pop_back();
        CPPUNIT_ASSERT(assembleRevision(other, mapPartsByKey(stored)).error().code == ErrorCode::Damaged);
    }

    void testUnknownSchemaVersionIsRejected()
    {
        const std::string later = R"({"schema_version":2,"number":9,"digest":"d","parts":[]})";
        CPPUNIT_ASSERT(decodeManifest(later).error().code == ErrorCode::UnknownSchemaVersion);
        CPPUNIT_ASSERT(decodeManifest("{\"number\":9}").error().code == ErrorCode::Damaged);
        CPPUNIT_ASSERT(decodeManifest("[").error().code == ErrorCode::Damaged);
        const std::string keys = R"({"schema_version":2,"withdrawals":[]})";
        CPPUNIT_ASSERT(decodeWithdrawals(keys).error().code == ErrorCode::UnknownSchemaVersion);
    }

    void testDeltaProducesTargetRevision()
    {
        const Revision from = makeRevision(1, 20);
        Revision to = from;
        to.number = 2;
        to.documents.erase("workspaces/w3.toml");
        to.documents["workspaces/w4.toml"] = "changed";
        to.documents["keys/k.toml"] = "added";
        to.digest = digestOf(to.documents);
        RevisionDelta delta = makeDelta(from, to);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, delta.changed.size());
        CPPUNIT_ASSERT(applyDelta(from, delta).value() == to);
        CPPUNIT_ASSERT(applyDelta(to, delta).error().code == ErrorCode::Conflict);
        CPPUNIT_ASSERT(applyDelta({}, makeFullDelta(to)).value() == to);
        delta.changed.pop_back();
        CPPUNIT_ASSERT(applyDelta(from, delta).error().code == ErrorCode::Damaged);
    }

    void testMergedDeltaContainsPathsOfBothDeltas()
    {
        const Revision first = makeRevision(1, 5);
        Revision second = first;
        second.number = 2;
        second.documents["workspaces/w1.toml"] = "briefly";
        second.documents["workspaces/w9.toml"] = "briefly";
        second.digest = digestOf(second.documents);
        Revision third = first;
        third.number = 3;
        const RevisionDelta merged = mergeDeltas(makeDelta(first, second), makeDelta(second, third));
        CPPUNIT_ASSERT(applyDelta(first, merged).value() == third);
        // The same changes also lead from the revision in between to the newest one.
        RevisionDelta fromSecond = merged;
        fromSecond.from = 2;
        CPPUNIT_ASSERT(applyDelta(second, fromSecond).value() == third);
    }

    void testDigestSeparatesPathFromBody()
    {
        CPPUNIT_ASSERT(digestOf({ { "ab", "c" } }) != digestOf({ { "a", "bc" } }));
        const std::string emptyTextDigest = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";
        CPPUNIT_ASSERT_EQUAL(emptyTextDigest, sha256Hex(""));
    }

    void testWithdrawalsRoundTrip()
    {
        const std::vector<Withdrawal> withdrawals { { KeyDigest("aa"), 4 }, { KeyDigest("bb"), 0 } };
        CPPUNIT_ASSERT(decodeWithdrawals(encodeWithdrawals(withdrawals).value()).value() == withdrawals);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StorageTest);

} // namespace papayashelf
