#include "http_server/http_response_writer.h"

#include <utility>

#include "base/check.h"
#include "http_server/http_exchange.h"

namespace toucanhollow {

HttpResponseWriter::HttpResponseWriter(
    std::shared_ptr<detail::HttpExchange> exchange)
    : exchange(std::move(exchange)) {}

HttpResponseWriter::~HttpResponseWriter() {
  if (!this->exchange->ended) {
    this->Abort();
  }
}

void HttpResponseWriter::Start(int status, HttpHeaders headers) {
  InternalCheck(!this->exchange->started, "a response is started once");
  this->exchange->started = true;
  this->exchange->status = status;
  this->exchange->headers = std::move(headers);
  if (!this->exchange->completed) {
    this->exchange->resume();
  }
}

void HttpResponseWriter::Write(std::string_view bytes) {
  InternalCheck(this->exchange->started && !this->exchange->ended,
                "a response is written between its start and its end");
  if (this->exchange->completed || bytes.empty()) {
    return;
  }
  this->exchange->buffer.append(bytes);
  this->exchange->resume();
}

void HttpResponseWriter::End() {
  InternalCheck(this->exchange->started,
                "a response is started before it ends");
  this->exchange->ended = true;
  if (!this->exchange->completed) {
    this->exchange->resume();
  }
}

void HttpResponseWriter::Respond(int status,
                                 HttpHeaders headers,
                                 std::string_view body) {
  this->Start(status, std::move(headers));
  this->Write(body);
  this->End();
}

void HttpResponseWriter::Abort() {
  this->exchange->aborted = true;
  this->exchange->ended = true;
  this->exchange->on_caller_disconnected = nullptr;
  if (!this->exchange->completed) {
    this->exchange->resume();
  }
}

std::size_t HttpResponseWriter::BufferedBytes() const {
  return this->exchange->buffer.size() - this->exchange->consumed_bytes;
}

bool HttpResponseWriter::HasCallerDisconnected() const {
  return this->exchange->completed;
}

void HttpResponseWriter::OnCallerDisconnected(std::function<void()> callback) {
  this->exchange->on_caller_disconnected = std::move(callback);
}

}  // namespace toucanhollow
