#include "log_codec/config_codec.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

#include "config/subject_copies.h"
#include "config/validate_record.h"
#include "log_codec/json_fields.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

// Longer values are cut in messages.
constexpr std::size_t kMaxShownBytes = 80;

std::string Show(const json& value) {
  std::string text = DumpJson(value);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

// Reads the fields of one object and collects mistakes.
struct FieldReader {
  const json& object;
  // Begins the field names in messages.
  std::string prefix;
  std::vector<Failure>& mistakes;
  std::set<std::string> read = {};

  const json* Find(const char* name, const char* remedy_if_required) {
    this->read.insert(name);
    const json* field = FindField(this->object, name);
    if (field == nullptr && remedy_if_required != nullptr) {
      this->mistakes.push_back(
          MissingField(this->prefix + name, remedy_if_required));
    }
    return field;
  }

  void Reject(const char* name, const json& value, const char* remedy) {
    this->mistakes.push_back(
        InvalidField(this->prefix + name, Show(value), remedy));
  }

  std::string Text(const char* name, const char* remedy_if_required) {
    const json* field = this->Find(name, remedy_if_required);
    if (field == nullptr) {
      return {};
    }
    if (!field->is_string()) {
      this->Reject(name, *field, "use a text");
      return {};
    }
    return field->get<std::string>();
  }

  int Integer(const char* name, int otherwise) {
    const json* field = this->Find(name, nullptr);
    if (field == nullptr) {
      return otherwise;
    }
    const auto value = IntegerField(this->object, name);
    if (!value || *value < std::numeric_limits<int>::min() ||
        *value > std::numeric_limits<int>::max()) {
      this->Reject(name, *field, "use a whole number");
      return otherwise;
    }
    return static_cast<int>(*value);
  }

  std::optional<int> OptionalInteger(const char* name) {
    if (FindField(this->object, name) == nullptr) {
      this->read.insert(name);
      return std::nullopt;
    }
    return this->Integer(name, 0);
  }

  double Number(const char* name, double otherwise) {
    const json* field = this->Find(name, nullptr);
    if (field == nullptr) {
      return otherwise;
    }
    const auto value = NumberField(this->object, name);
    if (!value) {
      this->Reject(name, *field, "use a number");
    }
    return value.value_or(otherwise);
  }

  bool InService(const char* name, const char* remedy_if_required) {
    const json* field = this->Find(name, remedy_if_required);
    if (field == nullptr || *field == "in_service") {
      return true;
    }
    if (*field != "out") {
      this->Reject(name, *field, "use \"in_service\" or \"out\"");
    }
    return false;
  }

  // The elements of a list, or none with a mistake.
  std::vector<json> List(const char* name, const char* remedy_if_required) {
    const json* field = this->Find(name, remedy_if_required);
    if (field == nullptr) {
      return {};
    }
    if (!field->is_array()) {
      this->Reject(name, *field, "use a list");
      return {};
    }
    return {field->begin(), field->end()};
  }

  void ReportUnknown(std::vector<Failure>& findings) const {
    if (!this->object.is_object()) {
      return;
    }
    for (const auto& [name, value] : this->object.items()) {
      if (!this->read.contains(name)) {
        findings.push_back(MakeFailure(
            ResultCode::kRecordUnknownField,
            this->prefix + name +
                " is not known to this version; check its spelling"));
      }
    }
  }
};

// Reads a content of one schema version; unknown fields go to `findings`.
struct ContentReader {
  int schema;
  std::vector<Failure>& mistakes;
  std::vector<Failure>& findings;

  AccountShares Accounts(FieldReader& reader) const {
    AccountShares accounts;
    for (const json& element : reader.List("accounts", "list the accounts")) {
      if (this->schema == 1) {
        if (!element.is_string()) {
          reader.Reject("accounts", element, "use a list of account names");
          continue;
        }
        accounts[{element.get<std::string>()}] = 1;
        continue;
      }
      FieldReader account{element, "accounts.", this->mistakes};
      const std::string name = account.Text("name", "name the account");
      accounts[{name}] = account.Number("share", 1);
      account.ReportUnknown(this->findings);
    }
    return accounts;
  }

  ConfigContent ModelGroup(FieldReader& reader) const {
    ModelGroupContent group;
    group.model = reader.Text("model", "name the model");
    group.ranks = reader.Integer("ranks", 1);
    group.experts = reader.Integer("experts", 1);
    if (this->schema >= 2) {
      group.slots_per_rank = reader.Integer("slots_per_rank", 0);
    }
    group.accounts = this->Accounts(reader);
    group.weight = reader.Number("weight", 1);
    group.full_limit = reader.Integer("full_limit", kDefaultFullLimit);
    return group;
  }

  ConfigContent PlainService(FieldReader& reader) const {
    PlainServiceContent service;
    service.accounts = this->Accounts(reader);
    service.full_limit = reader.Integer("full_limit", kDefaultFullLimit);
    if (this->schema == 1) {
      for (const json& element : reader.List("repeatable", nullptr)) {
        const std::string call =
            element.is_string() ? element.get<std::string>() : std::string();
        const std::size_t space = call.find(' ');
        if (space == std::string::npos) {
          reader.Reject("repeatable", element, "use \"<METHOD> <prefix>\"");
          continue;
        }
        service.calls.push_back(
            {call.substr(0, space), call.substr(space + 1), true});
      }
      return service;
    }
    for (const json& element : reader.List("calls", nullptr)) {
      FieldReader call{element, "calls.", this->mistakes};
      CallRule rule{call.Text("method", "give an HTTP method"),
                    call.Text("path_prefix", "begin it with '/'"), false};
      const json* repeatable =
          call.Find("repeatable", "say true only if a second run does no harm");
      if (repeatable != nullptr && !repeatable->is_boolean()) {
        call.Reject("repeatable", *repeatable, "use true or false");
      } else if (repeatable != nullptr) {
        rule.repeatable = repeatable->get<bool>();
      }
      call.ReportUnknown(this->findings);
      service.calls.push_back(std::move(rule));
    }
    return service;
  }

  ConfigContent Endpoint(FieldReader& reader) const {
    constexpr const char* kRemedy = "give <IPv4 address>:<port>";
    EndpointContent endpoint;
    endpoint.service = {reader.Text("service", "name the service or group")};
    endpoint.data_centre = {reader.Text("data_centre", "name the data centre")};
    std::vector<json> addresses;
    if (this->schema == 1) {
      if (const json* address = reader.Find("address", kRemedy)) {
        addresses.push_back(*address);
      }
    } else {
      addresses = reader.List("addresses", kRemedy);
    }
    for (const json& element : addresses) {
      if (const auto address = ReadAddress(element)) {
        endpoint.addresses.push_back(*address);
      } else {
        reader.Reject(this->schema == 1 ? "address" : "addresses", element,
                      "use <IPv4 address>:<port from 1 to 65535>");
      }
    }
    endpoint.in_service = reader.InService("state", nullptr);
    endpoint.weight = reader.Number("weight", 1);
    endpoint.full_limit = reader.OptionalInteger("full_limit");
    endpoint.rank = reader.OptionalInteger("rank");
    return endpoint;
  }

  static std::optional<Address> ReadAddress(const json& element) {
    if (!element.is_string()) {
      return std::nullopt;
    }
    const auto& text = element.get_ref<const std::string&>();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc() || rest != end) {
      return std::nullopt;
    }
    return Address{text.substr(0, colon), port};
  }

  // None for a kind that this program does not know.
  std::optional<ConfigContent> Read(const std::string& kind,
                                    const json& object) const {
    FieldReader reader{object, "", this->mistakes};
    std::optional<ConfigContent> content;
    if (kind == kModelGroupKind) {
      content = this->ModelGroup(reader);
    } else if (kind == kPlainServiceKind) {
      content = this->PlainService(reader);
    } else if (kind == kAccountKind) {
      content = AccountContent{reader.Number("share", 1)};
    } else if (kind == kDataCentreKind) {
      DataCentreContent data_centre;
      data_centre.in_service =
          reader.InService("state", "use \"in_service\" or \"out\"");
      if (this->schema >= 2) {
        data_centre.region = reader.Text("region", nullptr);
      }
      content = data_centre;
    } else if (kind == kEndpointKind) {
      content = this->Endpoint(reader);
    }
    if (content) {
      reader.ReportUnknown(this->findings);
    }
    return content;
  }
};

