#include "application/runtime/PlatformThread.h"

#include "foundation/logging/JsonLog.h"
#include "platform/http/HttpKeyValueClient.h"
#include "platform/http/HttpVmListClient.h"
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

constexpr std::size_t waitingCalls = 4096;

} // namespace

struct PlatformThread::State {
    State(const PlatformSettings& platformSettings, Milliseconds period, ReplyHandler replies, VmListHandler lists)
        : settings(platformSettings)
        , vmListPeriod(period)
        , onReply(std::move(replies))
        , onList(std::move(lists))
        , store(context, platformSettings.store)
        , vms(context, platformSettings.vmList)
    {
    }

    void drain();
    void readList();
    void takeList(Outcome<VmList> list);

    const PlatformSettings settings;
    const Milliseconds vmListPeriod;
    const ReplyHandler onReply;
    const VmListHandler onList;
    asio::io_context context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work { context.get_executor() };
    asio::steady_timer listTimer { context };
    HttpKeyValueClient store;
    HttpVmListClient vms;
    Ring<StoreCall> calls { waitingCalls };
    std::atomic<bool> isDrainPosted = false;
    bool couldReadList = true;
    std::thread thread;
};

void PlatformThread::State::drain()
{
    this->isDrainPosted = false;
    while (std::optional<StoreCall> next = this->calls.pop()) {
        const std::uint64_t number = next->call;
        this->store.call(next->request, this->settings.callTimeout,
            [this, number](StoreReply reply) { this->onReply(number, std::move(reply)); });
    }
}

void PlatformThread::State::readList()
{
    this->vms.read(this->settings.callTimeout, [this](Outcome<VmList> list) { this->takeList(std::move(list)); });
}

void PlatformThread::State::takeList(Outcome<VmList> list)
{
    if (list.has_value() != this->couldReadList) {
        this->couldReadList = list.has_value();
        const std::string detail = list ? std::string("readable again") : list.error().detail;
        logEvent(list ? LogLevel::Info : LogLevel::Warning, "vm_list", { { "detail", detail } });
    }
    if (list)
        this->onList(std::move(list).value());
    this->listTimer.expires_after(std::chrono::milliseconds(this->vmListPeriod.count()));
    this->listTimer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            this->readList();
    });
}

PlatformThread::PlatformThread(
    const PlatformSettings& settings, Milliseconds vmListPeriod, ReplyHandler onReply, VmListHandler onList)
    : state(std::make_unique<State>(settings, vmListPeriod, std::move(onReply), std::move(onList)))
{
}

PlatformThread::~PlatformThread()
{
    this->stop();
}

void PlatformThread::start()
{
    asio::post(this->state->context, [state = this->state.get()] { state->readList(); });
    this->state->thread = std::thread([state = this->state.get()] { state->context.run(); });
}

void PlatformThread::stop()
{
    this->state->context.stop();
    if (this->state->thread.joinable())
        this->state->thread.join();
}

void PlatformThread::call(StoreCall&& call)
{
    const std::uint64_t number = call.call;
    if (!this->state->calls.push(std::move(call))) {
        this->state->onReply(number, Error { ErrorCode::Unavailable, "too many calls to the store are waiting" });
        return;
    }
    if (!this->state->isDrainPosted.exchange(true))
        asio::post(this->state->context, [state = this->state.get()] { state->drain(); });
}

} // namespace papayashelf
