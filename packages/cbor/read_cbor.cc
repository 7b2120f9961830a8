#include "cbor/read_cbor.h"

#include <cstddef>
#include <string>

namespace toucanhollow {
namespace {

using nlohmann::json;

class NestingChecker : public nlohmann::json_sax<json> {
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
  // The library throws if a declared size exceeds the available memory, even
  // with exceptions disabled.
  try {
    NestingChecker checker;
    if (!json::sax_parse(bytes, &checker, json::input_format_t::cbor)) {
      return MakeFailure(
          ResultCode::kFrameMalformed,
          "the bytes are not valid CBOR or are nested too deeply");
    }
    return json::from_cbor(bytes);
  } catch (const json::exception& error) {
    return MakeFailure(ResultCode::kFrameMalformed, error.what());
  }
}

}  // namespace toucanhollow
