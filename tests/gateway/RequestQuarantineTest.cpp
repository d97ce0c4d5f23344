#include "gateway/DigestFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

const ServiceId counter("counter");
constexpr Milliseconds start { 10'000 };
constexpr Milliseconds betweenCrashes { 400 };
constexpr std::int64_t contactTime = 6'000; // The bound within which all VMs must act.

PromptParts makeRequest(const std::string& name)
{
    return { PromptPartId("request:" + name) };
}

CrashSuspect makeSuspect(
    int crash, const PromptParts& request, SuspectProgress progress = SuspectProgress::Waiting, bool isRepeat = false)
{
    return { "counter-" + std::to_string(crash), { counter, request }, progress, Milliseconds(0), isRepeat };
}

bool isQuarantined(const PromptQuarantine& quarantine, Milliseconds now, const PromptParts& request)
{
    return quarantine.getRemaining(now, counter, request) > Milliseconds(0);
}

/** Lets one upstream after the other crash under the request. Returns the time after the last crash. */
Milliseconds crashUpstreams(PromptQuarantine& quarantine, Milliseconds now, int crashes, const PromptParts& request)
{
    for (int crash = 0; crash < crashes; ++crash) {
        quarantine.noteSuspect(now, makeSuspect(static_cast<int>(now.count()), request));
        now = now + betweenCrashes;
    }
    return now;
}

} // namespace

