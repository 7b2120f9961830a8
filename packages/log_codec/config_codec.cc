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

#include "base/field_failure.h"
#include "config/subject_copies.h"
#include "config/validate_record.h"
#include "json_fields/field_reader.h"
#include "json_fields/json_fields.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

// Reads "in_service" or "out"; a missing field means in service.
bool ReadInService(FieldReader& reader,
                   const char* name,
                   const char* remedy_if_required) {
  const json* field = reader.FindMember(name, remedy_if_required);
  if (field == nullptr || *field == "in_service") {
    return true;
  }
  if (*field != "out") {
    reader.AddInvalidField(name, *field, "use \"in_service\" or \"out\"");
  }
  return false;
}

// Reads the content of a copy in the given schema version. Invalid fields are
// added to `failures`, unknown fields to `findings`.
struct ContentReader {
  int schema;
  std::vector<Failure>& failures;
  std::vector<Failure>& findings;

  AccountShares ReadAccounts(FieldReader& reader) const {
    AccountShares accounts;
    for (const json& element :
         reader.ReadList("accounts", "list the accounts")) {
      if (this->schema == 1) {
        if (!element.is_string()) {
          reader.AddInvalidField("accounts", element,
                                 "use a list of account names");
          continue;
        }
        accounts[{element.get<std::string>()}] = 1;
        continue;
      }
      FieldReader account(element, "accounts.", this->failures);
      const std::string name = account.ReadString("name", "name the account");
      accounts[{name}] = account.ReadNumber("share", 1);
      account.ReportUnknown(this->findings);
    }
    return accounts;
  }

  ConfigContent ReadModelGroup(FieldReader& reader) const {
    ModelGroupContent group;
    group.model = reader.ReadString("model", "name the model");
    group.ranks = reader.ReadInteger("ranks", 1);
    group.experts = reader.ReadInteger("experts", 1);
    if (this->schema >= 2) {
      group.slots_per_rank = reader.ReadInteger("slots_per_rank", 0);
    }
    group.accounts = this->ReadAccounts(reader);
    group.weight = reader.ReadNumber("weight", 1);
    group.full_limit = reader.ReadInteger("full_limit", kDefaultFullLimit);
    return group;
  }

  ConfigContent ReadPlainService(FieldReader& reader) const {
    PlainServiceContent service;
    service.accounts = this->ReadAccounts(reader);
    service.full_limit = reader.ReadInteger("full_limit", kDefaultFullLimit);
    if (this->schema == 1) {
      for (const json& element : reader.ReadList("repeatable", nullptr)) {
        const std::string call =
            element.is_string() ? element.get<std::string>() : std::string();
        const std::size_t space = call.find(' ');
        if (space == std::string::npos) {
          reader.AddInvalidField("repeatable", element,
                                 "use \"<METHOD> <prefix>\"");
          continue;
        }
        service.calls.push_back(
            {call.substr(0, space), call.substr(space + 1), true});
      }
      return service;
    }
    for (const json& element : reader.ReadList("calls", nullptr)) {
      FieldReader call(element, "calls.", this->failures);
      CallRule rule{call.ReadString("method", "give an HTTP method"),
                    call.ReadString("path_prefix", "begin it with '/'"), false};
      const json* repeatable = call.FindMember(
          "repeatable", "set it to true only if a repeated call does no harm");
      if (repeatable != nullptr && !repeatable->is_boolean()) {
        call.AddInvalidField("repeatable", *repeatable, "use true or false");
      } else if (repeatable != nullptr) {
        rule.repeatable = repeatable->get<bool>();
      }
      call.ReportUnknown(this->findings);
      service.calls.push_back(std::move(rule));
    }
    return service;
  }

