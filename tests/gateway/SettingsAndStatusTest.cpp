#include "gateway/GatewayFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

using namespace gatewayfixture;

namespace {

const std::string minimalSettings = R"(vm = "north-1"
region = "north"
failure_domain = "north-a"
store = "127.0.0.1:8505"
[listen]
callers = "127.0.0.1:8501"
readiness = "127.0.0.1:8503"
entries = "127.0.0.1:8506"
relays = "127.0.0.1:7020"
metrics = "127.0.0.1:9464"
)";

} // namespace

class SettingsAndStatusTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SettingsAndStatusTest);
    CPPUNIT_TEST(testMinimalSettings);
    CPPUNIT_TEST(testBoundsMayBeFractionsOrOmitted);
    CPPUNIT_TEST(testEveryErrorIsReported);
    CPPUNIT_TEST(testStatusRoundTrips);
    CPPUNIT_TEST(testStatusOfAnOldBuildHasNoSequence);
    CPPUNIT_TEST(testStatusWithAnImpossibleSequenceIsRejected);
    CPPUNIT_TEST(testStatusOfAnotherVersionIsRejected);
    CPPUNIT_TEST(testDamagedStatusIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void testMinimalSettings()
    {
        const Checked<GatewaySettings> settings = checkGatewaySettings("boot.toml", minimalSettings);
        CPPUNIT_ASSERT(settings);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), settings.value().region.string());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 7020 }, settings.value().listeners.relays.port);
    }

    void testBoundsMayBeFractionsOrOmitted()
    {
        const auto given = checkGatewaySettings(
            "boot.toml", minimalSettings + "[bounds]\nstop_grace_s = 7.5\nretry_ratio = 1\nretry_window_s = 12\n");
        CPPUNIT_ASSERT(given && given.value().bounds.stopGrace == Milliseconds(7500));
        CPPUNIT_ASSERT(given.value().bounds.retryWindow == Milliseconds(12000));
        const auto without = checkGatewaySettings("boot.toml", minimalSettings + "[bounds]\n");
        CPPUNIT_ASSERT(without && without.value().bounds.stopGrace == Milliseconds(8000));
    }

    void testEveryErrorIsReported()
    {
        const std::string text = minimalSettings + "odd = 1\n[bounds]\nretry_ratio = \"much\"\n";
        const Checked<GatewaySettings> settings = checkGatewaySettings("boot.toml", text);
        CPPUNIT_ASSERT(!settings);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, settings.error().size());
    }

    void testStatusRoundTrips()
    {
        VmAnnouncement status = makeVm("north-1", "north");
        status.sequence = 7;
        const Outcome<VmAnnouncement> decoded = decodeVmAnnouncement(encodeVmAnnouncement(status));
        CPPUNIT_ASSERT(decoded && decoded.value() == status);
    }

    void testStatusOfAnOldBuildHasNoSequence()
    {
        VmAnnouncement status = makeVm("north-1", "north");
        status.sequence = 7;
        std::string text = encodeVmAnnouncement(status);
        const std::string field = ",\"sequence\":7";
        text.erase(text.find(field), field.size());
        const Outcome<VmAnnouncement> decoded = decodeVmAnnouncement(text);
        status.sequence = 0;
        CPPUNIT_ASSERT(decoded && decoded.value() == status);
    }

    void testStatusWithAnImpossibleSequenceIsRejected()
    {
        VmAnnouncement status = makeVm("north-1", "north");
        status.sequence = 7;
        for (const char* sequence : { "-1", "1e400", "1.5", "\"7\"", "18446744073709551615" }) {
            std::string text = encodeVmAnnouncement(status);
            text.replace(text.find(":7"), 2, std::string(":") + sequence);
            CPPUNIT_ASSERT_MESSAGE(sequence, !decodeVmAnnouncement(text));
        }
    }

    void testStatusOfAnotherVersionIsRejected()
    {
        std::string text = encodeVmAnnouncement(makeVm("north-1", "north"));
        text.replace(text.find("\"schema\":1"), 10, "\"schema\":9");
        const Outcome<VmAnnouncement> decoded = decodeVmAnnouncement(text);
        CPPUNIT_ASSERT(!decoded && decoded.error().code == ErrorCode::UnknownSchemaVersion);
    }

    void testDamagedStatusIsRejected()
    {
        for (const char* text : { "", "{}", "[]", "{\"schema\":1}", "{\"schema\":1,\"vm\":7}" }) {
            const Outcome<VmAnnouncement> decoded = decodeVmAnnouncement(text);
            CPPUNIT_ASSERT(!decoded && decoded.error().code == ErrorCode::Damaged);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsAndStatusTest);

} // namespace papayashelf
