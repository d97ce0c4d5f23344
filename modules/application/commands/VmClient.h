#pragma once

#include "foundation/outcomes/Outcome.h"
#include "platform/http/HttpConnection.h"
#include <boost/json/value.hpp>
#include <string>

namespace papayashelf {

/** The administration key from a file, or from PAPAYASHELF_KEY if no file is named. Errors: NotFound. */
Outcome<std::string> readAdministrationKey(const std::string& file);

/**
    Asks one VM for JSON. Errors: InvalidArgument for a bad endpoint; Unavailable when it did not answer, refused the
    key, or answered something else than JSON with a status below 300.
*/
Outcome<boost::json::value> askVm(const std::string& endpoint, const HttpCall& call);

} // namespace papayashelf
