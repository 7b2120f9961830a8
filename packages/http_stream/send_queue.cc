#include "http_stream/send_queue.h"

#include <utility>

namespace toucanhollow {
namespace {

// A copied segment of this size is not extended.
constexpr std::size_t kFullSegmentBytes = std::size_t{16} * 1024;

}  // namespace

void SendQueue::Append(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  if (this->segments.empty() || this->segments.back().shared != nullptr ||
      this->segments.back().copied.size() >= kFullSegmentBytes) {
    this->segments.push_back({std::string(bytes), nullptr, 0});
  } else {
    this->segments.back().copied.append(bytes);
  }
  this->total += bytes.size();
}

void SendQueue::Append(std::shared_ptr<const std::string> bytes) {
  const std::size_t count = bytes->size();
  if (count == 0) {
    return;
  }
  this->segments.push_back({"", std::move(bytes), 0});
  this->total += count;
}

std::string_view SendQueue::front() const {
  return this->segments.empty() ? std::string_view()
                                : this->segments.front().rest();
}

void SendQueue::RemoveFront(std::size_t count) {
  Segment& segment = this->segments.front();
  segment.offset += count;
  this->total -= count;
  if (segment.rest().empty()) {
    this->segments.pop_front();
  }
}

}  // namespace toucanhollow