/** Whole requests that crash upstreams before they begin to answer. */
class RequestQuarantineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestQuarantineTest);
    CPPUNIT_TEST(testRequestCrashesNoMoreUpstreamsOfAnyVm);
    CPPUNIT_TEST(testRequestIsKeptBackWhileTheServiceAnswersNobody);
    CPPUNIT_TEST(testVmBackFromACutLearnsOfTheQuarantine);
    CPPUNIT_TEST(testTwoUpstreamsThatCrashUnderOneRequestAtOnceCountTwice);
    CPPUNIT_TEST(testRequestsThatWereMerelyThereAreServed);
    CPPUNIT_TEST(testRequestWithAnswersInBetweenIsServed);
    CPPUNIT_TEST(testLostFailureDomainBlamesNoRequest);
    CPPUNIT_TEST(testRequestsThatWaitedBesideABegunAnswerAreBlamedLater);
    CPPUNIT_TEST(testPartsThatARequestSharesAreServed);
    CPPUNIT_TEST(testPromptPartIsFoundThoughOneRequestIsBlamed);
    CPPUNIT_TEST(testManyBlamedRequestsLeaveRoomForPromptParts);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load pattern: three upstreams, 96 VMs of which each has four other requests at each upstream that crashes. The
    // request comes again at another VM each time, and a third of all messages is lost.
    void testRequestCrashesNoMoreUpstreamsOfAnyVm()
    {
        constexpr int vmsPerRegion = 32;
        constexpr int othersPerVm = 4;
        DigestFleet fleet({ "a", "b", "c" }, vmsPerRegion);
        fleet.setLossShare(0.33);
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        int others = 0;
        for (int crash = 0; crash < 3; ++crash) {
            for (const auto& [vm, core] : fleet.cores) {
                for (int other = 0; other < othersPerVm; ++other)
                    core->getQuarantine().noteSuspect(
                        Milliseconds(fleet.now), makeSuspect(crash, makeRequest(std::to_string(++others))));
            }
            const std::string vm
                = std::string(1, static_cast<char>('a' + crash % 3)) + '-' + std::to_string(7 * crash + 1);
            fleet.at(vm).getQuarantine().noteSuspect(
                Milliseconds(fleet.now), makeSuspect(crash, makeRequest("deadly")));
            fleet.runUntil(fleet.now + 2'000);
        }
        fleet.runUntil(fleet.now + contactTime);
        for (const auto& [vm, core] : fleet.cores) {
            CPPUNIT_ASSERT(isQuarantined(core->getQuarantine(), Milliseconds(fleet.now), makeRequest("deadly")));
            for (int other = 1; other <= others; ++other)
                CPPUNIT_ASSERT(
                    !isQuarantined(core->getQuarantine(), Milliseconds(fleet.now), makeRequest(std::to_string(other))));
        }
    }

    void testRequestIsKeptBackWhileTheServiceAnswersNobody()
    {
        constexpr Milliseconds later { 120'000 };
        PromptQuarantine quarantine;
        const Milliseconds now = crashUpstreams(quarantine, start, 3, makeRequest("deadly"));
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeRequest("deadly")));
        quarantine.expire(now + later);
        CPPUNIT_ASSERT(isQuarantined(quarantine, now + later, makeRequest("deadly")));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeRequest("other")));
    }

    void testVmBackFromACutLearnsOfTheQuarantine()
    {
        DigestFleet fleet({ "a", "b" }, 4);
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        fleet.makeUnreachable("b-3");
        for (int crash = 0; crash < 3; ++crash) {
            fleet.at("a-1").getQuarantine().noteSuspect(
                Milliseconds(fleet.now), makeSuspect(crash, makeRequest("deadly")));
            fleet.runUntil(fleet.now + 1'000);
        }
        fleet.runUntil(fleet.now + 25'000);
        CPPUNIT_ASSERT(!isQuarantined(fleet.at("b-3").getQuarantine(), Milliseconds(fleet.now), makeRequest("deadly")));
        fleet.makeReachable("b-3");
        fleet.runUntil(fleet.now + contactTime);
        CPPUNIT_ASSERT(isQuarantined(fleet.at("b-3").getQuarantine(), Milliseconds(fleet.now), makeRequest("deadly")));
    }

    void testTwoUpstreamsThatCrashUnderOneRequestAtOnceCountTwice()
    {
        PromptQuarantine quarantine;
        quarantine.noteSuspect(start, makeSuspect(1, makeRequest("deadly")));
        quarantine.noteSuspect(
            start + Milliseconds(20), makeSuspect(2, makeRequest("deadly"), SuspectProgress::Waiting, true));
        quarantine.noteSuspect(start + betweenCrashes, makeSuspect(3, makeRequest("deadly")));
        CPPUNIT_ASSERT(isQuarantined(quarantine, start + betweenCrashes, makeRequest("deadly")));
    }

    void testRequestsThatWereMerelyThereAreServed()
    {
        PromptQuarantine quarantine;
        Milliseconds now = start;
        for (int crash = 0; crash < 6; ++crash) {
            quarantine.noteSuspect(now, makeSuspect(crash, makeRequest(std::to_string(crash))));
            quarantine.noteSuspect(now, makeSuspect(crash, makeRequest("long-" + std::to_string(crash / 2))));
            now = now + betweenCrashes;
        }
        for (int request = 0; request < 6; ++request) {
            CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeRequest(std::to_string(request))));
            CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeRequest("long-" + std::to_string(request / 2))));
        }
    }

    void testRequestWithAnswersInBetweenIsServed()
    {
        PromptQuarantine quarantine;
        Milliseconds now = start;
        for (int crash = 0; crash < 8; ++crash) {
            now = crashUpstreams(quarantine, now, 2, makeRequest("popular"));
            quarantine.noteAnswered(now, counter, makeRequest("popular"));
        }
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeRequest("popular")));
        // An answer that another VM saw ends the quarantine, too.
        now = crashUpstreams(quarantine, now + betweenCrashes, 3, makeRequest("popular"));
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeRequest("popular")));
        PromptQuarantine other;
        other.noteAnswered(now, counter, makeRequest("popular"));
        other.noteEvidence(now, quarantine.makeEvidence(now));
        quarantine.noteEvidence(now, other.makeEvidence(now));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeRequest("popular")));
    }

    void testLostFailureDomainBlamesNoRequest()
    {
        PromptQuarantine quarantine;
        for (int crash = 0; crash < 10; ++crash)
            quarantine.noteSuspect(start + Milliseconds(5) * crash, makeSuspect(crash, makeRequest("popular")));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, start, makeRequest("popular")));
    }

    void testRequestsThatWaitedBesideABegunAnswerAreBlamedLater()
    {
        PromptQuarantine quarantine;
        Milliseconds now = start;
        for (int crash = 0; crash < 5; ++crash) {
            CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeRequest("waiting")));
            const PromptParts begun { PromptPartId("begun-" + std::to_string(crash)) };
            quarantine.noteSuspect(now, makeSuspect(crash, begun, SuspectProgress::Begun));
            quarantine.noteSuspect(now, makeSuspect(crash, makeRequest("waiting")));
            now = now + betweenCrashes;
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeRequest("waiting")));
    }

    // All requests with the part were kept back for the one that crashed upstreams.
    void testPartsThatARequestSharesAreServed()
    {
        PromptQuarantine quarantine;
        const Milliseconds now = crashByOneRequest(quarantine, 6);
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeRequest("same")));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, { PromptPartId("shared") }));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, { PromptPartId("request:another"), PromptPartId("shared") }));
    }

    // The same prompt comes three times as the same request, and then as another one.
    void testPromptPartIsFoundThoughOneRequestIsBlamed()
    {
        PromptQuarantine quarantine;
        const Milliseconds now = crashByOneRequest(quarantine, 3);
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeRequest("same")));
        quarantine.noteSuspect(
            now, makeSuspect(100, { PromptPartId("request:another"), PromptPartId("shared") }, SuspectProgress::Begun));
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, { PromptPartId("shared") }));
    }

    void testManyBlamedRequestsLeaveRoomForPromptParts()
    {
        PromptQuarantine quarantine;
        Milliseconds now = start;
        for (int request = 0; request < 100; ++request)
            now = crashUpstreams(quarantine, now, 3, makeRequest(std::to_string(request)));
        for (int crash = 0; crash < 3; ++crash) {
            quarantine.noteSuspect(
                now, makeSuspect(1'000'000 + crash, { PromptPartId("deadly") }, SuspectProgress::Begun));
            now = now + betweenCrashes;
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, { PromptPartId("deadly") }));
    }

private:
    static Milliseconds crashByOneRequest(PromptQuarantine& quarantine, int crashes)
    {
        Milliseconds now = start;
        for (int crash = 0; crash < crashes; ++crash) {
            quarantine.noteSuspect(now,
                makeSuspect(crash, { PromptPartId("request:same"), PromptPartId("shared") }, SuspectProgress::Begun));
            now = now + betweenCrashes;
        }
        return now;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestQuarantineTest);

} // namespace papayashelf
