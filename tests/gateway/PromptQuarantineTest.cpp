#include "gateway/DigestFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

const ServiceId engine("engine");
constexpr Milliseconds start { 10'000 };
constexpr Milliseconds betweenCrashes { 400 };

PromptParts makeParts(std::vector<std::string> names)
{
    std::sort(names.begin(), names.end());
    PromptParts parts;
    for (std::string& name : names)
        parts.emplace_back(std::move(name));
    return parts;
}

CrashSuspect makeSuspect(int crash, const PromptParts& parts, SuspectProgress progress = SuspectProgress::Begun)
{
    return { "engine-" + std::to_string(crash), { engine, parts }, progress, Milliseconds(0) };
}

/** Lets one upstream after the other crash. Returns the time after the last crash. */
Milliseconds crashUpstreams(PromptQuarantine& quarantine, Milliseconds now, int crashes, const PromptParts& parts)
{
    for (int crash = 0; crash < crashes; ++crash) {
        quarantine.noteSuspect(now, makeSuspect(static_cast<int>(now.count()), parts));
        now = now + betweenCrashes;
    }
    return now;
}

bool isQuarantined(const PromptQuarantine& quarantine, Milliseconds now, const PromptParts& parts)
{
    return quarantine.getRemaining(now, engine, parts) > Milliseconds(0);
}

} // namespace

class PromptQuarantineTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PromptQuarantineTest);
    CPPUNIT_TEST(testPromptPartDoesNotCrashUpstreamsOfAnyVm);
    CPPUNIT_TEST(testCrashesOfOneVmEachAreCountedOverAllVms);
    CPPUNIT_TEST(testPromptsWithSomeOfThePartsAreServed);
    CPPUNIT_TEST(testAnswersNarrowTheQuarantineToTheHarmfulPart);
    CPPUNIT_TEST(testPartWithAnswersInBetweenIsNotBlamed);
    CPPUNIT_TEST(testUpstreamsThatCrashTogetherBlameNoPrompt);
    CPPUNIT_TEST(testRequestsThatWaitedAreNotBlamedBesideABegunAnswer);
    CPPUNIT_TEST(testWaitingRequestsAreBlamedAfterMoreCrashes);
    CPPUNIT_TEST(testStreamingRequestsAreBlamedAfterMoreCrashes);
    CPPUNIT_TEST(testTwoUpstreamsThatCrashUnderOneRequestCountTwice);
    CPPUNIT_TEST(testAnswerBetweenCrashesThatOtherVmSawEndsTheQuarantine);
    CPPUNIT_TEST(testDeadlyPartIsFoundAmongManyStreams);
    CPPUNIT_TEST(testRepeatedEvidenceDoesNotCountTwice);
    CPPUNIT_TEST(testVmWithoutExperienceBlamesNoCommonPart);
    CPPUNIT_TEST(testOneCrashAfterItsEndRenewsTheQuarantine);
    CPPUNIT_TEST(testMendedServiceIsNotBlockedByPartOfAllItsPrompts);
    CPPUNIT_TEST(testAnswerSeenByOneVmConfirmsTheQuarantineAtAll);
    CPPUNIT_TEST(testPartIsHarmfulToOneServiceOnly);
    CPPUNIT_TEST(testQuarantinedRequestsUseNothingOfTheLimit);
    CPPUNIT_TEST(testEvidenceRoundTrips);
    CPPUNIT_TEST(testEvidenceOfEarlierVersionsIsAccepted);
    CPPUNIT_TEST(testPartsAreParsedWithoutTokens);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load pattern: three regions of 32 VMs, and each crash is seen by another VM. A third of all messages is lost.
    void testPromptPartDoesNotCrashUpstreamsOfAnyVm()
    {
        constexpr std::int64_t contactTime = 6'000; // The bound within which all VMs must act.
        DigestFleet fleet({ "a", "b", "c" }, 32);
        fleet.setLossShare(0.33);
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        for (int crash = 0; crash < 5; ++crash) {
            const std::string vm
                = std::string(1, static_cast<char>('a' + crash % 3)) + '-' + std::to_string(7 * crash + 1);
            const PromptParts parts = makeParts({ "common", "document", "deadly", "other-" + std::to_string(crash) });
            fleet.at(vm).getQuarantine().noteSuspect(Milliseconds(fleet.now), makeSuspect(crash, parts));
            fleet.runUntil(fleet.now + 1);
        }
        fleet.runUntil(fleet.now + contactTime);
        for (const auto& [vm, core] : fleet.cores)
            CPPUNIT_ASSERT(isQuarantined(
                core->getQuarantine(), Milliseconds(fleet.now), makeParts({ "common", "document", "deadly", "new" })));
    }

    void testCrashesOfOneVmEachAreCountedOverAllVms()
    {
        DigestFleet fleet({ "a" }, 4);
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        for (int crash = 0; crash < 3; ++crash) {
            fleet.at("a-" + std::to_string(crash))
                .getQuarantine()
                .noteSuspect(Milliseconds(fleet.now), makeSuspect(crash, makeParts({ "common", "deadly" })));
            fleet.runUntil(fleet.now + DigestFleet::interval);
        }
        fleet.runUntil(fleet.now + 3 * DigestFleet::interval);
        CPPUNIT_ASSERT(
            isQuarantined(fleet.at("a-3").getQuarantine(), Milliseconds(fleet.now), makeParts({ "common", "deadly" })));
    }

    void testPromptsWithSomeOfThePartsAreServed()
    {
        PromptQuarantine quarantine;
        const Milliseconds now = crashUpstreams(quarantine, start, 3, makeParts({ "common", "document", "deadly" }));
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeParts({ "common", "document", "deadly" })));
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeParts({ "common", "document", "deadly", "more" })));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "common", "document" })));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "deadly" })));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, {}));
    }

    void testAnswersNarrowTheQuarantineToTheHarmfulPart()
    {
        PromptQuarantine quarantine;
        const Milliseconds now = crashUpstreams(quarantine, start, 3, makeParts({ "common", "document", "deadly" }));
        quarantine.noteAnswered(now, engine, makeParts({ "common", "document" }));
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeParts({ "deadly" })));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "common", "document" })));
        // An answer to such a prompt shows that the part was not the cause after all.
        quarantine.noteAnswered(now, engine, makeParts({ "deadly" }));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "deadly" })));
    }

    void testPartWithAnswersInBetweenIsNotBlamed()
    {
        PromptQuarantine quarantine;
        Milliseconds now = start;
        for (int crash = 0; crash < 8; ++crash) {
            now = crashUpstreams(quarantine, now, 2, makeParts({ "common" }));
            quarantine.noteAnswered(now, engine, makeParts({ "common" }));
        }
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "common" })));
    }

    void testUpstreamsThatCrashTogetherBlameNoPrompt()
    {
        // Load pattern: a sixth of 60 engines loses power at once, while many requests share a document.
        PromptQuarantine quarantine;
        for (int crash = 0; crash < 10; ++crash)
            quarantine.noteSuspect(start + Milliseconds(5) * crash, makeSuspect(crash, makeParts({ "popular" })));
        CPPUNIT_ASSERT(!isQuarantined(quarantine, start, makeParts({ "popular" })));
    }

    void testRequestsThatWaitedAreNotBlamedBesideABegunAnswer()
    {
        PromptQuarantine quarantine;
        Milliseconds now = start;
        for (int crash = 0; crash < 8; ++crash) {
            quarantine.noteSuspect(now, makeSuspect(crash, makeParts({ "waiting" }), SuspectProgress::Waiting));
            quarantine.noteSuspect(now, makeSuspect(crash, makeParts({ "begun-" + std::to_string(crash) })));
            now = now + betweenCrashes;
        }
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "waiting" })));
    }

    void testWaitingRequestsAreBlamedAfterMoreCrashes()
    {
        // Engines that crash during prefill send no head of an answer.
        PromptQuarantine quarantine;
        Milliseconds now = start;
        for (int crash = 0; crash < 5; ++crash) {
            CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "deadly" })));
            quarantine.noteSuspect(now, makeSuspect(crash, makeParts({ "deadly" }), SuspectProgress::Waiting));
            now = now + betweenCrashes;
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeParts({ "deadly" })));
    }

    // Crashes after the first event of an answer were not counted.
    void testStreamingRequestsAreBlamedAfterMoreCrashes()
    {
        PromptQuarantine quarantine;
        Milliseconds now = start;
        for (int crash = 0; crash < 5; ++crash) {
            CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "deadly" })));
            // A request whose answer had just begun is no excuse for those that were streaming.
            quarantine.noteSuspect(now, makeSuspect(crash, makeParts({ "begun-" + std::to_string(crash) })));
            quarantine.noteSuspect(now, makeSuspect(crash, makeParts({ "deadly" }), SuspectProgress::Streaming));
            now = now + betweenCrashes;
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeParts({ "deadly" })));
    }

    // A stream that is resumed at once crashes the next upstream within the time in which crashes count as one.
    void testTwoUpstreamsThatCrashUnderOneRequestCountTwice()
    {
        PromptQuarantine quarantine;
        Milliseconds now = start;
        for (int crash = 0; crash < 5; ++crash) {
            CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "deadly" })));
            CrashSuspect suspect = makeSuspect(crash, makeParts({ "deadly" }), SuspectProgress::Streaming);
            suspect.isRepeat = crash % 2 == 1;
            quarantine.noteSuspect(now, suspect);
            now = now + (crash % 2 == 0 ? Milliseconds(40) : betweenCrashes);
        }
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeParts({ "deadly" })));
    }

    // The VM that counts the crashes learns of the answers in between only afterwards.
    void testAnswerBetweenCrashesThatOtherVmSawEndsTheQuarantine()
    {
        const PromptParts parts = makeParts({ "session" });
        PromptQuarantine counting;
        PromptQuarantine answering;
        Milliseconds now = crashUpstreams(counting, start, 2, parts);
        answering.noteAnswered(now, engine, parts);
        now = crashUpstreams(counting, now + betweenCrashes, 1, parts);
        CPPUNIT_ASSERT(isQuarantined(counting, now, parts));
        answering.noteEvidence(now, counting.makeEvidence(now));
        CPPUNIT_ASSERT(!isQuarantined(answering, now, parts));
        counting.noteEvidence(now, answering.makeEvidence(now));
        CPPUNIT_ASSERT(!isQuarantined(counting, now, parts));
    }

    // Load pattern: at each crash many more streams end than a message can name. The same sessions are there each time,
    // and their next requests are answered by any VM.
    void testDeadlyPartIsFoundAmongManyStreams()
    {
        constexpr int vmsPerRegion = 8;
        constexpr int sessions = 60;
        constexpr std::int64_t contactTime = 6'000; // The bound within which all VMs must act.
        DigestFleet fleet({ "a", "b", "c" }, vmsPerRegion);
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        const auto vmAt = [](int number) {
            return std::string(1, static_cast<char>('a' + number % 3)) + '-' + std::to_string(number % vmsPerRegion);
        };
        const auto nameSession = [](int number) { return makeParts({ "session-" + std::to_string(number) }); };
        for (int crash = 0; crash < 5; ++crash) {
            const auto note = [&](int vm, const PromptParts& parts) {
                fleet.at(vmAt(vm)).getQuarantine().noteSuspect(
                    Milliseconds(fleet.now), makeSuspect(crash, parts, SuspectProgress::Streaming));
            };
            note(5 * crash, makeParts({ "deadly" }));
            for (int session = 0; session < sessions; ++session)
                note(session + crash, nameSession(session));
            fleet.runUntil(fleet.now + 1'000);
            for (int session = 0; session < sessions; ++session)
                fleet.at(vmAt(7 * session + crash))
                    .getQuarantine()
                    .noteAnswered(Milliseconds(fleet.now), engine, nameSession(session));
            fleet.runUntil(fleet.now + 1'000);
        }
        fleet.runUntil(fleet.now + contactTime);
        for (const auto& [vm, core] : fleet.cores) {
            CPPUNIT_ASSERT(
                isQuarantined(core->getQuarantine(), Milliseconds(fleet.now), makeParts({ "deadly", "new" })));
            for (int session = 0; session < sessions; ++session)
                CPPUNIT_ASSERT(!isQuarantined(core->getQuarantine(), Milliseconds(fleet.now), nameSession(session)));
        }
    }

    void testRepeatedEvidenceDoesNotCountTwice()
    {
        PromptQuarantine seesTwoCrashes;
        Milliseconds now = crashUpstreams(seesTwoCrashes, start, 2, makeParts({ "part" }));
        PromptQuarantine other;
        for (int repeat = 0; repeat < 9; ++repeat) {
            now = now + betweenCrashes;
            other.noteEvidence(now, seesTwoCrashes.makeEvidence(now));
            seesTwoCrashes.noteEvidence(now, other.makeEvidence(now));
        }
        CPPUNIT_ASSERT(!isQuarantined(other, now, makeParts({ "part" })));
        CPPUNIT_ASSERT(!isQuarantined(seesTwoCrashes, now, makeParts({ "part" })));
    }

    void testVmWithoutExperienceBlamesNoCommonPart()
    {
        // Three crashes with causes of their own. Only the other VM knows that prompts with the common part are
        // answered.
        PromptQuarantine experienced;
        Milliseconds now = start;
        for (const char* document : { "x", "y", "z" }) {
            now = crashUpstreams(experienced, now, 1, makeParts({ "common", document }));
            experienced.noteAnswered(now, engine, makeParts({ "common" }));
        }
        PromptQuarantine started;
        started.noteEvidence(now, experienced.makeEvidence(now));
        CPPUNIT_ASSERT(!isQuarantined(started, now, makeParts({ "common" })));
    }

    void testOneCrashAfterItsEndRenewsTheQuarantine()
    {
        PromptQuarantine quarantine;
        Milliseconds now = crashUpstreams(quarantine, start, 3, makeParts({ "deadly" }));
        now = now + PromptQuarantine::duration;
        quarantine.expire(now);
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, makeParts({ "deadly" })));
        now = crashUpstreams(quarantine, now, 1, makeParts({ "deadly" }));
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, makeParts({ "deadly" })));
    }

    void testMendedServiceIsNotBlockedByPartOfAllItsPrompts()
    {
        // A faulty version crashes on each request. All prompts have a part in common, which therefore is a suspect.
        constexpr Milliseconds tolerableBlock { 60'000 };
        PromptQuarantine quarantine;
        const PromptParts parts = makeParts({ "common" });
        Milliseconds now = crashUpstreams(quarantine, start, 3, parts);
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, parts));
        now = now + tolerableBlock;
        quarantine.expire(now);
        CPPUNIT_ASSERT(!isQuarantined(quarantine, now, parts));
        // The service is still faulty: one crash is enough.
        now = crashUpstreams(quarantine, now, 1, parts);
        CPPUNIT_ASSERT(isQuarantined(quarantine, now, parts));
    }

    void testAnswerSeenByOneVmConfirmsTheQuarantineAtAll()
    {
        DigestFleet fleet({ "a", "b" }, 8);
        fleet.setLossShare(0.33);
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        const PromptParts parts = makeParts({ "deadly" });
        for (int crash = 0; crash < 3; ++crash) {
            fleet.at("a-1").getQuarantine().noteSuspect(Milliseconds(fleet.now), makeSuspect(crash, parts));
            fleet.runUntil(fleet.now + 500);
        }
        for (int answer = 0; answer < 10; ++answer) {
            fleet.at("b-7").getQuarantine().noteAnswered(Milliseconds(fleet.now), engine, makeParts({ "sound" }));
            fleet.runUntil(fleet.now + 1'000);
        }
        const Milliseconds later = Milliseconds(fleet.now) + PromptQuarantine::duration / 2;
        for (const auto& [vm, core] : fleet.cores) {
            core->getQuarantine().expire(later);
            CPPUNIT_ASSERT(isQuarantined(core->getQuarantine(), later, parts));
        }
    }

    void testPartIsHarmfulToOneServiceOnly()
    {
        PromptQuarantine quarantine;
        const PromptParts parts = makeParts({ "deadly" });
        const Milliseconds now = crashUpstreams(quarantine, start, 3, parts);
        CPPUNIT_ASSERT(Milliseconds(0) == quarantine.getRemaining(now, ServiceId("other"), parts));
    }

    void testQuarantinedRequestsUseNothingOfTheLimit()
    {
        GatewayCore core(makeSettings(), "key", 1);
        ServingDocument document = makeDocument(1);
        document.workspaces.front().unitsPerSecond = 100;
        document.workspaces.front().burstUnits = 100;
        document.workspaces.front().countsTokens = true;
        core.applyConfiguration(document);
        const PromptParts parts = makeParts({ "deadly" });
        const Milliseconds now = crashUpstreams(core.getQuarantine(), start, 3, parts);
        core.getQuarantine().noteAnswered(now, engine, makeParts({ "sound" }));
        core.noteConfigurationConfirmation(now);
        AdmissionQuery query { "h.example", "/a/x", "first-key", 60, parts };
        for (int request = 0; request < 20; ++request) {
            const AdmissionDecision decision = core.admit(now, query);
            CPPUNIT_ASSERT(RefusalCause::QuarantinedPrompt == std::get<Refusal>(decision).cause);
            CPPUNIT_ASSERT(std::get<Refusal>(decision).retryAfter > Milliseconds(500'000));
        }
        query.promptParts = {};
        CPPUNIT_ASSERT(std::holds_alternative<Admitted>(core.admit(now, query)));
    }

    void testEvidenceRoundTrips()
    {
        DigestReport report { VmId("vm-1"), RegionId("north"), false, {}, 5 };
        report.crashes.suspects = { makeSuspect(1, makeParts({ "a", "b" })) };
        report.crashes.suspects.front().age = Milliseconds(70);
        report.crashes.suspects.push_back(makeSuspect(2, makeParts({ "c" }), SuspectProgress::Streaming));
        report.crashes.suspects.back().isRepeat = true;
        report.crashes.answered = { { engine, PromptPartId("a"), Milliseconds(30) } };
        report.crashes.answering = { { engine, Milliseconds(20) } };
        report.crashes.quarantined = { { { engine, makeParts({ "b" }) }, Milliseconds(10), Milliseconds(400) } };
        CPPUNIT_ASSERT(report == *decodeDigest(encodeDigest(report, "key")).value().report);
        const std::string text = encodeDigest(report, "key");
        const std::string damaged = std::string(text).replace(text.find("[\"engine\",\"b\"]"), 14, "[\"engine\"]    ");
        CPPUNIT_ASSERT(!decodeDigest(damaged));
    }

    void testEvidenceOfEarlierVersionsIsAccepted()
    {
        DigestReport report { VmId("vm-1"), RegionId("north"), false, {}, 5 };
        report.crashes.suspects = { makeSuspect(1, makeParts({ "a" })) };
        report.crashes.quarantined = { { { engine, makeParts({ "b" }) }, Milliseconds(10), Milliseconds(10) } };
        std::string text = encodeDigest(report, "key");
        for (const std::string& added :
            { std::string(R"(["engine","a"],false)"), std::string(R"(["engine","b"],10)") }) {
            const std::size_t at = text.find(added);
            CPPUNIT_ASSERT(at != std::string::npos);
            text.replace(at, added.size(), added.substr(0, added.find(']') + 1));
        }
        CPPUNIT_ASSERT(report == *decodeDigest(text).value().report);
    }

    void testPartsAreParsedWithoutTokens()
    {
        CPPUNIT_ASSERT(makeParts({ "1f", "2e" }) == parsePromptParts("2e:100, 1f:7,2e:3"));
        CPPUNIT_ASSERT(parsePromptParts("").empty());
        CPPUNIT_ASSERT(parsePromptParts(",,:5," + std::string(maximumPartIdBytes + 1, 'f') + ":1").empty());
        std::string many;
        for (int part = 0; part < 40; ++part)
            many += std::to_string(part) + ":1,";
        CPPUNIT_ASSERT_EQUAL(maximumPromptParts, parsePromptParts(many).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromptQuarantineTest);

} // namespace papayashelf
