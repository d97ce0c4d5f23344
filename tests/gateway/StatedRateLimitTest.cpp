#include "gateway/DigestFleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <deque>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

const UpstreamId limitedUpstream("engine-0");
constexpr std::int64_t window = 4'000;

/** Counts the requests of the last window and keeps the greatest count. */
class WindowMaximum {
public:
    void add(std::int64_t now)
    {
        this->times.push_back(now);
        while (now - this->times.front() >= window)
            this->times.pop_front();
        this->maximum = std::max(this->maximum, this->times.size());
    }

    std::size_t get() const { return this->maximum; }

private:
    std::deque<std::int64_t> times;
    std::size_t maximum = 0;
};

std::vector<VmId> makeVms(int count)
{
    std::vector<VmId> vms;
    for (int number = 0; number < count; ++number)
        vms.emplace_back("vm-" + std::to_string(number));
    return vms;
}

UpstreamStatement stateLimit(double perSecond)
{
    UpstreamStatement statement;
    statement.requestsPerSecond = perSecond;
    return statement;
}

/** Requests that an upstream may get in a window: one and a half times its limit, and five. */
double getAllowed(double perSecond)
{
    return 1.5 * perSecond * static_cast<double>(window) / 1000 + 5;
}

} // namespace

class StatedRateLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StatedRateLimitTest);
    CPPUNIT_TEST(testUpstreamGetsItsLimitFromAnyNumberOfVms);
    CPPUNIT_TEST(testVmsThatStartAndEndAddNoRequests);
    CPPUNIT_TEST(testLimitOfZeroStillGetsARequestNowAndThen);
    CPPUNIT_TEST(testEveryPathAsksTheLimit);
    CPPUNIT_TEST(testVmsLearnLimitsAndTheirEndFromEachOther);
    CPPUNIT_TEST(testOldStatementOfAnotherVmIsIgnored);
    CPPUNIT_TEST(testRestartedUpstreamHasNoLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load pattern: every VM always has a request for the upstream.
    void testUpstreamGetsItsLimitFromAnyNumberOfVms()
    {
        for (const int count : { 1, 2, 3, 32, 320 }) {
            for (const double perSecond : { 0.3, 1.6, 7.9, 100.0 }) {
                const std::vector<VmId> vms = makeVms(count);
                const auto [maximum, total]
                    = this->play(vms, perSecond, 20'000, [&](std::int64_t) -> const std::vector<VmId>& { return vms; });
                CPPUNIT_ASSERT(static_cast<double>(maximum) <= getAllowed(perSecond));
                CPPUNIT_ASSERT(static_cast<double>(total) >= 0.8 * perSecond * 20 - 1);
            }
        }
    }

    // Load pattern: half of the VMs end and start again every two seconds, so that others are chosen.
    void testVmsThatStartAndEndAddNoRequests()
    {
        const std::vector<VmId> all = makeVms(32);
        const auto halves = [&](std::int64_t now) {
            const auto offset = static_cast<std::ptrdiff_t>(now / 2'000 % 2 * 16);
            return std::vector<VmId>(all.begin() + offset, all.begin() + offset + 16);
        };
        const double perSecond = 2;
        CPPUNIT_ASSERT(static_cast<double>(this->play(all, perSecond, 40'000, halves).first) <= getAllowed(perSecond));
    }

    void testLimitOfZeroStillGetsARequestNowAndThen()
    {
        const std::vector<VmId> vms = makeVms(3);
        const auto [maximum, total]
            = this->play(vms, 0, 20'000, [&](std::int64_t) -> const std::vector<VmId>& { return vms; });
        CPPUNIT_ASSERT(maximum <= 2);
        CPPUNIT_ASSERT(total >= 2);
    }

    void testEveryPathAsksTheLimit()
    {
        GatewayCore core(makeSettings(), "key", 1);
        core.tick(Milliseconds(1'000));
        UpstreamTable& table = core.getUpstreams();
        table.put(Milliseconds(1'000), makeUpstream("engine-0", "north"));
        table.noteStatement(Milliseconds(1'000), makeUpstream("engine-0", "north"), stateLimit(1.0));
        PlacementQuery first;
        first.service = ServiceId("engine");
        PlacementQuery waiting = first;
        waiting.isFirstPlacement = false;
        PlacementQuery retry = first;
        retry.tried = { UpstreamId("engine-9") };
        PlacementQuery relayed = first;
        relayed.mayRelay = false;
        for (const PlacementQuery& query : { first, waiting, retry, relayed }) {
            const PlacementDecision decision = core.place(Milliseconds(1'100), query, 0);
            CPPUNIT_ASSERT(PlacementFailureCause::AllFull == std::get<PlacementFailure>(decision).cause);
        }
        // A suspect upstream gets trials, which count as well.
        for (int failure = 0; failure < 4; ++failure)
            table.noteHealthObservation(Milliseconds(1'100), limitedUpstream, HealthObservation::Failure);
        CPPUNIT_ASSERT(std::holds_alternative<PlacementFailure>(core.place(Milliseconds(1'200), first, 0)));
        CPPUNIT_ASSERT(std::holds_alternative<UseUpstream>(core.place(Milliseconds(2'200), first, 0)));
    }

    void testVmsLearnLimitsAndTheirEndFromEachOther()
    {
        DigestFleet fleet({ "north" }, 32);
        for (const auto& [vm, core] : fleet.cores)
            core->getUpstreams().put(Milliseconds(fleet.now), makeUpstream("engine-0", "north"));
        fleet.runUntil(fleet.now + 3 * DigestFleet::interval);
        fleet.at("north-7").getUpstreams().noteStatement(
            Milliseconds(fleet.now), makeUpstream("engine-0", "north"), stateLimit(2.5));
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        for (const auto& [vm, core] : fleet.cores)
            CPPUNIT_ASSERT(std::optional<double>(2.5) == core->getUpstreams().find(limitedUpstream)->requestsPerSecond);
        // VMs that may not use the upstream get no answer of it that could end the limit.
        fleet.at("north-9").getUpstreams().noteStatement(
            Milliseconds(fleet.now), makeUpstream("engine-0", "north"), UpstreamStatement {});
        fleet.runUntil(fleet.now + 4 * DigestFleet::interval);
        for (const auto& [vm, core] : fleet.cores)
            CPPUNIT_ASSERT(!core->getUpstreams().find(limitedUpstream)->requestsPerSecond);
    }

    void testOldStatementOfAnotherVmIsIgnored()
    {
        UpstreamTable table;
        table.put(Milliseconds(1'000), makeUpstream("engine-0", "north"));
        table.noteStatement(Milliseconds(2'000), makeUpstream("engine-0", "north"), stateLimit(3.0));
        table.noteStatement(Milliseconds(2'500), { limitedUpstream, 0, std::nullopt, false, Milliseconds(900) });
        CPPUNIT_ASSERT(std::optional<double>(3.0) == table.find(limitedUpstream)->requestsPerSecond);
        table.noteStatement(Milliseconds(2'500), { limitedUpstream, 0, std::nullopt, false, Milliseconds(100) });
        CPPUNIT_ASSERT(!table.find(limitedUpstream)->requestsPerSecond);
    }

    void testRestartedUpstreamHasNoLimit()
    {
        UpstreamTable table;
        UpstreamRecord record = makeUpstream("engine-0", "north");
        record.startedAt = 1;
        table.put(Milliseconds(1'000), record);
        table.noteStatement(Milliseconds(2'000), record, stateLimit(3.0));
        record.startedAt = 2;
        table.put(Milliseconds(3'000), record);
        CPPUNIT_ASSERT(!table.find(limitedUpstream)->requestsPerSecond);
    }

private:
    /** Returns the most requests in a window and all requests. VMs outside the list of the moment send nothing. */
    template <typename ListVms>
    std::pair<std::size_t, std::size_t> play(
        const std::vector<VmId>& all, double perSecond, std::int64_t duration, const ListVms& listVms)
    {
        constexpr std::int64_t step = 10;
        std::map<VmId, StatedRateLimit> limits;
        for (const VmId& vm : all)
            limits.emplace(vm, StatedRateLimit(vm));
        WindowMaximum maximum;
        std::size_t total = 0;
        for (std::int64_t now = 10'000; now < 10'000 + duration; now += step) {
            const std::vector<VmId>& listed = listVms(now);
            for (const VmId& vm : listed) {
                StatedRateLimit& limit = limits.at(vm);
                if (!limit.mayUse(Milliseconds(now), limitedUpstream, perSecond, listed))
                    continue;
                limit.noteUse(limitedUpstream);
                maximum.add(now);
                ++total;
            }
        }
        return { maximum.get(), total };
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatedRateLimitTest);

} // namespace papayashelf
