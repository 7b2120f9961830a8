#include "json_fields/field_reader.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "json_fields/json_fields.h"

namespace toucanhollow {
namespace {

using nlohmann::json;

// Guards against null, or a value of another type, that is taken for a missing
// or an empty field.
TEST_CASE("missing, empty, null and wrong fields are told apart") {
  const json document = json::parse(
      R"({"empty":[],"list":[1],"null":null,"text":"","object":{},"one":1})");
  std::vector<Failure> failures;
  FieldReader reader(document, "a.", failures);
  CHECK(reader.ReadList("missing", nullptr).empty());
  CHECK(reader.ReadList("empty", nullptr).empty());
  CHECK(reader.ReadList("list", nullptr).size() == 1);
  CHECK(reader.ReadNumber("missing", 7) == 7);
  CHECK(reader.ReadBool("missing", true));
  CHECK(reader.ReadObject("missing", nullptr) == nullptr);
  CHECK(reader.ReadObject("object", nullptr) != nullptr);
  CHECK(reader.ReadString("text", nullptr).empty());
  CHECK_FALSE(reader.ReadOptionalInteger("missing"));
  REQUIRE(failures.empty());
  reader.ReadList("missing", "list it");
  CHECK(failures.back() == MakeFailure(ResultCode::kRecordFieldMissing,
                                       "a.missing is missing; list it"));
  reader.ReadList("null", nullptr);
  CHECK(failures.back() ==
        MakeFailure(ResultCode::kRecordFieldInvalid,
                    "a.null is 'null'; use a list, which may be empty"));
  reader.ReadList("object", nullptr);
  reader.ReadObject("null", nullptr);
  reader.ReadObject("list", nullptr);
  reader.ReadNumber("null", 0);
  reader.ReadNumber("text", 0);
  reader.ReadBool("null", false);
  reader.ReadBool("one", false);
  reader.ReadString("null", nullptr);
  reader.ReadName("text", "name it");
  reader.ReadOptionalInteger("null");
  CHECK(failures.size() == 12);
}

// Guards against a value beyond its bounds that is used.
TEST_CASE("a number outside its bounds is replaced by the default") {
  const json document = json::parse(R"({"low":-1,"high":11,"good":10})");
  std::vector<Failure> failures;
  FieldReader reader(document, "", failures);
  CHECK(reader.ReadNumber("good", 5, 0, 10) == 10);
  CHECK(reader.ReadNumber("missing", 5, 0, 10) == 5);
  CHECK(failures.empty());
  CHECK(reader.ReadNumber("low", 5, 0, 10) == 5);
  CHECK(reader.ReadNumber("high", 5, 0, 10) == 5);
  REQUIRE(failures.size() == 2);
  CHECK(failures[1].detail == "high is '11'; use a number from 0 to 10");
}

// Guards against a failure kept for each wrong element of a long list.
TEST_CASE("the failures of one record are bounded") {
  const json object = json::parse(R"({"wrong":null})");
  std::vector<Failure> failures;
  std::vector<Failure> findings;
  for (std::size_t i = 0; i < 2 * kMaxFailures; ++i) {
    FieldReader reader(object, "", failures);
    reader.ReadName("missing", "name it");
    reader.ReadName("wrong", "name it");
    FieldReader(object, "", failures).ReportUnknown(findings);
  }
  CHECK(failures.size() == kMaxFailures);
  CHECK(failures.front().detail == "missing is missing; name it");
  CHECK(findings.size() == kMaxFailures);
}

// Guards against a message as long as the record that it refuses.
TEST_CASE("messages quote the beginning of a long name or value") {
  constexpr std::size_t kLongBytes = 250'000;
  constexpr std::size_t kMaxMessageBytes = 200;
  const std::string text(kLongBytes, 'x');
  const json object = json{{"a", text}, {text, 1}};
  std::vector<Failure> failures;
  FieldReader reader(object, "p.", failures);
  reader.ReadNumber("a", 0);
  reader.ReportUnknown(failures);
  REQUIRE(failures.size() == 2);
  CHECK(failures[0].detail.starts_with("p.a is '\"xxx"));
  CHECK(failures[0].detail.ends_with("xxx...'; use a number"));
  CHECK(failures[1].detail.starts_with("p.xxx"));
  for (const Failure& failure : failures) {
    CHECK(failure.detail.size() < kMaxMessageBytes);
  }
}

std::string Nested(std::size_t levels, const std::string& text) {
  return std::string(levels, '[') + text + std::string(levels, ']');
}

// Guards against a record whose message overflows the stack of the process.
TEST_CASE("deeply nested JSON is rejected") {
  constexpr std::size_t kLevels = 120000;
  const auto document = ParseJson("{\"slots\":" + Nested(kLevels, "") + "}");
  if (document) {
    std::vector<Failure> failures;
    FieldReader reader(*document, "", failures);
    reader.ReadNumber("slots", 0);
  }
  CHECK_FALSE(document);
  CHECK_FALSE(ParseJson(std::string(kLevels, '[')));
  CHECK_FALSE(ParseJson(Nested(kMaxJsonNesting + 1, "1")));
  CHECK(ParseJson(Nested(kMaxJsonNesting, "1")));
}

// Guards against text that is counted as nesting.
TEST_CASE("brackets in strings do not count as nesting") {
  const std::string brackets(1000, '{');
  CHECK(ParseJson("[\"" + brackets + "\\\"" + brackets + "\\\\\",{}]"));
  CHECK_FALSE(ParseJson("[\"\\\\\"," + Nested(1000, "") + "]"));
  std::string list = "[0";
  for (int i = 0; i < 1000; ++i) {
    list += ",[{}]";
  }
  CHECK(ParseJson(list + "]"));
}

}  // namespace
}  // namespace toucanhollow
