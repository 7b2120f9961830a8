// An HTTP server in a separate thread, for tests of blocking tools.
#ifndef CTL_THREADED_SERVER_FOR_TEST_H_
#define CTL_THREADED_SERVER_FOR_TEST_H_

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

#include "base/address.h"
#include "base/check.h"
#include "http_server/http_server.h"

namespace toucanhollow {

class ThreadedServer {
 public:
  // The handler that `make_handler` returns may use the server's event loop.
  explicit ThreadedServer(
      const std::function<HttpHandler(EventLoop&)>& make_handler) {
    auto listening = HttpServer::Listen(this->loop, HttpServerOptions{},
                                        make_handler(this->loop));
    InternalCheck(listening.has_value(), "the test server listens");
    this->server = std::move(listening.value());
    this->poll = std::make_unique<Timer>(this->loop, Milliseconds(5),
                                         Milliseconds(5), [this] {
                                           if (this->stopping) {
                                             this->loop.Stop();
                                           }
                                         });
    this->thread = std::thread([this] { this->loop.Run(); });
  }
  ~ThreadedServer() {
    this->stopping = true;
    this->thread.join();
  }
  Address ListenAddress() const { return {"127.0.0.1", this->server->Port()}; }

 private:
  EventLoop loop;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<Timer> poll;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace toucanhollow

#endif  // CTL_THREADED_SERVER_FOR_TEST_H_
