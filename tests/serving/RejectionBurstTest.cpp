#include "serving/GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

/** Upstreams whose answers state how many rejections they bear. */
class RejectionBurstTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RejectionBurstTest);
    CPPUNIT_TEST(testBurstAtAllVmsDoesNotExceedTheSlots);
    CPPUNIT_TEST(testUnreadableRejectionLimitNeitherBeginsNorEndsOne);
    CPPUNIT_TEST(testRefusalStatesARejectionLimitAndEndsNone);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* statement = "Server-Brittle: 4\r\n";
    /** After its start, within which a VM may not know all others and uses no upstream that limits rejections. */
    static constexpr std::chrono::milliseconds discoveryTime { 2'200 };

public:
    // Each VM sent as much as the upstream had slots before it heard of the others' requests, and most were rejected.
    void testBurstAtAllVmsDoesNotExceedTheSlots()
    {
        constexpr std::size_t vms = 3;
        constexpr int slots = 6;
        constexpr int requestsPerVm = 8;
        GatewayFleet fleet(std::vector<std::string>(vms, "north"));
        SealedUpstream& upstream = fleet.addUpstream("v1", "north", slots);
        upstream.setStatedHeaders(statement);
        fleet.start();
        std::this_thread::sleep_for(discoveryTime);
        for (std::size_t vm = 0; vm < vms; ++vm)
            CPPUNIT_ASSERT_EQUAL(200, fleet.call(vm, "first-" + std::to_string(vm)).getStatus());
        upstream.queueAnswers(std::deque<AnswerKind>(vms * requestsPerVm, AnswerKind::Late));
        std::vector<std::future<RawAnswer>> answers;
        for (std::size_t request = 0; request < vms * requestsPerVm; ++request)
            answers.push_back(std::async(std::launch::async,
                [&fleet, request] { return fleet.call(request % vms, "id-" + std::to_string(request)); }));
        std::this_thread::sleep_for(SealedUpstream::lateness / 2);
        CPPUNIT_ASSERT_EQUAL(vms + slots, upstream.getRequests().size());
        for (std::future<RawAnswer>& answer : answers)
            answer.get();
    }

    void testUnreadableRejectionLimitNeitherBeginsNorEndsOne()
    {
        ServingHarness harness;
        std::this_thread::sleep_for(discoveryTime);
        const std::vector<std::string> unreadable { "many", "-1", "nan", "inf", "1e300", "2,0",
            "2\r\nServer-Brittle: 3" };
        for (const std::string& value : unreadable)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 0, countLimits(harness, "Server-Brittle: " + value + "\r\n"));
        CPPUNIT_ASSERT_EQUAL(1, countLimits(harness, statement));
        for (const std::string& value : unreadable)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(value, 1, countLimits(harness, "Server-Brittle: " + value + "\r\n"));
        CPPUNIT_ASSERT_EQUAL(0, countLimits(harness, ""));
    }

    void testRefusalStatesARejectionLimitAndEndsNone()
    {
        ServingHarness harness;
        std::this_thread::sleep_for(discoveryTime);
        harness.first().queueAnswers({ AnswerKind::Rejected });
        CPPUNIT_ASSERT_EQUAL(1, countLimits(harness, statement));
        constexpr std::chrono::milliseconds rejectionPause { 1'100 }; // In which it gets no requests.
        std::this_thread::sleep_for(rejectionPause);
        harness.first().queueAnswers({ AnswerKind::Rejected });
        CPPUNIT_ASSERT_EQUAL(1, countLimits(harness, ""));
    }

private:
    /** Lets the first upstream answer with the header lines. Returns the number of upstreams with a limit after it. */
    static int countLimits(ServingHarness& harness, const std::string& headers)
    {
        static int number = 0;
        constexpr int implausiblyMany = 200;
        harness.first().setStatedHeaders(headers);
        const std::size_t before = harness.first().getRequests().size();
        for (int request = 0; request < implausiblyMany && harness.first().getRequests().size() == before; ++request)
            harness.call(ServingHarness::makeHead("GET", "/again/x", "limit-" + std::to_string(++number)));
        CPPUNIT_ASSERT(harness.first().getRequests().size() > before);
        const std::string metrics = harness.readMetrics();
        const std::string name = "\npapayashelf_upstreams_that_limit_rejections ";
        const std::size_t at = metrics.find(name);
        CPPUNIT_ASSERT(at != std::string::npos);
        return std::stoi(metrics.substr(at + name.size()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RejectionBurstTest);

} // namespace papayashelf
