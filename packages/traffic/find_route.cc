#include "traffic/find_route.h"

#include <algorithm>
#include <cctype>

namespace toucanhollow {
namespace {

bool SameHost(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, [](unsigned char a, unsigned char b) {
    return std::tolower(a) == std::tolower(b);
  });
}

}  // namespace

const Route* FindRoute(const TrafficConfig& config,
                       std::string_view host,
                       std::string_view target) {
  const std::string_view name = host.substr(0, host.find(':'));
  const std::string_view path = target.substr(0, target.find('?'));
  const Route* best = nullptr;
  for (const Route& route : config.routes) {
    if (path.starts_with(route.path_prefix) && SameHost(route.host, name) &&
        (best == nullptr ||
         route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

ServiceName ChooseService(const Route& route, std::uint64_t draw) {
  double total = 0;
  for (const ServiceShare& share : route.shares) {
    total += share.weight;
  }
  constexpr double kDraws = 1U << 24U;
  double point = static_cast<double>(draw % (1U << 24U)) / kDraws * total;
  for (const ServiceShare& share : route.shares) {
    point -= share.weight;
    if (point < 0) {
      return share.service;
    }
  }
  // Rounding leaves a rest of the last share that has any.
  for (auto share = route.shares.rbegin(); share != route.shares.rend();
       ++share) {
    if (share->weight > 0) {
      return share->service;
    }
  }
  return {};
}

}  // namespace toucanhollow
