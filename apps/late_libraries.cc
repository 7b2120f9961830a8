#include "apps/late_libraries.h"

#include <dlfcn.h>

#include <cstdarg>
#include <cstddef>
#include <cstdint>

#include <curl/curl.h>
#include <microhttpd.h>
#include <openssl/sha.h>

// libcurl defines macros with the names of these functions.
#undef curl_easy_setopt
#undef curl_easy_getinfo
#undef curl_multi_setopt

namespace toucanhollow {
namespace {

struct CurlFunctions {
  decltype(&curl_easy_cleanup) easy_cleanup = nullptr;
  decltype(&curl_easy_getinfo) easy_getinfo = nullptr;
  decltype(&curl_easy_init) easy_init = nullptr;
  decltype(&curl_easy_setopt) easy_setopt = nullptr;
  decltype(&curl_easy_strerror) easy_strerror = nullptr;
  decltype(&curl_multi_add_handle) multi_add_handle = nullptr;
  decltype(&curl_multi_cleanup) multi_cleanup = nullptr;
  decltype(&curl_multi_info_read) multi_info_read = nullptr;
  decltype(&curl_multi_init) multi_init = nullptr;
  decltype(&curl_multi_remove_handle) multi_remove_handle = nullptr;
  decltype(&curl_multi_setopt) multi_setopt = nullptr;
  decltype(&curl_multi_socket_action) multi_socket_action = nullptr;
  decltype(&curl_slist_append) slist_append = nullptr;
  decltype(&curl_slist_free_all) slist_free_all = nullptr;
};

struct MicrohttpdFunctions {
  decltype(&MHD_add_connection) add_connection = nullptr;
  decltype(&MHD_add_response_header) add_response_header = nullptr;
  decltype(&MHD_create_response_from_buffer) create_response_from_buffer =
      nullptr;
  decltype(&MHD_create_response_from_callback) create_response_from_callback =
      nullptr;
  decltype(&MHD_destroy_response) destroy_response = nullptr;
  decltype(&MHD_get_connection_info) get_connection_info = nullptr;
  decltype(&MHD_get_connection_values) get_connection_values = nullptr;
  decltype(&MHD_get_daemon_info) get_daemon_info = nullptr;
  decltype(&MHD_get_timeout) get_timeout = nullptr;
  decltype(&MHD_queue_response) queue_response = nullptr;
  decltype(&MHD_quiesce_daemon) quiesce_daemon = nullptr;
  decltype(&MHD_resume_connection) resume_connection = nullptr;
  decltype(&MHD_run) run = nullptr;
  decltype(&MHD_start_daemon_va) start_daemon_va = nullptr;
  decltype(&MHD_stop_daemon) stop_daemon = nullptr;
  decltype(&MHD_suspend_connection) suspend_connection = nullptr;
};

CurlFunctions curl;
MicrohttpdFunctions microhttpd;
decltype(&SHA256) sha256 = nullptr;

// A library that stays loaded until the process ends, or the first error.
class LateLibrary {
 public:
  explicit LateLibrary(const char* file)
      : handle(dlopen(file, RTLD_NOW | RTLD_LOCAL)) {
    this->KeepError(this->handle == nullptr);
  }

  template <typename Function>
  void Find(const char* name, Function*& function) {
    if (this->problem.empty()) {
      function = reinterpret_cast<Function*>(dlsym(this->handle, name));
      this->KeepError(function == nullptr);
    }
  }

  const std::string& error() const { return this->problem; }

 private:
  void KeepError(bool failed) {
    if (failed) {
      const char* text = dlerror();
      this->problem = text == nullptr ? "unknown error" : text;
    }
  }

