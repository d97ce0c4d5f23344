#include "node/admission/Admission.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

class AdmissionTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(AdmissionTest);
    CPPUNIT_TEST(testKeyDeterminesWorkspace);
    CPPUNIT_TEST(testUnknownMissingAndWithdrawnKeysAreRefused);
    CPPUNIT_TEST(testOpenRouteNeedsNoKeyAndChargesNoWorkspace);
    CPPUNIT_TEST(testRegionOutsideResidencyIsRefused);
    CPPUNIT_TEST(testLongestPrefixOfWholeSegmentsWins);
    CPPUNIT_TEST(testRelayedRequestKeepsItsWorkspace);
    CPPUNIT_TEST(testLoopsAreRefused);
    CPPUNIT_TEST(testOnlyListedMethodsAreIdempotent);
    CPPUNIT_TEST(testCostIsAnUpperBound);
    CPPUNIT_TEST(testHeadCheckAgreesWithAdmission);
    CPPUNIT_TEST_SUITE_END();

    Governance governance;
    const AdmissionContext context { VmId("vm-1"), RegionId("altiplano"), Milliseconds(1000) };

public:
    void setUp() override
    {
        Service assistant { ServiceId("assistant"), ServiceKind::ModelEngine, { ModelId("collie") }, {} };
        Service entries { ServiceId("entries"), ServiceKind::PlainService, {}, {} };
        this->governance.services = { { assistant.id, assistant }, { entries.id, entries } };
        this->governance.routes = {
            { RouteId("chat"),
                { RouteId("chat"), "/v1/chat/completions", assistant.id, false, {}, 0, Milliseconds(5000) } },
            { RouteId("entries"),
                { RouteId("entries"), "/entries", entries.id, false, { "GET" }, 7, Milliseconds(5000) } },
            { RouteId("rules"),
                { RouteId("rules"), "/entries/rules", entries.id, true, { "GET" }, 7, Milliseconds(5000) } },
        };
        Workspace club;
        club.id = WorkspaceId("club");
        club.tokensPerSecond = 100;
        Workspace restricted = club;
        restricted.id = WorkspaceId("bound");
        restricted.residency = { RegionId("verapaz") };
        this->governance.workspaces = { { club.id, club }, { restricted.id, restricted } };
        this->governance.keys = { { KeyDigest("k1"), { KeyDigest("k1"), club.id } },
            { KeyDigest("k2"), { KeyDigest("k2"), restricted.id } } };
    }

