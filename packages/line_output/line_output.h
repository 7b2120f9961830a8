// Writes lines to a file descriptor that other processes may share, without
// blocking.
#ifndef LINE_OUTPUT_LINE_OUTPUT_H_
#define LINE_OUTPUT_LINE_OUTPUT_H_

#include <sys/types.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace toucanhollow {

// Does not set O_NONBLOCK on the descriptor: that is a flag of the open file
// description, which the processes that inherited it share, and their blocking
// writes would fail with EAGAIN.
class LineOutput {
 public:
  // `file_descriptor` stays open and belongs to the caller.
  explicit LineOutput(int file_descriptor);
  ~LineOutput();
  LineOutput(const LineOutput&) = delete;
  LineOutput& operator=(const LineOutput&) = delete;

  // Writes the line and a line feed. Returns false if the line was dropped,
  // because the descriptor cannot accept it without blocking or is broken. A
  // line that is accepted only in part is completed before the next one.
  bool WriteLine(std::string_view line);

 private:
  enum class Kind { kSocket, kFile, kOther };

  void CloseOwnDescriptor();
  // Like write(2), but returns 0 instead of blocking.
  ssize_t WriteOnce(std::string_view bytes);
  // Returns the number of bytes that were accepted.
  std::size_t WriteSome(std::string_view bytes);

  int file_descriptor;
  // A non-blocking open file description of this object's own. Only pipes have
  // one, and only if the system allows it.
  int own_descriptor = -1;
  Kind kind = Kind::kOther;
  std::string unwritten;
};

}  // namespace toucanhollow

#endif  // LINE_OUTPUT_LINE_OUTPUT_H_
