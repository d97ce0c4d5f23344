/**
    Measures what the entrance adds: time per request, whole and streamed, against the same stand-in engine called
    direct in the same run; requests a second through one I/O thread; memory per open stream.

    OverheadMeasure [requests [callers [io-threads [streams]]]]

    Prints JSON lines; 0 streams leaves the memory out. Everything runs on the loopback address, for a bounded count of
   requests.
*/
#include "FastCaller.h"
#include "entrance/entrance.h"
#include "standins/engine/StandinEngine.h"

#include <algorithm>
#include <atomic>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sys/resource.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace papayashelf {

namespace {

/** What the command line says. */
struct Options {
    int requests = 20000; /**< For each figure. */
    int callers = 8; /**< At once. */
    int threads = 1; /**< I/O threads of the entrance. */
    int streams = 5000; /**< Most streams open at once. */
};

Options options;

using SteadyClock = std::chrono::steady_clock;

constexpr int streamedTokens = 32;
constexpr double microsecondsPerSecond = 1e6;

std::string chatRequest(bool isStreamed, int tokens)
{
    std::string body
        = R"({"model":"m","messages":[{"role":"user","content":"Which heat is mine, and when?"}],"max_tokens":)";
    body += std::to_string(tokens);
    body += isStreamed ? R"(,"stream":true})" : R"(,"stream":false})";
    std::string request = "POST /v1/chat/completions HTTP/1.1\r\nhost: g\r\nauthorization: Bearer a-benchmark-key\r\n";
    request += "content-type: application/json\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    return request;
}

/** Admits everything and starts one attempt for each request. */
class TrivialDecisions {
public:
    TrivialDecisions(const EntranceSettings& settings, std::vector<Endpoint> upstreams)
        : upstreams(std::move(upstreams))
        , server(settings, [this] { this->ring(); })
        , entry(this->server.start().value())
        , thread([this] { this->run(); })
    {
    }

    ~TrivialDecisions()
    {
        this->isStopping = true;
        this->ring();
        this->thread.join();
        this->server.stop();
    }

    TrivialDecisions(const TrivialDecisions&) = delete;
    TrivialDecisions& operator=(const TrivialDecisions&) = delete;

    const Endpoint& getEntry() const { return this->entry; }

private:
    void ring()
    {
        this->bell.fetch_add(1);
        this->bell.notify_one();
    }

    void run()
    {
        while (!this->isStopping) {
            const std::uint32_t rung = this->bell.load();
            bool isAny = false;
            for (std::size_t index = 0; index < this->server.getThreadCount(); ++index) {
                while (const auto report = this->server.takeReport(index)) {
                    this->decide(*report);
                    isAny = true;
                }
            }
            if (!isAny)
                this->bell.wait(rung);
        }
    }

