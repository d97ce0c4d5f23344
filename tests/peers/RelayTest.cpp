#include "peers/relay/RelayCaller.h"
#include "peers/relay/RelayService.h"
#include "peers/transport/PeerTransport.h"
#include "standins/certificates/TestAuthority.h"

#include <atomic>
#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <future>

namespace papayashelf {

namespace {

constexpr std::chrono::seconds failureDeadline { 20 };
constexpr std::size_t windowBytes = std::size_t { 128 } * 1024;

PeerTransportSettings makeSettings(const TestAuthority& authority, const std::string& vm)
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

/** Reads an exchange on the test's thread and waits for each event. */
class ExchangeReader {
public:
    explicit ExchangeReader(std::shared_ptr<RelayExchange> source)
        : exchange(std::move(source))
    {
        this->exchange->setConsumerWake([this] {
            const std::scoped_lock lock(this->mutex);
            this->isWoken = true;
            this->condition.notify_all();
        });
    }

    /** Returns the next event; fails the test if none arrives before the deadline. */
    RelayAnswerEvent next()
    {
        while (true) {
            if (auto event = this->exchange->read())
                return std::move(*event);
            std::unique_lock lock(this->mutex);
            CPPUNIT_ASSERT(this->condition.wait_for(lock, failureDeadline, [this] { return this->isWoken; }));
            this->isWoken = false;
        }
    }

    /** Returns all remaining body bytes and the end of the answer. */
    std::pair<std::string, RelayAnswerEnd> readAll()
    {
        std::string bytes;
        while (true) {
            RelayAnswerEvent event = this->next();
            if (auto* end = std::get_if<RelayAnswerEnd>(&event))
                return { bytes, *end };
            if (auto* chunk = std::get_if<RelayAnswerBytes>(&event))
                bytes += chunk->bytes;
        }
    }

private:
    std::shared_ptr<RelayExchange> exchange;
    std::mutex mutex;
    std::condition_variable condition;
    bool isWoken = false;
};

/** Lets a test wait for the request that the other VM receives. */
class ReceivedRequests {
public:
    using ReceivedRequest = std::pair<RelayedRequest, std::shared_ptr<RelayExchange>>;

    RelayService::RequestHandler requestHandler()
    {
        return [this](RelayedRequest request, std::shared_ptr<RelayExchange> answer) {
            const std::scoped_lock lock(this->mutex);
            this->receivedRequest.emplace(std::move(request), std::move(answer));
            this->condition.notify_all();
        };
    }

    ReceivedRequest wait()
    {
        std::unique_lock lock(this->mutex);
        CPPUNIT_ASSERT(
            this->condition.wait_for(lock, failureDeadline, [this] { return this->receivedRequest.has_value(); }));
        return *this->receivedRequest;
    }

private:
    std::mutex mutex;
    std::condition_variable condition;
    std::optional<ReceivedRequest> receivedRequest;
};

} // namespace

class RelayTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(testRequestAndAnswerArriveComplete);
    CPPUNIT_TEST(testRefusalIsReturnedWithReason);
    CPPUNIT_TEST(testSlowConsumerBlocksProducer);
    CPPUNIT_TEST(testCancellationReachesOtherVm);
    CPPUNIT_TEST(testUnresponsiveVmTimesOut);
    CPPUNIT_TEST(testUnreachableVmYieldsNotSent);
    CPPUNIT_TEST(testStoppedVmTruncatesAnswer);
    CPPUNIT_TEST_SUITE_END();

