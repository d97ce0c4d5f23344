#include "application/commands/ServeCommand.h"

#include "application/runtime/Runtime.h"
#include "foundation/logging/JsonLog.h"
#include "settings/settings.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <thread>

namespace papayashelf {

namespace {

/** Hands each signal to the runtime, on a thread of its own. */
class SignalThread {
public:
    explicit SignalThread(Runtime& stopped)
        : runtime(stopped)
        , signals(context, SIGTERM, SIGINT)
    {
        this->waitForNext();
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~SignalThread()
    {
        this->context.stop();
        this->thread.join();
    }

    SignalThread(const SignalThread&) = delete;
    SignalThread& operator=(const SignalThread&) = delete;

private:
    void waitForNext()
    {
        this->signals.async_wait([this](boost::system::error_code failure, int number) {
            if (failure)
                return;
            logEvent(LogLevel::Info, "signal", { { "number", number } });
            this->runtime.requestStop();
            this->waitForNext();
        });
    }

    Runtime& runtime;
    boost::asio::io_context context { 1 };
    boost::asio::signal_set signals;
    std::thread thread;
};

} // namespace

ExitCode runServe(const std::string& settingsPath)
{
    const auto settings = loadSettings(settingsPath);
    if (!settings) {
        for (const Fault& fault : settings.error())
            std::cerr << fault.string() << "\n";
        return ExitCode::FaultsFound;
    }
    if (settings.value().policy.shares != SharePolicy::Escrow) {
        std::cerr << settingsPath << ": policy.shares: fixed_fractions is only played by the share benchmark\n";
        return ExitCode::FaultsFound;
    }
    startJsonLog("papayashelf", settings.value().logLevel);
    setCommonLogFields({ { "vm", settings.value().vm.string() }, { "region", settings.value().region.string() } });
    Runtime runtime(settings.value());
    const Outcome<void> started = runtime.start();
    if (!started) {
        logEvent(LogLevel::Error, "not_started", { { "detail", started.error().detail } });
        return ExitCode::FaultsFound;
    }
    {
        const SignalThread signals(runtime);
        runtime.waitUntilEnded();
    }
    runtime.stop();
    logEvent(LogLevel::Info, "stopped");
    return ExitCode::Success;
}

} // namespace papayashelf
