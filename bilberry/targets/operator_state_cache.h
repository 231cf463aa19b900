// This process's copy of the operators' documents: the routes, and the
// evacuated data centres, which get no new flows.
//
// The documents are read from the store or, while the store is unreachable for
// this process, from a peer that has newer ones. A copy is replaced only by a
// newer one: by store era and revision for the documents as a whole, and by
// version for the routes.
//
// If the store was restored from an older copy, the copy may lack an evacuation
// that the operators have set since. They write it again, so until then the
// data centre stays evacuated for a limited time.

#ifndef BILBERRY_TARGETS_OPERATOR_STATE_CACHE_H
#define BILBERRY_TARGETS_OPERATOR_STATE_CACHE_H

#include "bilberry/base/error.h"
#include "bilberry/base/ranked_mutex.h"
#include "bilberry/store/store.h"
#include "bilberry/targets/route_table.h"
#include "bilberry/wire/relay_message.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace bilberry::targets {

/// A snapshot of the operators' documents. A plain value; immutable once
/// shared.
struct OperatorState {
  /// Null until routes have been read.
  std::shared_ptr<const RouteTable> Routes;
  std::set<base::DataCentreName> Evacuated;
  /// The store revision of the last change that this state includes, and the
  /// era in which it was assigned.
  store::StoreRevision Changed = 0;
  store::StoreEra Era = 0;

  bool isEvacuated(const base::DataCentreName &Name) const {
    return this->Evacuated.contains(Name);
  }
  /// The version of the routes, or 0 if there are none.
  uint64_t routeVersion() const {
    return this->Routes ? this->Routes->Version : 0;
  }
};

/// How long a data centre stays evacuated whose document a restored store
/// lacks: an evacuation is to take effect within 5 s of its acknowledgement,
/// and the operators write it again within that time.
inline constexpr base::Duration RestoredEvacuationGrace =
    std::chrono::seconds(5);

/// The kinds of operators' documents, identified by their key.
struct RoutesDocument {};
struct EvacuationDocument {
  base::DataCentreName DataCentre;
};
using DocumentKind =
    std::variant<std::monostate, RoutesDocument, EvacuationDocument>;

/// The format of the operators' documents, supplied by the adapter of the
/// platform that stores them.
struct DocumentFormat {
  std::function<DocumentKind(std::string_view Key)> Classify;
  std::function<base::Result<RouteTable>(std::string_view Text)> ParseRoutes;
};

/// Holds the documents and the state built from them. Thread-safe: one mutex of
/// rank Targets.
class OperatorStateCache {
public:
  explicit OperatorStateCache(DocumentFormat Format)
      : Format(std::move(Format)),
        State(std::make_shared<const OperatorState>()) {}

  /// Applies a listing of all documents at one store revision; ignores it if it
  /// is older than the current documents, by era and then by revision. Returns
  /// log lines for the changes and for documents that are invalid.
  std::vector<std::string> applyListing(const store::Listing &List);
  /// Applies one change. Returns log lines as above.
  std::vector<std::string> applyEvent(const store::WatchEvent &Event);
  /// Ends evacuations that a restored store still lacks after
  /// RestoredEvacuationGrace. Returns log lines as above. Call several times a
  /// second.
  std::vector<std::string> tick(base::TimePoint Now);

  /// The current state; never null.
  std::shared_ptr<const OperatorState> current() const;
  /// True if this copy doesn't include the version that a peer has announced.
  bool lacks(const wire::DocumentsVersion &Announced) const;
  /// The store's era of this copy.
  store::StoreEra era() const;
  /// The number of restores of the store that were noticed.
  uint64_t restores() const;
  /// All documents as received, for a peer that can't read the store.
  store::Listing documents() const;

private:
  // Precondition of these functions: Mutex is held.
  bool isAlreadyApplied(const store::WatchEvent &Event) const;
  void beginEra(const store::Listing &List, std::vector<std::string> &LogLines);
  void rebuild(std::vector<std::string> &LogLines);
  void applyRoutes(const store::KeyValue &Entry, OperatorState &Next,
                   std::vector<std::string> &LogLines) const;

  DocumentFormat Format;
  mutable base::RankedMutex Mutex{base::LockRank::Targets};
  std::map<std::string, store::KeyValue> Documents;
  store::StoreEra LatestEra = 0;
  store::StoreRevision LatestRevision = 0;
  uint64_t Restores = 0;
  // Evacuations that the restored store lacks, and when they end; empty until
  // the next tick.
  std::map<base::DataCentreName, std::optional<base::TimePoint>>
      UnconfirmedEvacuations;
  store::StoreRevision RoutesRevision = 0;
  std::shared_ptr<const OperatorState> State;
};

/// The documents as JSON text for a peer, and back. Errors: Malformed.
/// Thread-safe.
std::string listingText(const store::Listing &List);
base::Result<store::Listing> parseListingText(std::string_view Text);

} // namespace bilberry::targets

#endif
