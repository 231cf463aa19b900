#include "bilberry/standin/id_text.h"

#include <array>
#include <cinttypes>
#include <cstdio>

namespace bilberry::standin {

static std::string hexText(uint64_t High, uint64_t Low) {
  std::array<char, 33> Text = {};
  (void)std::snprintf(Text.data(), Text.size(), "%016" PRIx64 "%016" PRIx64,
                      High, Low);
  return Text.data();
}

std::string requestIdText(base::RequestId Id) {
  return hexText(Id.High, Id.Low);
}

std::string flowKeyText(base::FlowKey Key) {
  return hexText(Key.High, Key.Low);
}

} // namespace bilberry::standin
