#include "bilberry/standin/fabric_sprayer.h"

#include <utility>

namespace bilberry::standin {

FabricSprayer::FabricSprayer(std::vector<base::Address> Balancers,
                             uint64_t Seed)
    : AllBalancers(std::move(Balancers)), Random(Seed) {
  this->updateLive();
}

std::optional<base::Address> FabricSprayer::next() {
  if (this->Live.empty()) {
    return std::nullopt;
  }
  return this->Live[this->Random() % this->Live.size()];
}

void FabricSprayer::setBalancers(std::vector<base::Address> Balancers) {
  this->AllBalancers = std::move(Balancers);
  this->updateLive();
}

void FabricSprayer::disableBalancer(base::Address Balancer) {
  this->Disabled.insert(Balancer);
  this->updateLive();
}

void FabricSprayer::enableBalancer(base::Address Balancer) {
  this->Disabled.erase(Balancer);
  this->updateLive();
}

void FabricSprayer::updateLive() {
  this->Live = this->AllBalancers;
  std::erase_if(this->Live, [&](base::Address Balancer) {
    return this->Disabled.contains(Balancer);
  });
}

} // namespace bilberry::standin
