#include "entrance/upstream/ConnectionEnd.h"

#include <boost/asio/error.hpp>

namespace papayashelf {

namespace asio = boost::asio;

namespace {

/** Returns true for results that this side caused, or that only say that there is nothing to read yet. */
bool isLocal(const boost::system::error_code& result)
{
    return result == asio::error::operation_aborted || result == asio::error::bad_descriptor
        || result == asio::error::would_block || result == asio::error::try_again;
}

} // namespace

void ConnectionEnd::note(const boost::system::error_code& result)
{
    if (!result || isLocal(result))
        return;
    if (result != asio::error::eof)
        this->kind = Kind::Lost;
    else if (this->kind == Kind::None)
        this->kind = Kind::Orderly;
}

} // namespace papayashelf
