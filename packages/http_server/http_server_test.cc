#include "http_server/http_server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <vector>

#include <catch2/catch.hpp>

#include "http_client/http_client.h"

namespace toucanhollow {
namespace {

constexpr Duration kTestTimeout = Seconds(20);

struct Fixture {
  EventLoop loop;
  std::unique_ptr<HttpServer> server;
  HttpClient client{this->loop};
  // Stops a test that hangs.
  Timer timeout_timer{this->loop, kTestTimeout, Duration(0), [this] {
                        this->timed_out = true;
                        this->loop.Stop();
                      }};
  bool timed_out = false;

  void Listen(HttpHandler handler, HttpServerOptions options = {}) {
    auto listening =
        HttpServer::Listen(this->loop, std::move(options), std::move(handler));
    REQUIRE(listening.has_value());
    this->server = std::move(listening).value();
  }

  HttpCall MakeCall(const std::string& method, const std::string& path) {
    HttpCall call;
    call.method = method;
    call.url =
        "http://127.0.0.1:" + std::to_string(this->server->Port()) + path;
    call.total_timeout = kTestTimeout;
    return call;
  }

  HttpOutcome Fetch(HttpCall call) {
    HttpOutcome result;
    HttpCallbacks callbacks;
    callbacks.on_done = [&](HttpOutcome outcome) {
      result = std::move(outcome);
      this->loop.Stop();
    };
    this->client.Start(std::move(call), std::move(callbacks));
    this->loop.Run();
    CHECK_FALSE(this->timed_out);
    return result;
  }

