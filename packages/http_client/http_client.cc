#include "http_client/http_client.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <new>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/check.h"
#include "base/trim.h"

namespace toucanhollow {
namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t{64} * 1024;

// Lines are passed with their line end.
constexpr std::string_view kSpace = " \t\r\n";

struct ActiveCall {
  HttpCallId id = 0;
  HttpCall request;
  HttpCallbacks callbacks;
  struct ev_loop* loop = nullptr;
  // All that the client has open, also those of kept connections.
  std::set<curl_socket_t>* sockets = nullptr;
  CURL* easy = nullptr;
  curl_slist* header_list = nullptr;
  bool added = false;
  bool cancelled = false;
  bool header_complete = false;
  bool too_large = false;
  // The call ended before its request was sent, as the connection that it was
  // to reuse had unread bytes or was closed.
  bool found_stale = false;
  std::size_t header_bytes = 0;
  std::size_t body_bytes = 0;
  HttpOutcome outcome;

  ~ActiveCall() {
    curl_easy_cleanup(this->easy);
    curl_slist_free_all(this->header_list);
  }
};

std::size_t HandleHeaderLine(ActiveCall* call, std::string_view line) {
  call->header_bytes += line.size();
  if (call->cancelled || call->header_bytes > kMaxHeaderBytes) {
    call->too_large = !call->cancelled;
    return 0;
  }
  if (line.starts_with("HTTP/")) {
    call->outcome.headers.clear();
  } else if (Trim(line, kSpace).empty()) {
    std::int64_t status = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    const StatusClass status_class = ClassifyStatus(static_cast<int>(status));
    if (status_class == StatusClass::kInvalid) {
      return 0;
    }
    // The header of the final response follows that of an interim one.
    if (status_class == StatusClass::kFinal && !call->header_complete) {
      call->header_complete = true;
      call->outcome.status = static_cast<int>(status);
      if (call->callbacks.on_header) {
        call->callbacks.on_header(call->outcome.status, call->outcome.headers);
      }
    }
  } else {
    const std::size_t colon = std::min(line.find(':'), line.size());
    call->outcome.headers.push_back(
        {std::string(Trim(line.substr(0, colon), kSpace)),
         std::string(
             Trim(line.substr(std::min(colon + 1, line.size())), kSpace))});
  }
  return line.size();
}

std::size_t HandleBody(ActiveCall* call, std::string_view bytes) {
  call->body_bytes += bytes.size();
  if (call->cancelled || call->body_bytes > call->request.max_response_bytes) {
    call->too_large = !call->cancelled;
    return 0;
  }
  if (call->callbacks.on_data) {
    call->callbacks.on_data(bytes);
  } else {
    call->outcome.body.append(bytes);
  }
  return bytes.size();
}

// Adapts a handler to the type that libcurl calls. After an exception the call
// ends as if its connection had broken.
template <std::size_t (*kHandler)(ActiveCall*, std::string_view)>
std::size_t HandleGuarded(char* data,
                          std::size_t size,
                          std::size_t count,
                          void* context) {
  auto* call = static_cast<ActiveCall*>(context);
  std::size_t handled = 0;
  const bool succeeded = RunGuarded(call->loop, [&] {
    handled = kHandler(call, std::string_view(data, size * count));
  });
  return succeeded ? handled : CURL_WRITEFUNC_ERROR;
}

std::uint16_t LocalPort(curl_socket_t socket) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  const int read =
      getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  return read == 0 ? ntohs(address.sin_port) : 0;
}

