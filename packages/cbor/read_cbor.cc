#include "cbor/read_cbor.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace toucanhollow {
namespace {

using nlohmann::json;

class ContainerChecker : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool key(string_t&) override { return true; }
  bool start_object(std::size_t) override { return this->BeginContainer(); }
  bool start_array(std::size_t) override { return this->BeginContainer(); }
  bool end_object() override { return --this->depth >= 0; }
  bool end_array() override { return --this->depth >= 0; }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool BeginContainer() {
    return ++this->containers <= kMaxCborContainers &&
           ++this->depth < kMaxCborNesting;
  }

  int containers = 0;
  int depth = 0;
};

// ContainerChecker is not called for the nesting of such strings. Exact for the
// part of the bytes that is valid CBOR.
bool HasStringOfIndefiniteLength(std::string_view bytes) {
  constexpr unsigned kByteString = 2;
  constexpr unsigned kTextString = 3;
  constexpr unsigned kFirstSizedArgument = 24;
  constexpr unsigned kLastSizedArgument = 27;
  constexpr unsigned kIndefinite = 31;
  while (!bytes.empty()) {
    const auto head = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    const unsigned type = head >> 5U;
    const unsigned info = head & 0x1fU;
    const bool is_string = type == kByteString || type == kTextString;
    if (is_string && info == kIndefinite) {
      return true;
    }
    std::uint64_t argument = info;
    if (info >= kFirstSizedArgument && info <= kLastSizedArgument) {
      const std::size_t size = std::size_t{1} << (info - kFirstSizedArgument);
      if (size > bytes.size()) {
        return false;
      }
      argument = 0;
      for (const char byte : bytes.substr(0, size)) {
        argument = argument << 8U | static_cast<unsigned char>(byte);
      }
      bytes.remove_prefix(size);
    }
    if (is_string) {
      if (argument > bytes.size()) {
        return false;
      }
      bytes.remove_prefix(argument);
    }
  }
  return false;
}

}  // namespace

Result<json> ReadCbor(std::string_view bytes) {
  if (HasStringOfIndefiniteLength(bytes)) {
    return MakeFailure(ResultCode::kFrameMalformed,
                       "a string has an indefinite length");
  }
  // The library throws if a declared size exceeds the available memory, even
  // with exceptions disabled.
  try {
    ContainerChecker checker;
    if (!json::sax_parse(bytes, &checker, json::input_format_t::cbor)) {
      return MakeFailure(
          ResultCode::kFrameMalformed,
          "the bytes are not valid CBOR, are nested too deeply or have too "
          "many lists and maps");
    }
    return json::from_cbor(bytes);
  } catch (const json::exception& error) {
    return MakeFailure(ResultCode::kFrameMalformed, error.what());
  }
}

}  // namespace toucanhollow
