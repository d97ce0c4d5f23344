#include "gateway/GatewayFixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <memory>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

constexpr Milliseconds now { 10'000 };
constexpr Milliseconds lifetime { 12'000 };
const ServiceId engine("engine");
const SoftwareVersion first("v1");
const SoftwareVersion second("v2");

StreamOriginNotice makeNotice(const std::string& request, const SoftwareVersion& version = first)
{
    return { request, { engine, version }, lifetime };
}

/** VMs that exchange origins; messages to and from VMs that are gone are lost. */
class OriginFleet {
public:
    OriginFleet(int domains, int vmsInEach)
    {
        for (int vm = 0; vm < domains * vmsInEach; ++vm) {
            VmAnnouncement status = makeVm("vm-" + std::to_string(vm), "north");
            status.failureDomain = FailureDomainId("domain-" + std::to_string(vm % domains));
            this->vms.put(status);
            this->members[status.vm] = std::make_unique<StreamOriginExchange>(status.vm, this->vms);
        }
    }

    void remove(const std::string& vm) { this->members.erase(VmId(vm)); }

    void noteOrigin(const std::string& vm, const StreamOriginNotice& notice)
    {
        for (const auto& [receiver, message] : this->members.at(VmId(vm))->noteOrigin(now, notice))
            this->send(receiver->vm, message);
    }

    std::optional<StreamOrigin> find(const std::string& vm, const std::string& request, Milliseconds at = now)
    {
        StreamOriginExchange& exchange = *this->members.at(VmId(vm));
        for (const auto& [receiver, question] : exchange.askForOrigin(request)) {
            if (const auto answer = this->send(receiver->vm, question))
                exchange.receive(at, *answer);
        }
        const auto known = exchange.find(at, request);
        return known ? std::optional(known->origin) : std::nullopt;
    }

    std::map<std::string, int> received; /**< Messages by receiver. */

private:
    std::optional<StreamOriginMessage> send(const VmId& to, const StreamOriginMessage& message)
    {
        ++this->received[to.string()];
        const auto receiver = this->members.find(to);
        if (receiver == this->members.end())
            return std::nullopt;
        return receiver->second->receive(now, *decodeDigest(encodeDigest(message, "key")).value().origins);
    }

    VmRegistry vms;
    std::map<VmId, std::unique_ptr<StreamOriginExchange>> members;
};

} // namespace

class StreamOriginTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StreamOriginTest);
    CPPUNIT_TEST(testEveryVmFindsTheOriginOfAStream);
    CPPUNIT_TEST(testOriginOutlivesAFailureDomain);
    CPPUNIT_TEST(testMessagesAreSpreadOverVms);
    CPPUNIT_TEST(testSmallFailureDomainIsNotFlooded);
    CPPUNIT_TEST(testUnknownStreamHasNoOrigin);
    CPPUNIT_TEST(testOriginIsForgottenAfterItsLifetime);
    CPPUNIT_TEST(testContradictionMakesTheOriginUncertain);
    CPPUNIT_TEST(testNumberOfOriginsIsBounded);
    CPPUNIT_TEST(testAbsurdNoticesAreBounded);
    CPPUNIT_TEST(testDamagedMessagesAreRejected);
    CPPUNIT_TEST(testOnlyVersionIsKnownAfterAWhile);
    CPPUNIT_TEST(testFormerVersionCountsForAWhile);
    CPPUNIT_TEST(testUnknownStreamOfASplitRouteHasNoOrigin);
    CPPUNIT_TEST(testUnknownStreamHasNoOriginWhileTheListMayBeOld);
    CPPUNIT_TEST(testUnknownStreamHasNoOriginUntilAVersionThatJoinedMeanwhileWouldBeKnown);
    CPPUNIT_TEST(testVersionOfRestartedUpstreamIsUncertain);
    CPPUNIT_TEST(testVersionOfUnlistedUpstreamStaysKnown);
    CPPUNIT_TEST_SUITE_END();

