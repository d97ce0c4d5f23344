#include "serving/GatewayFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

/** A repeatable and a non-repeatable request, and a resumable stream and another one. */
const std::vector<std::string> paths { "/again/x", "/once/x", "/stream/again/x", "/stream/once/x" };

} // namespace

/** Copies of refusals, which arrive where the answer to a later try of the same request is due. */
class RepeatedRefusalTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RepeatedRefusalTest);
    CPPUNIT_TEST(testCopyOfMisdirectedIsNotTakenForTheAnswerOfTheSuccessor);
    CPPUNIT_TEST(testCopyOfRejectionIsNotTakenForTheAnswerOfTheSuccessor);
    CPPUNIT_TEST(testCopyAtTheRelayingTargetIsNotTakenForTheAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void testCopyOfMisdirectedIsNotTakenForTheAnswerOfTheSuccessor()
    {
        checkTwoIdsAtOneAddress(AnswerKind::Misdirected);
    }

    void testCopyOfRejectionIsNotTakenForTheAnswerOfTheSuccessor() { checkTwoIdsAtOneAddress(AnswerKind::Rejected); }

    void testCopyAtTheRelayingTargetIsNotTakenForTheAnswer()
    {
        for (const std::string& path : paths) {
            GatewayFleet fleet({ "south", "north" });
            SealedUpstream& upstream = fleet.addUpstream("v1");
            upstream.repeatRefusals();
            upstream.queueAnswers({ AnswerKind::Rejected });
            fleet.start();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503, fleet.upload(0, path, "id-1", "body").getStatus());
            // The same request arrives at the VM once more, as from a VM that has another one hand it over.
            checkServed(fleet, 0, path, upstream);
        }
    }

private:
    static void checkServed(
        const GatewayFleet& fleet, std::size_t vm, const std::string& path, const SealedUpstream& upstream)
    {
        const RawAnswer answer = fleet.upload(vm, path, "id-1", "body");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(path + ": " + answer.text, 200, answer.getStatus());
        CPPUNIT_ASSERT_MESSAGE(path + ": " + answer.text, answer.isComplete());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t { 2 }, upstream.getRequests().size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(path, std::size_t { 2 }, upstream.countConnectionsUsed());
    }

    /** An upstream has started again at its address under another id while the list still names both. */
    static void checkTwoIdsAtOneAddress(AnswerKind refusal)
    {
        for (const std::string& path : paths) {
            GatewayFleet fleet({ "north" });
            SealedUpstream& upstream = fleet.addUpstream("v1");
            fleet.addUpstreamAt(upstream.getEndpoint());
            upstream.repeatRefusals();
            upstream.queueAnswers({ refusal });
            fleet.start();
            checkServed(fleet, 0, path, upstream);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RepeatedRefusalTest);

} // namespace papayashelf