private:
    static RequestArrival makeArrival(const std::string& key, const std::string& method, const std::string& path)
    {
        RequestArrival arrival;
        arrival.request = 1;
        arrival.key = KeyDigest(key);
        arrival.method = method;
        arrival.path = path;
        arrival.model = ModelId("collie");
        arrival.promptTokens = 30;
        arrival.maximumTokens = 12;
        return arrival;
    }

    AdmissionResult admit(const RequestArrival& arrival, bool isWithdrawn = false) const
    {
        return admitRequest(this->governance, arrival, this->context, [=](const KeyDigest&) { return isWithdrawn; });
    }

    void assertRefused(RefusalCode code, const AdmissionResult& result) const
    {
        CPPUNIT_ASSERT(std::holds_alternative<RefusalCode>(result));
        CPPUNIT_ASSERT(code == std::get<RefusalCode>(result));
    }

    void testKeyDeterminesWorkspace()
    {
        const auto result = this->admit(makeArrival("k1", "POST", "/v1/chat/completions"));
        CPPUNIT_ASSERT_EQUAL(std::string("club"), std::get<AdmittedRequest>(result).workspace.string());
        CPPUNIT_ASSERT(Milliseconds(6000) == std::get<AdmittedRequest>(result).deadline);
    }

    void testUnknownMissingAndWithdrawnKeysAreRefused()
    {
        this->assertRefused(
            RefusalCode::NotAuthenticated, this->admit(makeArrival("x", "POST", "/v1/chat/completions")));
        this->assertRefused(
            RefusalCode::NotAuthenticated, this->admit(makeArrival("", "POST", "/v1/chat/completions")));
        this->assertRefused(RefusalCode::NotAuthenticated, this->admit(makeArrival("k1", "POST", "/entries"), true));
    }

    void testOpenRouteNeedsNoKeyAndChargesNoWorkspace()
    {
        for (const std::string key : { "", "x", "k1" }) {
            const auto result = this->admit(makeArrival(key, "GET", "/entries/rules"));
            CPPUNIT_ASSERT(std::get<AdmittedRequest>(result).workspace.isEmpty());
        }
    }

    void testRegionOutsideResidencyIsRefused()
    {
        this->assertRefused(RefusalCode::OutsideResidency, this->admit(makeArrival("k2", "GET", "/entries")));
        RequestArrival relayed = makeArrival("", "GET", "/entries");
        relayed.relayedFor = WorkspaceId("bound");
        relayed.passedVms = { VmId("vm-9") };
        this->assertRefused(RefusalCode::OutsideResidency, this->admit(relayed));
    }

    void testLongestPrefixOfWholeSegmentsWins()
    {
        CPPUNIT_ASSERT(findRoute(this->governance, "/entries/rules/5")->id == RouteId("rules"));
        CPPUNIT_ASSERT(findRoute(this->governance, "/entries/5")->id == RouteId("entries"));
        CPPUNIT_ASSERT(!findRoute(this->governance, "/entriesx"));
        this->assertRefused(RefusalCode::NoSuchRoute, this->admit(makeArrival("k1", "GET", "/elsewhere")));
    }

    void testRelayedRequestKeepsItsWorkspace()
    {
        RequestArrival relayed = makeArrival("", "POST", "/v1/chat/completions");
        relayed.relayedFor = WorkspaceId("club");
        relayed.passedVms = { VmId("vm-9") };
        relayed.resumeFromToken = 4;
        const auto admitted = std::get<AdmittedRequest>(this->admit(relayed));
        CPPUNIT_ASSERT(admitted.isRelayed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, admitted.resumeFromToken);
    }

    void testLoopsAreRefused()
    {
        RequestArrival relayed = makeArrival("", "POST", "/v1/chat/completions");
        relayed.relayedFor = WorkspaceId("club");
        relayed.passedVms = { VmId("vm-1") };
        this->assertRefused(RefusalCode::LoopDetected, this->admit(relayed));
        relayed.passedVms = { VmId("vm-8"), VmId("vm-9") };
        this->assertRefused(RefusalCode::LoopDetected, this->admit(relayed));
        relayed.passedVms = {};
        this->assertRefused(RefusalCode::LoopDetected, this->admit(relayed));
    }

    void testOnlyListedMethodsAreIdempotent()
    {
        CPPUNIT_ASSERT(std::get<AdmittedRequest>(this->admit(makeArrival("k1", "GET", "/entries"))).isIdempotent);
        CPPUNIT_ASSERT(!std::get<AdmittedRequest>(this->admit(makeArrival("k1", "POST", "/entries"))).isIdempotent);
    }

    void testCostIsAnUpperBound()
    {
        const auto model = this->admit(makeArrival("k1", "POST", "/v1/chat/completions"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 42 }, std::get<AdmittedRequest>(model).costTokens);
        const auto plain = this->admit(makeArrival("k1", "GET", "/entries"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 7 }, std::get<AdmittedRequest>(plain).costTokens);
    }

    // checkRequestHead() must refuse with the same codes as admitRequest().
    void testHeadCheckAgreesWithAdmission()
    {
        const auto check = [this](const std::string& key, const std::string& path) {
            return checkRequestHead(this->governance, KeyDigest(key), path, this->context.region);
        };
        CPPUNIT_ASSERT(!check("k1", "/entries"));
        CPPUNIT_ASSERT(RefusalCode::NotAuthenticated == *check("x", "/entries"));
        CPPUNIT_ASSERT(RefusalCode::OutsideResidency == *check("k2", "/entries"));
        CPPUNIT_ASSERT(RefusalCode::NoSuchRoute == *check("k1", "/elsewhere"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

} // namespace papayashelf
