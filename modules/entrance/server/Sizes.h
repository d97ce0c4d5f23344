#pragma once

#include <cstddef>

namespace papayashelf {

constexpr std::size_t kibibyte = 1024; /**< In bytes. */
constexpr std::size_t mebibyte = 1024 * kibibyte; /**< In bytes. */

/** What the system may hold of one connection in one direction, in bytes; without it that grows to megabytes. */
constexpr int socketBufferBytes = 128 * 1024;

} // namespace papayashelf
