#include "settings/settings.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

const std::string digest(64, 'a');

/** The least that is accepted. */
std::string smallestSettings()
{
    return "[vm]\n"
           "id = \"altiplano-1\"\n"
           "region = \"altiplano\"\n"
           "domain = \"altiplano-a\"\n"
           "[entry]\n"
           "listen = \"127.0.0.1:21001\"\n"
           "[peer]\n"
           "listen = \"127.0.0.1:21101\"\n"
           "certificate = \"vm.pem\"\n"
           "key = \"vm.key\"\n"
           "authority = \"authority.pem\"\n"
           "[administration]\n"
           "listen = \"127.0.0.1:21201\"\n"
           "key_digest = \""
        + digest
        + "\"\n"
          "[platform]\n"
          "store = \"127.0.0.1:20001\"\n"
          "vm_list = \"127.0.0.1:20002\"\n";
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

Faults faultsOf(const std::string& text)
{
    const auto checked = checkSettings("vm.toml", text);
    return checked ? Faults() : checked.error();
}

bool hasFault(const Faults& faults, int line, int column, const std::string& part)
{
    return std::any_of(faults.begin(), faults.end(), [&](const Fault& fault) {
        return fault.position == Position { line, column } && fault.found.find(part) != std::string::npos;
    });
}

} // namespace

class VmSettingsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(VmSettingsTest);
    CPPUNIT_TEST(testSmallestSettingsTakeDefaults);
    CPPUNIT_TEST(testEveryFaultIsReportedWithItsPlace);
    CPPUNIT_TEST(testRepeatedKeyDoesNotHideOtherFaults);
    CPPUNIT_TEST(testBrokenTextIsOneClearFault);
    CPPUNIT_TEST(testMissingTablesNameEveryField);
    CPPUNIT_TEST(testHalfACertificateIsAFault);
    CPPUNIT_TEST(testListenersMustDiffer);
    CPPUNIT_TEST(testSilenceLimitsMustGrow);
    CPPUNIT_TEST(testEndpointForms);
    CPPUNIT_TEST_SUITE_END();

    void testSmallestSettingsTakeDefaults()
    {
        const auto checked = checkSettings("vm.toml", smallestSettings());
        CPPUNIT_ASSERT(checked);
        CPPUNIT_ASSERT(VmId("altiplano-1") == checked.value().vm);
        CPPUNIT_ASSERT(Endpoint({ "127.0.0.1", 21001 }) == checked.value().entry.advertised);
        CPPUNIT_ASSERT(!checked.value().entry.tls);
        CPPUNIT_ASSERT(LimitSettings() == checked.value().limits);
        CPPUNIT_ASSERT(TimerSettings() == checked.value().timers);
    }

    void testEveryFaultIsReportedWithItsPlace()
    {
        std::string text = replaced(smallestSettings(), "\"altiplano\"", "7");
        text = replaced(text, "127.0.0.1:21001", "localhost:21001");
        text = replaced(text, digest, "A0");
        text += "[limits]\nheader_bytes = 12\nheadr_bytes = 4096\n[policy]\nrouting = \"best\"\n[tiers]\n";
        const Faults faults = faultsOf(text);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 7 }, faults.size());
        CPPUNIT_ASSERT(hasFault(faults, 3, 10, "vm.region is 7"));
        CPPUNIT_ASSERT(hasFault(faults, 6, 10, "entry.listen is \"localhost:21001\""));
        CPPUNIT_ASSERT(hasFault(faults, 14, 14, "administration.key_digest is \"A0\""));
        CPPUNIT_ASSERT(hasFault(faults, 19, 16, "limits.header_bytes is 12"));
        CPPUNIT_ASSERT(hasFault(faults, 20, 1, "unknown key limits.headr_bytes"));
        CPPUNIT_ASSERT(hasFault(faults, 22, 11, "policy.routing is \"best\""));
        CPPUNIT_ASSERT(hasFault(faults, 23, 2, "unknown key tiers"));
        CPPUNIT_ASSERT_EQUAL(std::string("vm.toml:19:16: limits.header_bytes is 12; "
                                         "allowed: a whole number from 1024 to 262144 bytes"),
            faults[3].string());
    }

    void testRepeatedKeyDoesNotHideOtherFaults()
    {
        const std::string text = replaced(smallestSettings(), "[entry]", "id = \"again\"\n[entry]\nx = 1");
        const Faults faults = faultsOf(text);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, faults.size());
        CPPUNIT_ASSERT_EQUAL(5, faults[0].position.line);
        CPPUNIT_ASSERT(hasFault(faults, 7, 1, "unknown key entry.x"));
    }

    void testBrokenTextIsOneClearFault()
    {
        const std::string whole = smallestSettings();
        const std::string truncated = whole.substr(0, whole.find("21101") + 2);
        const std::string invalid = replaced(whole, "altiplano-a", "altiplano-\xC3\x28");
        for (const std::string& text : { truncated, invalid, std::string("[vm\n"), std::string("\0\x01", 2) }) {
            const Faults faults = faultsOf(text);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, faults.size());
            CPPUNIT_ASSERT(faults[0].position.line > 0);
            CPPUNIT_ASSERT(!faults[0].found.empty());
        }
        CPPUNIT_ASSERT_EQUAL(8, faultsOf(truncated)[0].position.line);
        CPPUNIT_ASSERT_EQUAL(4, faultsOf(invalid)[0].position.line);
    }

    void testMissingTablesNameEveryField()
    {
        const Faults faults = faultsOf("");
        for (const std::string field : { "vm.id", "vm.region", "vm.domain", "entry.listen", "peer.listen",
                 "peer.certificate", "peer.key", "peer.authority", "administration.listen", "administration.key_digest",
                 "platform.store", "platform.vm_list" }) {
            const auto isMissing = [&](const Fault& fault) { return fault.found == field + " is missing"; };
            CPPUNIT_ASSERT_MESSAGE(field, std::any_of(faults.begin(), faults.end(), isMissing));
        }
    }

    void testHalfACertificateIsAFault()
    {
        const Faults faults = faultsOf(replaced(smallestSettings(), "[peer]", "certificate = \"entry.pem\"\n[peer]"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, faults.size());
        CPPUNIT_ASSERT_EQUAL(std::string("entry.key is missing"), faults[0].found);
    }

    void testListenersMustDiffer()
    {
        const Faults faults = faultsOf(replaced(smallestSettings(), "127.0.0.1:21201", "127.0.0.1:21001"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, faults.size());
        CPPUNIT_ASSERT(hasFault(faults, 13, 10, "which entry.listen has too"));
    }

    void testSilenceLimitsMustGrow()
    {
        const Faults faults = faultsOf(smallestSettings() + "[timers]\nheartbeat_ms = 5000\nsuspect_after_ms = 4000\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, faults.size());
        CPPUNIT_ASSERT(hasFault(faults, 20, 20, "suspect_after_ms is not above heartbeat_ms"));
    }

    void testEndpointForms()
    {
        for (const std::string wrong : { "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "::1:80", "[127.0.0.1]:80",
                 "127.0.0.1:80 ", "127.1:80", ":80", "[::1]:", "host:80" })
            CPPUNIT_ASSERT_MESSAGE(
                wrong, !checkSettings("vm.toml", replaced(smallestSettings(), "127.0.0.1:21001", wrong)));
        CPPUNIT_ASSERT(checkSettings("vm.toml", replaced(smallestSettings(), "127.0.0.1:21001", "[::1]:21001")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VmSettingsTest);

} // namespace papayashelf
