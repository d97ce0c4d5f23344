/**
    Measures what control messages cost between processes: processor time a message and memory a peer, over gRPC with
    mutual TLS on loopback. Prints one JSON line for each number of peers. Both ends run in this process, so the time
    is that of one sender and one receiver together.

    Usage: PeerCost
*/
#include "peers/codec/EnvelopeCodec.h"
#include "peers/transport/PeerTransport.h"
#include "standins/certificates/TestAuthority.h"
#include <boost/json/serialize.hpp>
#include <condition_variable>
#include <ctime>
#include <fstream>
#include <iostream>
#include <thread>

namespace papayashelf {

namespace {

constexpr std::uint64_t rounds = 100;
constexpr std::chrono::milliseconds roundTime { 50 };
constexpr std::chrono::seconds longestWait { 60 };

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::int64_t residentKilobytes()
{
    constexpr std::int64_t pageKilobytes = 4;
    std::ifstream file("/proc/self/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return resident * pageKilobytes;
}

/** Counts what arrives at all receivers. */
class Counter {
public:
    void add()
    {
        const std::scoped_lock lock(this->mutex);
        ++this->count;
        this->condition.notify_all();
    }

    bool waitFor(std::uint64_t wanted)
    {
        std::unique_lock lock(this->mutex);
        return this->condition.wait_for(lock, longestWait, [&] { return this->count >= wanted; });
    }

private:
    std::mutex mutex;
    std::condition_variable condition;
    std::uint64_t count = 0;
};

PeerTransportSettings settingsFor(const TestAuthority& authority, const std::string& vm)
{
    const IssuedCertificate issued = authority.issue(vm);
    PeerTransportSettings settings;
    settings.vm = VmId(vm);
    settings.listen = Endpoint { "127.0.0.1", 0 };
    settings.certificatePem = issued.certificatePem;
    settings.privateKeyPem = issued.privateKeyPem;
    settings.authorityPem = authority.getPem();
    return settings;
}

/** One VM with that many neighbours, heartbeats in rounds as in the running system, only faster. */
void measure(const TestAuthority& authority, std::size_t peers)
{
    Counter counter;
    std::vector<std::unique_ptr<PeerTransport>> receivers;
    std::vector<Endpoint> endpoints;
    for (std::size_t index = 0; index < peers; ++index) {
        receivers.push_back(std::make_unique<PeerTransport>(
            settingsFor(authority, "vm-" + std::to_string(index)), [&](wire::Envelope&&) { counter.add(); }));
        endpoints.push_back(receivers.back()->start().value());
    }
    PeerTransport sender(settingsFor(authority, "sender"), [](wire::Envelope&&) {});
    const EnvelopeSender self { VmId("sender"), 1, 1 };
    const auto sendRound = [&](std::uint64_t sequence) {
        const Heartbeat heartbeat { VmId("sender"), 1, sequence, false, 9, 1, 2, 3, std::string(40, '\xff') };
        for (std::size_t index = 0; index < peers; ++index)
            sender.send(VmId("vm-" + std::to_string(index)), endpoints[index],
                encodeEnvelope(self, MembershipMessage(heartbeat)));
    };
    const std::int64_t memoryBefore = residentKilobytes();
    const double connectBefore = processorSeconds();
    sendRound(0);
    const bool isConnected = counter.waitFor(peers);
    const double connectSeconds = processorSeconds() - connectBefore;
    const std::int64_t memory = residentKilobytes() - memoryBefore;
    const double before = processorSeconds();
    for (std::uint64_t round = 1; round <= rounds; ++round) {
        sendRound(round);
        std::this_thread::sleep_for(roundTime);
    }
    const bool isComplete = counter.waitFor(peers * (rounds + 1));
    const double seconds = processorSeconds() - before;
    const auto messages = static_cast<double>(peers * rounds);
    std::cout << boost::json::object { { "peers", peers }, { "complete", isConnected && isComplete },
        { "microseconds_per_message", seconds * 1e6 / messages },
        { "milliseconds_per_connection", connectSeconds * 1e3 / static_cast<double>(peers) },
        { "kilobytes_per_connection", memory / static_cast<std::int64_t>(peers) } }
              << std::endl;
}

} // namespace

} // namespace papayashelf

int main()
{
    const papayashelf::TestAuthority authority;
    for (const std::size_t peers : { 4, 8, 16, 32 })
        papayashelf::measure(authority, peers);
}
