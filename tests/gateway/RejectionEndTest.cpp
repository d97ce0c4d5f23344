#include "gateway/DigestFleet.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr int slots = 64;
constexpr int upstreamCount = 4;
constexpr std::int64_t step = 10;
constexpr std::int64_t rejection = 2'000;
constexpr std::int64_t responseTime = 200;
constexpr std::int64_t observedAfter = 2'000; /**< Time after the end in which a burst would be seen. */
constexpr double loadShare = 0.5; /**< Of the slots of all upstreams. */
const UpstreamId rejecting("engine-0");

/** All VMs of a region with callers, and their upstreams, of which one rejects every VM for a time. */
class RejectionRun {
public:
    explicit RejectionRun(int vmCount)
        : fleet({ "north" }, vmCount)
        , rejectedAt(this->fleet.now + 2 * DigestFleet::interval)
        , rejectedUntil(this->rejectedAt + rejection)
    {
        for (const auto& [vm, core] : this->fleet.cores) {
            this->vms.push_back(vm);
            for (int number = 0; number < upstreamCount; ++number)
                core->getUpstreams().put(
                    Milliseconds(this->fleet.now), makeUpstream("engine-" + std::to_string(number), "north"));
        }
    }

    void play()
    {
        double due = 0;
        for (std::int64_t now = this->fleet.now; now < this->rejectedUntil + 5'000; now += step) {
            this->fleet.runUntil(now);
            this->endRequests(now);
            if (now == this->rejectedAt)
                this->reject(now);
            for (due += loadShare * slots * upstreamCount * step / responseTime; due >= 1; --due)
                this->startRequest(now);
        }
    }

    int early = 0; /**< Requests to the upstream before the end of the time. */
    int late = 0; /**< Requests to the upstream in the last second. */
    int most = 0; /**< Most requests that ran at it soon after the end. */

private:
    struct Request {
        VmId vm;
        UpstreamId upstream;
    };

    void reject(std::int64_t now)
    {
        UpstreamStatement statement;
        statement.rejectsFor = Milliseconds(rejection);
        for (const auto& [vm, core] : this->fleet.cores)
            core->noteStatement(Milliseconds(now), makeUpstream(rejecting.string(), "north"), statement);
    }

    void startRequest(std::int64_t now)
    {
        const VmId& vm = this->vms[this->random() % this->vms.size()];
        GatewayCore& core = this->fleet.at(vm.string());
        PlacementQuery query;
        query.service = ServiceId("engine");
        const PlacementDecision decision = core.place(Milliseconds(now), query, 2);
        const auto* choice = std::get_if<UseUpstream>(&decision);
        if (!choice)
            return;
        const UpstreamId id = choice->upstream.id;
        core.getUpstreams().noteStarted(id, 0);
        this->ends.insert({ now + responseTime, Request { vm, id } });
        ++this->running[id];
        if (id != rejecting)
            return;
        this->early += now > this->rejectedAt && now < this->rejectedUntil ? 1 : 0;
        this->late += now >= this->rejectedUntil + 4'000 ? 1 : 0;
        if (now >= this->rejectedUntil && now < this->rejectedUntil + observedAfter)
            this->most = std::max(this->most, this->running[id]);
    }

    void endRequests(std::int64_t now)
    {
        for (; !this->ends.empty() && this->ends.begin()->first <= now; this->ends.erase(this->ends.begin())) {
            const auto& [vm, upstream] = this->ends.begin()->second;
            UpstreamTable& table = this->fleet.at(vm.string()).getUpstreams();
            table.noteLoad(Milliseconds(now), upstream, { this->running[upstream], 0, slots });
            table.noteEnded(upstream);
            --this->running[upstream];
        }
    }

    DigestFleet fleet;
    std::int64_t rejectedAt;
    std::int64_t rejectedUntil;
    std::vector<VmId> vms;
    std::multimap<std::int64_t, Request> ends; /**< By time. */
    std::map<UpstreamId, int> running;
    std::minstd_rand random { 1 };
};

} // namespace

class RejectionEndTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RejectionEndTest);
    CPPUNIT_TEST(testVmsDoNotReturnAllAtOnceWhenARejectionEnds);
    CPPUNIT_TEST(testUpstreamGetsRequestsAfterARejection);
    CPPUNIT_TEST_SUITE_END();

public:
    void testVmsDoNotReturnAllAtOnceWhenARejectionEnds()
    {
        for (const int count : { 1, 3, 8, 32, 320 }) {
            RejectionRun run(count);
            run.play();
            CPPUNIT_ASSERT_EQUAL(0, run.early);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(run.most), run.most <= slots);
        }
    }

    void testUpstreamGetsRequestsAfterARejection()
    {
        constexpr double perSecond = loadShare * slots * 1'000 / responseTime;
        for (const int count : { 1, 3, 32, 320 }) {
            RejectionRun run(count);
            run.play();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(run.late), run.late >= perSecond / 2);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RejectionEndTest);

} // namespace papayashelf
