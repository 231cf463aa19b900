// A distinct type for each kind of name, so that a service name cannot be
// passed where a data centre name is expected.

#ifndef BILBERRY_BASE_NAME_H
#define BILBERRY_BASE_NAME_H

#include <compare>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <utility>

namespace bilberry::base {

/// A name of the kind that Tag identifies. A plain value type; copies may be
/// used in different threads. An empty text means that no name is set.
template <typename Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text(std::move(Text)) {}

  /// The name as written in the settings.
  const std::string &text() const { return this->Text; }
  /// True if no name is set.
  bool empty() const { return this->Text.empty(); }

  auto operator<=>(const Name &) const = default;

  MSGPACK_DEFINE(Text); // NOLINT

private:
  std::string Text;
};

using ServiceName = Name<struct ServiceTag>;
using DataCentreName = Name<struct DataCentreTag>;
/// The name of an agent or balancer process, unique in the deployment. An agent
/// keeps its name when it is restarted for the same upstream.
using MemberName = Name<struct MemberTag>;
/// The name of a class of work, as defined in the targets.
using ClassName = Name<struct ClassTag>;

} // namespace bilberry::base

template <typename Tag> struct std::hash<bilberry::base::Name<Tag>> {
  size_t operator()(const bilberry::base::Name<Tag> &Value) const {
    return std::hash<std::string>()(Value.text());
  }
};

#endif