    TestAuthority authority;
    ReceivedRequests receivedRequests;
    RelayService service { this->receivedRequests.requestHandler(), windowBytes, std::size_t { 4 } * 1024 * 1024 };
    std::unique_ptr<PeerTransport> target;
    std::unique_ptr<PeerTransport> origin;
    std::unique_ptr<RelayCaller> caller;
    std::shared_ptr<RelayExchange> exchange = std::make_shared<RelayExchange>(windowBytes);
    StartRelay directive;

public:
    void setUp() override
    {
        this->target = std::make_unique<PeerTransport>(makeSettings(this->authority, "vm-b"), [](wire::Envelope&&) {});
        this->origin = std::make_unique<PeerTransport>(makeSettings(this->authority, "vm-a"), [](wire::Envelope&&) {});
        this->caller = std::make_unique<RelayCaller>(VmId("vm-a"), this->origin->getChannels());
        this->directive.request = 5;
        this->directive.attempt = 1;
        this->directive.workspace = WorkspaceId("club");
        this->directive.vm = VmId("vm-b");
        this->directive.endpoint = this->target->start(&this->service).value();
        this->directive.resumeFromToken = 3;
        this->directive.firstByteLimit = Milliseconds::fromSeconds(20);
        this->directive.betweenBytesLimit = Milliseconds::fromSeconds(20);
        this->directive.remaining = Milliseconds::fromSeconds(60);
    }

    void tearDown() override
    {
        this->exchange->cancel();
        this->target->stop();
    }

private:
    static RelayedRequest makeRequest(const std::string& body)
    {
        RelayedRequest request;
        request.arrival.method = "POST";
        request.arrival.path = "/v1/chat/completions";
        request.arrival.model = ModelId("collie");
        request.arrival.maximumTokens = 50;
        request.arrival.prefixHashes = { 1, 0xFFFFFFFFFFFFFFFFULL };
        request.head.method = "POST";
        request.head.target = "/v1/chat/completions?x=1";
        request.head.headers = { { "content-type", "application/json" }, { "x-twice", "1" }, { "x-twice", "2" } };
        request.body = std::make_shared<const std::string>(body);
        return request;
    }

    void start(const std::string& body = "hello")
    {
        this->caller->start(this->directive, makeRequest(body), this->exchange);
    }

    void testRequestAndAnswerArriveComplete()
    {
        const std::string body(700'000, 'q');
        this->start(body);
        const auto [request, answer] = this->receivedRequests.wait();
        CPPUNIT_ASSERT(body == *request.body);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/chat/completions"), request.arrival.path);
        CPPUNIT_ASSERT(makeRequest("").head == request.head);
        CPPUNIT_ASSERT(makeRequest("").arrival.prefixHashes == request.arrival.prefixHashes);
        CPPUNIT_ASSERT(request.arrival.passedVms == std::vector<VmId> { VmId("vm-a") });
        CPPUNIT_ASSERT_EQUAL(std::string("club"), request.arrival.relayedFor.string());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 3 }, request.resumeFromToken);

