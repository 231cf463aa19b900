#include "bilberry/routing/rendezvous.h"

#include <algorithm>
#include <array>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace bilberry::routing {

// Domain separation: the hash input of each kind of key begins with a distinct
// word, so that a flow, a request and a shard with the same bytes have
// different inputs.
enum class KeyKind : uint64_t { Flow = 1, Request = 2, Shard = 3, Duty = 4 };

template <size_t Words>
static base::FlowKey hashWords(const std::array<uint64_t, Words> &Input) {
  XXH128_hash_t Hash = XXH3_128bits(Input.data(), sizeof(Input));
  return {Hash.high64, Hash.low64};
}

static uint64_t textHash(std::string_view Text) {
  return XXH3_64bits(Text.data(), Text.size());
}

uint64_t memberHash(const base::MemberName &Name) {
  return textHash(Name.text());
}

base::FlowKey flowKey(const base::ServiceName &Service,
                      const base::Address &Caller, uint64_t Connection) {
  uint64_t Endpoint = (uint64_t{Caller.Ip} << 16) | Caller.Port;
  return hashWords<4>({static_cast<uint64_t>(KeyKind::Flow),
                       textHash(Service.text()), Endpoint, Connection});
}

base::FlowKey requestKey(base::RequestId Id) {
  return hashWords<3>(
      {static_cast<uint64_t>(KeyKind::Request), Id.High, Id.Low});
}

base::FlowKey shardKey(const base::ServiceName &Service, uint32_t Shard) {
  return hashWords<3>(
      {static_cast<uint64_t>(KeyKind::Shard), textHash(Service.text()), Shard});
}

base::FlowKey dutyKey(std::string_view Name) {
  return hashWords<2>({static_cast<uint64_t>(KeyKind::Duty), textHash(Name)});
}

uint64_t rendezvousScore(uint64_t MemberHash, const base::FlowKey &Key) {
  static_assert(sizeof(base::FlowKey) == 2 * sizeof(uint64_t));
  return XXH3_64bits_withSeed(&Key, sizeof(Key), MemberHash);
}

namespace {

struct ScoredMember {
  uint64_t Score;
  const members::HashedMember *Member;
};

} // namespace

// Ties are rare; breaking them by name keeps the ranking independent of the
// order of the list.
static bool ranksBefore(const ScoredMember &Left, const ScoredMember &Right) {
  if (Left.Score != Right.Score) {
    return Left.Score > Right.Score;
  }
  return Left.Member->Value.Name < Right.Member->Value.Name;
}

const members::HashedMember *
firstRanked(const std::vector<members::HashedMember> &Members,
            const base::FlowKey &Key) {
  return firstRankedIf(Members, Key,
                       [](const members::Member &) { return true; });
}

std::vector<const members::HashedMember *>
topRanked(const std::vector<members::HashedMember> &Members,
          const base::FlowKey &Key, size_t Count) {
  std::vector<ScoredMember> Scored;
  Scored.reserve(Members.size());
  for (const members::HashedMember &Member : Members) {
    Scored.push_back({rendezvousScore(Member.NameHash, Key), &Member});
  }
  Count = std::min(Count, Scored.size());
  auto Middle = Scored.begin() + static_cast<ptrdiff_t>(Count);
  std::partial_sort(Scored.begin(), Middle, Scored.end(), ranksBefore);

  std::vector<const members::HashedMember *> Top;
  Top.reserve(Count);
  for (auto It = Scored.begin(); It != Middle; ++It) {
    Top.push_back(It->Member);
  }
  return Top;
}

} // namespace bilberry::routing
