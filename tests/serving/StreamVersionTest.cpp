#include "serving/GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <future>

namespace papayashelf {

namespace {

constexpr int streams = 12; /**< Enough that a choice by chance hits another version. */

} // namespace

/** Streams of a service whose upstreams have two software versions. */
class StreamVersionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamVersionTest);
    CPPUNIT_TEST(testBrokenStreamIsNotContinuedAtAnotherVersion);
    CPPUNIT_TEST(testBrokenStreamIsContinuedAtItsVersion);
    CPPUNIT_TEST(testStreamTakenUpAtAnotherVmGoesOnAtItsVersion);
    CPPUNIT_TEST(testStreamOfAKilledVmGoesOnAtItsVersion);
    CPPUNIT_TEST(testRelayedStreamGoesOnAtItsVersion);
    CPPUNIT_TEST(testStreamOfUnknownOriginIsRefused);
    CPPUNIT_TEST(testStreamWhoseVersionIsGoneIsRefusedAtOnce);
    CPPUNIT_TEST(testStreamOfAVersionThatJoinedMeanwhileIsNotContinuedAtTheOneThatIsKnown);
    CPPUNIT_TEST(testStreamOfTheOnlyVersionGoesOnOnceThatIsCertain);
    CPPUNIT_TEST(testStreamThatIsTakenUpWaitsForItsVersion);
    CPPUNIT_TEST(testEventsOfUpstreamThatRestartedAsAnotherVersionAreNotForwarded);
    CPPUNIT_TEST_SUITE_END();

public:
    void tearDown() override { this->fleet.reset(); }

    void testBrokenStreamIsNotContinuedAtAnotherVersion()
    {
        this->begin({ "north" }, { "v1", "v2" });
        this->breakNextStreams(1);
        const RawAnswer answer = this->fleet->call(0, "id-1");
        CPPUNIT_ASSERT(answer.has("piece 2") && !answer.isComplete());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), this->fleet->findVersions("id-1").size());
    }

    void testBrokenStreamIsContinuedAtItsVersion()
    {
        this->begin({ "north" }, { "v1", "v2", "v1", "v2" });
        for (int stream = 0; stream < streams; ++stream) {
            this->breakNextStreams(1);
            const std::string id = "id-" + std::to_string(stream);
            const RawAnswer answer = this->fleet->call(0, id);
            const std::vector<std::string> versions = this->fleet->findVersions(id);
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), versions.size());
            CPPUNIT_ASSERT_EQUAL(versions[0], versions[1]);
        }
    }

    void testStreamTakenUpAtAnotherVmGoesOnAtItsVersion()
    {
        this->begin({ "north", "north", "north", "north", "north" }, { "v1", "v2" });
        for (int stream = 0; stream < streams; ++stream)
            this->checkTakenUp(0, 1 + static_cast<std::size_t>(stream % 4), std::to_string(stream));
    }

    void testStreamOfAKilledVmGoesOnAtItsVersion()
    {
        this->begin({ "north", "north", "north", "north", "north" }, { "v1", "v2" });
        for (int stream = 0; stream < streams; ++stream)
            this->breakStream(0, std::to_string(stream));
        this->fleet->kill(0);
        for (int stream = 0; stream < streams; ++stream)
            this->checkGoesOn(1 + static_cast<std::size_t>(stream % 4), std::to_string(stream));
    }

    void testRelayedStreamGoesOnAtItsVersion()
    {
        this->begin({ "south", "south", "north", "north" }, { "v1", "v2" });
        for (int stream = 0; stream < streams; ++stream)
            this->checkTakenUp(0, 1, std::to_string(stream));
    }

    void testStreamOfUnknownOriginIsRefused()
    {
        this->begin({ "north", "north" }, { "v1", "v2" });
        for (const char* more : { "Last-Event-Id: 2\r\n", "Last-Event-Id: 2\r\nResumes: nobody\r\n" }) {
            const RawAnswer answer = this->fleet->call(1, "id-1", more);
            CPPUNIT_ASSERT_EQUAL(503, answer.getStatus());
            CPPUNIT_ASSERT(answer.has("unknown_stream"));
        }
        CPPUNIT_ASSERT(this->fleet->findVersions("id-1").empty());
    }

    void testStreamWhoseVersionIsGoneIsRefusedAtOnce()
    {
        this->begin({ "north", "north" }, { "v1", "v2" });
        this->breakStream(0, "0");
        this->fleet->unlist(this->fleet->findVersions("first-0").front() == "v1" ? 0 : 1);
        const auto before = std::chrono::steady_clock::now();
        const RawAnswer answer = this->fleet->takeUp(1, "next-0", "first-0");
        CPPUNIT_ASSERT_EQUAL(503, answer.getStatus());
        CPPUNIT_ASSERT(answer.has("no_upstream_of_version"));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - before < std::chrono::milliseconds(600));
        CPPUNIT_ASSERT(this->fleet->findVersions("next-0").empty());
    }

    void testStreamOfAVersionThatJoinedMeanwhileIsNotContinuedAtTheOneThatIsKnown()
    {
        // The VM knows nobody who could tell it of the stream, and last read the list a moment ago.
        this->beginWithOneVersion();
        const RawAnswer answer = this->fleet->takeUp(0, "next", "begun-elsewhere");
        CPPUNIT_ASSERT_EQUAL(503, answer.getStatus());
        CPPUNIT_ASSERT(answer.has("unknown_stream"));
        CPPUNIT_ASSERT(this->fleet->findVersions("next").empty());
    }

    void testStreamOfTheOnlyVersionGoesOnOnceThatIsCertain()
    {
        this->beginWithOneVersion();
        auto answer = std::async(std::launch::async, [this] { return this->fleet->takeUp(0, "next", "elsewhere"); });
        while (answer.wait_for(std::chrono::milliseconds(20)) != std::future_status::ready)
            this->fleet->confirm(0);
        CPPUNIT_ASSERT(answer.get().isComplete());
    }

    void testStreamThatIsTakenUpWaitsForItsVersion()
    {
        this->fleet = std::make_unique<GatewayFleet>(std::vector<std::string> { "north" });
        this->upstreams = { &this->fleet->addUpstream("v1", "north", 1), &this->fleet->addUpstream("v2") };
        this->fleet->start();
        std::string number = "0";
        while (this->breakStream(0, number) != "v1")
            number += "0";
        this->upstreams[0]->queueAnswers({ AnswerKind::Late });
        this->upstreams[1]->queueAnswers({ AnswerKind::TruncatedEvent });
        auto occupant
            = std::async(std::launch::async, [&] { return this->fleet->takeUp(0, "occupant", "first-" + number); });
        while (this->fleet->findVersions("occupant").empty())
            std::this_thread::yield();
        this->checkGoesOn(0, number);
        CPPUNIT_ASSERT(occupant.get().isComplete());
    }

    void testEventsOfUpstreamThatRestartedAsAnotherVersionAreNotForwarded()
    {
        this->begin({ "north" }, { "v1" });
        this->breakStream(0, "0");
        this->upstreams[0]->queueAnswers({ AnswerKind::Late });
        auto answer = std::async(std::launch::async, [this] { return this->fleet->takeUp(0, "next-0", "first-0"); });
        while (this->fleet->findVersions("next-0").empty())
            std::this_thread::yield();
        this->fleet->relist(0, "v2");
        CPPUNIT_ASSERT(!answer.get().has("piece"));
    }

