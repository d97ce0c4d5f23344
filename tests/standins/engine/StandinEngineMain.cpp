/** Runs a model engine until it is told to stop: standin_engine --port=N --models=a,b; see --help for the rest. */
#include "standins/engine/StandinEngine.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on.");
ABSL_FLAG(int, port, 0, "Port to listen on; 0 takes a free one.");
ABSL_FLAG(std::vector<std::string>, models, {}, "Models loaded at the start; none serves any model.");
ABSL_FLAG(bool, checks_fencing, true, "Whether orders with an old fencing number are refused.");
ABSL_FLAG(int, slots, 8, "Requests generated at once.");
ABSL_FLAG(int, step_us, 2000, "A step of an empty batch, in microseconds.");
ABSL_FLAG(int, step_us_per_request, 200, "On top for each request in the batch.");
ABSL_FLAG(int, step_us_per_1000_context_tokens, 50, "On top for all their context together.");
ABSL_FLAG(int, prefill_us_per_token, 20, "For each prompt token that is not in the cache.");
ABSL_FLAG(int, cache_blocks, 1024, "Prefix blocks that the cache holds.");
ABSL_FLAG(int, report_lag_ms, 500, "Age of what a load report says, in milliseconds.");
ABSL_FLAG(double, event_loss, 0.02, "Share of cache events that are never told, 0 to 1.");
ABSL_FLAG(int, seed, 1, "Seed of the losses.");

int main(int argumentCount, char** arguments)
{
    absl::ParseCommandLine(argumentCount, arguments);
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    papayashelf::StandinEngineSettings settings;
    settings.listen = { absl::GetFlag(FLAGS_address), static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)) };
    const auto models = absl::GetFlag(FLAGS_models);
    settings.models = { models.begin(), models.end() };
    settings.checksFencing = absl::GetFlag(FLAGS_checks_fencing);
    settings.batch.slots = static_cast<std::size_t>(absl::GetFlag(FLAGS_slots));
    settings.batch.stepMicroseconds = absl::GetFlag(FLAGS_step_us);
    settings.batch.stepMicrosecondsPerRequest = absl::GetFlag(FLAGS_step_us_per_request);
    settings.batch.stepMicrosecondsPerThousandContextTokens = absl::GetFlag(FLAGS_step_us_per_1000_context_tokens);
    settings.batch.prefillMicrosecondsPerToken = absl::GetFlag(FLAGS_prefill_us_per_token);
    settings.batch.cacheBlocks = static_cast<std::size_t>(absl::GetFlag(FLAGS_cache_blocks));
    settings.batch.reportLag = papayashelf::Milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
    settings.batch.eventLossShare = absl::GetFlag(FLAGS_event_loss);
    settings.batch.seed = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed));
    papayashelf::StandinEngine engine(settings);
    std::cout << engine.start().string() << std::endl;
    int received = 0;
    sigwait(&stopSignals, &received);
    engine.stop();
    return 0;
}
