#include "line_output/line_output.h"

#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace toucanhollow {
namespace {

bool IsWritable(int file_descriptor) {
  pollfd polled{file_descriptor, POLLOUT, 0};
  return poll(&polled, 1, 0) > 0 && (polled.revents & POLLOUT) != 0;
}

}  // namespace

LineOutput::LineOutput(int file_descriptor) : file_descriptor(file_descriptor) {
  struct stat status {};
  if (fstat(file_descriptor, &status) != 0) {
    return;
  }
  if (S_ISSOCK(status.st_mode)) {
    this->kind = Kind::kSocket;
  } else if (S_ISREG(status.st_mode)) {
    this->kind = Kind::kFile;
  } else if (S_ISFIFO(status.st_mode)) {
    const std::string path = "/proc/self/fd/" + std::to_string(file_descriptor);
    this->own_descriptor =
        open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
  }
}

LineOutput::~LineOutput() {
  if (this->own_descriptor >= 0) {
    this->CloseOwnDescriptor();
  }
}

void LineOutput::CloseOwnDescriptor() {
  close(this->own_descriptor);
  this->own_descriptor = -1;
}

ssize_t LineOutput::WriteOnce(std::string_view bytes) {
  if (this->own_descriptor >= 0) {
    const ssize_t written =
        write(this->own_descriptor, bytes.data(), bytes.size());
    if (written >= 0 || errno == EAGAIN || errno == EINTR || errno == EPIPE) {
      return written;
    }
    this->CloseOwnDescriptor();
  }
  switch (this->kind) {
    case Kind::kSocket:
      return send(this->file_descriptor, bytes.data(), bytes.size(),
                  MSG_DONTWAIT | MSG_NOSIGNAL);
    case Kind::kFile:
      return write(this->file_descriptor, bytes.data(), bytes.size());
    case Kind::kOther:
      break;
  }
  if (!IsWritable(this->file_descriptor)) {
    return 0;
  }
  // A pipe that is writable takes this much at once.
  return write(this->file_descriptor, bytes.data(),
               std::min<std::size_t>(bytes.size(), PIPE_BUF));
}

std::size_t LineOutput::WriteSome(std::string_view bytes) {
  std::size_t accepted = 0;
  while (accepted < bytes.size()) {
    const ssize_t written = this->WriteOnce(bytes.substr(accepted));
    if (written < 0 && errno == EINTR) {
      continue;
    }
    if (written <= 0) {
      break;
    }
    accepted += static_cast<std::size_t>(written);
  }
  return accepted;
}

bool LineOutput::WriteLine(std::string_view line) {
  if (!this->unwritten.empty()) {
    this->unwritten.erase(0, this->WriteSome(this->unwritten));
    if (!this->unwritten.empty()) {
      return false;
    }
  }
  std::string text(line);
  text += '\n';
  const std::size_t accepted = this->WriteSome(text);
  if (accepted > 0) {
    this->unwritten = text.substr(accepted);
  }
  return accepted > 0;
}

}  // namespace toucanhollow
