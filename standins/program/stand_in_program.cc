#include "standins/program/stand_in_program.h"

#include <csignal>
#include <iostream>
#include <utility>

namespace toucanhollow {
namespace {

constexpr std::size_t kMaxBodyBytes = std::size_t{16} * 1024 * 1024;

}  // namespace

int RunStandIn(EventLoop& loop,
               const std::string& address,
               int port,
               HttpHandler handler) {
  HttpServerOptions options;
  options.address = address;
  options.port = static_cast<std::uint16_t>(port);
  options.max_body_bytes = kMaxBodyBytes;
  auto server = HttpServer::Listen(loop, options, std::move(handler));
  if (!server.has_value()) {
    std::cerr << FormatFailure(server.error()) << std::endl;
    return 1;
  }
  std::cout << "listening " << server.value()->Port() << std::endl;
  const SignalWatcher term(loop, SIGTERM, [&] { loop.Stop(); });
  const SignalWatcher interrupt(loop, SIGINT, [&] { loop.Stop(); });
  loop.Run();
  return 0;
}

}  // namespace toucanhollow
