#pragma once

#include <cstddef>

namespace papayashelf {

constexpr std::size_t kibibyte = 1024; /**< In bytes. */
constexpr std::size_t mebibyte = 1024 * kibibyte; /**< In bytes. */

} // namespace papayashelf