private:
    void begin(const std::vector<std::string>& regions, const std::vector<std::string>& versions)
    {
        this->fleet = std::make_unique<GatewayFleet>(regions);
        this->upstreams.clear();
        for (const std::string& version : versions)
            this->upstreams.push_back(&this->fleet->addUpstream(version));
        this->fleet->start();
    }

    void beginWithOneVersion()
    {
        this->fleet = std::make_unique<GatewayFleet>(std::vector<std::string> { "north" });
        this->fleet->addUpstream("v1", "north", 8, StreamOriginTable::longestLifetime);
        this->fleet->start();
        this->fleet->confirm(0);
        const Milliseconds confirmedAt = Clock().now();
        while (Clock().now() == confirmedAt)
            std::this_thread::yield();
    }

    /** Lets each upstream break off its next streams after their second event. */
    void breakNextStreams(std::size_t count)
    {
        for (SealedUpstream* upstream : this->upstreams)
            upstream->queueAnswers(std::deque<AnswerKind>(count, AnswerKind::TruncatedEvent));
    }

    /**
        Begins a stream that breaks off and that its VM cannot continue, as no other upstream has its version. Returns
        the version.
    */
    std::string breakStream(std::size_t vm, const std::string& number)
    {
        this->breakNextStreams(1);
        const RawAnswer answer = this->fleet->call(vm, "first-" + number);
        CPPUNIT_ASSERT(answer.has("piece 2") && !answer.has("piece 3"));
        const std::vector<std::string> versions = this->fleet->findVersions("first-" + number);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), versions.size());
        this->breakNextStreams(0);
        return versions.front();
    }

    void checkGoesOn(std::size_t vm, const std::string& number)
    {
        const RawAnswer answer = this->fleet->takeUp(vm, "next-" + number, "first-" + number);
        CPPUNIT_ASSERT_MESSAGE(answer.text, answer.isComplete() && answer.has("piece 3"));
        CPPUNIT_ASSERT(this->fleet->findVersions("first-" + number) == this->fleet->findVersions("next-" + number));
    }

    void checkTakenUp(std::size_t first, std::size_t next, const std::string& number)
    {
        this->breakStream(first, number);
        this->checkGoesOn(next, number);
    }

    std::unique_ptr<GatewayFleet> fleet;
    std::vector<SealedUpstream*> upstreams;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamVersionTest);

} // namespace papayashelf
