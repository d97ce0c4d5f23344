#include "application/commands/VmClient.h"

#include "platform/http/BlockingHttpCall.h"
#include "settings/reading/FieldRules.h"
#include <boost/json/parse.hpp>
#include <cstdlib>
#include <fstream>

namespace papayashelf {

namespace {

constexpr Milliseconds callTimeout = Milliseconds::fromSeconds(5);

} // namespace

Outcome<std::string> readAdministrationKey(const std::string& file)
{
    std::string key;
    if (file.empty()) {
        const char* value = std::getenv("PAPAYASHELF_KEY");
        if (!value)
            return Error { ErrorCode::NotFound, "no administration key: give --key_file or set PAPAYASHELF_KEY" };
        key = value;
        return key;
    }
    std::ifstream stream(file);
    if (!std::getline(stream, key))
        return Error { ErrorCode::NotFound, "cannot read the administration key from " + file };
    return key;
}

Outcome<boost::json::value> askVm(const std::string& endpoint, const HttpCall& call)
{
    const std::optional<Endpoint> target = parseEndpoint(endpoint);
    if (!target)
        return Error { ErrorCode::InvalidArgument, "not IP:port: " + endpoint };
    BOOST_OUTCOME_TRY(const WireAnswer reply, blockingHttpCall(*target, call, callTimeout).answer);
    constexpr int firstFailingStatus = 300;
    if (reply.status >= firstFailingStatus) {
        return Error { ErrorCode::Unavailable,
            endpoint + " answered " + std::to_string(reply.status) + " " + reply.body };
    }
    boost::system::error_code failure;
    boost::json::value value = boost::json::parse(reply.body, failure);
    if (failure)
        return Error { ErrorCode::Unavailable, endpoint + " answered something that is not JSON" };
    return value;
}

} // namespace papayashelf
