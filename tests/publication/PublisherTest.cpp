#include "publication/ExampleTree.h"
#include "publication/publication.h"
#include "standins/platform/FakeStore.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <functional>

namespace papayashelf {

namespace {

/** Makes calls to a FakeStore, notes the keys written, and can act just before a write of the manifest. */
struct WatchedStore {
    StoreReply call(const StoreRequest& request)
    {
        const bool isWrite = request.operation == StoreOperation::CompareAndSwap;
        if (isWrite && request.key == manifestKey && this->beforeManifest)
            std::exchange(this->beforeManifest, nullptr)();
        StoreReply reply = this->store.apply(request);
        if (isWrite)
            this->written.push_back(request.key);
        if (isWrite && request.key == manifestKey && this->afterManifest)
            std::exchange(this->afterManifest, nullptr)();
        return reply;
    }

    FakeStore& store;
    std::function<void()> beforeManifest;
    std::function<void()> afterManifest;
    std::vector<std::string> written;
};

Publication publicationOf(const TreeFiles& files, const std::string& author)
{
    const auto tree = checkTree(files);
    return { tree.value().documents, tree.value().governance, author, 1'700'000'000'000, 0 };
}

PublicationResult publish(WatchedStore& store, const Publication& publication)
{
    Publisher publisher(publication);
    drive(publisher, store);
    if (publisher.isReadyToCommit()) {
        publisher.commit();
        drive(publisher, store);
    }
    return *publisher.result();
}

PublicationResult publish(FakeStore& store, const TreeFiles& files, const std::string& author)
{
    WatchedStore watched { store, {}, {}, {} };
    return publish(watched, publicationOf(files, author));
}

Manifest manifestOf(FakeStore& store)
{
    const auto entries = store.apply({ StoreOperation::Get, std::string(manifestKey), {}, 0, {} });
    return decodeManifest(entries.value().front().value).value();
}

std::vector<Withdrawal> withdrawalsOf(FakeStore& store)
{
    const auto entries = store.apply({ StoreOperation::Get, std::string(withdrawalsKey), {}, 0, {} });
    return entries.value().front().version ? decodeWithdrawals(entries.value().front().value).value()
                                           : std::vector<Withdrawal>();
}

TreeFiles changedTree(const std::string& burst)
{
    return with(exampleTree(), "club/workspace.gateway.toml", "3000", burst);
}

FakeStoreFaults lostAnswers(int count)
{
    FakeStoreFaults faults;
    faults.lostAnswers = count;
    return faults;
}

FakeStoreFaults lostRequests(int count)
{
    FakeStoreFaults faults;
    faults.lostRequests = count;
    return faults;
}

const KeyDigest clubKey { sha256Hex("club-key") };

/** The tree with the club's key replaced. */
TreeFiles withoutClubKey()
{
    return with(exampleTree(), "club/keys.gateway.toml", clubKey.string(), sha256Hex("club-key-2"));
}

} // namespace

class PublisherTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PublisherTest);
    CPPUNIT_TEST(testFirstRevisionCanBeReadBack);
    CPPUNIT_TEST(testSameTreeIsUnchanged);
    CPPUNIT_TEST(testLaterRevisionWritesOnlyChangedParts);
    CPPUNIT_TEST(testLoserLearnsWhoWon);
    CPPUNIT_TEST(testLostAnswersOfEveryWriteAreSettled);
    CPPUNIT_TEST(testLostManifestRequestIsSentAgain);
    CPPUNIT_TEST(testLostAnswerAndARivalAfterIt);
    CPPUNIT_TEST(testLostRequestAndARivalAfterIt);
    CPPUNIT_TEST(testWhatCannotBeToldIsSaid);
    CPPUNIT_TEST(testWithdrawalIsWrittenBeforeTheManifest);
    CPPUNIT_TEST(testWithdrawalJoinsARivalsSet);
    CPPUNIT_TEST(testWithdrawnKeyIsNotGrantedAgain);
    CPPUNIT_TEST(testOutageBeforeTheManifestChangesNothing);
    CPPUNIT_TEST(testOutageAfterALostManifestAnswerIsUnknown);
    CPPUNIT_TEST(testStoreThatWentBackIsOvertaken);
    CPPUNIT_TEST(testUnreadableManifestIsNotOverwritten);
    CPPUNIT_TEST(testDifferenceNamesEachChange);
    CPPUNIT_TEST_SUITE_END();

    void testFirstRevisionCanBeReadBack()
    {
        FakeStore store;
        const PublicationResult result = publish(store, exampleTree(), "ana");
        CPPUNIT_ASSERT(PublicationEnd::Committed == result.end);
        const Manifest manifest = manifestOf(store);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 1 }, manifest.number);
        std::map<std::string, std::string> parts;
        for (const ManifestPart& part : manifest.parts)
            parts[part.key] = store.apply({ StoreOperation::Get, part.key, {}, 0, {} }).value().front().value;
        const auto revision = assembleRevision(manifest, parts);
        CPPUNIT_ASSERT(checkTree(exampleTree()).value().documents == revision.value().documents);
        CPPUNIT_ASSERT(buildGovernance(revision.value()));
    }

    void testSameTreeIsUnchanged()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        CPPUNIT_ASSERT((PublicationResult { PublicationEnd::Unchanged, 1, "what is in force says the same" })
            == publish(store, exampleTree(), "eva"));
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 1 }, manifestOf(store).number);
    }

    void testLaterRevisionWritesOnlyChangedParts()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        WatchedStore watched { store, {}, {}, {} };
        const auto result = publish(watched, publicationOf(changedTree("2000"), "ana"));
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 2 }, result.number);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, watched.written.size());
        CPPUNIT_ASSERT(watched.written.front().starts_with(partKeyPrefix));
        CPPUNIT_ASSERT_EQUAL(std::string(manifestKey), watched.written.back());
    }

    void testLoserLearnsWhoWon()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        WatchedStore watched { store, [&store] { publish(store, changedTree("2000"), "eva"); }, {}, {} };
        const auto result = publish(watched, publicationOf(changedTree("2500"), "ana"));
        CPPUNIT_ASSERT(PublicationEnd::LostRace == result.end);
        CPPUNIT_ASSERT_EQUAL(std::string("revision 2 by eva at 2023-11-14 22:13:20 UTC came first"), result.detail);
    }

    void testLostAnswersOfEveryWriteAreSettled()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        // One withdrawal, two parts at the most, one manifest.
        store.setFaults(lostAnswers(4));
        const auto result = publish(store, withoutClubKey(), "ana");
        CPPUNIT_ASSERT(
            (PublicationResult { PublicationEnd::Committed, 2, "committed; its answer was lost" }) == result);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 2 }, manifestOf(store).number);
        CPPUNIT_ASSERT((std::vector<Withdrawal> { { clubKey, 1 } }) == withdrawalsOf(store));
    }

    void testLostManifestRequestIsSentAgain()
    {
        FakeStore store;
        WatchedStore watched { store, [&store] { store.setFaults(lostRequests(1)); }, {}, {} };
        CPPUNIT_ASSERT(PublicationEnd::Committed == publish(watched, publicationOf(exampleTree(), "ana")).end);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 1 }, manifestOf(store).number);
    }

    void testLostAnswerAndARivalAfterIt()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        WatchedStore watched { store, [&store] { store.setFaults(lostAnswers(1)); },
            [&store] { publish(store, changedTree("2000"), "eva"); }, {} };
        const auto result = publish(watched, publicationOf(changedTree("2500"), "ana"));
        CPPUNIT_ASSERT(PublicationEnd::Committed == result.end);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 2 }, result.number);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 3 }, manifestOf(store).number);
    }

    void testLostRequestAndARivalAfterIt()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        WatchedStore watched { store, [&store] { store.setFaults(lostRequests(1)); },
            [&store] { publish(store, changedTree("2000"), "eva"); }, {} };
        const auto result = publish(watched, publicationOf(changedTree("2500"), "ana"));
        CPPUNIT_ASSERT(PublicationEnd::LostRace == result.end);
        CPPUNIT_ASSERT(result.detail.find("eva") != std::string::npos);
    }

    void testWhatCannotBeToldIsSaid()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        WatchedStore watched { store, [&store] { store.setFaults(lostAnswers(1)); },
            [&store] {
                publish(store, changedTree("2000"), "eva");
                publish(store, changedTree("2100"), "eva");
            },
            {} };
        const auto result = publish(watched, publicationOf(changedTree("2500"), "ana"));
        CPPUNIT_ASSERT(PublicationEnd::OutcomeUnknown == result.end);
    }

    void testWithdrawalIsWrittenBeforeTheManifest()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        bool wasWithdrawnBefore = false;
        WatchedStore watched { store,
            [&] {
                wasWithdrawnBefore = withdrawalsOf(store) == std::vector<Withdrawal> { { clubKey, 1 } };
            },
            {}, {} };
        CPPUNIT_ASSERT(PublicationEnd::Committed == publish(watched, publicationOf(withoutClubKey(), "ana")).end);
        CPPUNIT_ASSERT(wasWithdrawnBefore);
        CPPUNIT_ASSERT_EQUAL(std::string(withdrawalsKey), watched.written.front());
    }

    void testWithdrawalJoinsARivalsSet()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        Publisher publisher(publicationOf(withoutClubKey(), "ana"));
        WatchedStore watched { store, {}, {}, {} };
        drive(publisher, watched);
        const Withdrawal rival { KeyDigest(std::string(64, 'b')), 1 };
        const std::string value = encodeWithdrawals({ rival }).value();
        CPPUNIT_ASSERT(
            store.apply({ StoreOperation::CompareAndSwap, std::string(withdrawalsKey), value, 0, {} }).has_value());
        publisher.commit();
        drive(publisher, watched);
        CPPUNIT_ASSERT(PublicationEnd::Committed == publisher.result()->end);
        CPPUNIT_ASSERT((std::vector<Withdrawal> { rival, { clubKey, 1 } }) == withdrawalsOf(store));
    }

    void testWithdrawnKeyIsNotGrantedAgain()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        publish(store, withoutClubKey(), "ana");
        const auto result = publish(store, exampleTree(), "ana");
        CPPUNIT_ASSERT(PublicationEnd::Refused == result.end);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 2 }, manifestOf(store).number);
    }

    void testOutageBeforeTheManifestChangesNothing()
    {
        FakeStore store;
        FakeStoreFaults outage;
        outage.isOut = true;
        WatchedStore watched { store, [&] { store.setFaults(outage); }, {}, {} };
        CPPUNIT_ASSERT(PublicationEnd::Unavailable == publish(watched, publicationOf(exampleTree(), "ana")).end);
        store.setFaults({});
        CPPUNIT_ASSERT(PublicationEnd::Committed == publish(store, exampleTree(), "ana").end);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 1 }, manifestOf(store).number);
    }

    void testOutageAfterALostManifestAnswerIsUnknown()
    {
        FakeStore store;
        FakeStoreFaults outage;
        outage.isOut = true;
        WatchedStore watched { store, [&] { store.setFaults(lostAnswers(1)); }, [&] { store.setFaults(outage); }, {} };
        CPPUNIT_ASSERT(PublicationEnd::OutcomeUnknown == publish(watched, publicationOf(exampleTree(), "ana")).end);
    }

    void testStoreThatWentBackIsOvertaken()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        store.saveState();
        publish(store, changedTree("2000"), "ana");
        publish(store, changedTree("2100"), "ana");
        store.restoreState();
        Publication publication = publicationOf(exampleTree(), "ana");
        publication.highestInForce = 3;
        WatchedStore watched { store, {}, {}, {} };
        const auto result = publish(watched, publication);
        CPPUNIT_ASSERT(PublicationEnd::Committed == result.end);
        CPPUNIT_ASSERT_EQUAL(RevisionNumber { 4 }, manifestOf(store).number);
    }

    void testUnreadableManifestIsNotOverwritten()
    {
        for (const std::string value : { "{", R"({"schema_version":99})", R"({"schema_version":1})" }) {
            FakeStore store;
            CPPUNIT_ASSERT(
                store.apply({ StoreOperation::CompareAndSwap, std::string(manifestKey), value, 0, {} }).has_value());
            CPPUNIT_ASSERT(PublicationEnd::Damaged == publish(store, exampleTree(), "ana").end);
            const auto kept = store.apply({ StoreOperation::Get, std::string(manifestKey), {}, 0, {} });
            CPPUNIT_ASSERT_EQUAL(value, kept.value().front().value);
        }
    }

    void testDifferenceNamesEachChange()
    {
        FakeStore store;
        publish(store, exampleTree(), "ana");
        TreeFiles files = with(withoutClubKey(), "fleet.gateway.toml", "5000", "6000");
        files = with(files, "shop/workspace.gateway.toml", "400", "300");
        files = with(files, "routes.gateway.toml", "tokens_per_request = 20", "open_to_all = true");
        Publisher publisher(publicationOf(files, "eva"));
        WatchedStore watched { store, {}, {}, {} };
        drive(publisher, watched);
        const auto& lines = publisher.difference().lines;
        const auto has
            = [&](const std::string& line) { return std::find(lines.begin(), lines.end(), line) != lines.end(); };
        CPPUNIT_ASSERT(has("~ workspace shop, tokens_per_second 400 -> 300"));
        CPPUNIT_ASSERT(has("~ route entries, tokens_per_request 20 -> 0, now open to all"));
        CPPUNIT_ASSERT(has("- key " + clubKey.string().substr(0, 12) + "... of club, withdrawn for good"));
        CPPUNIT_ASSERT(has("~ fleet in fleet.gateway.toml"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, lines.size());
        CPPUNIT_ASSERT_EQUAL(std::string("ana"), publisher.stampInForce().author);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PublisherTest);

} // namespace papayashelf
