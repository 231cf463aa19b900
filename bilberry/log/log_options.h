// Log level and layout, as set in the process settings.

#ifndef BILBERRY_LOG_LOG_OPTIONS_H
#define BILBERRY_LOG_LOG_OPTIONS_H

#include <cstdint>

namespace bilberry::log {

enum class Level : uint8_t { Debug, Info, Warn, Error };
enum class Layout : uint8_t { Text, Json };

} // namespace bilberry::log

#endif
