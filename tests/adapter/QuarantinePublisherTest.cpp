#include "adapter/QuarantinePublisher.h"

#include "adapter/Decoding.h"
#include "standins/engine/StandinHttp.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

const PromptSignature prompt { ServiceId("engine"), { PromptPartId("1f") } };

/** Answers every call like the store and keeps what was called. */
class RecordingStore {
public:
    RecordingStore()
        : http(Endpoint { "127.0.0.1", 0 })
    {
        this->endpoint = this->http.start([](const StandinHttp::Request& request, StandinHttp::Stream& stream) {
            return StandinHttp::answer(stream, request, 200, R"({"lease":41,"ttl_ms":600000,"revision":7})");
        });
    }

    StandinHttp http;
    Endpoint endpoint;
};

/** Runs a publisher against a store. */
class PublisherRun {
public:
    PublisherRun()
        : log(STDOUT_FILENO)
        , core(GatewaySettings {}, "key", 1)
        , publisher(this->context.get_executor(), this->store.endpoint, this->era, this->core, this->log)
    {
        asio::co_spawn(this->context, this->publisher.run(), asio::detached);
    }

    /** Lets the publisher run until the store has had so many calls, or for longer than it ever waits. */
    std::vector<StandinRequest> runUntilCalls(std::size_t calls)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        while (this->store.http.getRequests().size() < calls && std::chrono::steady_clock::now() < end)
            this->context.run_for(std::chrono::milliseconds(20));
        return this->store.http.getRequests();
    }

    RecordingStore store;
    asio::io_context context;
    StoreEra era;
    DecisionLog log;
    GatewayCore core;
    QuarantinePublisher publisher;
};

StoreItem makeStoredItem(const std::string& key, bool isRemoved)
{
    return { key, isRemoved ? std::string() : encodePromptSignature(prompt), 5,
        isRemoved ? StoreItemState::Removed : StoreItemState::Written };
}

} // namespace

class QuarantinePublisherTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(QuarantinePublisherTest);
    CPPUNIT_TEST(testQuarantineOutlivesItsVmUnderALease);
    CPPUNIT_TEST(testStoredQuarantineHoldsUntilItIsRemoved);
    CPPUNIT_TEST(testQuarantineOfAnotherVmIsNotStoredAgain);
    CPPUNIT_TEST(testUnconfirmedQuarantineIsNotStored);
    CPPUNIT_TEST(testDisprovedQuarantineIsRemovedFromTheStore);
    CPPUNIT_TEST(testQuarantineLostWithTheCopyIsStoredAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void testQuarantineOutlivesItsVmUnderALease()
    {
        PublisherRun run;
        run.publisher.noteChange({ prompt, QuarantineStep::Confirmed, quarantinecauses::answersToOthers });
        const std::vector<StandinRequest> calls = run.runUntilCalls(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, calls.size());
        CPPUNIT_ASSERT(calls[0].contains("600000"));
        CPPUNIT_ASSERT(calls[1].contains("\"lease\":41") && calls[1].contains("quarantine/engine/"));
        CPPUNIT_ASSERT(calls[1].contains(encodeBase64(encodePromptSignature(prompt))));
    }

    void testStoredQuarantineHoldsUntilItIsRemoved()
    {
        PublisherRun run;
        const Milliseconds now(1'000);
        run.publisher.applyItem(makeStoredItem("quarantine/engine/1", false));
        CPPUNIT_ASSERT(run.core.getQuarantine().getRemaining(now, prompt.service, prompt.parts) > Milliseconds(0));
        run.publisher.applyItem(makeStoredItem("quarantine/engine/1", true));
        CPPUNIT_ASSERT(Milliseconds(0) == run.core.getQuarantine().getRemaining(now, prompt.service, prompt.parts));
    }

    void testQuarantineOfAnotherVmIsNotStoredAgain()
    {
        PublisherRun run;
        run.publisher.noteChange({ prompt, QuarantineStep::Began, quarantinecauses::otherVm });
        run.publisher.noteChange({ prompt, QuarantineStep::Began, quarantinecauses::store });
        run.context.run_for(std::chrono::milliseconds(1'800));
        CPPUNIT_ASSERT(run.store.http.getRequests().empty());
    }

    void testUnconfirmedQuarantineIsNotStored()
    {
        PublisherRun run;
        run.publisher.noteChange({ prompt, QuarantineStep::Began, quarantinecauses::crashes });
        run.context.run_for(std::chrono::milliseconds(1'800));
        CPPUNIT_ASSERT(run.store.http.getRequests().empty());
    }

    void testDisprovedQuarantineIsRemovedFromTheStore()
    {
        PublisherRun run;
        run.publisher.noteChange({ prompt, QuarantineStep::Confirmed, quarantinecauses::answersToOthers });
        const std::vector<StandinRequest> writes = run.runUntilCalls(2);
        const std::size_t keyBegin = writes.at(1).body.find("quarantine/");
        const std::string key = writes.at(1).body.substr(keyBegin, writes.at(1).body.find('"', keyBegin) - keyBegin);
        run.publisher.applyItem(makeStoredItem(key, false));
        run.publisher.noteChange({ prompt, QuarantineStep::Ended, quarantinecauses::answered });
        const std::vector<StandinRequest> calls = run.runUntilCalls(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, calls.size());
        CPPUNIT_ASSERT(calls[2].contains("\"remove\":[\"" + key + "\"]"));
    }

    void testQuarantineLostWithTheCopyIsStoredAgain()
    {
        PublisherRun run;
        const std::string key = "quarantine/engine/1";
        run.publisher.applyItem(makeStoredItem(key, false));
        run.publisher.applyItem({ key, {}, 5, StoreItemState::Lost });
        CPPUNIT_ASSERT(
            run.core.getQuarantine().getRemaining(Milliseconds(1'000), prompt.service, prompt.parts) > Milliseconds(0));
        const std::vector<StandinRequest> calls = run.runUntilCalls(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, calls.size());
        CPPUNIT_ASSERT(calls[1].contains(key) && calls[1].contains(encodeBase64(encodePromptSignature(prompt))));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuarantinePublisherTest);

} // namespace papayashelf
