#include "adapter/Decoding.h"

#include <boost/json/parse.hpp>
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
    CPPUNIT_TEST(testConfigurationIsDecoded);
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
            replaceFirst(upstream, "\"cold_left_ms\":0,", "") };
        for (const std::string& text : invalidTexts) {
            const Outcome<UpstreamRecord> record = decodeUpstream("i-1", text, lookUpRegion);
            CPPUNIT_ASSERT_MESSAGE(text, !record && record.error().code == ErrorCode::Damaged);
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