  void* handle;
  std::string problem;
};

std::string LoadCurl() {
  LateLibrary library(CURL_SONAME);
  library.Find("curl_easy_cleanup", curl.easy_cleanup);
  library.Find("curl_easy_getinfo", curl.easy_getinfo);
  library.Find("curl_easy_init", curl.easy_init);
  library.Find("curl_easy_setopt", curl.easy_setopt);
  library.Find("curl_easy_strerror", curl.easy_strerror);
  library.Find("curl_multi_add_handle", curl.multi_add_handle);
  library.Find("curl_multi_cleanup", curl.multi_cleanup);
  library.Find("curl_multi_info_read", curl.multi_info_read);
  library.Find("curl_multi_init", curl.multi_init);
  library.Find("curl_multi_remove_handle", curl.multi_remove_handle);
  library.Find("curl_multi_setopt", curl.multi_setopt);
  library.Find("curl_multi_socket_action", curl.multi_socket_action);
  library.Find("curl_slist_append", curl.slist_append);
  library.Find("curl_slist_free_all", curl.slist_free_all);
  return library.error();
}

std::string LoadMicrohttpd() {
  LateLibrary library(MICROHTTPD_SONAME);
  library.Find("MHD_add_connection", microhttpd.add_connection);
  library.Find("MHD_add_response_header", microhttpd.add_response_header);
  library.Find("MHD_create_response_from_buffer",
               microhttpd.create_response_from_buffer);
  library.Find("MHD_create_response_from_callback",
               microhttpd.create_response_from_callback);
  library.Find("MHD_destroy_response", microhttpd.destroy_response);
  library.Find("MHD_get_connection_info", microhttpd.get_connection_info);
  library.Find("MHD_get_connection_values", microhttpd.get_connection_values);
  library.Find("MHD_get_daemon_info", microhttpd.get_daemon_info);
  library.Find("MHD_get_timeout", microhttpd.get_timeout);
  library.Find("MHD_queue_response", microhttpd.queue_response);
  library.Find("MHD_quiesce_daemon", microhttpd.quiesce_daemon);
  library.Find("MHD_resume_connection", microhttpd.resume_connection);
  library.Find("MHD_run", microhttpd.run);
  library.Find("MHD_start_daemon_va", microhttpd.start_daemon_va);
  library.Find("MHD_stop_daemon", microhttpd.stop_daemon);
  library.Find("MHD_suspend_connection", microhttpd.suspend_connection);
  return library.error();
}

std::string LoadCrypto() {
  LateLibrary library(CRYPTO_SONAME);
  library.Find("SHA256", sha256);
  return library.error();
}

}  // namespace

std::string LoadLateLibraries() {
  for (const auto& load : {LoadCurl, LoadMicrohttpd, LoadCrypto}) {
    std::string error = load();
    if (!error.empty()) {
      return error;
    }
  }
  return "";
}

}  // namespace toucanhollow

