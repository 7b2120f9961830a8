#include "traffic/permit_issuers.h"

#include <algorithm>
#include <cmath>

namespace toucanhollow {

const Address& ChooseIssuer(const std::vector<Address>& issuers,
                            std::uint64_t draw) {
  return issuers[draw % issuers.size()];
}

std::vector<Address> LimitIssuers(std::vector<Address> issuers,
                                  const PermitRate& rate) {
  const auto most =
      static_cast<std::size_t>(std::max(std::floor(rate.burst), 1.0));
  issuers.resize(std::min(issuers.size(), most));
  return issuers;
}

PermitRate ShareOfIssuer(const PermitRate& rate, std::size_t issuers) {
  const auto count = static_cast<double>(issuers);
  return {rate.per_s / count, rate.burst / count};
}

}  // namespace toucanhollow
