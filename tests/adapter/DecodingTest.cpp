#include "adapter/Decoding.h"

#include <boost/json/parse.hpp>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

RegionId lookUpRegion(const std::string& domain)
{
    return domain == "north-a" ? RegionId("north") : RegionId();
}

const std::string upstream = R"({"service":"s","address":"10.128.0.9:8080","zone":"north-a","version":"v1","slots":64,)"
                             R"("state":"ready","cold_left_ms":0,"seq":4})";

std::string replaceFirst(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

class DecodingTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DecodingTest);
    CPPUNIT_TEST(testUpstreamIsDecoded);
    CPPUNIT_TEST(testInvalidUpstreamEntriesAreRejected);
    CPPUNIT_TEST(testVersionThatBreaksARequestHeadIsRejected);
    CPPUNIT_TEST(testUpstreamNumbersOutOfRangeAreRejected);
    CPPUNIT_TEST(testUpstreamPortsOutOfRangeAreRejected);
    CPPUNIT_TEST(testUpstreamIdThatBreaksARequestHeadIsRejected);
    CPPUNIT_TEST(testDeeplyNestedDocumentsAreRejected);
    CPPUNIT_TEST(testUnreadableValueKeepsItsKey);
    CPPUNIT_TEST(testConfigurationIsDecoded);
    CPPUNIT_TEST(testConfigurationNumbersOutOfRangeAreBounded);
    CPPUNIT_TEST(testConfigurationVersionOutOfRangeIsRejected);
    CPPUNIT_TEST(testDamagedConfigurationIsRejected);
    CPPUNIT_TEST(testStoreItemsAreDecoded);
    CPPUNIT_TEST(testQuarantinedPromptRoundTrips);
    CPPUNIT_TEST(testBase64RoundTrip);
    CPPUNIT_TEST_SUITE_END();

