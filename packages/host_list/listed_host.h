// One host of the list that the platform serves.
#ifndef HOST_LIST_LISTED_HOST_H_
#define HOST_LIST_LISTED_HOST_H_

#include <string>

namespace toucanhollow {

struct ListedHost {
  std::string name;
  // <IP address>:<port>
  std::string address;
  std::string data_centre;
  // "entry_host" or "endpoint"
  std::string role;
  bool leaving = false;

  bool operator==(const ListedHost&) const = default;
};

}  // namespace toucanhollow

#endif  // HOST_LIST_LISTED_HOST_H_
