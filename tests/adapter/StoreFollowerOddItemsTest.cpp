#include "adapter/StoreFollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <thread>
#include <unistd.h>

namespace papayashelf {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::vector<std::string> oddItems { "7", "null", "[]", "{}", R"({"key":7})", R"({"key":"odd","value":""})",
    R"({"key":"odd","revision":1e400,"value":""})", R"({"key":"odd","revision":18446744073709551615,"value":""})",
    R"({"key":"odd","revision":1,"value":7})", "{\"key\":\"odd\xff\",\"revision\":1,\"value\":\"\"}",
    std::string(100, '[') + std::string(100, ']') };

std::string joinOddItems()
{
    std::string joined;
    for (const std::string& item : oddItems)
        joined.append(item).append(",");
    return joined;
}

/** Answers the first call with one page and the second one with one change, each with odd elements in front. */
void serveOnce(tcp::acceptor& acceptor)
{
    boost::system::error_code ignored;
    tcp::socket socket = acceptor.accept(ignored);
    for (const std::string& body :
        { R"({"store_revision":5,"items":[)" + joinOddItems() + R"({"key":"page","revision":5,"value":"YQ=="}]})",
            R"({"store_revision":6,"events":[)" + joinOddItems()
                + R"({"key":"watch","revision":6,"value":"YQ=="}]})" }) {
        std::array<char, 1024> request {};
        socket.read_some(asio::buffer(request), ignored);
        asio::write(socket,
            asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body),
            ignored);
    }
}

} // namespace

class StoreFollowerOddItemsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StoreFollowerOddItemsTest);
    CPPUNIT_TEST(testOddItemsDoNotHideTheOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    void testOddItemsDoNotHideTheOthers()
    {
        asio::io_context storeContext;
        tcp::acceptor acceptor(storeContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        std::jthread server([&acceptor] { serveOnce(acceptor); });
        const int sink = ::open("/dev/null", O_WRONLY);
        {
            DecisionLog log(sink);
            asio::io_context context;
            std::set<std::string> applied;
            StoreFollowerCallbacks callbacks;
            callbacks.onItem = [&](const StoreItem& item) {
                applied.insert(item.key);
                if (applied.contains("watch"))
                    context.stop();
            };
            callbacks.onRestored = [](StorePosition) {};
            callbacks.onProgress = [](StorePosition) {};
            callbacks.onFreshnessConfirmed = [](Milliseconds, StorePosition) {};
            callbacks.needsFrequentConfirmation = [] { return true; };
            StoreEra era;
            StoreFollower follower(
                context.get_executor(), { "127.0.0.1", acceptor.local_endpoint().port() }, era, "", callbacks, log);
            asio::co_spawn(context, follower.run(), asio::detached);
            context.run_for(std::chrono::seconds(3));
            CPPUNIT_ASSERT(applied.contains("page") && applied.contains("watch"));
        }
        ::close(sink);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFollowerOddItemsTest);

} // namespace papayashelf
