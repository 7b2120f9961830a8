// An HTTP server in a thread of its own, for tests of tools that wait.
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
  // `make_handler` may keep state that uses the server's loop.
  explicit ThreadedServer(
      const std::function<HttpHandler(EventLoop&)>& make_handler) {
    auto listening = HttpServer::Listen(this->loop, HttpServerOptions{},
                                        make_handler(this->loop));
    InternalCheck(listening.has_value(), "test server listens");
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
  Address Where() const { return {"127.0.0.1", this->server->Port()}; }

 private:
  EventLoop loop;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<Timer> poll;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace toucanhollow

#endif  // CTL_THREADED_SERVER_FOR_TEST_H_