public:
    void testEveryVmFindsTheOriginOfAStream()
    {
        OriginFleet fleet(4, 5);
        fleet.noteOrigin("vm-0", makeNotice("request"));
        fleet.remove("vm-0");
        for (int vm = 1; vm < 20; ++vm)
            CPPUNIT_ASSERT(fleet.find("vm-" + std::to_string(vm), "request") == makeNotice("request").origin);
    }

    void testOriginOutlivesAFailureDomain()
    {
        for (int lost = 0; lost < 3; ++lost) {
            OriginFleet fleet(3, 20);
            for (int request = 0; request < 200; ++request)
                fleet.noteOrigin("vm-" + std::to_string(lost), makeNotice(std::to_string(request)));
            for (int vm = lost; vm < 60; vm += 3)
                fleet.remove("vm-" + std::to_string(vm));
            const std::string asking = "vm-" + std::to_string((lost + 1) % 3);
            for (int request = 0; request < 200; ++request)
                CPPUNIT_ASSERT(fleet.find(asking, std::to_string(request)).has_value());
        }
    }

    void testMessagesAreSpreadOverVms()
    {
        constexpr int requests = 2'000;
        OriginFleet fleet(4, 10);
        for (int request = 0; request < requests; ++request)
            fleet.noteOrigin("vm-0", makeNotice(std::to_string(request)));
        constexpr int fair = requests * static_cast<int>(StreamOriginExchange::holderCount) / 40;
        for (const auto& [vm, messages] : fleet.received)
            CPPUNIT_ASSERT_MESSAGE(vm + ": " + std::to_string(messages), messages < 2 * fair);
    }

    void testSmallFailureDomainIsNotFlooded()
    {
        constexpr int requests = 2'000;
        VmRegistry vms;
        for (int vm = 0; vm < 100; ++vm) {
            VmAnnouncement status = makeVm("vm-" + std::to_string(vm), "north");
            status.failureDomain = FailureDomainId(vm == 99 ? "small" : "large");
            vms.put(status);
        }
        StreamOriginExchange exchange(VmId("vm-0"), vms);
        int messages = 0;
        for (int request = 0; request < requests; ++request) {
            for (const auto& [receiver, message] : exchange.askForOrigin(std::to_string(request)))
                messages += receiver->vm == VmId("vm-99") ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(messages), messages < requests / 5);
    }

    void testUnknownStreamHasNoOrigin()
    {
        OriginFleet fleet(3, 2);
        CPPUNIT_ASSERT(!fleet.find("vm-0", "request"));
        CPPUNIT_ASSERT(!fleet.find("vm-0", ""));
    }

    void testOriginIsForgottenAfterItsLifetime()
    {
        StreamOriginTable table;
        table.put(now, makeNotice("request"));
        CPPUNIT_ASSERT(table.find(now + lifetime - Milliseconds(1), "request").has_value());
        CPPUNIT_ASSERT(!table.find(now + lifetime, "request"));
        // What is learned again, as the stream was taken up, counts for longer.
        table.put(now + Milliseconds(5'000), makeNotice("request"));
        table.expire(now + lifetime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.count());
        table.expire(now + lifetime + Milliseconds(5'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.count());
    }

    void testContradictionMakesTheOriginUncertain()
    {
        OriginFleet fleet(3, 2);
        fleet.noteOrigin("vm-0", makeNotice("request", first));
        fleet.noteOrigin("vm-1", makeNotice("request", second));
        const auto origin = fleet.find("vm-2", "request");
        CPPUNIT_ASSERT(origin && origin->version.isEmpty());
    }

    void testNumberOfOriginsIsBounded()
    {
        StreamOriginTable table;
        for (std::size_t request = 0; request < StreamOriginTable::maximumOrigins + 100; ++request)
            table.put(now + Milliseconds(static_cast<std::int64_t>(request)), makeNotice(std::to_string(request)));
        CPPUNIT_ASSERT_EQUAL(StreamOriginTable::maximumOrigins, table.count());
        CPPUNIT_ASSERT(!table.find(now, "0"));
        CPPUNIT_ASSERT(table.find(now, std::to_string(StreamOriginTable::maximumOrigins + 99)).has_value());
    }

    void testAbsurdNoticesAreBounded()
    {
        StreamOriginTable table;
        table.put(now, { "long", { engine, first }, Milliseconds(std::numeric_limits<std::int64_t>::max()) });
        table.put(now, { "none", { engine, first }, Milliseconds(std::numeric_limits<std::int64_t>::min()) });
        table.put(now, makeNotice(std::string(StreamOriginTable::maximumIdBytes + 1, 'x')));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.count());
        table.expire(now + StreamOriginTable::longestLifetime);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.count());
    }

    void testDamagedMessagesAreRejected()
    {
        const std::string begin = R"({"schema":1,"kind":"streams","key":"k","vm":"vm-1",)";
        CPPUNIT_ASSERT(decodeDigest(begin + R"("known":[["r","s","v",5]],"unknown":["q"],"asked":["p"]})"));
        for (const char* rest : { R"("known":[["r","s","v"]],"unknown":[],"asked":[]})",
                 R"("known":[["r","s",1,5]],"unknown":[],"asked":[]})", R"("known":[],"unknown":[1],"asked":[]})",
                 R"("known":[],"unknown":[]})", R"("known":{},"unknown":[],"asked":[]})" })
            CPPUNIT_ASSERT_MESSAGE(rest, !decodeDigest(begin + rest));
    }

    void testOnlyVersionIsKnownAfterAWhile()
    {
        UpstreamTable table;
        table.put(now, this->makeUpstreamOf("e-0", first));
        table.put(now, this->makeUpstreamOf("e-1", first));
        CPPUNIT_ASSERT(!table.findOnlyVersion(now + lifetime - Milliseconds(1), engine, lifetime));
        CPPUNIT_ASSERT(table.findOnlyVersion(now + lifetime, engine, lifetime) == first);
        CPPUNIT_ASSERT(!table.findOnlyVersion(now + lifetime, ServiceId("other"), lifetime));
        table.put(now + lifetime, this->makeUpstreamOf("e-2", second));
        CPPUNIT_ASSERT(!table.findOnlyVersion(now + lifetime * 3, engine, lifetime));
    }

    void testFormerVersionCountsForAWhile()
    {
        UpstreamTable table;
        table.put(now, this->makeUpstreamOf("e-0", first));
        table.put(now, this->makeUpstreamOf("e-1", second));
        const Milliseconds end = now + lifetime * 2;
        table.remove(UpstreamId("e-0"), end);
        table.expire(end);
        CPPUNIT_ASSERT(!table.findOnlyVersion(end + lifetime - Milliseconds(1), engine, lifetime));
        CPPUNIT_ASSERT(table.findOnlyVersion(end + lifetime, engine, lifetime) == second);
        // The same holds for an upstream that restarts as another version.
        UpstreamRecord restarted = this->makeUpstreamOf("e-1", first);
        restarted.startedAt = 2;
        table.put(end + lifetime, restarted);
        CPPUNIT_ASSERT(!table.findOnlyVersion(end + lifetime * 2 - Milliseconds(1), engine, lifetime));
        CPPUNIT_ASSERT(table.findOnlyVersion(end + lifetime * 2, engine, lifetime) == first);
    }

    void testUnknownStreamOfASplitRouteHasNoOrigin()
    {
        GatewayCore core(makeSettings(), "key", 1);
        core.applyConfiguration(makeDocument(1));
        core.getUpstreams().put(now, this->makeUpstreamOf("e-0", first));
        const Milliseconds later = now + StreamOriginTable::longestLifetime;
        core.noteConfigurationConfirmation(later);
        ServingRoute route = makeRoute("/a/");
        CPPUNIT_ASSERT(core.findOnlyOrigin(later, route, now) == makeNotice("").origin);
        route.services.push_back({ ServiceId("other"), 1 });
        CPPUNIT_ASSERT(!core.findOnlyOrigin(later, route, now));
    }

    void testUnknownStreamHasNoOriginWhileTheListMayBeOld()
    {
        GatewayCore core(makeSettings(), "key", 1);
        core.applyConfiguration(makeDocument(1));
        core.getUpstreams().put(now, this->makeUpstreamOf("e-0", first));
        core.noteConfigurationConfirmation(now);
        CPPUNIT_ASSERT(!core.findOnlyOrigin(now + StreamOriginTable::longestLifetime, makeRoute("/a/"), now));
    }

    void testUnknownStreamHasNoOriginUntilAVersionThatJoinedMeanwhileWouldBeKnown()
    {
        GatewayCore core(makeSettings(), "key", 1);
        core.applyConfiguration(makeDocument(1));
        core.getUpstreams().put(now, this->makeUpstreamOf("e-0", first));
        const Milliseconds takenUpAt = now + StreamOriginTable::longestLifetime;
        // Recent enough for keys, but an upstream of another version may have begun the stream since.
        core.noteConfigurationConfirmation(takenUpAt);
        CPPUNIT_ASSERT(!core.findOnlyOrigin(takenUpAt, makeRoute("/a/"), takenUpAt));
        CPPUNIT_ASSERT(core.needsConfirmation(takenUpAt, makeRoute("/a/"), takenUpAt));
        CPPUNIT_ASSERT(core.mustQueryStore(takenUpAt));
        const Milliseconds confirmedAt = takenUpAt + Milliseconds(1);
        core.noteConfigurationConfirmation(confirmedAt);
        CPPUNIT_ASSERT(core.findOnlyOrigin(confirmedAt, makeRoute("/a/"), takenUpAt) == makeNotice("").origin);
        CPPUNIT_ASSERT(!core.needsConfirmation(confirmedAt, makeRoute("/a/"), takenUpAt));
    }

    void testVersionOfRestartedUpstreamIsUncertain()
    {
        UpstreamTable table;
        UpstreamRecord record = this->makeUpstreamOf("e-0", first);
        record.startedAt = 1;
        table.put(now, record);
        CPPUNIT_ASSERT(table.findVersion(record) == first);
        // The list does not tell yet which version has started.
        table.noteProcessEnded(now, record);
        CPPUNIT_ASSERT(table.findVersion(record).isEmpty());
        table.noteContact(now + Milliseconds(500), record, now + Milliseconds(500), Milliseconds(0));
        CPPUNIT_ASSERT(table.findVersion(record).isEmpty());
        UpstreamRecord restarted = record;
        restarted.startedAt = 2;
        restarted.version = second;
        table.put(now, restarted);
        CPPUNIT_ASSERT(table.findVersion(restarted) == second);
        CPPUNIT_ASSERT(table.findVersion(record).isEmpty());
    }

    void testVersionOfUnlistedUpstreamStaysKnown()
    {
        UpstreamTable table;
        const UpstreamRecord record = this->makeUpstreamOf("e-0", first);
        table.put(now, record);
        table.remove(record.id, now);
        table.expire(now);
        CPPUNIT_ASSERT(table.findVersion(record) == first);
    }

private:
    static UpstreamRecord makeUpstreamOf(const std::string& name, const SoftwareVersion& version)
    {
        UpstreamRecord record = makeUpstream(name, "north");
        record.version = version;
        return record;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamOriginTest);

} // namespace papayashelf
