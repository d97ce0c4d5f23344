#include "serving/ServingHarness.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/TestAssert.h>
#include <future>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

const ServiceId service("service");
const ServiceId remoteService("remote-service"); /**< Has upstreams in other regions only. */

ServingRoute makeRoute(const std::string& prefix, bool isRetryable, bool isStream)
{
    ServingRoute route;
    route.id = RouteId(prefix);
    route.host = "h.example";
    route.pathPrefix = prefix;
    route.services = { { service, 1 } };
    route.isStream = isStream;
    route.isRetryable = isRetryable;
    route.isResumable = isStream && isRetryable;
    route.timeout = Milliseconds(2000);
    route.latencyTarget = Milliseconds(300);
    route.maximumAttempts = 2;
    return route;
}

} // namespace

int RawAnswer::getStatus() const
{
    return this->text.size() < 12 ? 0 : std::stoi(this->text.substr(9, 3));
}

bool RawAnswer::isComplete() const
{
    const std::size_t end = this->text.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    const std::string body = this->text.substr(end + 4);
    if (this->has("Transfer-Encoding: chunked"))
        return body.ends_with("0\r\n\r\n");
    const std::size_t length = this->text.find("Content-Length: ");
    return length != std::string::npos && std::stoul(this->text.substr(length + 16)) == body.size();
}

GatewaySettings ServingHarness::makeSettings(double retryRatio, Milliseconds stopGrace)
{
    GatewaySettings settings;
    settings.vm = VmId("vm-1");
    settings.region = RegionId("north");
    settings.failureDomain = FailureDomainId("north-a");
    const Endpoint any { "127.0.0.1", 0 };
    settings.listeners = { any, any, any, any, any };
    settings.bounds.retryRatio = retryRatio;
    settings.bounds.stopGrace = stopGrace;
    // The tests follow no store, so the configuration that they apply must count as fresh for as long as they run.
    settings.bounds.keyWithdrawal = Milliseconds::fromSeconds(600);
    return settings;
}

ServingDocument ServingHarness::makeDocument()
{
    ServingDocument document;
    document.version = 1;
    document.routes = { makeRoute("/once/", false, false), makeRoute("/again/", true, false),
        makeRoute("/stream/once/", false, true), makeRoute("/stream/again/", true, true),
        makeRoute("/remote/", true, false), makeRoute("/stream/patient/", true, true) };
    document.routes[4].services = { { remoteService, 1 } };
    document.routes.back().maximumEventGap = SealedUpstream::longestUsualPause;
    document.routes.push_back(makeRoute("/many/", true, false));
    document.routes.back().maximumAttempts = 8;
    ServingService engines;
    engines.id = service;
    engines.coldRequestsPerSecond = coldRequestsPerSecond;
    engines.coldDuration = coldDuration;
    engines.healthPath = std::string(SealedUpstream::healthPath);
    document.services = { engines };
    ServingWorkspace workspace;
    workspace.id = WorkspaceId("members");
    workspace.keys = { "secret-key" };
    ServingWorkspace counted;
    counted.id = WorkspaceId("counted");
    counted.keys = { "counted-key" };
    counted.unitsPerSecond = 100;
    counted.burstUnits = 1000;
    counted.countsTokens = true;
    document.workspaces = { workspace, counted };
    return document;
}

ServingHarness::ServingHarness(double retryRatio, int upstreamCount, Milliseconds stopGrace)
    : process(std::make_unique<GatewayProcess>(makeSettings(retryRatio, stopGrace), wire::makeHeaderNames()))
{
    const auto nothing = [](std::string_view) { return SimpleHttpResponse {}; };
    CPPUNIT_ASSERT(this->process->open({ nothing, nothing, [] {}, [] {}, [](const QuarantineChange&) {} }));
    this->process->getCore().applyConfiguration(makeDocument());
    this->process->getCore().noteConfigurationConfirmation(this->process->getClock().now());
    for (int number = 1; number <= upstreamCount; ++number)
        this->addUpstream("u-" + std::to_string(number), this->upstreams.emplace_back().start());
    this->addVmOfOtherRegion("south", this->upstreams[0].getEndpoint());
    this->addVmOfOtherRegion("west", this->upstreams[1].getEndpoint());
    this->thread = std::thread([this] {
        this->process->run();
        const std::scoped_lock lock(this->mutex);
        this->process.reset(); // Closes the connections, as the end of the program does.
    });
}

ServingHarness::~ServingHarness()
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->process)
            this->process->stop();
    }
    this->awaitEnd();
}