json EncodeAccounts(const AccountShares& accounts) {
  json list = json::array();
  for (const auto& [account, share] : accounts) {
    list.push_back({{"name", account.value}, {"share", share}});
  }
  return list;
}

struct ContentEncoder {
  json operator()(const ModelGroupContent& group) const {
    return {{"model", group.model},
            {"ranks", group.ranks},
            {"experts", group.experts},
            {"slots_per_rank", group.slots_per_rank},
            {"accounts", EncodeAccounts(group.accounts)},
            {"weight", group.weight},
            {"full_limit", group.full_limit}};
  }
  json operator()(const PlainServiceContent& service) const {
    json calls = json::array();
    for (const CallRule& rule : service.calls) {
      calls.push_back({{"method", rule.method},
                       {"path_prefix", rule.path_prefix},
                       {"repeatable", rule.repeatable}});
    }
    return {{"accounts", EncodeAccounts(service.accounts)},
            {"calls", std::move(calls)},
            {"full_limit", service.full_limit}};
  }
  json operator()(const AccountContent& account) const {
    return {{"share", account.share}};
  }
  json operator()(const DataCentreContent& data_centre) const {
    json object = {{"state", data_centre.in_service ? "in_service" : "out"}};
    if (!data_centre.region.empty()) {
      object["region"] = data_centre.region;
    }
    return object;
  }
  json operator()(const EndpointContent& endpoint) const {
    json addresses = json::array();
    for (const Address& address : endpoint.addresses) {
      addresses.push_back(address.ip + ":" + std::to_string(address.port));
    }
    json object = {{"service", endpoint.service.value},
                   {"data_centre", endpoint.data_centre.value},
                   {"addresses", std::move(addresses)},
                   {"state", endpoint.in_service ? "in_service" : "out"},
                   {"weight", endpoint.weight}};
    if (endpoint.full_limit) {
      object["full_limit"] = *endpoint.full_limit;
    }
    if (endpoint.rank) {
      object["rank"] = *endpoint.rank;
    }
    return object;
  }
};

