#include "gateway/DigestFleet.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <map>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr Milliseconds start { 10'000 };
const ServiceId engine("engine");
constexpr int upstreamCount = 18;
constexpr int limitedCount = 13;
constexpr std::int64_t prefillSpeed = 50; /**< Prompt tokens that an engine reads in a millisecond. */

UpstreamRecord makeEngine(int number)
{
    return makeUpstream("engine-" + std::to_string(number), "north");
}

/** The prompt tokens that a VM places in a run, by the upstreams' statements. */
struct PlacedTokens {
    double onLimited = 0;
    double onUnlimited = 0;
};

constexpr std::int64_t callerTimeout = 12'000; /**< Milliseconds. */

/** A caller's request, which returns after a refusal for as long as it has time. */
struct Caller {
    std::int64_t deadline = 0;
    std::int64_t tokens = 0;
    int refusals = 0;
};

/** What became of the callers of a run. */
struct CallerCounts {
    int refused = 0; /**< At least once. */
    int refusedTwice = 0;
    int served = 0;
    int given = 0;
    std::int64_t delay = 0; /**< Milliseconds from first arrival to service, summed up over the refused ones. */
};

} // namespace

class StatedCapacityTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StatedCapacityTest);
    CPPUNIT_TEST(testLimitedUpstreamsDoNotAddTheirWholePrefillCapacity);
    CPPUNIT_TEST(testRejectingUpstreamsAddNoPrefillCapacity);
    CPPUNIT_TEST(testEndOfLimitsRestoresPrefillCapacity);
    CPPUNIT_TEST(testPromptsUseLimitedUpstreamsOnceTheOthersAreBusy);
    CPPUNIT_TEST(testOtherRegionsDoNotRelayToUpstreamsAtTheirLimit);
    CPPUNIT_TEST(testRefusedCallersReturnWhenLimitsLeaveCapacity);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load pattern: prompts need all of the region's prefill, while most of its upstreams accept a few requests.
    void testLimitedUpstreamsDoNotAddTheirWholePrefillCapacity()
    {
        const auto core = this->makeCore();
        UpstreamStatement statement;
        statement.requestsPerSecond = 2;
        this->state(*core, statement);
        CPPUNIT_ASSERT(this->measureUseOfUnlimited(*core) <= 0.95);
    }

    void testRejectingUpstreamsAddNoPrefillCapacity()
    {
        const auto core = this->makeCore();
        UpstreamStatement statement;
        statement.rejectsFor = Milliseconds(60'000);
        this->state(*core, statement);
        CPPUNIT_ASSERT(this->measureUseOfUnlimited(*core) <= 0.95);
    }

    void testEndOfLimitsRestoresPrefillCapacity()
    {
        const auto core = this->makeCore();
        UpstreamStatement statement;
        statement.requestsPerSecond = 2;
        this->state(*core, statement);
        this->place(*core, start, Milliseconds(3'000));
        this->state(*core, UpstreamStatement {});
        const PlacedTokens placed = this->place(*core, start + Milliseconds(3'000), Milliseconds(10'000));
        const double whole = static_cast<double>(prefillSpeed * 10'000 * upstreamCount);
        CPPUNIT_ASSERT(placed.onLimited + placed.onUnlimited >= 0.6 * whole);
    }

    // Load pattern: short prompts keep the upstreams without a limit busy; the limited ones still accept requests.
    void testPromptsUseLimitedUpstreamsOnceTheOthersAreBusy()
    {
        const auto core = this->makeCore();
        UpstreamStatement statement;
        statement.requestsPerSecond = 2;
        this->state(*core, statement);
        PlacementQuery query;
        query.service = engine;
        query.promptTokens = 700;
        constexpr int promptsPerStep = 5; /**< Nearly four times what the upstreams without a limit may read. */
        for (std::int64_t elapsed = 0; elapsed < 3'000; elapsed += 5) {
            core->tick(start + Milliseconds(elapsed));
            for (int prompt = 0; prompt < promptsPerStep; ++prompt)
                core->place(start + Milliseconds(elapsed), query, 2);
        }
        query.promptTokens = 12'000;
        for (int prompt = 0; prompt < 20; ++prompt) {
            const PlacementDecision decision = core->place(start + Milliseconds(3'000), query, 2);
            const auto* choice = std::get_if<UseUpstream>(&decision);
            CPPUNIT_ASSERT(choice && core->getUpstreams().find(choice->upstream.id)->requestsPerSecond);
        }
    }

    // Load pattern: two regions have the same load. One could read all of it, but its upstreams state limits.
    void testOtherRegionsDoNotRelayToUpstreamsAtTheirLimit()
    {
        DigestFleet fleet({ "north", "south" }, 3);
        for (const auto& [vm, core] : fleet.cores) {
            core->applyConfiguration(makeDocument(1));
            for (const char* region : { "north", "south" }) {
                const std::string name = std::string(region) + "-engine";
                core->getUpstreams().put(Milliseconds(fleet.now), makeUpstream(name, region));
            }
        }
        UpstreamStatement statement;
        statement.requestsPerSecond = 0.5;
        fleet.at("south-1").getUpstreams().noteStatement(
            Milliseconds(fleet.now), makeUpstream("south-engine", "south"), statement);
        PlacementQuery query;
        query.service = engine;
        query.promptTokens = 500;
        query.mayRelay = false;
        for (int round = 0; round < 8; ++round) {
            for (const char* vm : { "south-0", "south-1", "south-2" })
                fleet.at(vm).place(Milliseconds(fleet.now), query, 2);
            fleet.runUntil(fleet.now + DigestFleet::interval);
        }
        query.mayRelay = true;
        for (const char* vm : { "north-0", "north-1", "north-2" }) {
            // The own engine is full.
            fleet.at(vm).getUpstreams().noteLoad(Milliseconds(fleet.now), UpstreamId("north-engine"), { 64, 10, 64 });
            const PlacementDecision decision = fleet.at(vm).place(Milliseconds(fleet.now), query, 2);
            CPPUNIT_ASSERT(std::holds_alternative<PlacementFailure>(decision));
        }
    }

    // Load pattern: for three seconds callers want more than what the limits leave, then half of it.
    void testRefusedCallersReturnWhenLimitsLeaveCapacity()
    {
        for (const double peak : { 1.5, 2.0 }) {
            const auto core = this->makeCore();
            UpstreamStatement statement;
            statement.requestsPerSecond = 2;
            this->state(*core, statement);
            const CallerCounts counts = this->playCallers(*core, peak);
            CPPUNIT_ASSERT(counts.refused > 50);
            CPPUNIT_ASSERT(counts.refusedTwice <= counts.refused / 3);
            CPPUNIT_ASSERT_EQUAL(counts.given, counts.served);
            CPPUNIT_ASSERT(counts.delay / counts.refused <= callerTimeout / 3);
        }
    }

private:
    /** Lets callers return when they are told to, but after a third of the time that they have left at the latest. */
    CallerCounts playCallers(GatewayCore& core, double peak)
    {
        constexpr std::int64_t peakEnd = 6'000;
        constexpr std::int64_t end = 16'000;
        constexpr double accepted
            = 0.75 * prefillSpeed * (upstreamCount - limitedCount) + 0.001 * 2 * 2'000 * limitedCount;
        CallerCounts counts;
        std::multimap<std::int64_t, Caller> arrivals;
        const std::array<std::int64_t, 4> lengths { 500, 2'500, 1'000, 4'000 };
        double elapsed = 0;
        for (std::size_t prompt = 0; elapsed < static_cast<double>(end); ++prompt, ++counts.given) {
            const auto at = static_cast<std::int64_t>(elapsed);
            const std::int64_t tokens = lengths[prompt % lengths.size()];
            arrivals.insert({ at, Caller { at + callerTimeout, tokens, 0 } });
            const double load = at >= 3'000 && at < peakEnd ? peak : 0.5;
            elapsed += static_cast<double>(tokens) / (accepted * load);
        }
        while (!arrivals.empty()) {
            auto [at, caller] = *arrivals.begin();
            arrivals.erase(arrivals.begin());
            const Milliseconds now = start + Milliseconds(at);
            core.tick(now);
            PlacementQuery query;
            query.service = engine;
            query.promptTokens = caller.tokens;
            const PlacementDecision decision = core.place(now, query, 2);
            if (const auto* upstream = std::get_if<UseUpstream>(&decision)) {
                core.getPlacement().noteUse(now, upstream->upstream.id);
                ++counts.served;
                counts.delay += caller.refusals > 0 ? at - (caller.deadline - callerTimeout) : 0;
                continue;
            }
            ++caller.refusals;
            counts.refused += caller.refusals == 1 ? 1 : 0;
            counts.refusedTwice += caller.refusals == 2 ? 1 : 0;
            const std::int64_t remaining = caller.deadline - at;
            const Milliseconds wait = core.planReturn(now, query, Milliseconds(0), Milliseconds(remaining));
            if (remaining > 100)
                arrivals.insert({ at + std::min(wait.count(), remaining / 3), caller });
        }
        return counts;
    }

    std::unique_ptr<GatewayCore> makeCore()
    {
        auto core = std::make_unique<GatewayCore>(makeSettings(), "relay-key", 1);
        core->applyConfiguration(makeDocument(1));
        core->noteConfigurationConfirmation(start);
        for (int number = 0; number < upstreamCount; ++number)
            core->getUpstreams().put(start, makeEngine(number));
        core->getPlacement().noteFirstEvent(engine, prefillSpeed * 1000, Milliseconds(1000));
        return core;
    }

    void state(GatewayCore& core, const UpstreamStatement& statement)
    {
        for (int number = 0; number < limitedCount; ++number)
            core.noteStatement(start, makeEngine(number), statement);
    }

    /** Returns the part of their time that the upstreams without a statement spend on prefill. */
    double measureUseOfUnlimited(GatewayCore& core)
    {
        this->place(core, start, Milliseconds(3'000));
        const PlacedTokens placed = this->place(core, start + Milliseconds(3'000), Milliseconds(10'000));
        return placed.onUnlimited / static_cast<double>(prefillSpeed * 10'000 * (upstreamCount - limitedCount));
    }

    /** Offers prompts as fast as all upstreams together can read them. */
    PlacedTokens place(GatewayCore& core, Milliseconds from, Milliseconds duration)
    {
        PlacedTokens placed;
        const std::array<std::int64_t, 4> lengths { 500, 2'500, 1'000, 4'000 };
        double elapsed = 0;
        for (std::size_t prompt = 0; elapsed < static_cast<double>(duration.count()); ++prompt) {
            const Milliseconds now = from + Milliseconds(static_cast<std::int64_t>(elapsed));
            core.tick(now);
            PlacementQuery query;
            query.service = engine;
            query.promptTokens = lengths[prompt % lengths.size()];
            const PlacementDecision decision = core.place(now, query, 2);
            if (const auto* upstream = std::get_if<UseUpstream>(&decision)) {
                core.getPlacement().noteUse(now, upstream->upstream.id);
                const bool isLimited = core.getUpstreams().find(upstream->upstream.id)->requestsPerSecond.has_value();
                (isLimited ? placed.onLimited : placed.onUnlimited) += static_cast<double>(query.promptTokens);
            }
            elapsed += static_cast<double>(query.promptTokens) / (prefillSpeed * upstreamCount);
        }
        return placed;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatedCapacityTest);

} // namespace papayashelf
