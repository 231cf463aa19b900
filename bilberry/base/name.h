// Names of things as types, so that a service's name can't be passed where a
// data centre's is due.

#ifndef BILBERRY_BASE_NAME_H
#define BILBERRY_BASE_NAME_H

#include <compare>
#include <functional>
#include <msgpack.hpp>
#include <string>
#include <utility>

namespace bilberry::base {

/// A name of the kind that Tag stands for. A plain value: safe to copy
/// between threads. An empty text means "none".
template <typename Tag> class Name {
public:
  Name() = default;
  explicit Name(std::string Text) : Text(std::move(Text)) {}

  /// The name as written in the settings.
  const std::string &text() const { return this->Text; }
  /// True for the name of nothing.
  bool empty() const { return this->Text.empty(); }

  auto operator<=>(const Name &) const = default;

  MSGPACK_DEFINE(Text); // NOLINT

private:
  std::string Text;
};

using ServiceName = Name<struct ServiceTag>;
using DataCentreName = Name<struct DataCentreTag>;
/// The name of one process of ours, unique in the fleet. An agent keeps its
/// name when it is restarted for the same upstream.
using MemberName = Name<struct MemberTag>;
/// The name of a class of work in the targets.
using ClassName = Name<struct ClassTag>;

} // namespace bilberry::base

template <typename Tag> struct std::hash<bilberry::base::Name<Tag>> {
  size_t operator()(const bilberry::base::Name<Tag> &Value) const {
    return std::hash<std::string>()(Value.text());
  }
};

#endif