// True if the peer has sent nothing that was not read, and has not closed.
bool IsQuiet(curl_socket_t socket) {
  char byte = 0;
  const ssize_t read =
      recv(socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// Bytes that arrive on a connection between two calls belong to neither.
// libcurl would take them for the answer to the next one. It does not tell the
// socket before the request is sent, only the local port.
int CheckKeptConnection(void* context,
                        char* /*remote_ip*/,
                        char* /*local_ip*/,
                        int /*remote_port*/,
                        int local_port) {
  auto* call = static_cast<ActiveCall*>(context);
  // NOLINTNEXTLINE(google-runtime-int): libcurl declares this type.
  long new_connections = 0;
  curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &new_connections);
  if (new_connections > 0) {
    return CURL_PREREQFUNC_OK;
  }
  // Connections to two hosts may have the same local port.
  call->found_stale =
      std::ranges::any_of(*call->sockets, [local_port](curl_socket_t socket) {
        return LocalPort(socket) == local_port && !IsQuiet(socket);
      });
  return call->found_stale ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

curl_socket_t OpenSocket(void* context,
                         curlsocktype /*purpose*/,
                         curl_sockaddr* address) {
  auto* call = static_cast<ActiveCall*>(context);
  const curl_socket_t opened = socket(
      address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  if (opened == CURL_SOCKET_BAD ||
      RunGuarded(call->loop, [&] { call->sockets->insert(opened); })) {
    return opened;
  }
  close(opened);
  return CURL_SOCKET_BAD;
}

int CloseSocket(void* context, curl_socket_t socket) {
  static_cast<std::set<curl_socket_t>*>(context)->erase(socket);
  return close(socket);
}

// libcurl interprets 0 as its default timeout, so timeouts below 1 ms are
// rounded up to 1 ms.
std::int64_t ToTimeoutMs(Duration duration) {
  return std::max<std::int64_t>(
      1, std::chrono::ceil<std::chrono::milliseconds>(duration).count());
}

void ConfigureEasy(ActiveCall& call, std::set<curl_socket_t>& sockets) {
  CURL* easy = call.easy;
  const HttpCall& request = call.request;
  curl_easy_setopt(easy, CURLOPT_URL, request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  // Ignores proxy environment variables, which must not redirect internal
  // traffic.
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                   ToTimeoutMs(request.connect_timeout));
  if (request.total_timeout > Duration(0)) {
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     ToTimeoutMs(request.total_timeout));
  }
  if (!request.repeatable || request.connection != ConnectionUse::kShared) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
  } else {
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, CheckKeptConnection);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &call);
  }
  if (request.connection == ConnectionUse::kOwn) {
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
  if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (!request.body.empty() || request.method == "POST" ||
             request.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
  }
  // Empty values remove the headers that libcurl adds by default. "Expect" is
  // removed because waiting for "100 Continue" would delay each large body.
  call.header_list = curl_slist_append(call.header_list, "Expect:");
  if (FindHeader(request.headers, "Content-Type").empty()) {
    call.header_list = curl_slist_append(call.header_list, "Content-Type:");
  }
  for (const HttpHeader& header : request.headers) {
    call.header_list = curl_slist_append(
        call.header_list, (header.name + ": " + header.value).c_str());
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call.header_list);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION,
                   HandleGuarded<HandleHeaderLine>);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, HandleGuarded<HandleBody>);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
  call.sockets = &sockets;
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, OpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &call);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, CloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, &sockets);
}

// `connected`: the connection was established.
HttpEnd ToEnd(const ActiveCall& call, CURLcode code, bool connected) {
  if (call.too_large) {
    return HttpEnd::kResponseTooLarge;
  }
  switch (code) {
    case CURLE_OK:
      return HttpEnd::kComplete;
    case CURLE_OPERATION_TIMEDOUT:
      return HttpEnd::kTimedOut;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
      return HttpEnd::kNotConnected;
    case CURLE_UNSUPPORTED_PROTOCOL:
      // Of the URL, or of a response with an unknown version or status.
      return connected ? HttpEnd::kBroken : HttpEnd::kNotConnected;
    default:
      return HttpEnd::kBroken;
  }
}

}  // namespace

struct HttpClient::Core {
  Core(EventLoop& loop, std::size_t max_kept_connections);
  ~Core();

  EventLoop& loop;
  CURLM* multi;
  HttpCallId next_id = 1;
  // True inside libcurl's callbacks, where libcurl refuses to add or remove a
  // call.
  bool in_libcurl = false;
  std::unordered_map<HttpCallId, std::unique_ptr<ActiveCall>> calls;
  std::unordered_map<curl_socket_t, std::unique_ptr<IoWatcher>> watchers;
  std::set<curl_socket_t> sockets;
  std::unique_ptr<Timer> timer;
  std::shared_ptr<int> alive_flag = std::make_shared<int>(0);