// The functions that the packages are linked with. They are not exported, as
// the libraries would call them in place of their own.
#pragma GCC visibility push(hidden)
// NOLINTBEGIN(readability-identifier-naming): names of the libraries.
extern "C" {

CURL* curl_easy_init() {
  return toucanhollow::curl.easy_init();
}

void curl_easy_cleanup(CURL* easy) {
  toucanhollow::curl.easy_cleanup(easy);
}

const char* curl_easy_strerror(CURLcode code) {
  return toucanhollow::curl.easy_strerror(code);
}

CURLM* curl_multi_init() {
  return toucanhollow::curl.multi_init();
}

CURLMcode curl_multi_cleanup(CURLM* multi) {
  return toucanhollow::curl.multi_cleanup(multi);
}

CURLMcode curl_multi_add_handle(CURLM* multi, CURL* easy) {
  return toucanhollow::curl.multi_add_handle(multi, easy);
}

CURLMcode curl_multi_remove_handle(CURLM* multi, CURL* easy) {
  return toucanhollow::curl.multi_remove_handle(multi, easy);
}

CURLMsg* curl_multi_info_read(CURLM* multi, int* left) {
  return toucanhollow::curl.multi_info_read(multi, left);
}

CURLMcode curl_multi_socket_action(CURLM* multi,
                                   curl_socket_t socket,
                                   int conditions,
                                   int* running) {
  return toucanhollow::curl.multi_socket_action(multi, socket, conditions,
                                                running);
}

curl_slist* curl_slist_append(curl_slist* list, const char* text) {
  return toucanhollow::curl.slist_append(list, text);
}

void curl_slist_free_all(curl_slist* list) {
  toucanhollow::curl.slist_free_all(list);
}

// The one variable argument of these functions is a pointer or an integer of
// the same size, which are passed alike. Promotion does not change the size of
// the enumerations before it.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wvarargs"
static_assert(sizeof(CURLoption) == sizeof(int));
static_assert(sizeof(long) == sizeof(void*));
static_assert(sizeof(curl_off_t) == sizeof(void*));

CURLcode curl_easy_setopt(CURL* easy, CURLoption option, ...) {
  std::va_list arguments;
  va_start(arguments, option);
  void* value = va_arg(arguments, void*);
  va_end(arguments);
  return toucanhollow::curl.easy_setopt(easy, option, value);
}

CURLcode curl_easy_getinfo(CURL* easy, CURLINFO info, ...) {
  std::va_list arguments;
  va_start(arguments, info);
  void* value = va_arg(arguments, void*);
  va_end(arguments);
  return toucanhollow::curl.easy_getinfo(easy, info, value);
}

CURLMcode curl_multi_setopt(CURLM* multi, CURLMoption option, ...) {
  std::va_list arguments;
  va_start(arguments, option);
  void* value = va_arg(arguments, void*);
  va_end(arguments);
  return toucanhollow::curl.multi_setopt(multi, option, value);
}

#pragma GCC diagnostic pop

MHD_Result MHD_add_connection(MHD_Daemon* daemon,
                              MHD_socket socket,
                              const sockaddr* address,
                              socklen_t size) {
  return toucanhollow::microhttpd.add_connection(daemon, socket, address, size);
}

MHD_Result MHD_add_response_header(MHD_Response* response,
                                   const char* name,
                                   const char* value) {
  return toucanhollow::microhttpd.add_response_header(response, name, value);
}

MHD_Response* MHD_create_response_from_buffer(std::size_t size,
                                              void* buffer,
                                              MHD_ResponseMemoryMode mode) {
  return toucanhollow::microhttpd.create_response_from_buffer(size, buffer,
                                                              mode);
}

MHD_Response* MHD_create_response_from_callback(
    std::uint64_t size,
    std::size_t block_size,
    MHD_ContentReaderCallback read,
    void* context,
    MHD_ContentReaderFreeCallback free) {
  return toucanhollow::microhttpd.create_response_from_callback(
      size, block_size, read, context, free);
}

void MHD_destroy_response(MHD_Response* response) {
  toucanhollow::microhttpd.destroy_response(response);
}

int MHD_get_connection_values(MHD_Connection* connection,
                              MHD_ValueKind kind,
                              MHD_KeyValueIterator next,
                              void* context) {
  return toucanhollow::microhttpd.get_connection_values(connection, kind, next,
                                                        context);
}

MHD_Result MHD_get_timeout(MHD_Daemon* daemon,
                           MHD_UNSIGNED_LONG_LONG* timeout) {
  return toucanhollow::microhttpd.get_timeout(daemon, timeout);
}

MHD_Result MHD_queue_response(MHD_Connection* connection,
                              unsigned int status,
                              MHD_Response* response) {
  return toucanhollow::microhttpd.queue_response(connection, status, response);
}

MHD_socket MHD_quiesce_daemon(MHD_Daemon* daemon) {
  return toucanhollow::microhttpd.quiesce_daemon(daemon);
}

void MHD_resume_connection(MHD_Connection* connection) {
  toucanhollow::microhttpd.resume_connection(connection);
}

MHD_Result MHD_run(MHD_Daemon* daemon) {
  return toucanhollow::microhttpd.run(daemon);
}

void MHD_stop_daemon(MHD_Daemon* daemon) {
  toucanhollow::microhttpd.stop_daemon(daemon);
}

void MHD_suspend_connection(MHD_Connection* connection) {
  toucanhollow::microhttpd.suspend_connection(connection);
}

// None of the values of these functions needs a variable argument.
const MHD_ConnectionInfo* MHD_get_connection_info(MHD_Connection* connection,
                                                  MHD_ConnectionInfoType type,
                                                  ...) {
  return toucanhollow::microhttpd.get_connection_info(connection, type);
}

const MHD_DaemonInfo* MHD_get_daemon_info(MHD_Daemon* daemon,
                                          MHD_DaemonInfoType type,
                                          ...) {
  return toucanhollow::microhttpd.get_daemon_info(daemon, type);
}

MHD_Daemon* MHD_start_daemon(unsigned int flags,
                             std::uint16_t port,
                             MHD_AcceptPolicyCallback accept,
                             void* accept_context,
                             MHD_AccessHandlerCallback handle,
                             void* handle_context,
                             ...) {
  std::va_list arguments;
  va_start(arguments, handle_context);
  MHD_Daemon* daemon = toucanhollow::microhttpd.start_daemon_va(
      flags, port, accept, accept_context, handle, handle_context, arguments);
  va_end(arguments);
  return daemon;
}

unsigned char* SHA256(const unsigned char* data,
                      std::size_t size,
                      unsigned char* digest) {
  return toucanhollow::sha256(data, size, digest);
}

}  // extern "C"
// NOLINTEND(readability-identifier-naming)
#pragma GCC visibility pop
