#include "gateway/DigestFleet.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>

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

} // namespace

class StatedCapacityTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StatedCapacityTest);
    CPPUNIT_TEST(testLimitedUpstreamsDoNotAddTheirWholePrefillCapacity);
    CPPUNIT_TEST(testRejectingUpstreamsAddNoPrefillCapacity);
    CPPUNIT_TEST(testEndOfLimitsRestoresPrefillCapacity);
    CPPUNIT_TEST(testOtherRegionsDoNotRelayToUpstreamsAtTheirLimit);
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

private:
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
