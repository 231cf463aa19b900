#include "bilberry/members/member_text.h"

#include <array>
#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace bilberry::members {

using base::Error;
using base::ErrorCode;
using nlohmann::json;

static constexpr std::array Roles = {MemberRole::Balancer, MemberRole::Agent};
static constexpr std::array States = {MemberState::Cold, MemberState::InService,
                                      MemberState::Draining,
                                      MemberState::Leaving};

// A valid announcement has a few hundred bytes. A value of the store's largest
// size, parsed as JSON, could exceed a process's memory.
static constexpr size_t MaxAnnouncementBytes = 4096;
// Larger integers aren't exact in JSON. An announcement with the largest run
// would outrank every later one of its member.
static constexpr uint64_t MaxRun = uint64_t(1) << 53U;

static Error invalidField(const char *Name) {
  return {ErrorCode::Malformed, std::string("announcement: field '") + Name +
                                    "' is missing or invalid"};
}

static base::Result<std::string> textField(const json &Object,
                                           const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string()) {
    return invalidField(Name);
  }
  return Found->get<std::string>();
}

static base::Result<uint64_t> numberField(const json &Object,
                                          const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_number_unsigned()) {
    return invalidField(Name);
  }
  return Found->get<uint64_t>();
}

static base::Result<base::Address> addressField(const json &Object,
                                                const char *Name) {
  BOOST_OUTCOME_TRY(Text, textField(Object, Name));
  base::Result<base::Address> Address = base::parseAddress(Text);
  if (!Address || Address.value().Port == 0) {
    return invalidField(Name);
  }
  return Address;
}

// Reads a string field that must equal the text of one of Values.
template <typename T, size_t Count, typename TextFunction>
static base::Result<T> enumField(const json &Object, const char *Name,
                                 const std::array<T, Count> &Values,
                                 TextFunction &&ToText) {
  BOOST_OUTCOME_TRY(Text, textField(Object, Name));
  for (T Value : Values) {
    if (ToText(Value) == Text) {
      return Value;
    }
  }
  return invalidField(Name);
}

std::string serializeMember(const Member &Value) {
  json Object = {{"name", Value.Name.text()},
                 {"run", Value.Run},
                 {"role", roleText(Value.Role)},
                 {"state", stateText(Value.State)},
                 {"data_centre", Value.DataCentre.text()},
                 {"service", Value.Service.text()},
                 {"data", base::addressText(Value.Data)},
                 {"control", base::addressText(Value.Control)},
                 {"applied", Value.Applied}};
  // Names come from settings and may not be valid UTF-8; invalid bytes are
  // replaced.
  return Object.dump(-1, ' ', false, json::error_handler_t::replace);
}

base::Result<Member> parseMember(std::string_view Text) {
  if (Text.size() > MaxAnnouncementBytes) {
    return Error{ErrorCode::Malformed, "announcement: too long"};
  }
  json Object = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Object.is_object()) {
    return Error{ErrorCode::Malformed, "announcement: not a JSON object"};
  }
  BOOST_OUTCOME_TRY(Name, textField(Object, "name"));
  BOOST_OUTCOME_TRY(Run, numberField(Object, "run"));
  BOOST_OUTCOME_TRY(Role, enumField(Object, "role", Roles, roleText));
  BOOST_OUTCOME_TRY(State, enumField(Object, "state", States, stateText));
  BOOST_OUTCOME_TRY(DataCentre, textField(Object, "data_centre"));
  BOOST_OUTCOME_TRY(Service, textField(Object, "service"));
  BOOST_OUTCOME_TRY(Data, addressField(Object, "data"));
  BOOST_OUTCOME_TRY(Control, addressField(Object, "control"));
  BOOST_OUTCOME_TRY(Applied, numberField(Object, "applied"));
  if (Run > MaxRun) {
    return invalidField("run");
  }
  if (Name.empty()) {
    return invalidField("name");
  }
  if (DataCentre.empty()) {
    return invalidField("data_centre");
  }
  if (Service.empty() != (Role == MemberRole::Balancer)) {
    return invalidField("service");
  }
  return Member{base::MemberName(std::move(Name)),
                Run,
                Role,
                State,
                base::DataCentreName(std::move(DataCentre)),
                base::ServiceName(std::move(Service)),
                Data,
                Control,
                Applied};
}

} // namespace bilberry::members
