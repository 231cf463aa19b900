// Version printed by `--version`.

#ifndef BILBERRY_SETTINGS_VERSION_H
#define BILBERRY_SETTINGS_VERSION_H

namespace bilberry::settings {

/// Must match the project version in CMakeLists.txt.
inline constexpr char Version[] = "0.1.0";

} // namespace bilberry::settings

#endif