    void decide(const RequestReport& report)
    {
        if (const auto* const arrival = std::get_if<RequestArrival>(&report)) {
            StartAttempt start;
            start.request = arrival->request;
            start.attempt = 1;
            start.endpoint = this->upstreams[this->next++ % this->upstreams.size()];
            start.kind = ServiceKind::ModelEngine;
            start.firstByteLimit = Milliseconds(600'000);
            start.betweenBytesLimit = Milliseconds(600'000);
            start.remaining = Milliseconds(3'600'000);
            this->direct(start);
        }
        if (const auto* const ended = std::get_if<AttemptEnded>(&report))
            this->direct(FinishRequest { ended->request });
    }

    void direct(const RequestDirective& directive)
    {
        const RequestId request = std::visit([](const auto& one) { return one.request; }, directive);
        while (!this->server.pushDirective(EntranceServer::threadOf(request), RequestDirective(directive)))
            std::this_thread::yield();
    }

    std::vector<Endpoint> upstreams;
    std::size_t next = 0;
    std::atomic<std::uint32_t> bell = 0;
    std::atomic<bool> isStopping = false;
    EntranceServer server;
    Endpoint entry;
    std::thread thread;
};

/** What one run of requests came to. */
struct Figures {
    double perSecond = 0;
    double p50Milliseconds = 0;
    double p99Milliseconds = 0;
};

/** Sends requests from several callers. @param perSecond  paced to this rate; 0 sends as fast as answers come */
Figures run(const std::vector<Endpoint>& endpoints, bool isStreamed, int requests, double perSecond)
{
    const int callers = options.callers;
    const std::string request = chatRequest(isStreamed, isStreamed ? streamedTokens : 1);
    const int each = requests / callers;
    std::vector<std::vector<double>> samples(static_cast<std::size_t>(callers));
    std::vector<std::thread> threads;
    const auto begin = SteadyClock::now();
    for (int index = 0; index < callers; ++index) {
        threads.emplace_back([&, index] {
            FastCaller caller(endpoints[static_cast<std::size_t>(index) % endpoints.size()]);
            auto& mine = samples[static_cast<std::size_t>(index)];
            for (int number = 0; number < each; ++number) {
                if (perSecond > 0) {
                    const double due = (number * callers + index) / perSecond * microsecondsPerSecond;
                    std::this_thread::sleep_until(begin + std::chrono::microseconds(static_cast<std::int64_t>(due)));
                }
                const auto sent = SteadyClock::now();
                caller.send(request);
                caller.readAnswer(isStreamed);
                mine.push_back(std::chrono::duration<double, std::milli>(SteadyClock::now() - sent).count());
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    const double seconds = std::chrono::duration<double>(SteadyClock::now() - begin).count();
    std::vector<double> all;
    for (const auto& mine : samples)
        all.insert(all.end(), mine.begin(), mine.end());
    std::sort(all.begin(), all.end());
    const auto at
        = [&all](double share) { return all[static_cast<std::size_t>(share * static_cast<double>(all.size() - 1))]; };
    return { static_cast<double>(all.size()) / seconds, at(0.5), at(0.99) };
}

void print(const boost::json::object& line)
{
    std::cout << boost::json::serialize(line) << std::endl;
}

double processorSeconds()
{
    rusage usage {};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

void measureTime(const std::vector<Endpoint>& engines, bool isStreamed)
{
    EntranceSettings settings;
    settings.threads = static_cast<std::size_t>(options.threads);
    TrivialDecisions gateway(settings, engines);
    const std::vector<Endpoint> entry { gateway.getEntry() };
    const int requests = options.requests / (isStreamed ? 4 : 1);
    run(entry, isStreamed, requests / 10, 0);
    const double directBefore = processorSeconds();
    const Figures directFull = run(engines, isStreamed, requests, 0);
    const double gatewayBefore = processorSeconds();
    const Figures full = run(entry, isStreamed, requests, 0);
    const double after = processorSeconds();
    const double half = full.perSecond / 2;
    const Figures direct = run(engines, isStreamed, requests, half);
    const Figures through = run(entry, isStreamed, requests, half);
    // The callers are in this process in both runs, so that their cost falls out of the difference.
    const double added = ((after - gatewayBefore) - (gatewayBefore - directBefore)) / requests * microsecondsPerSecond;
    print({ { "measure", isStreamed ? "streamed" : "whole" }, { "io_threads", options.threads },
        { "callers", options.callers }, { "requests", requests }, { "full_per_second", full.perSecond },
        { "direct_full_per_second", directFull.perSecond }, { "half_load_per_second", half },
        { "direct_p50_ms", direct.p50Milliseconds }, { "direct_p99_ms", direct.p99Milliseconds },
        { "p50_ms", through.p50Milliseconds }, { "p99_ms", through.p99Milliseconds },
        { "added_p50_ms", through.p50Milliseconds - direct.p50Milliseconds },
        { "added_p99_ms", through.p99Milliseconds - direct.p99Milliseconds },
        { "p50_ratio", through.p50Milliseconds / direct.p50Milliseconds }, { "added_cpu_us_per_request", added } });
}

double residentKibibytes()
{
    std::ifstream file("/proc/self/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1024;
}

/** Memory that a number of open and idle streams take in this process. */
double measureStreams(const Endpoint& endpoint, int streams)
{
    const std::string request = chatRequest(true, 1'000'000);
    std::vector<std::unique_ptr<FastCaller>> callers;
    callers.reserve(static_cast<std::size_t>(streams));
    const double before = residentKibibytes();
    for (int number = 0; number < streams; ++number) {
        callers.push_back(std::make_unique<FastCaller>(endpoint));
        callers.back()->send(request);
        callers.back()->readUntil("\"token\":1,");
    }
    return (residentKibibytes() - before) / streams;
}

void measureMemory(const Endpoint& silentEngine)
{
    TrivialDecisions gateway(EntranceSettings {}, { silentEngine });
    for (const int streams : { 1, 100, options.streams }) {
        const double direct = measureStreams(silentEngine, streams);
        const double through = measureStreams(gateway.getEntry(), streams);
        print({ { "measure", "memory" }, { "streams", streams }, { "callers_only_kib_per_stream", direct },
            { "kib_per_stream", through - direct } });
    }
}

/** An engine in a process of its own, ended with this object. */
class EngineProcess {
public:
    explicit EngineProcess(bool isSilent)
    {
        int ends[2] = { -1, -1 };
        if (::pipe(ends) != 0)
            std::_Exit(1);
        this->process = ::fork();
        if (this->process == 0)
            this->serve(ends[1], isSilent);
        std::uint16_t port = 0;
        if (::read(ends[0], &port, sizeof port) != sizeof port)
            std::_Exit(1);
        ::close(ends[0]);
        ::close(ends[1]);
        this->endpoint = Endpoint { "127.0.0.1", port };
    }

    ~EngineProcess()
    {
        ::kill(this->process, SIGTERM);
        ::waitpid(this->process, nullptr, 0);
    }

    EngineProcess(const EngineProcess&) = delete;
    EngineProcess& operator=(const EngineProcess&) = delete;

    const Endpoint& getEndpoint() const { return this->endpoint; }

private:
    [[noreturn]] void serve(int report, bool isSilent)
    {
        StandinEngineSettings settings;
        settings.batch.slots = 100'000;
        StandinEngine engine(settings);
        engine.getHttp().setRecording(false);
        if (isSilent)
            engine.getHttp().setFault({ StandinFault::GoSilent, 1, 1'000'000 });
        const std::uint16_t port = engine.start().port;
        if (::write(report, &port, sizeof port) != sizeof port)
            std::_Exit(1);
        while (true)
            ::pause();
    }

    pid_t process = 0;
    Endpoint endpoint;
};

void measureAll()
{
    std::vector<std::unique_ptr<EngineProcess>> engines;
    std::vector<Endpoint> endpoints;
    constexpr int engineCount = 3;
    for (int number = 0; number < engineCount; ++number) {
        engines.push_back(std::make_unique<EngineProcess>(false));
        endpoints.push_back(engines.back()->getEndpoint());
    }
    std::unique_ptr<EngineProcess> silent;
    if (options.streams > 0)
        silent = std::make_unique<EngineProcess>(true);
    measureTime(endpoints, false);
    measureTime(endpoints, true);
    if (silent)
        measureMemory(silent->getEndpoint());
}

} // namespace

} // namespace papayashelf

int main(int argumentCount, char** arguments)
{
    int* const fields[] = { &papayashelf::options.requests, &papayashelf::options.callers,
        &papayashelf::options.threads, &papayashelf::options.streams };
    for (int index = 1; index < argumentCount && index <= 4; ++index)
        *fields[index - 1] = std::atoi(arguments[index]);
    papayashelf::measureAll();
    return 0;
}