        answer->write(RelayAnswerHead { 201, { { "x-one", "1" } } });
        answer->write(RelayAnswerBytes { std::string(100'000, 'a') });
        answer->write(RelayAnswerEnd { AttemptResult::Completed, std::nullopt });
        ExchangeReader reader(this->exchange);
        CPPUNIT_ASSERT((std::get<RelayAnswerHead>(reader.next()) == RelayAnswerHead { 201, { { "x-one", "1" } } }));
        const auto [bytes, end] = reader.readAll();
        CPPUNIT_ASSERT(std::string(100'000, 'a') == bytes);
        CPPUNIT_ASSERT(AttemptResult::Completed == end.result);
    }

    void testRefusalIsReturnedWithReason()
    {
        this->start();
        const RefuseRequest refusal { 0, RefusalCode::Overloaded, Ran::No, Milliseconds(700), "full" };
        this->receivedRequests.wait().second->write(RelayAnswerEnd { AttemptResult::RejectedBusy, refusal });
        const RelayAnswerEnd end = ExchangeReader(this->exchange).readAll().second;
        CPPUNIT_ASSERT((end == RelayAnswerEnd { AttemptResult::RejectedBusy, refusal }));
    }

    void testSlowConsumerBlocksProducer()
    {
        this->start();
        const auto answer = this->receivedRequests.wait().second;
        answer->write(RelayAnswerHead { 200, {} });
        // Like the entrance, the producer writes on whichever thread frees capacity, for as long as there is some.
        constexpr std::size_t totalBytes = std::size_t { 8 } * 1024 * 1024;
        const std::string chunk(std::size_t { 16 } * 1024, 'z');
        std::mutex mutex;
        std::size_t written = 0;
        std::atomic<bool> isProductionRequested = false;
        const auto writeWhileCapacityRemains = [&] {
            while (written < totalBytes && answer->getRoom() >= chunk.size()) {
                written += chunk.size();
                answer->write(RelayAnswerBytes { chunk });
                if (written == totalBytes)
                    answer->write(RelayAnswerEnd { AttemptResult::Completed, std::nullopt });
            }
        };
        // A wake must not block and may come from within a write. If the lock is taken, the thread that holds it
        // sees isProductionRequested and writes again.
        const auto produce = [&] {
            isProductionRequested = true;
            while (isProductionRequested) {
                const std::unique_lock lock(mutex, std::try_to_lock);
                if (!lock)
                    return;
                isProductionRequested = false;
                writeWhileCapacityRemains();
            }
        };
        answer->setProducerWake(produce);
        produce();
        ExchangeReader reader(this->exchange);
        CPPUNIT_ASSERT(std::holds_alternative<RelayAnswerHead>(reader.next()));
        // The test reads no further, so only two windows and gRPC's bounded buffers can hold data in transit.
        CPPUNIT_ASSERT(this->exchange->getRoom() <= windowBytes);
        {
            const std::scoped_lock lock(mutex);
            CPPUNIT_ASSERT(written < totalBytes);
        }
        const auto [bytes, end] = reader.readAll();
        CPPUNIT_ASSERT_EQUAL(totalBytes, bytes.size());
        CPPUNIT_ASSERT(AttemptResult::Completed == end.result);
        answer->setProducerWake({});
    }

    void testCancellationReachesOtherVm()
    {
        this->start();
        const auto answer = this->receivedRequests.wait().second;
        // A wake runs on a gRPC thread, which still uses this state after it has released the waiting test.
        struct Cancellation {
            std::promise<void> arrived;
            std::once_flag once;
        };
        const auto cancellation = std::make_shared<Cancellation>();
        const std::weak_ptr<RelayExchange> weakAnswer = answer;
        answer->setProducerWake([cancellation, weakAnswer] {
            const auto woken = weakAnswer.lock();
            if (woken && woken->isCancelled())
                std::call_once(cancellation->once, [&] { cancellation->arrived.set_value(); });
        });
        this->exchange->cancel();
        CPPUNIT_ASSERT(cancellation->arrived.get_future().wait_for(failureDeadline) == std::future_status::ready);
        answer->setProducerWake({});
    }

    void testUnresponsiveVmTimesOut()
    {
        this->directive.firstByteLimit = Milliseconds(50);
        this->start();
        CPPUNIT_ASSERT(AttemptResult::TimedOut == ExchangeReader(this->exchange).readAll().second.result);
    }

    void testUnreachableVmYieldsNotSent()
    {
        // NotSent states that the request never left this VM, so a refused connection must not be reported otherwise.
        this->target->stop();
        this->start();
        CPPUNIT_ASSERT(AttemptResult::NotSent == ExchangeReader(this->exchange).readAll().second.result);
    }

    void testStoppedVmTruncatesAnswer()
    {
        this->start();
        this->receivedRequests.wait().second->write(RelayAnswerHead { 200, {} });
        ExchangeReader reader(this->exchange);
        CPPUNIT_ASSERT(std::holds_alternative<RelayAnswerHead>(reader.next()));
        this->target->stop();
        CPPUNIT_ASSERT(AttemptResult::Truncated == reader.readAll().second.result);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace papayashelf
