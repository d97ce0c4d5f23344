#pragma once

#include "foundation/outcomes/Error.h"
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace papayashelf {

/** A value of type T, or the Error that says why there is none. */
template <typename T> using Outcome = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace papayashelf
