// The processes that give permits to send requests to a server.
#ifndef TRAFFIC_PERMIT_ISSUERS_H_
#define TRAFFIC_PERMIT_ISSUERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/address.h"
#include "traffic/permit_ledger.h"

namespace toucanhollow {

// The issuer to ask, by a random draw: each gives its part of the permits.
// `issuers` must not be empty.
const Address& ChooseIssuer(const std::vector<Address>& issuers,
                            std::uint64_t draw);

// The issuers that are asked: so many of `issuers`, from the first, that the
// bucket of each holds a permit. They do not know of each other's permits, so
// each gives an equal part. `issuers` must not be empty.
std::vector<Address> LimitIssuers(std::vector<Address> issuers,
                                  const PermitRate& rate);
PermitRate ShareOfIssuer(const PermitRate& rate, std::size_t issuers);

}  // namespace toucanhollow

#endif  // TRAFFIC_PERMIT_ISSUERS_H_
