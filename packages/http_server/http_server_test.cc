#include "http_server/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

#include "http_client/http_client.h"

namespace toucanhollow {
namespace {

constexpr Duration kTestTimeout = Seconds(20);

struct Fixture {
  EventLoop loop;
  std::unique_ptr<HttpServer> server;
  HttpClient client{this->loop};
  // Ends a test that would hang.
  Timer guard{this->loop, kTestTimeout, Duration(0), [this] {
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

  HttpCall Call(const std::string& method, const std::string& path) {
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

  // Sends raw bytes and returns all that comes until the server closes.
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

// Guards against a request that reaches the handler changed or in part.
TEST_CASE("a handler gets the whole request") {
  Fixture fixture;
  fixture.Listen([](const HttpRequest& request, auto writer) {
    CHECK(request.method == "POST");
    CHECK(request.path == "/a b");
    CHECK(QueryValue(request.query, "x") == "1 2");
    CHECK(FindHeader(request.headers, "x-tag") == "t");
    writer->Respond(201, {{"X-Size", std::to_string(request.body.size())}},
                    request.body);
  });
  HttpCall call = fixture.Call("POST", "/a%20b?x=1%202");
  call.headers = {{"X-Tag", "t"}};
  call.body = std::string(200'000, 'b');
  const HttpOutcome outcome = fixture.Fetch(call);
  CHECK(outcome.end == HttpEnd::kComplete);
  CHECK(outcome.status == 201);
  CHECK(outcome.body == call.body);
  CHECK(FindHeader(outcome.headers, "x-size") == "200000");
}

// Guards against pieces that are lost or reordered while a connection is
// suspended and resumed, and against pieces held back until the end.
TEST_CASE("an answer is streamed in pieces") {
  Fixture fixture;
  std::shared_ptr<HttpResponseWriter> held;
  fixture.Listen([&](const HttpRequest&, auto writer) { held = writer; });
  std::string expected;
  int pieces = 0;
  const Timer piece_timer(fixture.loop, Milliseconds(1), Milliseconds(1), [&] {
    if (held == nullptr) {
      return;
    }
    if (pieces == 0) {
      held->Start(200, {});
    }
    const std::string piece = std::to_string(pieces) + ";";
    expected += piece;
    held->Write(piece);
    if (++pieces == 100) {
      held->End();
      held.reset();
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
  fixture.client.Start(fixture.Call("GET", "/"), std::move(callbacks));
  fixture.loop.Run();
  CHECK(received == expected);
  CHECK(data_calls > 1);
}

// Guards against work for a caller that has left: a suspended connection is
// not read by the library.
TEST_CASE("the handler learns that the caller has gone") {
  Fixture fixture;
  std::shared_ptr<HttpResponseWriter> held;
  bool gone = false;
  const bool streaming = GENERATE(false, true);
  HttpCallId id = 0;
  fixture.Listen([&](const HttpRequest&, auto writer) {
    held = writer;
    writer->OnCallerGone([&] {
      gone = true;
      fixture.loop.Stop();
    });
    if (streaming) {
      writer->Start(200, {});
      writer->Write("first");
    }
    Post(fixture.loop, [&] { fixture.client.Cancel(id); });
  });
  id = fixture.client.Start(fixture.Call("GET", "/"), {});
  fixture.loop.Run();
  CHECK(gone);
  CHECK(held->CallerGone());
  if (!streaming) {
    held->Start(200, {});
  }
  held->Write("ignored");
  CHECK(held->BufferedBytes() == 0);
}

// Guards against an answer cut by a lost writer that looks whole.
TEST_CASE("a writer destroyed early breaks the answer") {
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
  CHECK(fixture.Fetch(fixture.Call("GET", "/")).end == HttpEnd::kBroken);
}

// Guards against unbounded memory for a request, and against a limit that the
// caller sees as a broken connection instead of an error.
TEST_CASE("size limits give clear errors") {
  Fixture fixture;
  HttpServerOptions options;
  options.max_header_bytes = 1000;
  options.max_body_bytes = 1000;
  fixture.Listen(
      [](const HttpRequest&, auto writer) { writer->Respond(200, {}, ""); },
      options);
  HttpCall call = fixture.Call("POST", "/");
  call.body = std::string(1000, 'b');
  CHECK(fixture.Fetch(call).status == 200);
  call.body = std::string(1001, 'b');
  CHECK(fixture.Fetch(call).status == 413);
  call.body = std::string(3000, 'b');
  call.headers = {{"Transfer-Encoding", "chunked"}};
  CHECK(fixture.Fetch(call).status == 413);
  call = fixture.Call("GET", "/");
  call.headers = {{"X-Long", std::string(1200, 'h')}};
  CHECK(fixture.Fetch(call).status == 431);
  call.headers = {{"X-Long", std::string(100'000, 'h')}};
  CHECK(fixture.Fetch(call).status == 431);
}

// Guards against callers that hold a connection by sending slowly.
TEST_CASE("a slow caller is answered 408") {
  Fixture fixture;
  HttpServerOptions options;
  options.request_timeout = Milliseconds(100);
  options.idle_timeout = Seconds(1);
  fixture.Listen([](const HttpRequest&, auto) { FAIL("not whole"); }, options);
  const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
  CHECK(fixture.SendRaw(head + "Content-Length: 10\r\n\r\nabc")
            .starts_with("HTTP/1.1 408 "));
  // Without a whole header and without any request the server only closes.
  CHECK_FALSE(fixture.SendRaw("GET / HT").starts_with("HTTP/1.1 200"));
  CHECK(fixture.SendRaw("").empty());
}

// Guards against refusals of the server itself in another form than those of
// its handler.
TEST_CASE("the server's own answers have the owner's body") {
  Fixture fixture;
  HttpServerOptions options;
  options.max_body_bytes = 10;
  options.request_timeout = Milliseconds(100);
  options.error_body = [](int status) {
    return "{\"status\":" + std::to_string(status) + "}";
  };
  fixture.Listen([](const HttpRequest&, auto) { FAIL("refused"); }, options);
  HttpCall call = fixture.Call("POST", "/");
  call.body = std::string(11, 'b');
  const HttpOutcome outcome = fixture.Fetch(call);
  CHECK(outcome.body == "{\"status\":413}");
  CHECK(FindHeader(outcome.headers, "Content-Type") == "application/json");
  CHECK(fixture
            .SendRaw("POST / HTTP/1.1\r\nHost: a\r\n"
                     "Content-Length: 10\r\n\r\nabc")
            .ends_with("{\"status\":408}"));
}

// Guards against a shutdown that cuts an open stream or takes a new request.
TEST_CASE("open streams finish after the server stops accepting") {
  Fixture fixture;
  std::shared_ptr<HttpResponseWriter> held;
  fixture.Listen([&](const HttpRequest& request, auto writer) {
    if (request.path == "/quick") {
      writer->Respond(200, {}, "");
      return;
    }
    writer->Start(200, {});
    writer->Write("first ");
    held = writer;
    fixture.loop.Stop();
  });
  HttpCall quick = fixture.Call("GET", "/quick");
  quick.repeatable = true;
  CHECK(fixture.Fetch(quick).status == 200);
  HttpOutcome streamed;
  HttpCallbacks callbacks;
  callbacks.on_done = [&](HttpOutcome outcome) {
    streamed = std::move(outcome);
    fixture.loop.Stop();
  };
  fixture.client.Start(fixture.Call("GET", "/"), std::move(callbacks));
  fixture.loop.Run();
  CHECK(fixture.server->OpenRequests() == 1);
  fixture.server->StopAccepting();
  const HttpOutcome refused = fixture.Fetch(quick);
  CHECK(refused.end == HttpEnd::kNotConnected);
  CHECK_FALSE(refused.maybe_sent);
  held->Write("last");
  held->End();
  held.reset();
  fixture.loop.Run();
  CHECK(streamed.end == HttpEnd::kComplete);
  CHECK(streamed.body == "first last");
}

}  // namespace
}  // namespace toucanhollow
