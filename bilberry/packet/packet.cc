#include "bilberry/packet/packet.h"

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
  }
  return "unknown";
}

} // namespace bilberry::packet
