#include "publication/ExampleTree.h"
#include "publication/collection/TreeCollection.h"
#include "publication/commands/Commands.h"
#include "publication/commands/VmStatusPolling.h"
#include "settings/settings.h"
#include "standins/network/ClosedPort.h"
#include "standins/platform/StandinPlatform.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace papayashelf {

namespace {

namespace filesystem = std::filesystem;

/** A directory of files that is removed again. */
class TemporaryTree {
public:
    explicit TemporaryTree(const TreeFiles& files)
    {
        std::string pattern = (filesystem::temp_directory_path() / "papayashelf-XXXXXX").string();
        this->root = mkdtemp(pattern.data());
        for (const auto& [name, text] : files)
            this->write(name, text);
    }
    ~TemporaryTree() { filesystem::remove_all(this->root); }
    TemporaryTree(const TemporaryTree&) = delete;
    TemporaryTree& operator=(const TemporaryTree&) = delete;

    void write(const std::string& name, const std::string& text) const
    {
        filesystem::create_directories((this->root / name).parent_path());
        std::ofstream(this->root / name) << text;
    }
    std::string path() const { return this->root.string(); }

private:
    filesystem::path root;
};

/** The platform's stand-in on a thread of its own. */
class PlatformThread {
public:
    PlatformThread()
        : platform(context)
        , service(platform.listen({ "127.0.0.1", 0 }).value())
        , thread([this] {
            const auto work = boost::asio::make_work_guard(this->context);
            this->context.run();
        })
    {
    }
    ~PlatformThread()
    {
        this->context.stop();
        this->thread.join();
    }
    PlatformThread(const PlatformThread&) = delete;
    PlatformThread& operator=(const PlatformThread&) = delete;

private:
    boost::asio::io_context context;
    StandinPlatform platform;

public:
    Endpoint service;

private:
    std::thread thread;
};

/** Answers each status call with the next revision, up to the last given. */
class StatusServer {
public:
    StatusServer(std::string region, std::vector<int> revisions)
        : region(std::move(region))
        , revisions(std::move(revisions))
        , acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , thread([this] { this->run(); })
    {
    }
    ~StatusServer()
    {
        this->isStopping = true;
        boost::asio::io_context own;
        boost::asio::ip::tcp::socket wake(own);
        boost::system::error_code ignored;
        wake.connect(this->acceptor.local_endpoint(), ignored);
        wake.close();
        this->thread.join();
    }
    StatusServer(const StatusServer&) = delete;
    StatusServer& operator=(const StatusServer&) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", this->acceptor.local_endpoint().port() }; }

private:
    void run()
    {
        for (std::size_t call = 0; !this->isStopping; ++call) {
            boost::asio::ip::tcp::socket socket(this->context);
            boost::system::error_code code;
            this->acceptor.accept(socket, code);
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", code);
            if (code)
                continue;
            const int revision = this->revisions[std::min(call, this->revisions.size() - 1)];
            std::ostringstream body;
            body << R"({"vm":"vm","region":")" << this->region << R"(","revision":)" << revision << "}";
            const bool hasKey = request.find("Authorization: Bearer admin-key\r\n") != std::string::npos;
            std::ostringstream head;
            head << (hasKey ? "HTTP/1.1 200 OK" : "HTTP/1.1 401 Unauthorized")
                 << "\r\nConnection: close\r\nContent-Length: " << body.str().size() << "\r\n\r\n";
            const std::string answer = head.str() + body.str();
            boost::asio::write(socket, boost::asio::buffer(answer), code);
        }
    }

    std::string region;
    std::vector<int> revisions;
    std::atomic<bool> isStopping = false;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::thread thread;
};

/** A command's exit code and what it printed. */
struct Run {
    int code = 0;
    std::string output;
    std::string errors;
};

Run check(const std::vector<std::string>& paths)
{
    std::ostringstream output;
    std::ostringstream errors;
    const int code = runCheck({ paths }, output, errors);
    return { code, output.str(), errors.str() };
}

Run publish(const PublishOptions& options)
{
    std::ostringstream output;
    std::ostringstream errors;
    const int code = runPublish(options, output, errors);
    return { code, output.str(), errors.str() };
}

PublishOptions optionsFor(const std::string& directory, const Endpoint& store)
{
    PublishOptions options;
    options.directory = directory;
    options.store = store;
    options.author = "ana";
    options.administrationKey = "admin-key";
    return options;
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class CommandTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CommandTest);
    CPPUNIT_TEST(testExamplesAreGood);
    CPPUNIT_TEST(testExampleVmsAgreeWithTheirTree);
    CPPUNIT_TEST(testCheckReportsEveryFaultOfEveryPath);
    CPPUNIT_TEST(testCollectionPassesOverWhatIsNotAnOperatorsFile);
    CPPUNIT_TEST(testPublishCommitsAndWaitsForEveryRegion);
    CPPUNIT_TEST(testPublishNamesVmsThatAreBehindOrNotReached);
    CPPUNIT_TEST(testPublishRefusesUpstreamsThatAreVms);
    CPPUNIT_TEST(testDryRunCommitsNothing);
    CPPUNIT_TEST(testWrongTreeDoesNotWithdrawEveryKey);
    CPPUNIT_TEST(testPublishWithoutAStore);
    CPPUNIT_TEST(testRefusedAdministrationKey);
    CPPUNIT_TEST(testMadeKeysDifferAndMatchTheirDigests);
    CPPUNIT_TEST_SUITE_END();

