// Starts of the real program with a settings file that is being written.
#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "apps/process_site.h"

namespace toucanhollow {
namespace {

constexpr std::array<ProcessRole, 4> kRoles = {
    ProcessRole::kRelay, ProcessRole::kRankAgent, ProcessRole::kEntryHost,
    ProcessRole::kEndpoint};

bool WaitForIncompleteSettings(TestProcess& process) {
  WaitUntil([&] {
    return process.CountInLog("settings_incomplete") > 0 ||
           !process.IsRunning();
  });
  return process.IsRunning();
}

// Guards against a process that ends because it read its settings while they
// were written.
TEST_CASE("a process starts once its settings file is complete") {
  for (const ProcessRole role : kRoles) {
    TestProcess process(role, 1);
    process.WriteSettings("");
    process.Start();
    REQUIRE(WaitForIncompleteSettings(process));
    process.WriteSettings(process.settings.substr(0, 40));
    std::this_thread::sleep_for(Milliseconds(100));
    CHECK(process.IsRunning());
    process.WriteSettings(process.settings);
    CHECK(process.WaitForStart());
  }
}

// Guards against a process that ends before its settings file is there, and one
// that gives a file which comes late no time to be written.
TEST_CASE("a process waits for a settings file that comes late") {
  std::vector<std::unique_ptr<TestProcess>> late;
  for (const ProcessRole role : kRoles) {
    for (const bool exists : {false, true}) {
      late.push_back(std::make_unique<TestProcess>(
          role, 1 + static_cast<int>(late.size())));
      if (exists) {
        late.back()->WriteSettings("");
      } else {
        late.back()->RemoveSettings();
      }
      late.back()->Start();
    }
  }
  for (const auto& process : late) {
    REQUIRE(WaitForIncompleteSettings(*process));
  }
  std::this_thread::sleep_for(Seconds(4));
  for (const auto& process : late) {
    process->WriteSettings(process->settings.substr(0, 40));
  }
  std::this_thread::sleep_for(Milliseconds(500));
  for (const auto& process : late) {
    INFO(process->Log());
    CHECK(process->IsRunning());
    process->WriteSettings(process->settings);
    CHECK(process->WaitForStart());
  }
}

// Guards against a wait for a settings file that cannot be stopped, or that
// has no end.
TEST_CASE("the wait for a settings file ends by a stop or after its limit") {
  std::vector<std::unique_ptr<TestProcess>> without_file;
  for (const ProcessRole role : kRoles) {
    without_file.push_back(std::make_unique<TestProcess>(role, 1));
    TestProcess stopped(role, 2);
    for (TestProcess* process : {without_file.back().get(), &stopped}) {
      process->RemoveSettings();
      process->Start();
      REQUIRE(WaitForIncompleteSettings(*process));
    }
    stopped.Signal(SIGTERM);
    CHECK(WaitUntil([&] { return !stopped.IsRunning(); }));
    CHECK(stopped.HasExitedWith(0));
  }
  for (const auto& process : without_file) {
    CHECK(WaitUntil([&] { return !process->IsRunning(); }, Seconds(60)));
    INFO(process->Log());
    CHECK(process->HasExitedWith(2));
    CHECK(process->CountInLog("\"event\":\"exiting\"") +
              process->CountInLog("exiting status=") ==
          1);
    CHECK(process->CountInLog("cannot be read") > 0);
  }
}

// Guards against a port that is taken for a shorter one because its last digit
// was not written yet.
TEST_CASE("a value that is cut off is not used") {
  TestProcess process(ProcessRole::kRelay, 1);
  const std::string& text = process.settings;
  process.WriteSettings(text.substr(0, text.size() - 2));
  process.Start();
  REQUIRE(WaitForIncompleteSettings(process));
  process.WriteSettings(text);
  REQUIRE(process.WaitForStart());
  CHECK(!AskAsSoonAsItListens(process.ip, kReadinessPort,
                              "GET / HTTP/1.1\r\nHost: h\r\n"
                              "Connection: close\r\n\r\n",
                              [] {})
             .empty());
  const std::string request =
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  CHECK(AskAsSoonAsItListens(process.ip, kCallerPort, request, [] {
        }).starts_with("HTTP/1.1 "));
}

// Guards against a start that waits for a last line end that never comes.
TEST_CASE("a last line without a line end is accepted if it stays") {
  TestProcess process(ProcessRole::kRankAgent, 1);
  const std::string& text = process.settings;
  process.WriteSettings(text.substr(0, text.size() - 1));
  process.Start();
  CHECK(process.WaitForStart());
}

// Guards against an exit without its reason, and a stop that is not heard.
TEST_CASE("settings that stay wrong end the process with their mistake") {
  std::vector<std::unique_ptr<TestProcess>> all_wrong;
  for (const ProcessRole role : kRoles) {
    all_wrong.push_back(std::make_unique<TestProcess>(role, 1));
    TestProcess stopped(role, 2);
    for (TestProcess* process : {all_wrong.back().get(), &stopped}) {
      process->WriteSettings("[process]\n");
      process->Start();
      REQUIRE(WaitForIncompleteSettings(*process));
    }
    stopped.Signal(SIGTERM);
    CHECK(WaitUntil([&] { return !stopped.IsRunning(); }));
    CHECK(stopped.HasExitedWith(0));
  }
  for (const auto& wrong : all_wrong) {
    CHECK(WaitUntil([&] { return !wrong->IsRunning(); }));
    INFO(wrong->Log());
    CHECK(wrong->HasExitedWith(2));
    CHECK(wrong->CountInLog("exiting") == 1);
    CHECK(wrong->CountInLog("process.name: missing") +
              wrong->CountInLog("[process] name: missing") >
          0);
  }
}

std::string Replace(const std::string& text,
                    const std::string& from,
                    const std::string& to) {
  std::string replaced = text;
  return replaced.replace(text.find(from), from.size(), to);
}

// Guards against a process that ends because of a setting without whose value
// it can run, and against one that does not tell so.
TEST_CASE("a setting that is not needed does not end the process") {
  TestProcess relay(ProcessRole::kRelay, 1);
  relay.WriteSettings(Replace(
      Replace(Replace(relay.settings, "seeds =", "seeds = store-7:18082"),
              "descriptors = 1024", "descriptors = 0"),
      "grace_s = 4", "grace_s = true"));
  TestProcess agent(ProcessRole::kRankAgent, 2);
  agent.WriteSettings(
      Replace(agent.settings, "address = " + agent.ip + ":19001", "address ="));
  const std::string add_check = "set -- \"$@\" --check";
  TestProcess check(ProcessRole::kRankAgent, 3, add_check);
  check.WriteSettings(
      Replace(check.settings, "address = " + check.ip + ":19001", "address ="));
  for (TestProcess* process : {&relay, &agent, &check}) {
    process->Start();
  }
  CHECK(relay.WaitForStart());
  CHECK(relay.CountInLog("setting_replaced") == 3);
  CHECK(agent.WaitForStart());
  CHECK(agent.CountInLog("setting_replaced") == 1);
  CHECK(WaitUntil([&] { return !check.IsRunning(); }));
  CHECK(check.HasExitedWith(2));
}

// Guards against processes that do not start where each one's settings are at a
// path of its own.
TEST_CASE("the settings file is the one that the environment names") {
  const std::string use_variable =
      "export TOUCANHOLLOW_CONFIG=\"${2#--settings=}\"; set -- \"$1\"";
  for (const ProcessRole role : kRoles) {
    TestProcess named(role, 1, use_variable);
    TestProcess given(role, 2, "export TOUCANHOLLOW_CONFIG=/missing");
    for (TestProcess* process : {&named, &given}) {
      process->Start();
      CHECK(process->WaitForStart());
    }
  }
}

// Guards against a check of the settings that starts the process.
TEST_CASE("a check of the settings ends every role") {
  const std::string add_check = "set -- \"$@\" --check";
  for (const ProcessRole role : kRoles) {
    TestProcess valid(role, 1, add_check);
    TestProcess wrong(role, 2, add_check);
    wrong.WriteSettings("[process]\n");
    for (TestProcess* process : {&valid, &wrong}) {
      process->Start();
      CHECK(WaitUntil([&] { return !process->IsRunning(); }));
    }
    INFO(valid.Log());
    CHECK(valid.HasExitedWith(0));
    CHECK_FALSE(valid.HasStarted());
    CHECK(valid.CountInLog("the settings are valid") == 1);
    CHECK(wrong.HasExitedWith(2));
  }
}

}  // namespace
}  // namespace toucanhollow
