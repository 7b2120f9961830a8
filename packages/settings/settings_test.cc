#include <fstream>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "settings/parse_settings.h"
#include "settings/settings_file.h"

namespace toucanhollow {
namespace {

constexpr const char* kEntryHostSettings = R"([process]
name = entry-1
role = entry_host
data_centre = lautoka-west
[listen]
http = 127.0.0.1:8080
link = 127.0.0.1:0
[platform]
log = 127.0.0.1:7000
)";

constexpr const char* kBackEndSection = R"([back_end]
endpoint = draft-1
kind = engine
service = drafting
address = 127.0.0.1:6000
ranks = 0, 1
)";

bool HasFailureText(const SettingsReport& report, const std::string& text) {
  for (const Failure& mistake : report.mistakes) {
    if (mistake.detail.find(text) != std::string::npos) {
      return true;
    }
  }
  return false;
}

TEST_CASE("a complete file is accepted") {
  const SettingsReport report = ParseSettings(kEntryHostSettings);
  REQUIRE(report.mistakes.empty());
  CHECK(report.settings->process.value == "entry-1");
  CHECK(report.settings->http == Address{"127.0.0.1", 8080});
  CHECK_FALSE(report.settings->back_end.has_value());
}

TEST_CASE("the ranks of an endpoint are parsed") {
  std::string text = kEntryHostSettings + std::string(kBackEndSection);
  text.replace(text.find("entry_host"), 10, "endpoint");
  const SettingsReport report = ParseSettings(text);
  REQUIRE(report.mistakes.empty());
  CHECK(report.settings->back_end->ranks == std::vector<int>{0, 1});
}

// Guards against a parser that stops at the first mistake, so that an operator
// needs one start attempt for each mistake.
TEST_CASE("all mistakes are reported together") {
  const SettingsReport report = ParseSettings(
      "[process]\nname = bad name\nrole = endpoint\n[listen]\n"
      "http = localhost:80\n[limits]\nbody_bytes = 12x\n[extra]\nkey = 1\n");
  CHECK_FALSE(report.settings.has_value());
  CHECK(HasFailureText(report, "[process] name: value \"bad name\""));
  CHECK(HasFailureText(report, "[process] data_centre: missing"));
  CHECK(HasFailureText(report, "has no numeric address"));
  CHECK(HasFailureText(report, "[limits] body_bytes"));
  CHECK(HasFailureText(report, "[extra] key: unknown key"));
  CHECK(HasFailureText(report, "[back_end] endpoint: missing"));
}

// Guards against an entry host that silently ignores a [back_end] section.
TEST_CASE("a [back_end] section is rejected for an entry host") {
  const SettingsReport report =
      ParseSettings(kEntryHostSettings + std::string(kBackEndSection));
  CHECK(HasFailureText(report, "an entry host has no endpoint"));
}

TEST_CASE("a syntax error is reported with its line number") {
  const SettingsReport report = ParseSettings("[process]\nname\n");
  REQUIRE(report.mistakes.size() == 1);
  CHECK(report.mistakes[0].code == ResultCode::kSettingsUnreadable);
  CHECK(HasFailureText(report, "line 2"));
}

TEST_CASE("a missing file is reported without an exception") {
  const SettingsReport report = LoadSettings("no/such/file.ini");
  REQUIRE(report.mistakes.size() == 1);
  CHECK(report.mistakes[0].code == ResultCode::kSettingsUnreadable);
}

// Guards against a directory or a missing file that is taken for empty
// settings.
TEST_CASE("a settings file that cannot be read is reported") {
  for (const std::string path : {"no/such/file.ini", "/"}) {
    const Result<std::string> text = ReadSettingsFile(path);
    REQUIRE_FALSE(text);
    CHECK(text.error().code == ResultCode::kSettingsUnreadable);
  }
  CHECK(HasWholeLastLine(""));
  CHECK(HasWholeLastLine("a = 1\n"));
  CHECK_FALSE(HasWholeLastLine("a = 1"));
}

// Guards against a documentation page that differs from the table in the
// code. `toucanhollowctl settings` prints the table for the page.
TEST_CASE("docs/settings.md matches the settings table") {
  std::ifstream file(TOUCAN_SETTINGS_PAGE);
  std::stringstream page;
  page << file.rdbuf();
  CHECK(page.str().find(SettingsTable()) != std::string::npos);
}

}  // namespace
}  // namespace toucanhollow