    void testExamplesAreGood()
    {
        for (const std::string directory : { "examples/trial-entries", "examples/espejo" }) {
            std::vector<std::string> paths { directory };
            for (const auto& entry : filesystem::directory_iterator(directory + "/vms"))
                paths.push_back(entry.path().string());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 8 }, paths.size());
            const Run run = check(paths);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(run.errors, 0, run.code);
        }
    }

    void testExampleVmsAgreeWithTheirTree()
    {
        for (const std::string directory : { "examples/trial-entries", "examples/espejo" }) {
            const auto tree = collectTree(directory);
            CPPUNIT_ASSERT(tree);
            const Governance& governance = tree.value().governance;
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, governance.regions.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, governance.workspaces.size());
            for (const auto& [id, workspace] : governance.workspaces)
                CPPUNIT_ASSERT(governance.keys.contains(KeyDigest(sha256Hex("example-key-" + id.string()))));
            std::set<Endpoint> endpoints;
            for (const auto& entry : filesystem::directory_iterator(directory + "/vms")) {
                const auto settings = loadSettings(entry.path().string());
                CPPUNIT_ASSERT(settings);
                const VmSettings& vm = settings.value();
                const auto& domains = governance.regions.at(vm.region).domains;
                CPPUNIT_ASSERT(std::find(domains.begin(), domains.end(), vm.domain) != domains.end());
                CPPUNIT_ASSERT(KeyDigest(sha256Hex("example-key-administration")) == vm.administration.keyDigest);
                for (const Endpoint& endpoint : { vm.entry.listen, vm.peer.listen, vm.administration.listen })
                    CPPUNIT_ASSERT(endpoints.insert(endpoint).second);
            }
        }
    }

    void testCheckReportsEveryFaultOfEveryPath()
    {
        const TemporaryTree tree(with(exampleTree(), "routes.gateway.toml", "/entries", "entries"));
        tree.write("vm.toml", "[vm]\nid = 1\n");
        const Run run = check({ tree.path(), tree.path() + "/vm.toml", tree.path() + "/none.toml" });
        CPPUNIT_ASSERT_EQUAL(1, run.code);
        CPPUNIT_ASSERT(contains(run.errors, "routes.gateway.toml:7:15: route.path_prefix is \"entries\""));
        CPPUNIT_ASSERT(contains(run.errors, "vm.toml:2:6: vm.id is 1"));
        CPPUNIT_ASSERT(contains(run.errors, "none.toml: the file cannot be read"));
        CPPUNIT_ASSERT_EQUAL(2, check({}).code);
    }

    void testCollectionPassesOverWhatIsNotAnOperatorsFile()
    {
        const TemporaryTree tree(exampleTree());
        tree.write("README.md", "text");
        tree.write("settings.toml", "not [ toml");
        tree.write(".cache/old.gateway.toml", "not [ toml");
        filesystem::create_symlink(tree.path() + "/README.md", tree.path() + "/link.gateway.toml");
        const auto collected = collectTree(tree.path());
        CPPUNIT_ASSERT(collected);
        CPPUNIT_ASSERT(checkTree(exampleTree()).value() == collected.value());
        tree.write("large.gateway.toml", std::string(largestOperatorFileBytes + 1, '#'));
        CPPUNIT_ASSERT(contains(collectTree(tree.path()).error().front().found, "the file has 262145 bytes"));
        CPPUNIT_ASSERT(contains(collectTree(tree.path() + "/none").error().front().found, "cannot be read"));
    }

    void testPublishCommitsAndWaitsForEveryRegion()
    {
        const TemporaryTree tree(exampleTree());
        const PlatformThread platform;
        const StatusServer north("north", { 0, 0, 0, 1 });
        const StatusServer south("south", { 0, 1 });
        PublishOptions options = optionsFor(tree.path(), platform.service);
        options.administration = { north.endpoint(), south.endpoint() };
        options.wait = Milliseconds::fromSeconds(60);
        const Run run = publish(options);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(run.errors, 0, run.code);
        CPPUNIT_ASSERT(contains(run.output, "+ workspace club\n"));
        CPPUNIT_ASSERT(contains(run.output, "revision 1: committed"));
        CPPUNIT_ASSERT(contains(run.output, "region north: in force at 1 VMs asked"));
        CPPUNIT_ASSERT(contains(run.output, "region south: in force at 1 VMs asked"));
    }

    void testPublishNamesVmsThatAreBehindOrNotReached()
    {
        const TemporaryTree tree(exampleTree());
        const PlatformThread platform;
        const StatusServer north("north", { 0 });
        const ClosedPort port;
        const Endpoint closed = port.getEndpoint();
        PublishOptions options = optionsFor(tree.path(), platform.service);
        options.administration = { north.endpoint(), closed };
        options.wait = Milliseconds(1);
        const Run run = publish(options);
        CPPUNIT_ASSERT_EQUAL(6, run.code);
        CPPUNIT_ASSERT(contains(run.errors, north.endpoint().string() + ": region north still has revision 0"));
        CPPUNIT_ASSERT(contains(run.errors, closed.string() + ": not reached"));
    }

    void testPublishRefusesUpstreamsThatAreVms()
    {
        const TemporaryTree tree(exampleTree());
        const PlatformThread platform;
        PublishOptions options = optionsFor(tree.path(), platform.service);
        options.administration = { { "127.0.0.1", 23001 } };
        const Run run = publish(options);
        CPPUNIT_ASSERT_EQUAL(1, run.code);
        CPPUNIT_ASSERT(contains(run.errors, "the upstream a-1 is at 127.0.0.1:23001, a VM of the system itself"));
    }

    void testDryRunCommitsNothing()
    {
        const TemporaryTree tree(exampleTree());
        const PlatformThread platform;
        PublishOptions options = optionsFor(tree.path(), platform.service);
        options.isDryRun = true;
        CPPUNIT_ASSERT_EQUAL(0, publish(options).code);
        options.isDryRun = false;
        CPPUNIT_ASSERT(contains(publish(options).output, "revision 1: committed"));
        CPPUNIT_ASSERT(contains(publish(options).output, "revision 1: unchanged"));
    }

    void testWrongTreeDoesNotWithdrawEveryKey()
    {
        const TemporaryTree tree(exampleTree());
        const PlatformThread platform;
        CPPUNIT_ASSERT_EQUAL(0, publish(optionsFor(tree.path(), platform.service)).code);
        tree.write("club/keys.gateway.toml", "[keys]\nworkspace = \"club\"\n");
        tree.write("shop/keys.gateway.toml", "[keys]\nworkspace = \"shop\"\n");
        PublishOptions options = optionsFor(tree.path(), platform.service);
        const Run refused = publish(options);
        CPPUNIT_ASSERT_EQUAL(1, refused.code);
        CPPUNIT_ASSERT(contains(refused.errors, "keeps none of the keys in force"));
        options.mayWithdrawEveryKey = true;
        CPPUNIT_ASSERT(contains(publish(options).output, "revision 2: committed"));
    }

    void testPublishWithoutAStore()
    {
        const TemporaryTree tree(exampleTree());
        const ClosedPort port;
        const Endpoint closed = port.getEndpoint();
        CPPUNIT_ASSERT_EQUAL(4, publish(optionsFor(tree.path(), closed)).code);
        CPPUNIT_ASSERT_EQUAL(2, publish(optionsFor(tree.path(), {})).code);
        tree.write("club/workspace.gateway.toml", "[workspace]\n");
        CPPUNIT_ASSERT_EQUAL(1, publish(optionsFor(tree.path(), closed)).code);
    }

    void testRefusedAdministrationKey()
    {
        const StatusServer north("north", { 4 });
        const Milliseconds timeout = Milliseconds::fromSeconds(30);
        const Endpoint vm = north.endpoint();
        CPPUNIT_ASSERT((VmStatus { VmId("vm"), RegionId("north"), 4 })
            == askVmStatuses({ vm }, "admin-key", timeout).at(vm).value());
        CPPUNIT_ASSERT(ErrorCode::InvalidArgument == askVmStatuses({ vm }, "other", timeout).at(vm).error().code);
        for (const std::string body : { "", "{}", R"({"region":"north"})", R"({"region":"north","revision":-1})" })
            CPPUNIT_ASSERT(ErrorCode::Damaged == decodeVmStatus(body).error().code);
    }

    void testMadeKeysDifferAndMatchTheirDigests()
    {
        std::set<std::string> keys;
        for (int index = 0; index < 3; ++index) {
            std::ostringstream output;
            CPPUNIT_ASSERT_EQUAL(0, runMakeKey(output, output));
            std::istringstream words(output.str());
            std::string name;
            std::string key;
            std::string digest;
            words >> name >> key >> name >> digest;
            CPPUNIT_ASSERT_EQUAL(std::size_t { 64 }, key.size());
            CPPUNIT_ASSERT_EQUAL(sha256Hex(key), digest);
            CPPUNIT_ASSERT(keys.insert(key).second);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandTest);

} // namespace papayashelf
