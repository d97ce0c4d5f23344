#include "application/commands/ObserveCommands.h"

#include "application/commands/VmClient.h"
#include "timeline/timeline.h"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

namespace papayashelf {

namespace json = boost::json;

namespace {

/** One VM's answer, or why there is none. */
struct VmAnswer {
    std::string endpoint;
    Outcome<json::value> answer;
};

Outcome<std::vector<VmAnswer>> askEveryVm(const ObserveOptions& options, const HttpCall& question)
{
    if (options.vms.empty())
        return Error { ErrorCode::InvalidArgument, "give --vms=IP:PORT,..." };
    HttpCall call = question;
    BOOST_OUTCOME_TRY(call.bearer, readAdministrationKey(options.keyFile));
    std::vector<VmAnswer> answers;
    for (const std::string& vm : options.vms)
        answers.push_back(VmAnswer { vm, askVm(vm, call) });
    return answers;
}

ExitCode reportUsage(const Error& error)
{
    std::cerr << error.detail << "\n";
    return ExitCode::Usage;
}

/** Prints what could not be asked; Success if every VM answered. */
ExitCode reportSilentVms(const std::vector<VmAnswer>& answers)
{
    ExitCode code = ExitCode::Success;
    for (const VmAnswer& answer : answers) {
        if (answer.answer)
            continue;
        std::cerr << answer.endpoint << ": " << answer.answer.error().detail << "\n";
        code = ExitCode::Unavailable;
    }
    return code;
}

std::string textOf(const json::value& value)
{
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

std::string fieldOf(const json::value& object, std::string_view name)
{
    const json::value* found = object.is_object() ? object.as_object().if_contains(name) : nullptr;
    return found ? textOf(*found) : std::string("-");
}

void printColumns(const std::vector<std::pair<std::string, int>>& columns)
{
    for (const auto& [text, width] : columns)
        std::cout << std::left << std::setw(width) << text << " ";
    std::cout << "\n";
}

void printStatusLine(const json::value& status)
{
    const json::value* counters = status.as_object().if_contains("counters");
    const json::value none = json::object();
    const json::value& counted = counters ? *counters : none;
    const std::string state = fieldOf(status, "ready") == "true" ? fieldOf(status, "state") : "not_ready";
    printColumns({ { fieldOf(status, "vm"), 14 }, { fieldOf(status, "region"), 12 }, { fieldOf(status, "domain"), 14 },
        { state, 10 }, { fieldOf(status, "revision"), 8 }, { fieldOf(status, "revision_source"), 14 },
        { fieldOf(status, "share_epoch"), 6 }, { fieldOf(status, "requests"), 8 }, { fieldOf(counted, "finished"), 9 },
        { fieldOf(counted, "refused"), 8 } });
}

TimelineEvent readEvent(const json::value& value)
{
    const json::object& object = value.as_object();
    TimelineEvent event;
    event.logicalTime = object.at("logical_time").to_number<std::uint64_t>();
    event.vm = VmId(textOf(object.at("vm")));
    event.incarnation = object.at("incarnation").to_number<std::uint64_t>();
    event.sequence = object.at("sequence").to_number<std::uint64_t>();
    event.at = Milliseconds(object.at("time_ms").to_number<std::int64_t>());
    event.kind = textOf(object.at("kind"));
    for (const auto& detail : object.at("details").as_object())
        event.details.emplace_back(detail.key(), textOf(detail.value()));
    return event;
}

/** The events of one VM's answer; nothing if it is not the shape that a VM gives. */
std::vector<TimelineEvent> readEvents(const json::value& answer)
{
    std::vector<TimelineEvent> events;
    try {
        for (const json::value& value : answer.at("events").as_array())
            events.push_back(readEvent(value));
    } catch (const std::exception& failure) {
        std::cerr << "a time line could not be read: " << failure.what() << "\n";
    }
    return events;
}

void printEvent(const TimelineEvent& event, bool asJson)
{
    if (asJson) {
        json::object details;
        for (const auto& [name, value] : event.details)
            details[name] = value;
        std::cout << json::object { { "logical_time", event.logicalTime }, { "vm", event.vm.string() },
            { "time_ms", event.at.count() }, { "kind", event.kind }, { "details", details } }
                  << "\n";
        return;
    }
    std::cout << std::right << std::setw(8) << event.logicalTime << "  " << std::left << std::setw(14)
              << event.vm.string() << " " << std::setw(20) << event.kind;
    for (const auto& [name, value] : event.details)
        std::cout << " " << name << "=" << value;
    std::cout << "\n";
}

/** Prints what a VM knows of a withdrawal's reach; true if every region holds it. */
bool printReach(const json::value& answer)
{
    const json::value* regions = answer.is_object() ? answer.as_object().if_contains("regions") : nullptr;
    if (!regions || !regions->is_array())
        return false;
    bool isEverywhere = true;
    for (const json::value& region : regions->as_array()) {
        const bool isReached = fieldOf(region, "reached") == "true";
        isEverywhere = isEverywhere && isReached;
        std::cout << "region " << fieldOf(region, "region")
                  << (isReached ? ": withdrawn" : ": not reached, it may still accept the key") << "\n";
    }
    return isEverywhere;
}

bool isReachedEverywhere(const json::value& answer)
{
    return json::serialize(answer).find(R"("reached":false)") == std::string::npos;
}

/** Asks the VMs that took a withdrawal how far it has come, for some seconds or until it is everywhere. */
bool followReach(const ObserveOptions& options)
{
    constexpr int mostQuestions = 20;
    constexpr std::chrono::milliseconds betweenQuestions { 250 };
    const HttpCall question { "GET", "/v1/withdrawals?key_digest=" + options.digest, {}, {} };
    boost::asio::io_context context;
    for (int count = 1; count <= mostQuestions; ++count) {
        const auto answers = askEveryVm(options, question);
        if (!answers)
            return false;
        const auto known = std::find_if(answers.value().begin(), answers.value().end(),
            [](const VmAnswer& answer) { return answer.answer.has_value(); });
        const bool isKnown = known != answers.value().end();
        if (isKnown && (count == mostQuestions || isReachedEverywhere(known->answer.value())))
            return printReach(known->answer.value());
        boost::asio::steady_timer(context, betweenQuestions).wait();
    }
    return false;
}

} // namespace

ExitCode showStatus(const ObserveOptions& options)
{
    const auto answers = askEveryVm(options, HttpCall { "GET", "/v1/status", {}, {} });
    if (!answers)
        return reportUsage(answers.error());
    if (!options.asJson) {
        printColumns({ { "VM", 14 }, { "REGION", 12 }, { "DOMAIN", 14 }, { "STATE", 10 }, { "REVISION", 8 },
            { "FROM", 14 }, { "EPOCH", 6 }, { "REQUESTS", 8 }, { "FINISHED", 9 }, { "REFUSED", 8 } });
    }
    for (const VmAnswer& answer : answers.value()) {
        if (answer.answer && options.asJson)
            std::cout << json::serialize(answer.answer.value()) << "\n";
        else if (answer.answer)
            printStatusLine(answer.answer.value());
    }
    return reportSilentVms(answers.value());
}

ExitCode showTimeline(const ObserveOptions& options)
{
    const auto answers = askEveryVm(options, HttpCall { "GET", "/v1/timeline", {}, {} });
    if (!answers)
        return reportUsage(answers.error());
    std::vector<std::vector<TimelineEvent>> timelines;
    for (const VmAnswer& answer : answers.value()) {
        if (answer.answer)
            timelines.push_back(readEvents(answer.answer.value()));
    }
    for (const TimelineEvent& event : mergeTimelines(timelines))
        printEvent(event, options.asJson);
    return reportSilentVms(answers.value());
}

ExitCode showEntries(const ObserveOptions& options)
{
    const std::string target = options.workspace.empty() ? "/v1/entries" : "/v1/entries?workspace=" + options.workspace;
    const Outcome<json::value> answer = askVm(options.entry, HttpCall { "GET", target, {}, {} });
    if (!answer) {
        std::cerr << answer.error().detail << "\n";
        return answer.error().code == ErrorCode::InvalidArgument ? ExitCode::Usage : ExitCode::Unavailable;
    }
    const json::value* entries
        = answer.value().is_object() ? answer.value().as_object().if_contains("entries") : nullptr;
    if (options.asJson || !entries || !entries->is_array()) {
        std::cout << json::serialize(answer.value()) << "\n";
        return ExitCode::Success;
    }
    for (const json::value& entry : entries->as_array())
        printColumns(
            { { fieldOf(entry, "endpoint"), 22 }, { fieldOf(entry, "vm"), 14 }, { fieldOf(entry, "region"), 12 } });
    return ExitCode::Success;
}

ExitCode withdrawKey(const ObserveOptions& options)
{
    const std::string body = json::serialize(json::object { { "key_digest", options.digest } });
    const auto answers = askEveryVm(options, HttpCall { "POST", "/v1/withdrawals", body, {} });
    if (!answers)
        return reportUsage(answers.error());
    std::size_t taken = 0;
    for (const VmAnswer& answer : answers.value()) {
        if (answer.answer) {
            ++taken;
            std::cout << answer.endpoint << " has withdrawn the key and spreads it\n";
        }
    }
    reportSilentVms(answers.value());
    if (taken == 0)
        return ExitCode::Unavailable;
    return followReach(options) ? ExitCode::Success : ExitCode::NotEverywhere;
}

} // namespace papayashelf
