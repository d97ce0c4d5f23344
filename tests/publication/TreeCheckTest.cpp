#include "publication/ExampleTree.h"
#include "publication/publication.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace papayashelf {

namespace {

Faults faultsOf(const TreeFiles& files)
{
    const auto checked = checkTree(files);
    return checked ? Faults() : checked.error();
}

bool hasFault(const Faults& faults, const std::string& file, int line, const std::string& part)
{
    return std::any_of(faults.begin(), faults.end(), [&](const Fault& fault) {
        return fault.file == file && fault.position.line == line && fault.found.find(part) != std::string::npos;
    });
}

/** Asserts that the tree has this one fault. */
void assertOnly(const TreeFiles& files, const std::string& file, int line, const std::string& part)
{
    const Faults faults = faultsOf(files);
    std::string all;
    for (const Fault& fault : faults)
        all += fault.string() + "\n";
    CPPUNIT_ASSERT_EQUAL_MESSAGE(all, std::size_t { 1 }, faults.size());
    CPPUNIT_ASSERT_MESSAGE(all, hasFault(faults, file, line, part));
}

const std::string clubFile = "club/workspace.gateway.toml";
const std::string routesFile = "routes.gateway.toml";
const std::string assistantFile = "assistant/service.gateway.toml";

} // namespace

class TreeCheckTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TreeCheckTest);
    CPPUNIT_TEST(testGoodTreeBecomesGovernance);
    CPPUNIT_TEST(testOrderAndSpacingDoNotChangeDocuments);
    CPPUNIT_TEST(testEveryFaultOfEveryFileAtOnce);
    CPPUNIT_TEST(testResidencyWithoutUpstream);
    CPPUNIT_TEST(testSharesOverTheVotedTotal);
    CPPUNIT_TEST(testUnknownNames);
    CPPUNIT_TEST(testNamesGivenTwice);
    CPPUNIT_TEST(testUpstreamAtAVmOfOurs);
    CPPUNIT_TEST(testKeyOfTwoWorkspaces);
    CPPUNIT_TEST(testWeightsOutsideTheResidency);
    CPPUNIT_TEST(testBurstBelowOneRequest);
    CPPUNIT_TEST(testLinksAndDomains);
    CPPUNIT_TEST(testKindIsDecidedByTheTable);
    CPPUNIT_TEST(testPathPrefixesHaveOneSpelling);
    CPPUNIT_TEST(testDocumentsOfOtherVersionsAreRefused);
    CPPUNIT_TEST(testEmptyRevisionIsEmptyGovernance);
    CPPUNIT_TEST_SUITE_END();

    void testGoodTreeBecomesGovernance()
    {
        const auto checked = checkTree(exampleTree());
        CPPUNIT_ASSERT(checked);
        const Governance& governance = checked.value().governance;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, governance.workspaces.size());
        CPPUNIT_ASSERT(WorkspaceId("club") == governance.keys.at(KeyDigest(sha256Hex("club-key"))).workspace);
        CPPUNIT_ASSERT_EQUAL(8, governance.services.at(ServiceId("assistant")).upstreams.front().slots);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 20 }, governance.routes.at(RouteId("entries")).tokensPerRequest);
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t { 3 }, governance.workspaces.at(WorkspaceId("shop")).shareWeights.at(RegionId("south")));
        // What a VM builds from the documents is what the publishing step checked.
        const auto built = buildGovernance({ 7, "", checked.value().documents });
        CPPUNIT_ASSERT(built);
        Governance expected = governance;
        expected.revision = 7;
        CPPUNIT_ASSERT(expected == built.value());
    }

    void testOrderAndSpacingDoNotChangeDocuments()
    {
        TreeFiles files = exampleTree();
        files[clubFile] = "# The club.\n[workspace]\nresidency = [ \"north\" ]\nburst_tokens = 3_000\n"
                          "tokens_per_second = 600\nid = 'club'\n";
        CPPUNIT_ASSERT(checkTree(exampleTree()).value().documents == checkTree(files).value().documents);
    }

    void testEveryFaultOfEveryFileAtOnce()
    {
        TreeFiles files = with(exampleTree(), clubFile, "600", "-1");
        files = with(files, assistantFile, "model_engine", "engine");
        files = with(files, routesFile, "/entries", "entries");
        files["x.gateway.toml"] = "[workspce]\n";
        const Faults faults = faultsOf(files);
        CPPUNIT_ASSERT(hasFault(faults, clubFile, 3, "workspace.tokens_per_second is -1"));
        CPPUNIT_ASSERT(hasFault(faults, assistantFile, 3, "service.kind is \"engine\""));
        CPPUNIT_ASSERT(hasFault(faults, routesFile, 7, "route.path_prefix is \"entries\""));
        CPPUNIT_ASSERT(hasFault(faults, "x.gateway.toml", 1, "unknown key workspce"));
        CPPUNIT_ASSERT(std::is_sorted(faults.begin(), faults.end(),
            [](const Fault& left, const Fault& right) { return left.file < right.file; }));
    }

    void testResidencyWithoutUpstream()
    {
        assertOnly(with(exampleTree(), clubFile, "\"north\"", "\"south\""), clubFile, 5,
            "no upstream within the residency for entries");
        // An open route serves no workspace.
        TreeFiles files = with(exampleTree(), clubFile, "\"north\"", "\"south\"");
        files = with(files, routesFile, "tokens_per_request = 20", "open_to_all = true");
        CPPUNIT_ASSERT(faultsOf(files).empty());
    }

    void testSharesOverTheVotedTotal()
    {
        assertOnly(with(exampleTree(), clubFile, "600", "601"), "fleet.gateway.toml", 2, "1001 tokens a second");
        assertOnly(with(exampleTree(), clubFile, "3000", "3001"), "fleet.gateway.toml", 3, "bursts of 5001");
        TreeFiles files = exampleTree();
        files.erase("fleet.gateway.toml");
        CPPUNIT_ASSERT(hasFault(faultsOf(files), "the tree", 0, "no file has a fleet table"));
        files = exampleTree();
        files["second.gateway.toml"] = "[fleet]\ntokens_per_second = 9999\nburst_tokens = 9999\n";
        assertOnly(files, "second.gateway.toml", 2, "a second fleet");
    }

    void testUnknownNames()
    {
        CPPUNIT_ASSERT(hasFault(faultsOf(with(exampleTree(), clubFile, "\"north\"", "\"north\", \"east\"")), clubFile,
            5, "unknown region east"));
        assertOnly(with(exampleTree(), "club/keys.gateway.toml", "\"club\"", "\"clb\""), "club/keys.gateway.toml", 2,
            "unknown workspace clb");
        assertOnly(with(exampleTree(), routesFile, "\"assistant\"", "\"asistant\""), routesFile, 4,
            "unknown service asistant");
        CPPUNIT_ASSERT(hasFault(faultsOf(with(exampleTree(), assistantFile, "\"south\"", "\"east\"")), assistantFile,
            13, "unknown region east"));
    }

    void testNamesGivenTwice()
    {
        TreeFiles files = exampleTree();
        files["again.gateway.toml"] = "[workspace]\nid = \"shop\"\ntokens_per_second = 1\nburst_tokens = 20\n";
        CPPUNIT_ASSERT(hasFault(faultsOf(files), "shop/workspace.gateway.toml", 2, "workspace shop is given twice"));
        assertOnly(with(exampleTree(), routesFile, "/entries", "/v1/chat"), routesFile, 7, "path prefix /v1/chat");
        assertOnly(with(exampleTree(), "entries/service.gateway.toml", "e-1", "a-1"), "entries/service.gateway.toml", 5,
            "upstream a-1 is given twice");
        assertOnly(with(exampleTree(), "entries/service.gateway.toml", "23003", "23001"),
            "entries/service.gateway.toml", 8, "endpoint 127.0.0.1:23001 is given twice");
    }

    void testUpstreamAtAVmOfOurs()
    {
        assertOnly(with(exampleTree(), assistantFile, "23002", "21999"), assistantFile, 15, "a VM of the system");
        CPPUNIT_ASSERT(faultsOf(with(exampleTree(), assistantFile, "23002", "22000")).empty());
    }

    void testKeyOfTwoWorkspaces()
    {
        assertOnly(with(exampleTree(), "shop/keys.gateway.toml", sha256Hex("shop-key"), sha256Hex("club-key")),
            "shop/keys.gateway.toml", 3, "is granted twice");
    }

    void testWeightsOutsideTheResidency()
    {
        TreeFiles files = exampleTree();
        files[clubFile] += "share_weights = { south = 1 }\n";
        assertOnly(files, clubFile, 6, "a weight for south, outside the residency");
        assertOnly(with(exampleTree(), "shop/workspace.gateway.toml", "north = 1, south = 3", "north = 0, south = 0"),
            "shop/workspace.gateway.toml", 5, "all weights are 0");
    }

    void testBurstBelowOneRequest()
    {
        assertOnly(with(exampleTree(), routesFile, "tokens_per_request = 20", "tokens_per_request = 2001"),
            "shop/workspace.gateway.toml", 4, "below the cost of one request");
    }

    void testLinksAndDomains()
    {
        CPPUNIT_ASSERT(hasFault(faultsOf(with(exampleTree(), "regions/north.gateway.toml", "south = 100", "")),
            "regions/north.gateway.toml", 4, "no link to south"));
        CPPUNIT_ASSERT(hasFault(faultsOf(with(exampleTree(), "regions/south.gateway.toml", "south-a", "north-a")),
            "regions/south.gateway.toml", 3, "north-a belongs to north too"));
        assertOnly(
            with(exampleTree(), assistantFile, "south-a", "south-b"), assistantFile, 14, "south-b is not in south");
    }

    void testKindIsDecidedByTheTable()
    {
        TreeFiles files = exampleTree();
        files["odd/name.gateway.toml"] = files[clubFile];
        files.erase(clubFile);
        CPPUNIT_ASSERT(faultsOf(files).empty());
        files["odd/name.gateway.toml"] += "[keys]\nworkspace = \"club\"\n";
        assertOnly(files, "odd/name.gateway.toml", 6, "keys stands beside workspace");
        files["odd/name.gateway.toml"] = "";
        CPPUNIT_ASSERT(hasFault(faultsOf(files), "odd/name.gateway.toml", 1, "no table of a known kind"));
    }

    void testPathPrefixesHaveOneSpelling()
    {
        for (const std::string wrong :
            { "/entries/", "//entries", "/a/../entries", "/./entries", "/entries?x", "/entr%69es", "/ entries", "" })
            CPPUNIT_ASSERT_MESSAGE(wrong, !faultsOf(with(exampleTree(), routesFile, "/entries", wrong)).empty());
        CPPUNIT_ASSERT(faultsOf(with(exampleTree(), routesFile, "/entries", "/")).empty());
    }

    void testDocumentsOfOtherVersionsAreRefused()
    {
        auto documents = checkTree(exampleTree()).value().documents;
        std::string& body = documents.at(clubFile);
        const std::string known = "\"schema_version\":1";
        body.replace(body.find(known), known.size(), "\"schema_version\":2");
        CPPUNIT_ASSERT(ErrorCode::UnknownSchemaVersion == buildGovernance({ 1, "", documents }).error().code);
        body.replace(body.find("schema_version"), std::string("schema_version").size(), "schema_versio");
        CPPUNIT_ASSERT(ErrorCode::Damaged == buildGovernance({ 1, "", documents }).error().code);
        documents[clubFile] = "{";
        CPPUNIT_ASSERT(ErrorCode::Damaged == buildGovernance({ 1, "", documents }).error().code);
        documents.erase(clubFile);
        // The keys now name a workspace that no document gives.
        CPPUNIT_ASSERT(ErrorCode::Damaged == buildGovernance({ 1, "", documents }).error().code);
    }

    void testEmptyRevisionIsEmptyGovernance() { CPPUNIT_ASSERT(Governance() == buildGovernance({}).value()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TreeCheckTest);

} // namespace papayashelf
