// FieldReader: reads the fields of a JSON object of a record and collects what
// is wrong with them.
//
// A field that is missing, one that is there and empty, one that is null and
// one of another type are four different things: only a missing field gets its
// default, an empty list or object is read as it is, and null is a value of
// another type.
#ifndef JSON_FIELDS_FIELD_READER_H_
#define JSON_FIELDS_FIELD_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "base/result.h"

namespace toucanhollow {

// Failures of one record that are collected. A record may have as many wrong
// fields as bytes.
inline constexpr std::size_t kMaxFailures = 32;

class FieldReader {
 public:
  // `object` and `failures` must outlive the reader. `prefix` is put in front
  // of the field names in messages. A value that is no object has no fields.
  FieldReader(const nlohmann::json& object,
              std::string prefix,
              std::vector<Failure>& failures);

  // Each of the following returns its default if the field is missing or
  // wrong. A wrong field is added to the failures, and so is a missing one if
  // `remedy_if_required` is not null. Nothing is added to kMaxFailures.

  // The field, or null if it is missing.
  const nlohmann::json* FindMember(const char* name,
                                   const char* remedy_if_required);
  std::string ReadString(const char* name, const char* remedy_if_required);
  // A string that is not empty.
  std::string ReadName(const char* name, const char* remedy);
  int ReadInteger(const char* name, int default_value);
  std::optional<int> ReadOptionalInteger(const char* name);
  double ReadNumber(const char* name, double default_value);
  // A number from `low` to `high`.
  double ReadNumber(const char* name,
                    double default_value,
                    double low,
                    double high);
  bool ReadBool(const char* name, bool default_value);
  // The list, or an empty one.
  const nlohmann::json& ReadList(const char* name,
                                 const char* remedy_if_required);
  // The object, or null.
  const nlohmann::json* ReadObject(const char* name,
                                   const char* remedy_if_required);

  void AddInvalidField(const char* name,
                       const nlohmann::json& value,
                       const char* remedy);
  // Adds the fields that were not read, up to kMaxFailures findings.
  void ReportUnknown(std::vector<Failure>& findings) const;

 private:
  const nlohmann::json& object;
  std::string prefix;
  std::vector<Failure>& failures;
  std::vector<std::string_view> read_names;
};

}  // namespace toucanhollow

#endif  // JSON_FIELDS_FIELD_READER_H_
