// SendQueue: bytes that wait to be sent on a connection, in order.
#ifndef HTTP_STREAM_SEND_QUEUE_H_
#define HTTP_STREAM_SEND_QUEUE_H_

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <string_view>

namespace toucanhollow {

// Frees bytes soon after they were sent, even if it never becomes empty.
class SendQueue {
 public:
  // Appends a copy.
  void Append(std::string_view bytes);
  // Appends the bytes without a copy.
  void Append(std::shared_ptr<const std::string> bytes);

  std::size_t size() const { return this->total; }
  // The first bytes; empty if there are none.
  std::string_view front() const;
  // Removes bytes of front().
  void RemoveFront(std::size_t count);

 private:
  struct Segment {
    // One of the two.
    std::string copied;
    std::shared_ptr<const std::string> shared;
    std::size_t offset = 0;

    std::string_view rest() const {
      return std::string_view(this->shared != nullptr ? *this->shared
                                                      : this->copied)
          .substr(this->offset);
    }
  };

  std::list<Segment> segments;
  std::size_t total = 0;
};

}  // namespace toucanhollow

#endif  // HTTP_STREAM_SEND_QUEUE_H_