json EncodeCopy(const ConfigCopy& copy) {
  json object = {{"change_id", copy.change_id}, {"schema", copy.schema}};
  if (copy.removed) {
    object["removed"] = true;
  } else {
    object["content"] = ParseJson(copy.text).value_or(json(nullptr));
  }
  return object;
}

// The fields that records and copies have in common, without judgement.
std::optional<ConfigCopy> DecodeCopy(const json& object) {
  auto change_id = TextField(object, "change_id");
  const auto schema = IntegerField(object, "schema");
  if (!change_id || !schema || *schema < kOldestSchema ||
      *schema > std::numeric_limits<int>::max()) {
    return std::nullopt;
  }
  ConfigCopy copy;
  copy.change_id = std::move(*change_id);
  copy.schema = static_cast<int>(*schema);
  copy.removed = BoolField(object, "removed").value_or(false);
  const json* content = FindField(object, "content");
  if (!copy.removed && content != nullptr) {
    copy.text = DumpJson(*content);
  }
  return copy;
}

std::optional<ConfigSubject> DecodeSubject(const json& object) {
  auto kind = TextField(object, "kind");
  auto name = TextField(object, "subject");
  if (!kind || !name || kind->empty() || name->empty()) {
    return std::nullopt;
  }
  return ConfigSubject{std::move(*kind), std::move(*name)};
}