  ConfigContent ReadEndpoint(FieldReader& reader) const {
    constexpr const char* kRemedy = "give <IPv4 address>:<port>";
    EndpointContent endpoint;
    endpoint.service = {
        reader.ReadString("service", "name the service or group")};
    endpoint.data_centre = {
        reader.ReadString("data_centre", "name the data centre")};
    std::vector<json> addresses;
    if (this->schema == 1) {
      if (const json* address = reader.FindMember("address", kRemedy)) {
        addresses.push_back(*address);
      }
    } else {
      const json& list = reader.ReadList("addresses", kRemedy);
      addresses.assign(list.begin(), list.end());
    }
    for (const json& element : addresses) {
      if (const auto address = ParseAddress(element)) {
        endpoint.addresses.push_back(*address);
      } else {
        reader.AddInvalidField(this->schema == 1 ? "address" : "addresses",
                               element,
                               "use <IPv4 address>:<port from 1 to 65535>");
      }
    }
    endpoint.in_service = ReadInService(reader, "state", nullptr);
    endpoint.weight = reader.ReadNumber("weight", 1);
    endpoint.full_limit = reader.ReadOptionalInteger("full_limit");
    endpoint.rank = reader.ReadOptionalInteger("rank");
    return endpoint;
  }

  static std::optional<Address> ParseAddress(const json& element) {
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

  // Returns none if this version does not know the kind.
  std::optional<ConfigContent> ReadContent(const std::string& kind,
                                           const json& object) const {
    FieldReader reader(object, "", this->failures);
    std::optional<ConfigContent> content;
    if (kind == kModelGroupKind) {
      content = this->ReadModelGroup(reader);
    } else if (kind == kPlainServiceKind) {
      content = this->ReadPlainService(reader);
    } else if (kind == kAccountKind) {
      content = AccountContent{reader.ReadNumber("share", 1)};
    } else if (kind == kDataCentreKind) {
      DataCentreContent data_centre;
      data_centre.in_service =
          ReadInService(reader, "state", "use \"in_service\" or \"out\"");
      if (this->schema >= 2) {
        data_centre.region = reader.ReadString("region", nullptr);
      }
      content = data_centre;
    } else if (kind == kEndpointKind) {
      content = this->ReadEndpoint(reader);
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

// Decodes the fields that records and copies have in common. The content is not
// validated.
std::optional<ConfigCopy> DecodeCopy(const json& object) {
  auto change_id = FindStringField(object, "change_id");
  const auto schema = FindIntegerField(object, "schema");
  if (!change_id || !schema || *schema < kOldestSchema ||
      *schema > std::numeric_limits<int>::max()) {
    return std::nullopt;
  }
  ConfigCopy copy;
  copy.change_id = std::move(*change_id);
  copy.schema = static_cast<int>(*schema);
  copy.removed = FindBoolField(object, "removed").value_or(false);
  const json* content = FindField(object, "content");
  if (!copy.removed && content != nullptr) {
    copy.text = DumpJson(*content);
  }
  return copy;
}

std::optional<ConfigSubject> DecodeSubject(const json& object) {
  auto kind = FindStringField(object, "kind");
  auto name = FindStringField(object, "subject");
  if (!kind || !name || kind->empty() || name->empty()) {
    return std::nullopt;
  }
  return ConfigSubject{std::move(*kind), std::move(*name)};
}

json EncodeSubjects(const std::vector<SubjectSnapshot>& subjects) {
  json list = json::array();
  for (const SubjectSnapshot& subject : subjects) {
    // Keyed by offset, because the latest copy is often also the last usable
    // one.
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
  const auto as_of = FindIntegerField(object, "as_of");
  const auto removed_at = FindIntegerField(object, "removed_at");
  const json* copies = FindField(object, "copies");
  if (!subject || !as_of || !removed_at || *removed_at < 0 ||
      copies == nullptr || !copies->is_array()) {
    return std::nullopt;
  }
  SubjectSnapshot snapshot{std::move(*subject), *as_of, {}};
  SubjectCopies removal;
  removal.removed_at = *removed_at;
  snapshot.copies = MergeCopies({}, removal);
  for (const json& element : *copies) {
    auto copy = DecodeCopy(element);
    const auto offset = FindIntegerField(element, "offset");
    // A copy with an offset beyond `as_of` contradicts the rest of the
    // snapshot.
    if (!copy || !offset || *offset < 1 || *offset > *as_of) {
      return std::nullopt;
    }
    copy->offset = *offset;
    snapshot.copies =
        AcceptCopy(std::move(snapshot.copies),
                   ValidateCopy(snapshot.subject, std::move(*copy)));
  }
  if (!snapshot.copies.latest) {
    return std::nullopt;
  }
  return snapshot;
}

// Omits subjects that cannot be decoded and sets `has_unreadable`, so that one
// unreadable subject does not hide the others.
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

UnreadableRecord MakeUnreadableRecord(const char* detail) {
  return {MakeFailure(ResultCode::kRecordMalformed, detail)};
}

std::variant<UnreadableRecord, PublishedRecord, ConfigRefresh> DecodePublished(
    const json& object,
    LogOffset offset) {
  auto subject = DecodeSubject(object);
  const auto expected = FindIntegerField(object, "expected_revision");
  auto copy = DecodeCopy(object);
  if (!subject || !expected || *expected < 0 || !copy) {
    return MakeUnreadableRecord(
        "the envelope needs kind, subject, change_id, schema and "
        "expected_revision");
  }
  copy->offset = offset;
  PublishedRecord record{std::move(*subject), *expected, {}};
  record.copy = ValidateCopy(record.subject, std::move(*copy));
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

ConfigCopy ValidateCopy(const ConfigSubject& subject, ConfigCopy copy) {
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
            "; this version supports 1 and 2; last valid content kept"));
    return copy;
  }
  const std::optional<json> object = ParseJson(copy.text);
  if (!object || !object->is_object()) {
    copy.validity = ContentValidity::kInvalid;
    copy.findings.push_back(
        MissingField("content", "give an object, or set removed to true"));
    return copy;
  }
  std::vector<Failure> failures;
  const ContentReader reader{copy.schema, failures, copy.findings};
  std::optional<ConfigContent> content =
      reader.ReadContent(subject.kind, *object);
  if (!content) {
    copy.validity = ContentValidity::kOpaque;
    copy.findings.push_back(MakeFailure(
        ResultCode::kRecordSchemaUnknown,
        "kind '" + subject.kind + "' is not known to this version"));
    return copy;
  }
  if (failures.empty()) {
    failures = ValidateRecord(subject, *content);
  }
  if (failures.empty()) {
    copy.content = std::move(content);
    return copy;
  }
  copy.validity = ContentValidity::kInvalid;
  copy.findings.insert(copy.findings.begin(), failures.begin(), failures.end());
  return copy;
}

ConfigEntry DecodeConfig(const LogEntry& entry) {
  ConfigEntry decoded{entry.offset, entry.time, {}};
  const std::optional<json> payload = ParseJson(entry.payload);
  if (!payload) {
    decoded.record = MakeUnreadableRecord("the entry is not valid JSON");
    return decoded;
  }
  if (const json* record = FindField(*payload, "record")) {
    decoded.record = DecodePublished(*record, entry.offset);
    return decoded;
  }
  const json* refresh = FindField(*payload, "refresh");
  if (refresh == nullptr || !refresh->is_array()) {
    decoded.record = MakeUnreadableRecord(
        "the entry has neither a record nor a refresh list");
    return decoded;
  }
  bool has_unreadable = false;
  ConfigRefresh subjects{DecodeSubjects(*refresh, has_unreadable)};
  if (subjects.subjects.empty() && has_unreadable) {
    decoded.record =
        MakeUnreadableRecord("no subject of the refresh can be decoded");
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
  const auto complete_as_of =
      object ? FindIntegerField(*object, "complete_as_of") : std::nullopt;
  if (subjects == nullptr || !subjects->is_array() || !complete_as_of) {
    return MakeFailure(ResultCode::kRecordMalformed,
                       "the snapshot needs complete_as_of and subjects");
  }
  bool has_unreadable = false;
  ConfigSnapshot snapshot{*complete_as_of,
                          DecodeSubjects(*subjects, has_unreadable)};
  if (has_unreadable ||
      FindUnsignedField(*object, "count") != snapshot.subjects.size()) {
    // An omitted subject must not be mistaken for a subject that does not
    // exist.
    snapshot.complete_as_of = -1;
  }
  return snapshot;
}

}  // namespace toucanhollow
