#include "gateway/quarantine/RequestIdentity.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <set>

namespace papayashelf {

class RequestIdentityTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RequestIdentityTest);
    CPPUNIT_TEST(testRequestsThatDifferInOneThingAreToldApart);
    CPPUNIT_TEST(testCallersCannotNameTheIdentityOfARequest);
    CPPUNIT_TEST(testIdentityFitsBesideAsManyPartsAsAPromptMayHave);
    CPPUNIT_TEST_SUITE_END();

public:
    void testRequestsThatDifferInOneThingAreToldApart()
    {
        const auto make = [](std::string_view method, std::string_view host, std::string_view target,
                              std::string_view prompt, std::string_view body, const std::string& caller) {
            return RequestIdentity(method, host, target, prompt, body).make(WorkspaceId(caller)).string();
        };
        const std::set<std::string> identities { make("GET", "h", "/x", "", "", "a"),
            make("HEAD", "h", "/x", "", "", "a"), make("GET", "i", "/x", "", "", "a"),
            make("GET", "h", "/x?q", "", "", "a"), make("GET", "h", "/x", "p:1", "", "a"),
            make("GET", "h", "/x", "", "b", "a"), make("GET", "h", "/x", "", "c", "a"),
            make("GET", "h", "/x", "", "", "b"), make("GET", "h", "/x", "", "", "") };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 9 }, identities.size());
        CPPUNIT_ASSERT(identities.contains(make("GET", "h", "/x", "", "", "a")));
        const RequestIdentity request("GET", "h", "/x", "", "b");
        CPPUNIT_ASSERT(request.make(WorkspaceId("a")).string().starts_with(request.makeBeginning(WorkspaceId("a"))));
    }

    void testCallersCannotNameTheIdentityOfARequest()
    {
        const PromptPartId identity = RequestIdentity("GET", "h", "/x", "", "").make(WorkspaceId("a"));
        CPPUNIT_ASSERT(isRequestIdentity(identity));
        CPPUNIT_ASSERT(identity.string().size() <= maximumPartIdBytes);
        for (const PromptPartId& part : parsePromptParts(identity.string() + ":1,request:1,request"))
            CPPUNIT_ASSERT(!isRequestIdentity(part));
    }

    // Earlier versions discard messages that name a prompt of more parts.
    void testIdentityFitsBesideAsManyPartsAsAPromptMayHave()
    {
        PromptParts parts;
        for (char name = 'a'; parts.size() < maximumPromptParts; ++name)
            parts.emplace_back(std::string(1, name));
        const PromptPartId identity = RequestIdentity("GET", "h", "/x", "", "").make({});
        const PromptParts all = withIdentity(parts, identity);
        CPPUNIT_ASSERT_EQUAL(maximumPromptParts, all.size());
        CPPUNIT_ASSERT(std::is_sorted(all.begin(), all.end()));
        CPPUNIT_ASSERT(containsAll(all, PromptParts { identity }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestIdentityTest);

} // namespace papayashelf
