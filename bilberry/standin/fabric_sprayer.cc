#include "bilberry/standin/fabric_sprayer.h"

#include <utility>

namespace bilberry::standin {

FabricSprayer::FabricSprayer(std::vector<base::Address> Balancers,
                             uint64_t Seed)
    : All(std::move(Balancers)), Random(Seed) {
  this->update();
}

std::optional<base::Address> FabricSprayer::next() {
  if (this->Live.empty()) {
    return std::nullopt;
  }
  return this->Live[this->Random() % this->Live.size()];
}

void FabricSprayer::setBalancers(std::vector<base::Address> Balancers) {
  this->All = std::move(Balancers);
  this->update();
}

void FabricSprayer::cut(base::Address Balancer) {
  this->Cut.insert(Balancer);
  this->update();
}

void FabricSprayer::restore(base::Address Balancer) {
  this->Cut.erase(Balancer);
  this->update();
}

void FabricSprayer::update() {
  this->Live = this->All;
  std::erase_if(this->Live, [&](base::Address Balancer) {
    return this->Cut.contains(Balancer);
  });
}

} // namespace bilberry::standin
