/** A stand-in of the platform's key-value service and VM list, for trials on one machine. */
#include "standins/platform/StandinPlatform.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(int, port, 0, "port to listen on; 0 takes a free one");
ABSL_FLAG(int, writes_per_second, 300, "most writes a second; 0 for no limit");
ABSL_FLAG(int, reads_per_second, 2000, "most reads a second; 0 for no limit");

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Serves a key-value service and a VM list from memory; docs/PLATFORM.md has the calls.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context(1);
    papayashelf::StandinPlatform platform(
        context, { absl::GetFlag(FLAGS_writes_per_second), absl::GetFlag(FLAGS_reads_per_second) });
    const auto endpoint
        = platform.listen({ absl::GetFlag(FLAGS_address), static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)) });
    if (!endpoint) {
        std::cerr << endpoint.error().detail << "\n";
        return 1;
    }
    std::cout << "listening on " << endpoint.value().string() << std::endl;

    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&platform](const boost::system::error_code&, int) { platform.close(); });
    context.run();
    return 0;
}
