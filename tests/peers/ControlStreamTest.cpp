#include "peers/transport/ControlStream.h"

#include "peers/transport/PeerTransport.h"
#include "standins/certificates/TestAuthority.h"
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace papayashelf {

/** Streams that end while their last message is on its way. */
class ControlStreamTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ControlStreamTest);
    CPPUNIT_TEST(testStreamEndsIfCancelledAsItsMessageArrives);
    CPPUNIT_TEST_SUITE_END();

public:
    // The write has then succeeded, and its callback may come before or after the cancellation. A stream that does not
    // end is never destroyed, and the channels that it uses wait for it.
    void testStreamEndsIfCancelledAsItsMessageArrives()
    {
        std::atomic<int> arrived = 0;
        PeerTransport receiver(this->makeSettings("vm-b"), [&arrived](wire::Envelope&&) { ++arrived; });
        const Endpoint endpoint = receiver.start().value();
        PeerChannels channels(this->makeSettings("vm-a"));
        for (int round = 1; round <= rounds; ++round) {
            const auto stream = ControlStream::open(
                channels, VmId("vm-b"), endpoint, 1, std::chrono::system_clock::now() + 10 * patience);
            CPPUNIT_ASSERT(stream->send(makeHeartbeat()));
            CPPUNIT_ASSERT(waitUntil([&] { return arrived == round; }));
            stream->cancel();
            const bool hasEnded = waitUntil([&] { return stream->hasEnded(); });
            if (!hasEnded)
                stream->send(makeHeartbeat()); // Fails and ends the stream, so that the test can end.
            CPPUNIT_ASSERT_MESSAGE("round " + std::to_string(round), hasEnded);
        }
    }

private:
    static constexpr int rounds = 2'000;
    static constexpr std::chrono::seconds patience { 20 };

    PeerTransportSettings makeSettings(const std::string& vm) const
    {
        const IssuedCertificate issued = this->authority.issue(vm);
        PeerTransportSettings settings;
        settings.vm = VmId(vm);
        settings.listen = Endpoint { "127.0.0.1", 0 };
        settings.certificatePem = issued.certificatePem;
        settings.privateKeyPem = issued.privateKeyPem;
        settings.authorityPem = this->authority.getPem();
        return settings;
    }

    static wire::Envelope makeHeartbeat()
    {
        wire::Envelope envelope;
        envelope.set_from_vm("vm-a");
        envelope.mutable_heartbeat()->set_sequence(1);
        return envelope;
    }

    template <typename Condition> static bool waitUntil(const Condition& condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < deadline)
            std::this_thread::yield();
        return condition();
    }

    TestAuthority authority;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlStreamTest);

} // namespace papayashelf
