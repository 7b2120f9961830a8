#include "json_fields/field_reader.h"

#include <algorithm>
#include <limits>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/field_failure.h"
#include "json_fields/json_fields.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

}  // namespace

FieldReader::FieldReader(const json& object,
                         std::string prefix,
                         std::vector<Failure>& failures)
    : object(object), prefix(std::move(prefix)), failures(failures) {}

const json* FieldReader::FindMember(const char* name,
                                    const char* remedy_if_required) {
  this->read_names.emplace_back(name);
  const json* field = FindField(this->object, name);
  if (field == nullptr && remedy_if_required != nullptr &&
      this->failures.size() < kMaxFailures) {
    this->failures.push_back(
        MissingField(this->prefix + name, remedy_if_required));
  }
  return field;
}

void FieldReader::AddInvalidField(const char* name,
                                  const json& value,
                                  const char* remedy) {
  if (this->failures.size() >= kMaxFailures) {
    return;
  }
  this->failures.push_back(
      InvalidField(this->prefix + name, DumpJson(value), remedy));
}

std::string FieldReader::ReadString(const char* name,
                                    const char* remedy_if_required) {
  const json* field = this->FindMember(name, remedy_if_required);
  if (field == nullptr) {
    return {};
  }
  if (!field->is_string()) {
    this->AddInvalidField(name, *field, "use a string");
    return {};
  }
  return field->get<std::string>();
}

std::string FieldReader::ReadName(const char* name, const char* remedy) {
  std::string text = this->ReadString(name, remedy);
  const json* field = FindField(this->object, name);
  if (field != nullptr && field->is_string() && text.empty()) {
    this->AddInvalidField(name, *field, remedy);
  }
  return text;
}

int FieldReader::ReadInteger(const char* name, int default_value) {
  const json* field = this->FindMember(name, nullptr);
  if (field == nullptr) {
    return default_value;
  }
  const auto value = FindIntegerField(this->object, name);
  if (!value || *value < std::numeric_limits<int>::min() ||
      *value > std::numeric_limits<int>::max()) {
    this->AddInvalidField(name, *field, "use a whole number");
    return default_value;
  }
  return static_cast<int>(*value);
}

std::optional<int> FieldReader::ReadOptionalInteger(const char* name) {
  if (FindField(this->object, name) == nullptr) {
    this->read_names.emplace_back(name);
    return std::nullopt;
  }
  return this->ReadInteger(name, 0);
}

double FieldReader::ReadNumber(const char* name, double default_value) {
  const json* field = this->FindMember(name, nullptr);
  if (field == nullptr) {
    return default_value;
  }
  const auto value = FindNumberField(this->object, name);
  if (!value) {
    this->AddInvalidField(name, *field, "use a number");
  }
  return value.value_or(default_value);
}

double FieldReader::ReadNumber(const char* name,
                               double default_value,
                               double low,
                               double high) {
  const double value = this->ReadNumber(name, default_value);
  const json* field = FindField(this->object, name);
  if (field != nullptr && field->is_number() && (value < low || value > high)) {
    std::ostringstream remedy;
    remedy << "use a number from " << low << " to " << high;
    this->AddInvalidField(name, *field, remedy.str().c_str());
    return default_value;
  }
  return value;
}

bool FieldReader::ReadBool(const char* name, bool default_value) {
  const json* field = this->FindMember(name, nullptr);
  if (field == nullptr) {
    return default_value;
  }
  if (!field->is_boolean()) {
    this->AddInvalidField(name, *field, "use true or false");
    return default_value;
  }
  return field->get<bool>();
}

const json& FieldReader::ReadList(const char* name,
                                  const char* remedy_if_required) {
  static const json empty_list = json::array();
  const json* field = this->FindMember(name, remedy_if_required);
  if (field == nullptr) {
    return empty_list;
  }
  if (!field->is_array()) {
    this->AddInvalidField(name, *field, "use a list, which may be empty");
    return empty_list;
  }
  return *field;
}

const json* FieldReader::ReadObject(const char* name,
                                    const char* remedy_if_required) {
  const json* field = this->FindMember(name, remedy_if_required);
  if (field != nullptr && !field->is_object()) {
    this->AddInvalidField(name, *field, "use an object");
    return nullptr;
  }
  return field;
}

void FieldReader::ReportUnknown(std::vector<Failure>& findings) const {
  if (!this->object.is_object()) {
    return;
  }
  for (const auto& [name, value] : this->object.items()) {
    if (findings.size() >= kMaxFailures) {
      return;
    }
    if (std::ranges::find(this->read_names, name) == this->read_names.end()) {
      findings.push_back(
          MakeFailure(ResultCode::kRecordUnknownField,
                      this->prefix + QuoteText(name) +
                          " is not known to this version; check its spelling"));
    }
  }
}

}  // namespace toucanhollow
