#include "peers/transport/PeerTransport.h"
#include "standins/certificates/TestAuthority.h"

#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/create_channel.h>
#include <thread>

namespace papayashelf {

namespace {

constexpr std::chrono::seconds failureDeadline { 20 };

/** Collects the received envelopes and lets a test wait for them. */
class ReceivedEnvelopes {
public:
    PeerTransport::Receiver receiver()
    {
        return [this](wire::Envelope&& envelope) {
            const std::scoped_lock lock(this->mutex);
            this->envelopes.push_back(std::move(envelope));
            this->arrival.notify_all();
        };
    }

    bool waitFor(std::size_t count)
    {
        std::unique_lock lock(this->mutex);
        return this->arrival.wait_for(lock, failureDeadline, [&] { return this->envelopes.size() >= count; });
    }

    bool isEmpty()
    {
        const std::scoped_lock lock(this->mutex);
        return this->envelopes.empty();
    }

    std::vector<wire::Envelope> envelopes;

private:
    std::mutex mutex;
    std::condition_variable arrival;
};

PeerTransportSettings makeSettings(
    const TestAuthority& authority, const std::string& vm, const std::string& certificateVm)
{
    const IssuedCertificate issued = authority.issue(certificateVm);
    PeerTransportSettings settings;
    settings.vm = VmId(vm);
    settings.listen = Endpoint { "127.0.0.1", 0 };
    settings.certificatePem = issued.certificatePem;
    settings.privateKeyPem = issued.privateKeyPem;
    settings.authorityPem = authority.getPem();
    settings.reconnectDelay = Milliseconds(0);
    return settings;
}

wire::Envelope makeHeartbeat(const std::string& vm, std::uint64_t sequence)
{
    wire::Envelope envelope;
    envelope.set_from_vm(vm);
    envelope.mutable_heartbeat()->set_sequence(sequence);
    return envelope;
}

} // namespace

class PeerTransportTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerTransportTest);
    CPPUNIT_TEST(testMessagesArriveInOrder);
    CPPUNIT_TEST(testRestartedVmIsReachable);
    CPPUNIT_TEST(testMessageWithForgedSenderIsRejected);
    CPPUNIT_TEST(testUntrustedCertificateIsRejected);
    CPPUNIT_TEST(testPortInUseIsRejected);
    CPPUNIT_TEST_SUITE_END();

    TestAuthority authority;

    void testMessagesArriveInOrder()
    {
        ReceivedEnvelopes inbox;
        PeerTransport receiver(makeSettings(this->authority, "vm-b", "vm-b"), inbox.receiver());
        const Endpoint endpoint = receiver.start().value();
        PeerTransport sender(makeSettings(this->authority, "vm-a", "vm-a"), [](wire::Envelope&&) {});
        for (std::uint64_t sequence = 0; sequence < 100; ++sequence)
            CPPUNIT_ASSERT(sender.send(VmId("vm-b"), endpoint, makeHeartbeat("vm-a", sequence)));
        CPPUNIT_ASSERT(inbox.waitFor(100));
        for (std::uint64_t sequence = 0; sequence < 100; ++sequence)
            CPPUNIT_ASSERT_EQUAL(sequence, std::uint64_t { inbox.envelopes[sequence].heartbeat().sequence() });
    }

    void testRestartedVmIsReachable()
    {
        // The first receiver ends the stream and the second may listen on another port, so the sender must open a new
        // stream to the same VM.
        PeerTransport sender(makeSettings(this->authority, "vm-a", "vm-a"), [](wire::Envelope&&) {});
        for (int restart = 0; restart < 2; ++restart) {
            ReceivedEnvelopes inbox;
            PeerTransport receiver(makeSettings(this->authority, "vm-b", "vm-b"), inbox.receiver());
            const Endpoint endpoint = receiver.start().value();
            CPPUNIT_ASSERT(this->sendUntilArrived(sender, endpoint, inbox));
            receiver.stop();
        }
    }

    void testMessageWithForgedSenderIsRejected()
    {
        ReceivedEnvelopes inbox;
        PeerTransport receiver(makeSettings(this->authority, "vm-b", "vm-b"), inbox.receiver());
        const Endpoint endpoint = receiver.start().value();
        // The impostor has a valid certificate for vm-c and sends messages in the name of vm-a.
        PeerTransport impostor(makeSettings(this->authority, "vm-a", "vm-c"), [](wire::Envelope&&) {});
        impostor.send(VmId("vm-b"), endpoint, makeHeartbeat("vm-a", 1));
        PeerTransport sender(makeSettings(this->authority, "vm-a", "vm-a"), [](wire::Envelope&&) {});
        CPPUNIT_ASSERT(sender.send(VmId("vm-b"), endpoint, makeHeartbeat("vm-a", 2)));
        CPPUNIT_ASSERT(inbox.waitFor(1));
        impostor.stop();
        receiver.stop();
        for (const wire::Envelope& envelope : inbox.envelopes)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, std::uint64_t { envelope.heartbeat().sequence() });
    }

    void testUntrustedCertificateIsRejected()
    {
        // The client's certificate names the right VM but is signed by an authority that the receiver does not trust.
        ReceivedEnvelopes inbox;
        PeerTransport receiver(makeSettings(this->authority, "vm-b", "vm-b"), inbox.receiver());
        const Endpoint endpoint = receiver.start().value();
        const TestAuthority otherAuthority;
        PeerTransportSettings untrustedSettings = makeSettings(otherAuthority, "vm-a", "vm-a");
        untrustedSettings.authorityPem = this->authority.getPem();
        PeerChannels channels(untrustedSettings);
        const auto stub = wire::PeerControl::NewStub(channels.getChannel(VmId("vm-b"), endpoint));
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + failureDeadline);
        wire::ControlSummary summary;
        const auto writer = stub->Send(&context, &summary);
        writer->Write(makeHeartbeat("vm-a", 1));
        writer->WritesDone();
        CPPUNIT_ASSERT(!writer->Finish().ok());
        CPPUNIT_ASSERT(inbox.envelopes.empty());
    }

    void testPortInUseIsRejected()
    {
        // gRPC sets SO_REUSEPORT by default, which would let two processes of one VM serve on the same port.
        PeerTransport first(makeSettings(this->authority, "vm-b", "vm-b"), [](wire::Envelope&&) {});
        const Endpoint endpoint = first.start().value();
        PeerTransportSettings settings = makeSettings(this->authority, "vm-b", "vm-b");
        settings.listen = endpoint;
        PeerTransport second(settings, [](wire::Envelope&&) {});
        CPPUNIT_ASSERT(!second.start());
    }

    /** Sends heartbeats until one arrives; delivery is best effort, so single messages may be lost. */
    bool sendUntilArrived(PeerTransport& sender, const Endpoint& endpoint, ReceivedEnvelopes& inbox)
    {
        const auto deadline = std::chrono::steady_clock::now() + failureDeadline;
        std::uint64_t sequence = 0;
        while (inbox.isEmpty() && std::chrono::steady_clock::now() < deadline) {
            sender.send(VmId("vm-b"), endpoint, makeHeartbeat("vm-a", ++sequence));
            std::this_thread::yield();
        }
        return inbox.waitFor(1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

} // namespace papayashelf