json EncodeSubjects(const std::vector<SubjectSnapshot>& subjects) {
  json list = json::array();
  for (const SubjectSnapshot& subject : subjects) {
    // The latest copy is often the last usable one as well.
    std::map<LogOffset, const ConfigCopy*> copies;
    if (subject.copies.latest) {
      copies[subject.copies.latest->offset] = &*subject.copies.latest;
    }
    for (const auto& [schema, copy] : subject.copies.usable) {
      copies[copy.offset] = &copy;
    }
    json encoded = json::array();
    for (const auto& [offset, copy] : copies) {
      encoded.push_back(EncodeCopy(*copy));
      encoded.back()["offset"] = offset;
    }
    list.push_back({{"kind", subject.subject.kind},
                    {"subject", subject.subject.name},
                    {"as_of", subject.as_of},
                    {"removed_at", subject.copies.removed_at},
                    {"copies", std::move(encoded)}});
  }
  return list;
}

std::optional<SubjectSnapshot> DecodeSubjectSnapshot(const json& object) {
  auto subject = DecodeSubject(object);
  const auto as_of = IntegerField(object, "as_of");
  const auto removed_at = IntegerField(object, "removed_at");
  const json* copies = FindField(object, "copies");
  if (!subject || !as_of || !removed_at || *removed_at < 0 ||
      copies == nullptr || !copies->is_array()) {
    return std::nullopt;
  }
  SubjectSnapshot snapshot{std::move(*subject), *as_of, {}};
  SubjectCopies told;
  told.removed_at = *removed_at;
  snapshot.copies = MergeCopies({}, told);
  for (const json& element : *copies) {
    auto copy = DecodeCopy(element);
    const auto offset = IntegerField(element, "offset");
    // A copy beyond the as-of offset would contradict the writer itself.
    if (!copy || !offset || *offset < 1 || *offset > *as_of) {
      return std::nullopt;
    }
    copy->offset = *offset;
    snapshot.copies = AcceptCopy(std::move(snapshot.copies),
                                 JudgeCopy(snapshot.subject, std::move(*copy)));
  }
  if (!snapshot.copies.latest) {
    return std::nullopt;
  }
  return snapshot;
}

// Subjects that cannot be read are left out, so that one does not hide others.
std::vector<SubjectSnapshot> DecodeSubjects(const json& list,
                                            bool& has_unreadable) {
  std::vector<SubjectSnapshot> subjects;
  for (const json& element : list) {
    if (auto subject = DecodeSubjectSnapshot(element)) {
      subjects.push_back(std::move(*subject));
    } else {
      has_unreadable = true;
    }
  }
  return subjects;
}

UnreadableRecord Unreadable(const char* detail) {
  return {MakeFailure(ResultCode::kRecordMalformed, detail)};
}

std::variant<UnreadableRecord, PublishedRecord, ConfigRefresh> DecodePublished(
    const json& object,
    LogOffset offset) {
  auto subject = DecodeSubject(object);
  const auto expected = IntegerField(object, "expected_revision");
  auto copy = DecodeCopy(object);
  if (!subject || !expected || *expected < 0 || !copy) {
    return Unreadable(
        "the envelope needs kind, subject, change_id, schema and "
        "expected_revision");
  }
  copy->offset = offset;
  PublishedRecord record{std::move(*subject), *expected, {}};
  record.copy = JudgeCopy(record.subject, std::move(*copy));
  return record;
}

}  // namespace

std::string EncodeContent(const ConfigContent& content) {
  return DumpJson(std::visit(ContentEncoder{}, content));
}

std::string EncodeRecord(const PublishedRecord& record) {
  json object = EncodeCopy(record.copy);
  object["kind"] = record.subject.kind;
  object["subject"] = record.subject.name;
  object["expected_revision"] = record.expected_revision;
  return DumpJson({{"record", std::move(object)}});
}

