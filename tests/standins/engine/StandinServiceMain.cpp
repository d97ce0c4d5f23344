/** Runs a plain service until it is told to stop: standin_service --port=N */
#include "standins/engine/StandinService.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on.");
ABSL_FLAG(int, port, 0, "Port to listen on; 0 takes a free one.");

int main(int argumentCount, char** arguments)
{
    absl::ParseCommandLine(argumentCount, arguments);
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    papayashelf::StandinService service(
        { absl::GetFlag(FLAGS_address), static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)) });
    std::cout << service.start().string() << std::endl;
    int received = 0;
    sigwait(&stopSignals, &received);
    service.stop();
    return 0;
}
