#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "config/config_fold.h"
#include "config/subject_copies.h"
#include "log_codec/config_codec.h"
#include "log_codec/damaged_text_for_test.h"

namespace toucanhollow {
namespace {

std::vector<std::pair<ConfigSubject, ConfigContent>> MakeSampleContents() {
  EndpointContent endpoint{{"listings"}, {"nadi"}, {{"10.0.0.1", 80}}};
  endpoint.rank = 3;
  return {
      {{"model_group", "g1"},
       ModelGroupContent{"draft", 16, 64, {{{"acme"}, 2.5}}, 0.25, 8}},
      {{"plain_service", "listings"},
       PlainServiceContent{{{{"acme"}, 1}}, {{"GET", "/", true}}, 4}},
      {{"account", "acme"}, AccountContent{0.1}},
      {{"data_centre", "nadi"}, DataCentreContent{false, "west"}},
      {{"endpoint", "e1"}, endpoint},
  };
}

PublishedRecord MakeRecord(const ConfigSubject& subject,
                           std::string text,
                           int schema = 2) {
  PublishedRecord record{subject, 4, {}};
  record.copy.change_id = "c1";
  record.copy.schema = schema;
  record.copy.text = std::move(text);
  return record;
}

ConfigCopy EncodeAndDecode(const PublishedRecord& record) {
  const ConfigEntry entry = DecodeConfig({9, {}, EncodeRecord(record)});
  return std::get<PublishedRecord>(entry.record).copy;
}

// Guards against records that are decoded differently from what the writer
// encoded.
TEST_CASE("contents are preserved by records, refreshes and snapshots") {
  ConfigState state;
  for (const auto& [subject, content] : MakeSampleContents()) {
    PublishedRecord record = MakeRecord(subject, EncodeContent(content));
    record.expected_revision = 0;
    const ConfigEntry entry =
        DecodeConfig({state.next_offset, {}, EncodeRecord(record)});
    const auto& copy = std::get<PublishedRecord>(entry.record).copy;
    CHECK(copy.content == content);
    CHECK(copy.findings.empty());
    state = FoldEntry(std::move(state), entry).state;
  }
  const ConfigSnapshot snapshot = TakeSnapshot(state);
  REQUIRE(snapshot.subjects.size() == 5);
  CHECK(DecodeSnapshot(EncodeSnapshot(snapshot)).value() == snapshot);
  const ConfigRefresh refresh{snapshot.subjects};
  const ConfigEntry read = DecodeConfig({6, {}, EncodeRefresh(refresh)});
  CHECK(std::get<ConfigRefresh>(read.record) == refresh);
}

// Guards against schema 1 records that are decoded incorrectly since schema 2
// was added.
TEST_CASE("schema 1 decodes into the same contents") {
  const ConfigCopy service = EncodeAndDecode(
      MakeRecord({"plain_service", "fees"},
                 R"({"accounts":["acme"],"repeatable":["GET /fees"]})", 1));
  CHECK(service.content == ConfigContent(PlainServiceContent{
                               {{{"acme"}, 1}}, {{"GET", "/fees", true}}}));
  const ConfigCopy endpoint =
      EncodeAndDecode(MakeRecord({"endpoint", "e1"},
                                 R"({"service":"fees","data_centre":"nadi",)"
                                 R"("address":"10.0.0.1:80","state":"out"})",
                                 1));
  REQUIRE(endpoint.content);
  CHECK_FALSE(std::get<EndpointContent>(*endpoint.content).in_service);
  CHECK(std::get<EndpointContent>(*endpoint.content).addresses ==
        std::vector<Address>{{"10.0.0.1", 80}});
}

// Guards against content that this version cannot use and that is lost or
// treated as valid.
TEST_CASE("unusable content and unknown fields are retained and reported") {
  const std::string text = R"({"new_field":[1,2],"state":"out"})";
  const ConfigCopy newer =
      EncodeAndDecode(MakeRecord({"data_centre", "nadi"}, text, 3));
  CHECK(newer.validity == ContentValidity::kOpaque);
  CHECK(newer.text == text);
  CHECK(newer.findings.at(0).code == ResultCode::kRecordSchemaUnknown);
  const ConfigCopy unknown =
      EncodeAndDecode(MakeRecord({"data_centre", "nadi"}, text));
  CHECK(unknown.validity == ContentValidity::kValid);
  CHECK(unknown.text == text);
  CHECK(unknown.findings.at(0).code == ResultCode::kRecordUnknownField);
  CHECK(EncodeAndDecode(MakeRecord({"rack", "r1"}, "{}")).validity ==
        ContentValidity::kOpaque);
  const ConfigCopy invalid = EncodeAndDecode(
      MakeRecord({"data_centre", "nadi"}, R"({"state":"off"})"));
  CHECK(invalid.validity == ContentValidity::kInvalid);
  CHECK(invalid.findings.at(0).detail ==
        "state is '\"off\"'; use \"in_service\" or \"out\"");
  const ConfigCopy missing =
      EncodeAndDecode(MakeRecord({"endpoint", "e1"}, "{}"));
  CHECK(missing.findings.size() == 3);
  CHECK(missing.findings.at(0).detail ==
        "service is missing; name the service or group");
}

// Guards against input that makes the decoder throw, and against a snapshot
// whose unreadable subject is taken as nonexistent.
TEST_CASE("decoding damaged configuration never throws") {
  std::mt19937_64 random(20240612);
  ConfigState state;
  std::vector<std::string> texts;
  for (const auto& [subject, content] : MakeSampleContents()) {
    PublishedRecord record = MakeRecord(subject, EncodeContent(content));
    record.expected_revision = 0;
    texts.push_back(EncodeRecord(record));
    const LogOffset offset = state.next_offset;
    state =
        FoldEntry(std::move(state), DecodeConfig({offset, {}, texts.back()}))
            .state;
  }
  texts.push_back(EncodeRefresh({TakeSnapshot(state).subjects}));
  const std::string snapshot = EncodeSnapshot(TakeSnapshot(state));
  for (int i = 0; i < 20000; ++i) {
    const std::string text = DamageText(texts[random() % texts.size()], random);
    REQUIRE(DecodeConfig({i + 10, {}, text}).offset == i + 10);
    const auto decoded = DecodeSnapshot(DamageText(snapshot, random));
    if (decoded && decoded.value().subjects.size() < 5) {
      REQUIRE(decoded.value().complete_as_of == -1);
    }
  }
}

}  // namespace
}  // namespace toucanhollow
