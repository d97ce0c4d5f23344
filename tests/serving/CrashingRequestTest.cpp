#include "serving/ServingHarness.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

constexpr int upstreamCount = 12;
constexpr std::chrono::milliseconds betweenRequests { 150 };

} // namespace

/** A request that crashes each upstream that begins to run it, without a prompt and before any answer. */
class CrashingRequestTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CrashingRequestTest);
    CPPUNIT_TEST(testRequestThatComesAgainDoesNotCrashOneUpstreamAfterTheOther);
    CPPUNIT_TEST(testRequestIsNotRetriedOnceTwoUpstreamsHaveCrashedUnderIt);
    CPPUNIT_TEST(testStreamThatCrashesUpstreamsIsNotMovedFromOneToTheOther);
    CPPUNIT_TEST(testOtherRequestsOfTheCallerAreServed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->harness = std::make_unique<ServingHarness>(ServingHarness::ampleRetryRatio, upstreamCount);
    }

    void tearDown() override { this->harness.reset(); }

    void testRequestThatComesAgainDoesNotCrashOneUpstreamAfterTheOther()
    {
        constexpr std::size_t arrivalsUntilKnown = 3;
        for (int number = 0; number < upstreamCount; ++number)
            this->crash("GET", "/again/deadly?x=1");
        CPPUNIT_ASSERT_EQUAL(arrivalsUntilKnown, this->countDeadlyArrivals());
        const RawAnswer refusal = this->ask("GET", "/again/deadly?x=1");
        CPPUNIT_ASSERT_EQUAL(503, refusal.getStatus());
        CPPUNIT_ASSERT(refusal.has("Retry-After: "));
    }

    void testRequestIsNotRetriedOnceTwoUpstreamsHaveCrashedUnderIt()
    {
        this->crash("GET", "/many/deadly");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, this->countDeadlyArrivals());
    }

    void testStreamThatCrashesUpstreamsIsNotMovedFromOneToTheOther()
    {
        constexpr std::size_t arrivalsUntilKnown = 3;
        for (int number = 0; number < upstreamCount; ++number)
            this->crash("POST", "/stream/again/deadly", "{\"prompt\":\"x\"}");
        CPPUNIT_ASSERT_EQUAL(arrivalsUntilKnown, this->countDeadlyArrivals());
    }

    void testOtherRequestsOfTheCallerAreServed()
    {
        for (int number = 0; number < upstreamCount; ++number)
            this->crash("POST", "/again/deadly", "crash");
        CPPUNIT_ASSERT_EQUAL(200, this->ask("GET", "/again/sound").getStatus());
        CPPUNIT_ASSERT_EQUAL(
            200, this->ask("POST", "/again/deadly", std::string(SealedUpstream::harmlessBody)).getStatus());
    }

private:
    RawAnswer ask(const std::string& method, const std::string& path, const std::string& body = {})
    {
        const std::string id = "id-" + std::to_string(++this->requests);
        return this->harness->call(ServingHarness::makeHead(method, path, id), body);
    }

    void crash(const std::string& method, const std::string& path, const std::string& body = {})
    {
        this->ask(method, path, body);
        std::this_thread::sleep_for(betweenRequests);
    }

    std::size_t countDeadlyArrivals() const
    {
        const auto arrivals = this->harness->getArrivals();
        return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(), [](const StandinRequest& request) {
                return request.target.find(SealedUpstream::deadlyTarget) != std::string::npos;
            }));
    }

    std::unique_ptr<ServingHarness> harness;
    int requests = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);

} // namespace papayashelf