public:
    void testUpstreamIsDecoded()
    {
        const Outcome<UpstreamRecord> record = decodeUpstream("i-1", upstream, lookUpRegion);
        CPPUNIT_ASSERT(record);
        CPPUNIT_ASSERT_EQUAL(std::string("north"), record.value().region.string());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 8080 }, record.value().endpoint.port);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, record.value().sequence);
        CPPUNIT_ASSERT(record.value().version == SoftwareVersion("v1"));
        CPPUNIT_ASSERT(!record.value().isLeaving);
        const auto leaving = decodeUpstream("i-1", replaceFirst(upstream, "ready", "draining"), lookUpRegion);
        CPPUNIT_ASSERT(leaving && leaving.value().isLeaving);
    }

    void testInvalidUpstreamEntriesAreRejected()
    {
        // Other clients of the store can write below the upstream prefix. No such entry may become an upstream.
        const std::vector<std::string> invalidTexts { "", "\xff\xfe", "[]", "{}",
            replaceFirst(upstream, "64", "\"many\""), replaceFirst(upstream, "64", "0"),
            replaceFirst(upstream, "ready", "resting"), replaceFirst(upstream, "north-a", "nowhere"),
            replaceFirst(upstream, "10.128.0.9:8080", "a-name:80"), replaceFirst(upstream, "\"s\"", "7"),
            replaceFirst(upstream, "\"cold_left_ms\":0,", ""), replaceFirst(upstream, "\"version\":\"v1\",", ""),
            replaceFirst(upstream, "\"v1\"", "1") };
        for (const std::string& text : invalidTexts) {
            const Outcome<UpstreamRecord> record = decodeUpstream("i-1", text, lookUpRegion);
            CPPUNIT_ASSERT_MESSAGE(text, !record && record.error().code == ErrorCode::Damaged);
        }
    }

    void testVersionThatBreaksARequestHeadIsRejected()
    {
        for (const std::string& version : { std::string("v1\\r\\nTenant: a"), std::string("v\\u0000"),
                 std::string("\\u007f"), std::string(300, 'v') })
            CPPUNIT_ASSERT_MESSAGE(
                version, !decodeUpstream("i-1", replaceFirst(upstream, "\"v1\"", '"' + version + '"'), lookUpRegion));
        const auto record = decodeUpstream("i-1", replaceFirst(upstream, "\"v1\"", "\"1.2 beta\""), lookUpRegion);
        CPPUNIT_ASSERT(record && record.value().version == SoftwareVersion("1.2 beta"));
    }

    void testUpstreamNumbersOutOfRangeAreRejected()
    {
        const std::string cold = "\"cold_left_ms\":0";
        const std::string sequence = "\"seq\":4";
        const std::vector<std::string> invalidTexts { replaceFirst(upstream, "64", "4294967297"),
            replaceFirst(upstream, "64", "2147483647"), replaceFirst(upstream, "64", "1e400"),
            replaceFirst(upstream, "64", "18446744073709551615"), replaceFirst(upstream, "64", "9223372036854775808.0"),
            replaceFirst(upstream, cold, "\"cold_left_ms\":9223372036854775807"),
            replaceFirst(upstream, cold, "\"cold_left_ms\":1e18"),
            replaceFirst(upstream, cold, "\"cold_left_ms\":1e400"), replaceFirst(upstream, sequence, "\"born\":1e400"),
            replaceFirst(upstream, sequence, "\"born\":1e30"), replaceFirst(upstream, sequence, "\"born\":-1"),
            replaceFirst(upstream, sequence, "\"born\":0.5"), replaceFirst(upstream, sequence, "\"born\":\"1\""),
            replaceFirst(upstream, sequence, "\"seq\":-1"), replaceFirst(upstream, sequence, "\"seq\":1e400"),
            replaceFirst(upstream, sequence, "\"seq\":\"4\"") };
        for (const std::string& text : invalidTexts) {
            const Outcome<UpstreamRecord> record = decodeUpstream("i-1", text, lookUpRegion);
            CPPUNIT_ASSERT_MESSAGE(text, !record && record.error().code == ErrorCode::Damaged);
        }
    }

    void testUpstreamPortsOutOfRangeAreRejected()
    {
        for (const char* port : { "", "0", "65536", "99999999999", "-1", "80x", "8e3" }) {
            const std::string address = std::string("10.128.0.9:") + port;
            CPPUNIT_ASSERT_MESSAGE(
                port, !decodeUpstream("i-1", replaceFirst(upstream, "10.128.0.9:8080", address), lookUpRegion));
        }
    }

    void testUpstreamIdThatBreaksARequestHeadIsRejected()
    {
        // The id is sent to the upstream in a header.
        for (const std::string& id : { std::string(), std::string("i-1\r\nHost: other"), std::string("i 1"),
                 std::string("i\0", 2), std::string("i-\xff"), std::string(1'000, 'i') })
            CPPUNIT_ASSERT_MESSAGE(id, !decodeUpstream(id, upstream, lookUpRegion));
    }

    void testDeeplyNestedDocumentsAreRejected()
    {
        constexpr std::size_t depth = 100'000;
        const std::string closed = std::string(depth, '[') + std::string(depth, ']');
        for (const std::string& nested : { closed, std::string(depth, '['), std::string(depth, '{') }) {
            CPPUNIT_ASSERT(!decodeUpstream("i-1", nested, lookUpRegion));
            CPPUNIT_ASSERT(!decodeUpstream("i-1", replaceFirst(upstream, "\"v1\"", nested), lookUpRegion));
            CPPUNIT_ASSERT(!decodeVmAnnouncement(nested));
            CPPUNIT_ASSERT(!decodePromptSignature(nested));
            CPPUNIT_ASSERT(!decodeConfiguration(nested));
            CPPUNIT_ASSERT(!decodeDigest(nested));
        }
    }

    void testUnreadableValueKeepsItsKey()
    {
        // The entry that stood below the key before must end, so its key has to be known.
        for (const char* value : { "", "!!!!", "====", "a", "ab=", "\xc3\xa4\xc3\xa4" }) {
            const boost::json::object object { { "key", "k" }, { "revision", 1 }, { "value", value } };
            const Outcome<StoreItem> item = decodeItem(object);
            CPPUNIT_ASSERT_MESSAGE(value, item && item.value().key == "k" && item.value().value.size() <= 1);
        }
    }

    void testConfigurationIsDecoded()
    {
        const Outcome<ServingDocument> document = decodeConfiguration(
            R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":12000,)"
            R"("goal_ms":1200,"priority":2,"traffic_split":[{"service":"x","weight":90},{"service":"y","weight":10}],)"
            R"("max_attempts":2,"public":false,"sticky":true,"resumable":true,"home_regions":["north"]}],)"
            R"("services":[{"name":"x","cold_per_s":2.9,"engine":{"slots":64,"kv_capacity":394105}}],)"
            R"("limits":{"max_body_bytes":1000},"tenants":[{"name":"t","api_keys":["k"],"priority":1,)"
            R"("unit":"token_count","plain_tokens":200,"rate_per_s":575352,"burst":575352}]})");
        CPPUNIT_ASSERT(document);
        const ServingRoute& route = document.value().routes.front();
        CPPUNIT_ASSERT(route.isStream && route.isResumable && route.isRetryable && route.hasPromptParts);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, route.services.size());
        CPPUNIT_ASSERT_EQUAL(90, route.services.front().weight);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1000 }, document.value().limits.bodyBytes);
        CPPUNIT_ASSERT(document.value().workspaces.front().countsTokens);
        CPPUNIT_ASSERT_EQUAL(1, *document.value().workspaces.front().priority);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 394105 }, document.value().services.front().memoryTokens);
    }

    void testConfigurationNumbersOutOfRangeAreBounded()
    {
        const auto decodeWith = [](const std::string& number) {
            std::string text
                = R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"idempotent",)"
                  R"("timeout_ms":1000000000000000000,"goal_ms":#,"gap_target_ms":#,"priority":#,)"
                  R"("max_attempts":#,"traffic_split":[{"service":"x","weight":#}]}],)"
                  R"("services":[{"name":"x","cold_per_s":#,"engine":{"slots":#,"kv_capacity":#}}],)"
                  R"("limits":{"max_header_bytes":#,"max_body_bytes":#,"header_timeout_ms":#,)"
                  R"("idle_timeout_ms":#},"tenants":[{"name":"t","api_keys":["k"],"priority":#,)"
                  R"("plain_tokens":#,"rate_per_s":#,"burst":#}]})";
            while (text.find('#') != std::string::npos)
                text = replaceFirst(std::move(text), "#", number);
            return decodeConfiguration(text);
        };
        const Milliseconds year = Milliseconds::fromSeconds(std::int64_t { 365 } * 86'400);
        for (const char* number : { "1e400", "1e30", "18446744073709551615", "9223372036854775807", "4294967297" }) {
            const Outcome<ServingDocument> document = decodeWith(number);
            CPPUNIT_ASSERT_MESSAGE(number, document);
            const ServingRoute& route = document.value().routes.front();
            for (const Milliseconds time : { route.timeout, route.latencyTarget, route.maximumEventGap,
                     document.value().limits.headerTimeout, document.value().limits.idleTimeout })
                CPPUNIT_ASSERT_MESSAGE(number, time > Milliseconds::fromSeconds(3'600) && time < year);
            CPPUNIT_ASSERT_MESSAGE(number, route.priority >= 9 && route.maximumAttempts >= 100);
            CPPUNIT_ASSERT_MESSAGE(number, route.services.front().weight >= 1'000);
            const ServingService& service = document.value().services.front();
            CPPUNIT_ASSERT_MESSAGE(number, service.slots >= 10'000 && service.memoryTokens >= 1'000'000'000);
            CPPUNIT_ASSERT_MESSAGE(number, std::isfinite(service.coldRequestsPerSecond));
            CPPUNIT_ASSERT_MESSAGE(number, document.value().limits.headerBytes >= 1'000'000);
            CPPUNIT_ASSERT_MESSAGE(number, document.value().limits.bodyBytes >= 1'000'000'000);
            const ServingWorkspace& workspace = document.value().workspaces.front();
            CPPUNIT_ASSERT_MESSAGE(number, workspace.priority.value_or(0) >= 9);
            for (const double units : { workspace.unitsPerSecond, workspace.burstUnits, workspace.defaultRequestUnits })
                CPPUNIT_ASSERT_MESSAGE(number, units >= 1e9 && std::isfinite(units));
        }
        for (const char* number : { "-1", "-1e30", "-9223372036854775808" }) {
            const Outcome<ServingDocument> document = decodeWith(number);
            CPPUNIT_ASSERT_MESSAGE(number, document);
            const ServingRoute& route = document.value().routes.front();
            CPPUNIT_ASSERT_MESSAGE(number, route.latencyTarget == Milliseconds(0) && route.priority == 0);
            CPPUNIT_ASSERT_MESSAGE(number, route.services.front().weight == 0);
            CPPUNIT_ASSERT_MESSAGE(number, document.value().limits.bodyBytes == 0);
            CPPUNIT_ASSERT_MESSAGE(number, document.value().workspaces.front().unitsPerSecond < 0);
        }
    }

    void testConfigurationVersionOutOfRangeIsRejected()
    {
        // A negative version would count as later than every other.
        for (const char* version : { "-1", "1e19", "1e400", "18446744073709551615", "1.5" })
            CPPUNIT_ASSERT_MESSAGE(version, !decodeConfiguration(std::string(R"({"version":)") + version + "}"));
    }

    void testDamagedConfigurationIsRejected()
    {
        for (const char* text : { "", "{}", R"({"version":"x"})", R"({"version":1,"routes":[{"name":"r"}]})" })
            CPPUNIT_ASSERT(!decodeConfiguration(text));
    }

    void testStoreItemsAreDecoded()
    {
        const auto item = decodeItem(
            boost::json::parse(R"({"key":"my/leader","value":"bm9kZS0x","revision":412,"lease":7})").as_object());
        CPPUNIT_ASSERT(item && item.value().value == "node-1" && item.value().revision == 412);
        const auto removed
            = decodeItem(boost::json::parse(R"({"key":"my/old","revision":413,"removed":true})").as_object());
        CPPUNIT_ASSERT(removed && removed.value().state == StoreItemState::Removed);
        CPPUNIT_ASSERT(!decodeItem(boost::json::parse(R"({"key":7})").as_object()));
    }

    void testQuarantinedPromptRoundTrips()
    {
        const PromptSignature prompt { ServiceId("s"), { PromptPartId("1f"), PromptPartId("2e") } };
        const std::string text = encodePromptSignature(prompt);
        CPPUNIT_ASSERT(prompt == decodePromptSignature(text).value());
        // An entry without parts would quarantine every prompt.
        for (const std::string& invalid : { std::string(), std::string("[]"), replaceFirst(text, R"("1f","2e")", ""),
                 replaceFirst(text, R"("1f")", R"("")"), replaceFirst(text, R"("1f")", "7"),
                 replaceFirst(text, R"("service":"s")", R"("service":"")") })
            CPPUNIT_ASSERT_MESSAGE(invalid, !decodePromptSignature(invalid));
    }

    void testBase64RoundTrip()
    {
        for (const char* text : { "", "a", "ab", "abc", "abcd", "\x01\xff{}" }) {
            const boost::json::object object { { "key", "k" }, { "revision", 1 }, { "value", encodeBase64(text) } };
            CPPUNIT_ASSERT_EQUAL(std::string(text), decodeItem(object).value().value);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DecodingTest);

} // namespace papayashelf
