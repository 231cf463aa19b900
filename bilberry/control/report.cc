#include "bilberry/control/report.h"

#include "bilberry/base/address.h"

#include <ctime>
#include <nlohmann/json.hpp>
#include <variant>

namespace bilberry::control {

using targets::Laggard;

// A time in UTC, as 2024-01-31T12:00:00Z.
static std::string timeText(base::TimePoint At) {
  std::time_t Seconds =
      std::chrono::duration_cast<std::chrono::seconds>(At.time_since_epoch())
          .count();
  std::tm Parts = {};
  gmtime_r(&Seconds, &Parts);
  char Buffer[32] = {};
  size_t Length =
      std::strftime(Buffer, sizeof(Buffer), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return {Buffer, Length};
}

std::string reportText(const Report &Value, bool IsJson) {
  if (!IsJson) {
    return Value.Text;
  }
  nlohmann::json Object = {{"outcome", Value.Outcome},
                           {"exit-code", static_cast<int>(Value.Code)},
                           {"text", Value.Text}};
  return Object.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

static std::string settleHint(const std::string &Id, base::Revision Attempted) {
  return "to find out: bilberryctl change " + Id + " --revision " +
         std::to_string(Attempted) + "\n";
}

namespace {

// Puts each outcome into words.
struct ChangeWords {
  const std::string &Id;

  Report operator()(const targets::Accepted &Done) const {
    std::string Text =
        "accepted as revision " + std::to_string(Done.Revision) + "\n";
    for (const std::string &Note : Done.Unchecked) {
      Text += "not checked: " + Note + "\n";
    }
    return {ExitCode::Success, "accepted", Text};
  }
  Report operator()(const targets::AlreadySo &Same) const {
    return {ExitCode::Success, "already-so",
            "nothing to change: revision " + std::to_string(Same.Revision) +
                " says so already\n"};
  }
  Report operator()(const targets::LostRace &Race) const {
    std::string Text = "not accepted: the change is made from revision " +
                       std::to_string(Race.Expected) + ", but revision " +
                       std::to_string(Race.Present) + " is in the store\n";
    for (const targets::ChangeNote &Note : Race.Since) {
      Text += "revision " + std::to_string(Note.Revision) + " by " +
              Note.Author + " at " + timeText(Note.At) + ": " + Note.Summary +
              "\n";
    }
    return {ExitCode::Refused, "lost-race",
            Text + "present (-) against yours (+):\n" + Race.Difference};
  }
  Report operator()(const targets::RefusedUnsafe &Refused) const {
    std::string Text = "not accepted: unsafe\n";
    for (const targets::UnsafeChange &Reason : Refused.Reasons) {
      Text += Reason.Reason + " (--force-" +
              std::string(targets::unsafeKindText(Reason.Kind)) +
              " does it nevertheless)\n";
    }
    return {ExitCode::Refused, "unsafe", Text};
  }
  Report operator()(const targets::BadInput &Bad) const {
    return {ExitCode::BadInput, "bad-input",
            "not accepted:\n" + Bad.Problems.text()};
  }
  Report operator()(const targets::OutcomeUnknown &Unknown) const {
    return {ExitCode::Unknown, "unknown",
            "unknown: the change may have been accepted: " + Unknown.Cause +
                "\n" + settleHint(this->Id, Unknown.Attempted)};
  }
  Report operator()(const targets::StoreFailed &Failed) const {
    bool IsRace = Failed.Cause.Code == base::ErrorCode::Conflict;
    return {IsRace ? ExitCode::Refused : ExitCode::StoreUnavailable,
            IsRace ? "lost-race" : "store-unavailable",
            "not accepted: " + Failed.Cause.Message + "\n"};
  }
};

} // namespace

Report changeReport(const targets::ChangeResult &Result,
                    const std::string &Id) {
  return std::visit(ChangeWords{Id}, Result);
}

Report settleReport(const targets::StoredTargets &Present,
                    const std::string &Id, base::Revision Attempted) {
  std::string Now = std::to_string(Present.Revision);
  switch (targets::settleChange(Present, Id, Attempted)) {
  case targets::ChangeState::Accepted: {
    base::Revision Revision = targets::findChange(Present, Id)->Revision;
    return {ExitCode::Success, "accepted",
            "accepted as revision " + std::to_string(Revision) + "\n"};
  }
  case targets::ChangeState::NotAccepted:
    return {ExitCode::Refused, "not-accepted",
            "not accepted, and never will be: another change is revision " +
                std::to_string(Attempted) + "\n"};
  case targets::ChangeState::NotSeen:
    return {ExitCode::Unknown, "not-seen",
            "not accepted up to revision " + Now +
                "; a write that is under way could still be\n"};
  case targets::ChangeState::Forgotten:
    break;
  }
  return {ExitCode::Unknown, "forgotten",
          "unknown: the changes kept don't reach back to revision " +
              std::to_string(Attempted) + "\n"};
}

static std::string laggardText(const Laggard &Late, const char *What) {
  return std::string(What) + Late.Member.Name.text() + ": has revision " +
         std::to_string(Late.Member.Applied) + ", behind since " +
         timeText(Late.Since) + (Late.IsLonger ? " or longer" : "") + "\n";
}

std::string forceText(const targets::ForceStatus &Status) {
  std::string Text = "revision " + std::to_string(Status.Current);
  std::string Live = std::to_string(Status.Live) + " live processes\n";
  Text += Status.inForce() ? " is in force at all " + Live
                           : " is not in force yet; " + Live;
  for (const Laggard &Late : Status.Behind) {
    Text += laggardText(Late, "not acknowledged: ");
  }
  for (const Laggard &Late : Status.Lapsed) {
    Text += laggardText(Late, "lease lapsed: ");
  }
  for (const std::string &Key : Status.Unreadable) {
    Text += "announcement can't be read: " + Key + "\n";
  }
  return Text;
}

std::string fleetText(const targets::FleetList &Fleet) {
  std::string Text;
  for (const members::Member &Member : Fleet.Members) {
    Text += Member.Name.text() + " " +
            std::string(members::roleText(Member.Role)) + " " +
            std::string(members::stateText(Member.State)) + " " +
            Member.DataCentre.text() + " " +
            (Member.Service.empty() ? "-" : Member.Service.text()) +
            " revision " + std::to_string(Member.Applied) + "\n";
  }
  return Text;
}

} // namespace bilberry::control
