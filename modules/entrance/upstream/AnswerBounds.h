#pragma once

#include "entrance/server/Sizes.h"

/** Bounds on what an upstream may send before or between the parts of an answer, whatever the request. */
namespace papayashelf::answerbounds {

/** Bytes that were received but not parsed yet, such as a chunk extension without an end. */
constexpr std::size_t maximumUnparsedBytes = 64 * kibibyte;
/** Bytes of a stream between two events that bring something new: comments, empty lines, repeated events, framing. */
constexpr std::size_t maximumBytesBetweenEvents = 8 * mebibyte;
/** Events between two that bring something new. Reading an event has a cost of its own, however short it is. */
constexpr std::size_t maximumEmptyEvents = 65'536;
constexpr int maximumInterimAnswers = 8; /**< Answers with a status below 200 ahead of the final one. */

} // namespace papayashelf::answerbounds
