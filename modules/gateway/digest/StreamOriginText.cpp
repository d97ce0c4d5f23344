#include "gateway/digest/StreamOriginText.h"

#include "foundation/text/JsonText.h"
#include "gateway/streams/StreamOriginTable.h"
#include <boost/json/array.hpp>

namespace papayashelf {

namespace json = boost::json;

namespace {

json::array encodeRequests(const std::vector<std::string>& requests)
{
    json::array encoded;
    for (const std::string& request : requests)
        encoded.emplace_back(request);
    return encoded;
}

std::vector<std::string> decodeRequests(const json::value& encoded)
{
    std::vector<std::string> requests;
    for (const json::value& request : encoded.as_array())
        requests.push_back(json::value_to<std::string>(request));
    return requests;
}

} // namespace

void encodeStreamOrigins(json::object& datagram, const StreamOriginMessage& message)
{
    json::array known;
    for (const StreamOriginNotice& notice : message.known)
        known.push_back(json::array {
            notice.request, notice.origin.service.string(), notice.origin.version.string(), notice.lifetime.count() });
    datagram["vm"] = message.from.string();
    datagram["known"] = std::move(known);
    datagram["unknown"] = encodeRequests(message.unknown);
    datagram["asked"] = encodeRequests(message.questions);
}

StreamOriginMessage decodeStreamOrigins(const json::object& datagram)
{
    StreamOriginMessage message;
    message.from = VmId(textAt(datagram, "vm"));
    for (const json::value& value : datagram.at("known").as_array()) {
        const json::array& fields = value.as_array();
        StreamOriginNotice notice;
        notice.request = json::value_to<std::string>(fields.at(0));
        notice.origin.service = ServiceId(json::value_to<std::string>(fields.at(1)));
        notice.origin.version = SoftwareVersion(json::value_to<std::string>(fields.at(2)));
        notice.lifetime = Milliseconds(readWholeNumber(fields.at(3)).value_or(0));
        notice.lifetime = std::min(notice.lifetime, StreamOriginTable::longestLifetime);
        message.known.push_back(std::move(notice));
    }
    message.unknown = decodeRequests(datagram.at("unknown"));
    message.questions = decodeRequests(datagram.at("asked"));
    return message;
}

} // namespace papayashelf
