// Distinct string types for the things that the system names, so that one
// cannot be passed for another.
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
// One attempt of a request at one endpoint. Never reused.
using DispatchId = Name<struct DispatchTag>;

}  // namespace toucanhollow

#endif  // BASE_NAME_H_