  void AddCall(ActiveCall& call);
  // For a call whose request was not sent.
  void RestartOnNewConnection(ActiveCall& call);
  void RemoveCall(HttpCallId id);
  void RunSocketAction(curl_socket_t socket, int conditions);
  void ReportEndedCalls();
  void SetTimer(std::int64_t timeout_ms);
  void WatchSocket(curl_socket_t socket, int poll_events);
  void PostAction(HttpCallId id, void (Core::*action)(HttpCallId));
  void AddPostedCall(HttpCallId id);
};

HttpClient::Core::Core(EventLoop& loop, std::size_t max_kept_connections)
    : loop(loop), multi(curl_multi_init()) {
  InternalCheck(this->multi != nullptr, "libcurl multi handle is created");
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS,
                    static_cast<std::int64_t>(max_kept_connections));
  curl_multi_setopt(
      this->multi, CURLMOPT_SOCKETFUNCTION,
      +[](CURL*, curl_socket_t socket, int poll_events, void* context, void*) {
        auto* core = static_cast<Core*>(context);
        RunGuarded(core->loop.raw(),
                   [&] { core->WatchSocket(socket, poll_events); });
        return 0;
      });
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(
      this->multi, CURLMOPT_TIMERFUNCTION,
      // NOLINTNEXTLINE(google-runtime-int): libcurl declares this type.
      +[](CURLM*, long timeout_ms, void* context) {
        auto* core = static_cast<Core*>(context);
        RunGuarded(core->loop.raw(), [&] { core->SetTimer(timeout_ms); });
        return 0;
      });
  curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
}

HttpClient::Core::~Core() {
  this->alive_flag.reset();
  for (const auto& [id, call] : this->calls) {
    if (call->added) {
      curl_multi_remove_handle(this->multi, call->easy);
    }
  }
  this->calls.clear();
  curl_multi_cleanup(this->multi);
}

void HttpClient::Core::WatchSocket(curl_socket_t socket, int poll_events) {
  if (poll_events == CURL_POLL_REMOVE) {
    this->watchers.erase(socket);
    return;
  }
  const auto interest = static_cast<IoWatcher::Interest>(
      ((poll_events & CURL_POLL_IN) != 0 ? IoWatcher::kRead : 0) |
      ((poll_events & CURL_POLL_OUT) != 0 ? IoWatcher::kWrite : 0));
  auto& watcher = this->watchers[socket];
  if (watcher != nullptr) {
    watcher->SetInterest(interest);
    return;
  }
  watcher = std::make_unique<IoWatcher>(
      this->loop, socket, interest, [this, socket](IoWatcher::Interest ready) {
        this->RunSocketAction(
            socket,
            ((ready & IoWatcher::kRead) != 0 ? CURL_CSELECT_IN : 0) |
                ((ready & IoWatcher::kWrite) != 0 ? CURL_CSELECT_OUT : 0));
      });
}

void HttpClient::Core::SetTimer(std::int64_t timeout_ms) {
  this->timer.reset();
  if (timeout_ms >= 0) {
    this->timer = std::make_unique<Timer>(
        this->loop, Milliseconds(timeout_ms), Duration(0),
        [this] { this->RunSocketAction(CURL_SOCKET_TIMEOUT, 0); });
  }
}

void HttpClient::Core::RunSocketAction(curl_socket_t socket, int conditions) {
  int running = 0;
  this->in_libcurl = true;
  curl_multi_socket_action(this->multi, socket, conditions, &running);
  this->in_libcurl = false;
  this->ReportEndedCalls();
}