void ServingHarness::setEventsBeforeCrash(int events)
{
    for (SealedUpstream& upstream : this->upstreams)
        upstream.setEventsBeforeCrash(events);
}

void ServingHarness::setLimits(const CallerLimits& limits)
{
    ServingDocument document = makeDocument();
    document.version = ++this->configurationVersion;
    document.limits = limits;
    std::promise<void> applied;
    asio::post(this->process->getContext(), [this, &document, &applied] {
        this->process->getCore().applyConfiguration(document);
        applied.set_value();
    });
    applied.get_future().wait();
}

bool ServingHarness::hasEnded(const UpstreamId& upstream)
{
    std::promise<bool> ended;
    asio::post(this->process->getContext(), [this, &upstream, &ended] {
        const KnownUpstream* known = this->process->getCore().getUpstreams().find(upstream);
        ended.set_value(known && known->hasEnded());
    });
    return ended.get_future().get();
}

std::string ServingHarness::readMetrics()
{
    std::promise<std::string> metrics;
    asio::post(this->process->getContext(), [this, &metrics] { metrics.set_value(this->process->formatMetrics()); });
    return metrics.get_future().get();
}

void ServingHarness::beginStopping()
{
    std::promise<void> begun;
    asio::post(this->process->getContext(), [this, &begun] {
        this->process->beginStopping();
        begun.set_value();
    });
    begun.get_future().wait();
}

void ServingHarness::awaitEnd()
{
    if (this->thread.joinable())
        this->thread.join();
}

void ServingHarness::addUpstream(const std::string& id, const Endpoint& endpoint)
{
    UpstreamRecord record;
    record.id = UpstreamId(id);
    record.service = service;
    record.region = RegionId("north");
    record.failureDomain = FailureDomainId("north-a");
    record.endpoint = endpoint;
    record.slots = 8;
    record.version = SoftwareVersion("v1");
    this->process->getCore().getUpstreams().put(this->process->getClock().now(), record);
}

void ServingHarness::addVmOfOtherRegion(const std::string& otherRegion, const Endpoint& relays)
{
    GatewayCore& core = this->process->getCore();
    VmAnnouncement vm;
    vm.vm = VmId("vm-" + otherRegion);
    vm.region = RegionId(otherRegion);
    vm.failureDomain = FailureDomainId(otherRegion + "-a");
    vm.callers = vm.relays = relays;
    vm.isReady = vm.takesRequests = true;
    core.putVm(vm);
    UpstreamRecord record;
    record.id = UpstreamId("u-" + otherRegion);
    record.service = remoteService;
    record.region = vm.region;
    record.failureDomain = vm.failureDomain;
    record.slots = 8;
    core.getUpstreams().put(this->process->getClock().now(), record);
}

std::string ServingHarness::makeHead(
    const std::string& method, const std::string& path, const std::string& id, const std::string& more)
{
    return method + ' ' + path + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id
        + "\r\nAuthorization: Bearer secret-key\r\nDeadline-Ms: 3000\r\nConnection: close\r\n" + more;
}

asio::ip::tcp::socket ServingHarness::connect(const Endpoint& to) const
{
    asio::ip::tcp::socket socket(this->clients);
    socket.connect({ asio::ip::make_address(to.address), to.port });
    return socket;
}

RawAnswer ServingHarness::call(const std::string& head, const std::string& body) const
{
    asio::ip::tcp::socket socket = this->connect(this->process->getCallersEndpoint());
    std::string text = head;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    asio::write(socket, asio::buffer(text + "\r\n" + body));
    return readAnswer(socket);
}

RawAnswer ServingHarness::relay(const std::string& key, const std::string& forService) const
{
    asio::ip::tcp::socket socket = this->connect(this->process->getRelaysEndpoint());
    asio::write(socket,
        asio::buffer(makeHead("GET", "/once/x", "id-1",
            "papayashelf-relay-key: " + key + "\r\npapayashelf-service: " + forService + "\r\n\r\n")));
    return readAnswer(socket);
}

RawAnswer ServingHarness::readAnswer(asio::ip::tcp::socket& socket)
{
    RawAnswer answer;
    boost::system::error_code ended;
    asio::read(socket, asio::dynamic_buffer(answer.text), ended);
    return answer;
}

std::vector<StandinRequest> ServingHarness::getArrivals() const
{
    std::vector<StandinRequest> all;
    for (const SealedUpstream& upstream : this->upstreams) {
        const auto some = upstream.getRequests();
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

} // namespace papayashelf
