// Keeps decoded log payloads beside the log, so that the scenarios need no
// codec: the log holds the number of the payload.
#ifndef SCENARIO_PAYLOAD_STORE_H_
#define SCENARIO_PAYLOAD_STORE_H_

#include <deque>
#include <string>
#include <utility>

namespace toucanhollow {

template <typename T>
class PayloadStore {
 public:
  std::string Put(T value) {
    this->values.push_back(std::move(value));
    return std::to_string(this->values.size() - 1);
  }
  const T& Get(const std::string& payload) const {
    return this->values.at(std::stoul(payload));
  }

 private:
  std::deque<T> values;
};

}  // namespace toucanhollow

#endif  // SCENARIO_PAYLOAD_STORE_H_
