#include "cbor/read_cbor.h"

#include <cstddef>
#include <string>

namespace toucanhollow {
namespace {

using nlohmann::json;

// Shorter bytes cannot nest deep enough to matter and are not checked.
constexpr std::size_t kCheckedBytes = 1024;

class NestingCheck : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override {
    return ++this->depth < kMaxCborNesting;
  }
  bool start_array(std::size_t) override {
    return ++this->depth < kMaxCborNesting;
  }
  bool end_object() override { return --this->depth >= 0; }
  bool end_array() override { return --this->depth >= 0; }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  int depth = 0;
};

}  // namespace

Result<json> ReadCbor(std::string_view bytes) {
  // The library throws on announced sizes that no memory holds, also where it
  // is told not to throw.
  try {
    NestingCheck check;
    if (bytes.size() > kCheckedBytes &&
        !json::sax_parse(bytes, &check, json::input_format_t::cbor)) {
      return MakeFailure(ResultCode::kFrameMalformed,
                         "the bytes are not CBOR or nest too deep");
    }
    return json::from_cbor(bytes);
  } catch (const json::exception& error) {
    return MakeFailure(ResultCode::kFrameMalformed, error.what());
  }
}

}  // namespace toucanhollow