void HttpClient::Core::ReportEndedCalls() {
  std::vector<std::pair<HttpCallId, CURLcode>> ended;
  int messages_left = 0;
  while (const CURLMsg* message =
             curl_multi_info_read(this->multi, &messages_left)) {
    if (message->msg == CURLMSG_DONE) {
      ActiveCall* call = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
      ended.emplace_back(call->id, message->data.result);
    }
  }
  for (const auto& [id, code] : ended) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      continue;
    }
    if (found->second->found_stale && !found->second->cancelled) {
      this->RestartOnNewConnection(*found->second);
      continue;
    }
    const std::unique_ptr<ActiveCall> call = std::move(found->second);
    this->calls.erase(found);
    // Non-zero once the connection is established and the request is about to
    // be sent.
    curl_off_t pretransfer_us = 0;
    curl_easy_getinfo(call->easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
    curl_multi_remove_handle(this->multi, call->easy);
    const bool connected = pretransfer_us > 0;
    call->outcome.end = ToEnd(*call, code, connected);
    call->outcome.maybe_sent =
        call->outcome.end != HttpEnd::kNotConnected && connected;
    if (call->outcome.end != HttpEnd::kComplete) {
      call->outcome.error = curl_easy_strerror(code);
    }
    if (!call->cancelled && call->callbacks.on_done) {
      // An exception must not keep the other calls from being reported.
      RunGuarded(this->loop.raw(), [&call] {
        call->callbacks.on_done(std::move(call->outcome));
      });
    }
  }
}

void HttpClient::Core::AddCall(ActiveCall& call) {
  call.added = true;
  const CURLMcode added = curl_multi_add_handle(this->multi, call.easy);
  InternalCheck(added == CURLM_OK, "libcurl accepts a call");
}

void HttpClient::Core::RestartOnNewConnection(ActiveCall& call) {
  curl_multi_remove_handle(this->multi, call.easy);
  call.found_stale = false;
  curl_easy_setopt(call.easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt(call.easy, CURLOPT_PREREQFUNCTION, nullptr);
  this->AddCall(call);
}

void HttpClient::Core::AddPostedCall(HttpCallId id) {
  const auto found = this->calls.find(id);
  if (found != this->calls.end()) {
    this->AddCall(*found->second);
  }
}

void HttpClient::Core::RemoveCall(HttpCallId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  if (found->second->added) {
    curl_multi_remove_handle(this->multi, found->second->easy);
  }
  this->calls.erase(found);
}

void HttpClient::Core::PostAction(HttpCallId id,
                                  void (Core::*action)(HttpCallId)) {
  Post(this->loop,
       [this, id, action, token = std::weak_ptr<int>(this->alive_flag)] {
         if (!token.expired()) {
           (this->*action)(id);
         }
       });
}

HttpClient::HttpClient(EventLoop& loop, std::size_t max_kept_connections)
    : core(std::make_unique<Core>(loop, max_kept_connections)) {}

HttpClient::~HttpClient() = default;

HttpCallId HttpClient::Start(HttpCall call, HttpCallbacks callbacks) {
  auto new_call = std::make_unique<ActiveCall>();
  ActiveCall& active_call = *new_call;
  active_call.id = this->core->next_id++;
  active_call.request = std::move(call);
  active_call.callbacks = std::move(callbacks);
  active_call.loop = this->core->loop.raw();
  active_call.easy = curl_easy_init();
  if (active_call.easy == nullptr) {
    throw std::bad_alloc();
  }
  ConfigureEasy(active_call, this->core->sockets);
  this->core->calls.emplace(active_call.id, std::move(new_call));
  if (this->core->in_libcurl) {
    this->core->PostAction(active_call.id, &Core::AddPostedCall);
  } else {
    this->core->AddCall(active_call);
  }
  return active_call.id;
}

void HttpClient::Cancel(HttpCallId id) {
  const auto found = this->core->calls.find(id);
  if (found == this->core->calls.end()) {
    return;
  }
  if (this->core->in_libcurl) {
    found->second->cancelled = true;
    this->core->PostAction(id, &Core::RemoveCall);
  } else {
    this->core->RemoveCall(id);
  }
}

std::size_t HttpClient::OpenCalls() const {
  return this->core->calls.size();
}

}  // namespace toucanhollow
