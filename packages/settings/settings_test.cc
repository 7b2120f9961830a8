#include <fstream>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "settings/parse_settings.h"

namespace toucanhollow {
namespace {

constexpr const char* kEntryHost = R"([process]
name = entry-1
role = entry_host
data_centre = lautoka-west
[listen]
http = 127.0.0.1:8080
link = 127.0.0.1:0
[platform]
log = 127.0.0.1:7000
)";

constexpr const char* kEndpointPart = R"([back_end]
endpoint = draft-1
kind = engine
service = drafting
address = 127.0.0.1:6000
ranks = 0, 1
)";

bool Mentions(const SettingsReport& report, const std::string& text) {
  for (const Failure& mistake : report.mistakes) {
    if (mistake.detail.find(text) != std::string::npos) {
      return true;
    }
  }
  return false;
}

TEST_CASE("a complete file is accepted") {
  const SettingsReport report = ParseSettings(kEntryHost);
  REQUIRE(report.mistakes.empty());
  CHECK(report.settings->process.value == "entry-1");
  CHECK(report.settings->http == Address{"127.0.0.1", 8080});
  CHECK_FALSE(report.settings->back_end.has_value());
}

TEST_CASE("an endpoint's ranks are read") {
  std::string text = kEntryHost + std::string(kEndpointPart);
  text.replace(text.find("entry_host"), 10, "endpoint");
  const SettingsReport report = ParseSettings(text);
  REQUIRE(report.mistakes.empty());
  CHECK(report.settings->back_end->ranks == std::vector<int>{0, 1});
}

// Guards against a start that reports only the first mistake, so that an
// operator needs one try for each.
TEST_CASE("all mistakes are reported at once") {
  const SettingsReport report = ParseSettings(
      "[process]\nname = bad name\nrole = endpoint\n[listen]\n"
      "http = localhost:80\n[limits]\nbody_bytes = 12x\n[extra]\nkey = 1\n");
  CHECK_FALSE(report.settings.has_value());
  CHECK(Mentions(report, "[process] name: value \"bad name\""));
  CHECK(Mentions(report, "[process] data_centre: missing"));
  CHECK(Mentions(report, "has no numeric address"));
  CHECK(Mentions(report, "[limits] body_bytes"));
  CHECK(Mentions(report, "[extra] key: unknown key"));
  CHECK(Mentions(report, "[back_end] endpoint: missing"));
}

// Guards against an entry host that silently ignores a back end section.
TEST_CASE("an entry host with a back end is refused") {
  const SettingsReport report =
      ParseSettings(kEntryHost + std::string(kEndpointPart));
  CHECK(Mentions(report, "an entry host has no endpoint"));
}

TEST_CASE("a file that is not INI names the line") {
  const SettingsReport report = ParseSettings("[process]\nname\n");
  REQUIRE(report.mistakes.size() == 1);
  CHECK(report.mistakes[0].code == ResultCode::kSettingsUnreadable);
  CHECK(Mentions(report, "line 2"));
}

TEST_CASE("a missing file is reported and nothing is thrown") {
  const SettingsReport report = LoadSettings("no/such/file.ini");
  REQUIRE(report.mistakes.size() == 1);
  CHECK(report.mistakes[0].code == ResultCode::kSettingsUnreadable);
}

// Guards against a settings page that no longer matches the code. Regenerate
// it with `toucanhollowctl settings`.
TEST_CASE("docs/settings.md holds the table of the code") {
  std::ifstream file(TOUCAN_SETTINGS_PAGE);
  std::stringstream page;
  page << file.rdbuf();
  CHECK(page.str().find(SettingsTable()) != std::string::npos);
}

}  // namespace
}  // namespace toucanhollow