std::string EncodeRefresh(const ConfigRefresh& refresh) {
  return DumpJson({{"refresh", EncodeSubjects(refresh.subjects)}});
}

ConfigCopy JudgeCopy(const ConfigSubject& subject, ConfigCopy copy) {
  copy.findings.clear();
  copy.content.reset();
  copy.validity = ContentValidity::kValid;
  if (copy.removed) {
    copy.text.clear();
    return copy;
  }
  if (copy.schema > kNewestSchema) {
    copy.validity = ContentValidity::kOpaque;
    copy.findings.push_back(MakeFailure(
        ResultCode::kRecordSchemaUnknown,
        "schema is " + std::to_string(copy.schema) +
            "; this version knows 1 and 2, the last good content stays"));
    return copy;
  }
  const std::optional<json> object = ParseJson(copy.text);
  if (!object || !object->is_object()) {
    copy.validity = ContentValidity::kInvalid;
    copy.findings.push_back(
        MissingField("content", "give an object, or set removed to true"));
    return copy;
  }
  std::vector<Failure> mistakes;
  const ContentReader reader{copy.schema, mistakes, copy.findings};
  std::optional<ConfigContent> content = reader.Read(subject.kind, *object);
  if (!content) {
    copy.validity = ContentValidity::kOpaque;
    copy.findings.push_back(MakeFailure(
        ResultCode::kRecordSchemaUnknown,
        "kind '" + subject.kind + "' is not known to this version"));
    return copy;
  }
  if (mistakes.empty()) {
    mistakes = ValidateRecord(subject, *content);
  }
  if (mistakes.empty()) {
    copy.content = std::move(content);
    return copy;
  }
  copy.validity = ContentValidity::kInvalid;
  copy.findings.insert(copy.findings.begin(), mistakes.begin(), mistakes.end());
  return copy;
}

ConfigEntry DecodeConfig(const LogEntry& entry) {
  ConfigEntry decoded{entry.offset, entry.time, {}};
  const std::optional<json> payload = ParseJson(entry.payload);
  if (!payload) {
    decoded.record = Unreadable("the entry is not JSON");
    return decoded;
  }
  if (const json* record = FindField(*payload, "record")) {
    decoded.record = DecodePublished(*record, entry.offset);
    return decoded;
  }
  const json* refresh = FindField(*payload, "refresh");
  if (refresh == nullptr || !refresh->is_array()) {
    decoded.record = Unreadable("the entry has no field record or refresh");
    return decoded;
  }
  bool has_unreadable = false;
  ConfigRefresh subjects{DecodeSubjects(*refresh, has_unreadable)};
  if (subjects.subjects.empty() && has_unreadable) {
    decoded.record = Unreadable("no subject of the refresh can be read");
  } else {
    decoded.record = std::move(subjects);
  }
  return decoded;
}

std::string EncodeSnapshot(const ConfigSnapshot& snapshot) {
  return DumpJson({{"complete_as_of", snapshot.complete_as_of},
                   {"count", snapshot.subjects.size()},
                   {"subjects", EncodeSubjects(snapshot.subjects)}});
}

Result<ConfigSnapshot> DecodeSnapshot(std::string_view text) {
  const std::optional<json> object = ParseJson(text);
  const json* subjects = object ? FindField(*object, "subjects") : nullptr;
  const auto complete =
      object ? IntegerField(*object, "complete_as_of") : std::nullopt;
  if (subjects == nullptr || !subjects->is_array() || !complete) {
    return MakeFailure(ResultCode::kRecordMalformed,
                       "the snapshot needs complete_as_of and subjects");
  }
  bool has_unreadable = false;
  ConfigSnapshot snapshot{*complete, DecodeSubjects(*subjects, has_unreadable)};
  if (has_unreadable ||
      UnsignedField(*object, "count") != snapshot.subjects.size()) {
    // A subject that was left out must not count as absent.
    snapshot.complete_as_of = -1;
  }
  return snapshot;
}

}  // namespace toucanhollow
