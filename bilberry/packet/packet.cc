#include "bilberry/packet/packet.h"

#include <algorithm>
#include <string>
#include <xxhash.h>

namespace bilberry::packet {

std::string_view hopTagText(HopTag Tag) {
  switch (Tag) {
  case HopTag::None:
    return "none";
  case HopTag::Opening:
    return "opening";
  case HopTag::Holder:
    return "holder";
  case HopTag::Probe:
    return "probe";
  case HopTag::NotHeld:
    return "not-held";
  case HopTag::NoUpstream:
    return "no-upstream";
  case HopTag::Draining:
    return "draining";
  case HopTag::Evacuated:
    return "evacuated";
  case HopTag::Cold:
    return "cold";
  case HopTag::Full:
    return "full";
  case HopTag::WrongService:
    return "wrong-service";
  case HopTag::Shed:
    return "shed";
  case HopTag::Reserved:
    return "reserved";
  case HopTag::WrongAgent:
    return "wrong-agent";
  case HopTag::Unanswered:
    return "unanswered";
  }
  return "unknown";
}

uint32_t receiverId(const base::MemberName &Agent,
                    const base::ServiceName &Service) {
  // Names contain no slash.
  std::string Identity = Agent.text() + "/" + Service.text();
  return std::max<uint32_t>(1, XXH32(Identity.data(), Identity.size(), 0));
}

} // namespace bilberry::packet