  // Sends raw bytes and returns everything received until the server closes the
  // connection.
  std::string SendRaw(const std::string& bytes) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->server->Port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    REQUIRE(send(fd, bytes.data(), bytes.size(), 0) ==
            static_cast<ssize_t>(bytes.size()));
    std::string received;
    const IoWatcher watcher(
        this->loop, fd, IoWatcher::kRead, [&](IoWatcher::Interest) {
          char buffer[4096];
          const ssize_t count = recv(fd, buffer, sizeof(buffer), 0);
          if (count <= 0) {
            this->loop.Stop();
          } else {
            received.append(buffer, static_cast<std::size_t>(count));
          }
        });
    this->loop.Run();
    close(fd);
    CHECK_FALSE(this->timed_out);
    return received;
  }
};

// Guards against a request that reaches the handler altered or incomplete.
TEST_CASE("a handler receives the complete request") {
  Fixture fixture;
  fixture.Listen([](const HttpRequest& request, auto writer) {
    CHECK(request.method == "POST");
    CHECK(request.path == "/a b");
    CHECK(QueryValue(request.query, "x") == "1 2");
    CHECK(FindHeader(request.headers, "x-tag") == "t");
    writer->Respond(201, {{"X-Size", std::to_string(request.body.size())}},
                    request.body);
  });
  HttpCall call = fixture.MakeCall("POST", "/a%20b?x=1%202");
  call.headers = {{"X-Tag", "t"}};
  call.body = std::string(200'000, 'b');
  const HttpOutcome outcome = fixture.Fetch(call);
  CHECK(outcome.end == HttpEnd::kComplete);
  CHECK(outcome.status == 201);
  CHECK(outcome.body == call.body);
  CHECK(FindHeader(outcome.headers, "x-size") == "200000");
}

// Guards against pieces that are lost or reordered while a connection is
// suspended and resumed, and against buffering them until the response ends.
TEST_CASE("a response is streamed in pieces") {
  Fixture fixture;
  std::shared_ptr<HttpResponseWriter> stored_writer;
  fixture.Listen(
      [&](const HttpRequest&, auto writer) { stored_writer = writer; });
  std::string expected;
  int pieces = 0;
  const Timer piece_timer(fixture.loop, Milliseconds(1), Milliseconds(1), [&] {
    if (stored_writer == nullptr) {
      return;
    }
    if (pieces == 0) {
      stored_writer->Start(200, {});
    }
    const std::string piece = std::to_string(pieces) + ";";
    expected += piece;
    stored_writer->Write(piece);
    if (++pieces == 100) {
      stored_writer->End();
      stored_writer.reset();
    }
  });
  int data_calls = 0;
  std::string received;
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view bytes) {
    ++data_calls;
    received += bytes;
  };
  callbacks.on_done = [&](const HttpOutcome& outcome) {
    CHECK(outcome.end == HttpEnd::kComplete);
    fixture.loop.Stop();
  };
  fixture.client.Start(fixture.MakeCall("GET", "/"), std::move(callbacks));
  fixture.loop.Run();
  CHECK(received == expected);
  CHECK(data_calls > 1);
}

// Guards against work for a caller that has disconnected, which libmicrohttpd
// does not notice because it does not read a suspended connection.
TEST_CASE("the handler is notified when the caller disconnects") {
  Fixture fixture;
  std::shared_ptr<HttpResponseWriter> stored_writer;
  bool caller_disconnected = false;
  const bool streaming = GENERATE(false, true);
  HttpCallId id = 0;
  fixture.Listen([&](const HttpRequest&, auto writer) {
    stored_writer = writer;
    writer->OnCallerDisconnected([&] {
      caller_disconnected = true;
      fixture.loop.Stop();
    });
    if (streaming) {
      writer->Start(200, {});
      writer->Write("first");
    }
    Post(fixture.loop, [&] { fixture.client.Cancel(id); });
  });
  id = fixture.client.Start(fixture.MakeCall("GET", "/"), {});
  fixture.loop.Run();
  CHECK(caller_disconnected);
  CHECK(stored_writer->HasCallerDisconnected());
  if (!streaming) {
    stored_writer->Start(200, {});
  }
  stored_writer->Write("ignored");
  CHECK(stored_writer->BufferedBytes() == 0);
}

// Guards against a truncated response that looks complete because its writer
// was destroyed before End.
TEST_CASE("a writer destroyed before End breaks the connection") {
  Fixture fixture;
  const bool started = GENERATE(false, true);
  fixture.Listen(
      [&](const HttpRequest&, std::shared_ptr<HttpResponseWriter> writer) {
        if (started) {
          writer->Start(200, {});
          writer->Write("part");
        }
        Post(fixture.loop, [writer]() mutable { writer.reset(); });
      });
  CHECK(fixture.Fetch(fixture.MakeCall("GET", "/")).end == HttpEnd::kBroken);
}

// Guards against unbounded memory use for a request, and against a limit that
// the caller sees as a broken connection instead of an error status.
TEST_CASE("requests over a size limit receive 413 or 431") {
  Fixture fixture;
  HttpServerOptions options;
  options.max_header_bytes = 1000;
  options.max_body_bytes = 1000;
  fixture.Listen(
      [](const HttpRequest&, auto writer) { writer->Respond(200, {}, ""); },
      options);
  HttpCall call = fixture.MakeCall("POST", "/");
  call.body = std::string(1000, 'b');
  CHECK(fixture.Fetch(call).status == 200);
  call.body = std::string(1001, 'b');
  CHECK(fixture.Fetch(call).status == 413);
  call.body = std::string(3000, 'b');
  call.headers = {{"Transfer-Encoding", "chunked"}};
  CHECK(fixture.Fetch(call).status == 413);
  call = fixture.MakeCall("GET", "/");
  call.headers = {{"X-Long", std::string(1200, 'h')}};
  CHECK(fixture.Fetch(call).status == 431);
  call.headers = {{"X-Long", std::string(100'000, 'h')}};
  CHECK(fixture.Fetch(call).status == 431);
}

// Guards against a request that is hidden in the body of another one, whose end
// this server and a proxy before it find at different places.
TEST_CASE(
    "requests with an unclear length receive 400 and the connection ends") {
  Fixture fixture;
  std::vector<std::string> handled;
  fixture.Listen([&handled](const HttpRequest& request, const auto& writer) {
    handled.push_back(request.path);
    writer->Respond(200, {{"Connection", "close"}}, "ok");
  });
  const std::string hidden =
      "GET /hidden HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  const auto send = [&](const std::string& framing, const std::string& body) {
    handled.clear();
    return fixture.SendRaw("POST /outer HTTP/1.1\r\nHost: h\r\n" + framing +
                           "\r\n" + body);
  };
  for (const char* framing :
       {"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 0\r\nContent-Length: 3\r\n", "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n", "Content-Length : 3\r\n",
        "X: y\r\n Content-Length: 3\r\n", "X: y\rContent-Length: 3\r\n",
        "Transfer-Encoding : chunked\r\n", "Transfer-Encoding\t: chunked\r\n",
        "Transfer-Encoding:\r\n", "Transfer-Encoding: chunked\x0b\r\n",
        "Transfer-Encoding: chunked,\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n"}) {
    INFO(framing);
    CHECK(send(framing, hidden).starts_with("HTTP/1.1 400"));
    CHECK(handled.empty());
  }
  CHECK(send("Transfer-Encoding: gzip, chunked\r\n",
             "3\r\nabc\r\n0\r\n\r\n" + hidden)
            .starts_with("HTTP/1.1 501"));
  CHECK(handled.empty());
  // libmicrohttpd does not read these chunks.
  CHECK(send("Transfer-Encoding: chunked \r\n", "3\r\nabc\r\n0\r\n\r\n")
            .starts_with("HTTP/1.1 400"));
  CHECK(handled.empty());
  for (const char* framing :
       {"Transfer-Encoding: chunked\r\n", "transfer-encoding:\tChunked\r\n"}) {
    INFO(framing);
    CHECK(send(framing, "3\r\nabc\r\n0\r\n\r\n").starts_with("HTTP/1.1 200"));
    CHECK(handled == std::vector<std::string>{"/outer"});
  }
}

// Guards against callers that occupy a connection by sending slowly.
TEST_CASE("a slow request receives 408") {
  Fixture fixture;
  HttpServerOptions options;
  options.request_timeout = Milliseconds(100);
  options.idle_timeout = Seconds(1);
  fixture.Listen(
      [](const HttpRequest&, auto) {
        FAIL("handler called with an incomplete request");
      },
      options);
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
  CHECK(fixture.SendRaw(head + "Content-Length: 10\r\n\r\nabc")
            .starts_with("HTTP/1.1 408 "));
  // With an incomplete header or no request at all, the server only closes the
  // connection.
  CHECK_FALSE(fixture.SendRaw("GET / HT").starts_with("HTTP/1.1 200"));
  CHECK(fixture.SendRaw("").empty());
}

// Guards against error responses of the server itself that differ in format
// from those of its handler.
TEST_CASE("error responses of the server use error_body") {
  Fixture fixture;
  HttpServerOptions options;
  options.max_body_bytes = 10;
  options.request_timeout = Milliseconds(100);
  options.error_body = [](int status) {
    return "{\"status\":" + std::to_string(status) + "}";
  };
  fixture.Listen([](const HttpRequest&, auto) { FAIL("refused"); }, options);
  HttpCall call = fixture.MakeCall("POST", "/");
  call.body = std::string(11, 'b');
  const HttpOutcome outcome = fixture.Fetch(call);
  CHECK(outcome.body == "{\"status\":413}");
  CHECK(FindHeader(outcome.headers, "Content-Type") == "application/json");
  CHECK(fixture
            .SendRaw("POST / HTTP/1.1\r\nHost: a\r\n"
                     "Content-Length: 10\r\n\r\nabc")
            .ends_with("{\"status\":408}"));
}

// Guards against a shutdown that truncates an open stream or accepts a new
// request.
TEST_CASE("open streams finish after the server stops accepting") {
  Fixture fixture;
  std::shared_ptr<HttpResponseWriter> stored_writer;
  fixture.Listen([&](const HttpRequest& request, auto writer) {
    if (request.path == "/quick") {
      writer->Respond(200, {}, "");
      return;
    }
    writer->Start(200, {});
    writer->Write("first ");
    stored_writer = writer;
    fixture.loop.Stop();
  });
  HttpCall quick = fixture.MakeCall("GET", "/quick");
  quick.repeatable = true;
  CHECK(fixture.Fetch(quick).status == 200);
  HttpOutcome streamed;
  HttpCallbacks callbacks;
  callbacks.on_done = [&](HttpOutcome outcome) {
    streamed = std::move(outcome);
    fixture.loop.Stop();
  };
  fixture.client.Start(fixture.MakeCall("GET", "/"), std::move(callbacks));
  fixture.loop.Run();
  CHECK(fixture.server->OpenRequests() == 1);
  fixture.server->StopAccepting();
  const HttpOutcome refused = fixture.Fetch(quick);
  CHECK(refused.end == HttpEnd::kNotConnected);
  CHECK_FALSE(refused.maybe_sent);
  stored_writer->Write("last");
  stored_writer->End();
  stored_writer.reset();
  fixture.loop.Run();
  CHECK(streamed.end == HttpEnd::kComplete);
  CHECK(streamed.body == "first last");
}

// Guards against a process that ends, or a server that stops serving, because a
// callback that libmicrohttpd calls threw.
TEST_CASE("a callback that throws ends its request only") {
  Fixture fixture;
  std::vector<std::string> reported;
  fixture.loop.SetUncaughtExceptionHandler(
      [&](std::string_view what) { reported.emplace_back(what); });
  HttpServerOptions options;
  options.max_body_bytes = 10;
  options.error_body = [](int) -> std::string { throw std::bad_alloc(); };
  std::shared_ptr<HttpResponseWriter> stored_writer;
  fixture.Listen(
      [&](const HttpRequest& request, const auto& writer) {
        if (request.path == "/throw") {
          throw 7;
        }
        if (request.path == "/store") {
          writer->OnCallerDisconnected(
              [] { throw std::runtime_error("disconnected"); });
          writer->Start(200, {});
          writer->Write("first ");
          stored_writer = writer;
          return;
        }
        writer->Respond(200, {}, "");
      },
      options);
  CHECK(fixture.Fetch(fixture.MakeCall("GET", "/throw")).status == 500);
  HttpCall large = fixture.MakeCall("POST", "/");
  large.body = std::string(11, 'b');
  CHECK(fixture.Fetch(large).end == HttpEnd::kBroken);
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view) { fixture.loop.Stop(); };
  const HttpCallId id = fixture.client.Start(fixture.MakeCall("GET", "/store"),
                                             std::move(callbacks));
  fixture.loop.Run();
  fixture.client.Cancel(id);
  const Timer settled(fixture.loop, Milliseconds(200), Duration(0),
                      [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  CHECK(reported.size() == 3);
  CHECK(reported.back() == "disconnected");
  CHECK(fixture.Fetch(fixture.MakeCall("GET", "/")).status == 200);
  CHECK(fixture.server->OpenRequests() == 0);
}

// Guards against a handler that uses objects which are gone, as the server is
// destroyed after them: requests that have arrived were handled while it ends.
TEST_CASE("a server that is destroyed calls nothing back") {
  Fixture fixture;
  int handled = 0;
  int disconnected = 0;
  std::shared_ptr<HttpResponseWriter> stored_writer;
  fixture.Listen([&](const HttpRequest& request, const auto& writer) {
    ++handled;
    if (request.path == "/store") {
      writer->OnCallerDisconnected([&] { ++disconnected; });
      writer->Start(200, {});
      writer->Write("first ");
      stored_writer = writer;
      return;
    }
    writer->Respond(200, {}, "");
  });
  HttpCallbacks callbacks;
  callbacks.on_data = [&](std::string_view) { fixture.loop.Stop(); };
  fixture.client.Start(fixture.MakeCall("GET", "/store"), std::move(callbacks));
  fixture.loop.Run();
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(fixture.server->Port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) ==
          0);
  const Timer accepted(fixture.loop, Milliseconds(50), Duration(0),
                       [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  REQUIRE(send(fd, request.data(), request.size(), 0) ==
          static_cast<ssize_t>(request.size()));
  fixture.server.reset();
  CHECK(handled == 1);
  CHECK(disconnected == 0);
  close(fd);
}

// Guards against probes that are not answered because others have connected and
// send nothing, or send no complete request.
TEST_CASE("connections without a request keep nobody out") {
  Fixture fixture;
  HttpServerOptions options;
  options.max_connections = 4;
  options.closes_idle_when_full = true;
  fixture.Listen([](const HttpRequest&,
                    const auto& writer) { writer->Respond(200, {}, ""); },
                 options);
  const std::string sent = GENERATE("", "GET / HTT");
  std::vector<int> held;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(fixture.server->Port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int i = 0; i < 12; ++i) {
    held.push_back(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(held.back(), reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    send(held.back(), sent.data(), sent.size(), MSG_NOSIGNAL);
  }
  const Timer settled(fixture.loop, Milliseconds(100), Duration(0),
                      [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  HttpCall probe = fixture.MakeCall("GET", "/");
  probe.total_timeout = Seconds(3);
  CHECK(fixture.Fetch(probe).status == 200);
  for (const int fd : held) {
    close(fd);
  }
}

// Guards against connections that the kernel has established and the server has
// not accepted when it closes its listener.
TEST_CASE("connections in the backlog are served after the stop") {
  Fixture fixture;
  fixture.Listen([](const HttpRequest&, const auto& writer) {
    writer->Respond(200, {}, "");
  });
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(fixture.server->Port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  std::array<int, 40> callers{};
  for (int& caller : callers) {
    caller = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(caller, reinterpret_cast<sockaddr*>(&address),
                    sizeof(address)) == 0);
    REQUIRE(send(caller, request.data(), request.size(), 0) ==
            static_cast<ssize_t>(request.size()));
  }
  fixture.server->StopAccepting();
  const Timer served(fixture.loop, Milliseconds(300), Duration(0),
                     [&] { fixture.loop.Stop(); });
  fixture.loop.Run();
  for (const int caller : callers) {
    std::array<char, 256> buffer{};
    const ssize_t count =
        recv(caller, buffer.data(), buffer.size(), MSG_DONTWAIT);
    REQUIRE(count > 0);
    CHECK(std::string_view(buffer.data(), static_cast<std::size_t>(count))
              .starts_with("HTTP/1.1 200"));
    close(caller);
  }
}

// Guards against a process that is aborted because it opened a server while
// nearly all descriptors were in use.
TEST_CASE("a server that lacks its last descriptor is not opened") {
  EventLoop loop;
  const auto open_server = [&loop] {
    return HttpServer::Listen(loop, {}, [](const HttpRequest&, const auto&) {});
  };
  std::array<int, 3> free_numbers{};
  for (int& number : free_numbers) {
    number = dup(STDERR_FILENO);
    REQUIRE(number >= 0);
  }
  for (const int number : free_numbers) {
    close(number);
  }
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  // Of the three descriptors that a server needs, the last one is missing.
  const rlimit limit{static_cast<rlim_t>(free_numbers.back()), before.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  const bool opened_without = open_server().has_value();
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK_FALSE(opened_without);
  CHECK(open_server().has_value());
}

// Guards against a process that uses all of its processor time while a
// connection waits for a free descriptor, and against one that is forgotten.
TEST_CASE("a server without a free descriptor waits for one") {
  const bool has_other_connection = GENERATE(false, true);
  Fixture fixture;
  fixture.Listen([](const HttpRequest&, const auto& writer) {
    writer->Respond(200, {}, "");
  });
  const auto run_for = [&fixture](Duration time) {
    const Timer end(fixture.loop, time, Duration(0),
                    [&fixture] { fixture.loop.Stop(); });
    fixture.loop.Run();
  };
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(fixture.server->Port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  const int other = socket(AF_INET, SOCK_STREAM, 0);
  const int caller = socket(AF_INET, SOCK_STREAM, 0);
  if (has_other_connection) {
    REQUIRE(connect(other, raw, sizeof(address)) == 0);
    run_for(Milliseconds(100));
  }
  const int first_free = dup(STDERR_FILENO);
  REQUIRE(first_free >= 0);
  close(first_free);
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const rlimit limit{static_cast<rlim_t>(first_free), before.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &limit) == 0);
  const bool connected = connect(caller, raw, sizeof(address)) == 0;
  const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  send(caller, request.data(), request.size(), MSG_NOSIGNAL);
  const std::clock_t used_before = std::clock();
  run_for(Milliseconds(500));
  const double used_s =
      static_cast<double>(std::clock() - used_before) / CLOCKS_PER_SEC;
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK(connected);
  CHECK(used_s < 0.1);
  run_for(Milliseconds(1500));
  std::array<char, 256> buffer{};
  CHECK(recv(caller, buffer.data(), buffer.size(), MSG_DONTWAIT) > 0);
  close(caller);
  close(other);
}

// Guards against connections without number that wait to be accepted, each
// with its receive buffer.
TEST_CASE("the backlog holds no more connections than its bound") {
  constexpr unsigned int kConnections = 3 * kMinBacklog;
  Fixture fixture;
  HttpServerOptions options;
  options.max_connections = 2;
  fixture.Listen(
      [](const HttpRequest&, const std::shared_ptr<HttpResponseWriter>&) {},
      options);
  std::vector<pollfd> polled;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(fixture.server->Port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (unsigned int i = 0; i < kConnections; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    REQUIRE(fd >= 0);
    const int connected =
        connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    REQUIRE((connected == 0 || errno == EINPROGRESS));
    polled.push_back({fd, POLLOUT, 0});
  }
  // Connections on loopback are established at once or not before a second.
  poll(polled.data(), polled.size(), 0);
  const auto established =
      std::ranges::count(polled, POLLOUT, &pollfd::revents);
  // The kernel queues one more than the number passed to listen.
  CHECK(established == kMinBacklog + 1);
  for (const pollfd& entry : polled) {
    close(entry.fd);
  }
}

}  // namespace
}  // namespace toucanhollow
