// Distinct string types for the names and identifiers of the system, so that
// the compiler rejects one passed in place of another.
#ifndef BASE_NAME_H_
#define BASE_NAME_H_

#include <compare>
#include <string>

namespace toucanhollow {

template <typename Tag>
struct Name {
  std::string value;

  bool operator==(const Name&) const = default;
  auto operator<=>(const Name&) const = default;
};

using AccountName = Name<struct AccountTag>;        // client account
using DataCentreName = Name<struct DataCentreTag>;  // data centre
using EndpointName = Name<struct EndpointTag>;      // endpoint
using ServiceName = Name<struct ServiceTag>;  // model group or plain service
using ProcessName = Name<struct ProcessTag>;  // one process of the system
using RequestId = Name<struct RequestTag>;
// One attempt of a request at one endpoint. Identifiers are never reused.
using DispatchId = Name<struct DispatchTag>;

}  // namespace toucanhollow

#endif  // BASE_NAME_H_
