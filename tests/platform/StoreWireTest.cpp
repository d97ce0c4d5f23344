#include "platform/http/StoreWire.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class StoreWireTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreWireTest);
    CPPUNIT_TEST(testRequestsSurviveTheWire);
    CPPUNIT_TEST(testRepliesSurviveTheWire);
    CPPUNIT_TEST(testDamagedRequestsAreRefused);
    CPPUNIT_TEST(testAnswerNotUnderstoodLeavesAWriteOpen);
    CPPUNIT_TEST(testDamagedVmLists);
    CPPUNIT_TEST_SUITE_END();

    void testRequestsSurviveTheWire()
    {
        const std::vector<WireStoreRequest> requests {
            { { StoreOperation::Get, "k", {}, 0, {} }, {} },
            { { StoreOperation::CompareAndSwap, "k", "\"\\\t", 3, {} }, Milliseconds(9) },
            { { StoreOperation::Remove, "k", {}, 4, {} }, {} },
            { { StoreOperation::Watch, "k", {}, 5, Milliseconds(700) }, {} },
            { { StoreOperation::List, "", {}, 0, {} }, {} },
        };
        for (const WireStoreRequest& request : requests)
            CPPUNIT_ASSERT(request == decodeStoreRequest(encodeStoreRequest(request)).value());
    }

    void testRepliesSurviveTheWire()
    {
        const StoreReply entries = std::vector<StoreEntry> { { "k", "ñ", 7 }, { "l", "", 0 } };
        CPPUNIT_ASSERT(entries.value() == decodeStoreReply(StoreOperation::Get, encodeStoreReply(entries)).value());
        for (const ErrorCode code :
            { ErrorCode::Conflict, ErrorCode::TooLarge, ErrorCode::InvalidArgument, ErrorCode::Unavailable }) {
            const WireAnswer answer = encodeStoreReply(Error { code, "why" });
            const StoreReply decoded = decodeStoreReply(StoreOperation::CompareAndSwap, answer);
            CPPUNIT_ASSERT((Error { code, "why" }) == decoded.error());
        }
    }

    void testDamagedRequestsAreRefused()
    {
        for (const std::string body : { "", "[]", "{", "{}", R"({"operation":"get"})",
                 R"({"operation":"drop","key":"k"})", R"({"operation":"get","key":"k","expected_version":-1})",
                 R"({"operation":"watch","key":"k","wait_ms":"1"})", "{\"operation\":\"get\",\"key\":\"\xFF\"}" })
            CPPUNIT_ASSERT_MESSAGE(body, ErrorCode::InvalidArgument == decodeStoreRequest(body).error().code);
    }

    void testAnswerNotUnderstoodLeavesAWriteOpen()
    {
        for (const WireAnswer& answer : { WireAnswer { 200, "{\"entries\":" }, WireAnswer { 200, "{}" },
                 WireAnswer { 500, "" }, WireAnswer { 200, R"({"entries":[{"key":"k","version":"1"}]})" } }) {
            CPPUNIT_ASSERT(
                ErrorCode::OutcomeUnknown == decodeStoreReply(StoreOperation::CompareAndSwap, answer).error().code);
            CPPUNIT_ASSERT(ErrorCode::OutcomeUnknown == decodeStoreReply(StoreOperation::Remove, answer).error().code);
            CPPUNIT_ASSERT(ErrorCode::Unavailable == decodeStoreReply(StoreOperation::Get, answer).error().code);
        }
    }

    void testDamagedVmLists()
    {
        for (const std::string body : { "", "[]", "{}", R"({"vms":1})", R"({"vms":[1]})", R"({"vms":[{}]})" })
            CPPUNIT_ASSERT_MESSAGE(body, ErrorCode::Damaged == decodeVmList(body).error().code);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreWireTest);

} // namespace papayashelf
