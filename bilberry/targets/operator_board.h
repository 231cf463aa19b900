// What the operators want, as far as this process knows: the routes, and the
// data centres that are to get nothing new.
//
// The documents come from the store or, while the store doesn't answer this
// process, from a peer that has newer ones. A copy is only ever replaced by a
// newer one: by the store's revision for the whole, and by its version for the
// routes.

#ifndef BILBERRY_TARGETS_OPERATOR_BOARD_H
#define BILBERRY_TARGETS_OPERATOR_BOARD_H

#include "bilberry/base/error.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/store/store.h"
#include "bilberry/targets/route_table.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace bilberry::targets {

/// The state at one moment. A plain value; never changed once shared.
struct OperatorState {
  std::shared_ptr<const RouteTable> Routes;
  std::set<base::DataCentreName> Evacuated;
  /// The store's revision of the last change that this state holds.
  store::StoreRevision Changed = 0;

  bool isEvacuated(const base::DataCentreName &Name) const {
    return this->Evacuated.contains(Name);
  }
  /// The version of the routes, or 0 where there are none.
  uint64_t routeVersion() const {
    return this->Routes ? this->Routes->Version : 0;
  }
};

/// What a key of the operators' documents stands for.
struct RoutesDocument {};
struct EvacuationMark {
  base::DataCentreName DataCentre;
};
using DocumentKind =
    std::variant<std::monostate, RoutesDocument, EvacuationMark>;

/// How the operators' documents are written: supplied by the adapter of the
/// platform that they lie in.
struct DocumentFormat {
  std::function<DocumentKind(std::string_view Key)> Classify;
  std::function<base::Result<RouteTable>(std::string_view Text)> ParseRoutes;
};

/// Thread-safe: one mutex of rank Targets.
class OperatorBoard {
public:
  explicit OperatorBoard(DocumentFormat Format)
      : Format(std::move(Format)),
        State(std::make_shared<const OperatorState>()) {}

  /// All documents, as read at one revision. Ignored where older than what is
  /// known. Returns what is worth a log line: the changes and the faults.
  std::vector<std::string> takeListing(const store::Listing &List);
  /// One change. Returns what is worth a log line.
  std::vector<std::string> takeEvent(const store::WatchEvent &Event);

  /// The present state; never null. Routes are null until some are known.
  std::shared_ptr<const OperatorState> current() const;
  /// True while a revision that others know of has not come here.
  bool isBehind(store::StoreRevision Changed) const;
  /// All documents as they came, for a peer that can't read the store.
  store::Listing documents() const;

private:
  // Precondition of all: Mutex is held.
  bool isKnown(const store::WatchEvent &Event) const;
  void rebuild(std::vector<std::string> &Notes);
  void takeRoutes(const store::KeyValue &Entry, OperatorState &Next,
                  std::vector<std::string> &Notes) const;

  DocumentFormat Format;
  mutable base::RankedMutex Mutex{base::LockRank::Targets};
  std::map<std::string, store::KeyValue> Documents;
  store::StoreRevision KnownUpTo = 0;
  store::StoreRevision RoutesRevision = 0;
  std::shared_ptr<const OperatorState> State;
};

/// The documents as JSON text for a peer, and back. Errors: Malformed.
std::string listingText(const store::Listing &List);
base::Result<store::Listing> parseListingText(std::string_view Text);

} // namespace bilberry::targets

#endif
