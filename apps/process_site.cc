#include "apps/process_site.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include "event_loop/event_loop.h"

namespace toucanhollow {
namespace {

constexpr Duration kPollPeriod = Milliseconds(2);
constexpr Duration kShortPollPeriod = Duration(100);

std::string Directory() {
  static const std::string directory = [] {
    std::string path =
        (std::filesystem::temp_directory_path() / "process_test.XXXXXX");
    return std::string(mkdtemp(path.data()));
  }();
  return directory;
}

// An address of this run alone, so that runs go side by side.
std::string OwnIp(int number) {
  constexpr int kOctet = 200;
  const int pid = getpid();
  return "127." + std::to_string(1 + pid / kOctet % kOctet) + "." +
         std::to_string(1 + pid % kOctet) + "." + std::to_string(number);
}

std::string RoleName(ProcessRole role) {
  switch (role) {
    case ProcessRole::kRelay:
      return "relay";
    case ProcessRole::kRankAgent:
      return "rank_agent";
    case ProcessRole::kEntryHost:
      return "entry_host";
    case ProcessRole::kEndpoint:
      return "endpoint";
  }
  return "";
}

std::string RelayText(const std::string& ip, std::uint16_t store_port) {
  return "[process]\nname = " + ip + "\ndata_centre = west\n[store]\n" +
         "address = 127.0.0.1:" + std::to_string(store_port) +
         "\n[peers]\nseeds =\n[limits]\ndescriptors = 1024\n"
         "[shutdown]\ngrace_s = 4\n"
         "[retries]\nratio = 0.2\nwindow_s = 10\nslack = 88\n"
         "[cold]\nburst_factor = 1.5\nslack = 5\n"
         "[bounds]\ndrain_ms = 2000\ncontact_ms = 3000\n"
         "[listen]\nreadiness = " +
         ip + ":18081\ncontrol = " + ip +
         ":18082\nreport_port = 18083\nmetrics_port = 18084\n"
         "rank_call_port = 18085\npermit_port = 18086\ncallers = " +
         ip + ":18080\n";
}

std::string AgentText(const std::string& ip) {
  return "[process]\nname = " + ip + "\n[listen]\nagent = " + ip +
         ":18083\nmetrics = " + ip + ":18084\n[engine]\naddress = " + ip +
         ":19001\n";
}

std::string OwnInterfaceText(ProcessRole role, const std::string& ip) {
  return "[process]\nname = p\nrole = " + RoleName(role) +
         "\ndata_centre = west\n[listen]\nhttp = " + ip +
         ":18080\nlink = " + ip + ":18082\n[platform]\nlog = " + ip +
         ":19000\n[shutdown]\nbalancer_lag_ms = 100\n" +
         (role == ProcessRole::kEndpoint
              ? "[back_end]\nendpoint = e\nkind = engine\nservice = drafting\n"
                "address = " +
                    ip + ":19001\n"
              : "");
}

std::string SettingsText(ProcessRole role,
                         const std::string& ip,
                         std::uint16_t store_port) {
  switch (role) {
    case ProcessRole::kRelay:
      return RelayText(ip, store_port);
    case ProcessRole::kRankAgent:
      return AgentText(ip);
    case ProcessRole::kEntryHost:
    case ProcessRole::kEndpoint:
      break;
  }
  return OwnInterfaceText(role, ip);
}

std::string FileName(ProcessRole role, const std::string& ip) {
  static int next = 1;
  return Directory() + "/" + RoleName(role) + "-" + ip + "-" +
         std::to_string(next++);
}

std::vector<std::string> Arguments(const std::string& commands,
                                   const std::filesystem::path& program,
                                   ProcessRole role,
                                   const std::string& settings_file) {
  std::vector<std::string> arguments;
  if (!commands.empty()) {
    arguments = {"/bin/sh", "-c", commands + "; exec \"$0\" \"$@\""};
  }
  arguments.push_back(program);
  arguments.push_back("--role=" + RoleName(role));
  arguments.push_back("--settings=" + settings_file);
  return arguments;
}

}  // namespace

std::filesystem::path ProgramFile() {
  const char* other = std::getenv("TOUCANHOLLOW_PROGRAM");
  return other != nullptr ? other : TOUCANHOLLOW_PROGRAM;
}

std::filesystem::path NewDirectory() {
  std::string path = Directory() + "/XXXXXX";
  return mkdtemp(path.data());
}

TestProcess::TestProcess(ProcessRole role, int number, std::uint16_t store_port)
    : TestProcess(role, number, store_port, "", ProgramFile()) {}

TestProcess::TestProcess(ProcessRole role,
                         int number,
                         const std::string& commands)
    : TestProcess(role, number, 1, commands, ProgramFile()) {}

TestProcess::TestProcess(ProcessRole role,
                         int number,
                         const OtherProgram& program)
    : TestProcess(role, number, 1, "", program.file) {}

TestProcess::TestProcess(ProcessRole role,
                         int number,
                         std::uint16_t store_port,
                         const std::string& commands,
                         const std::filesystem::path& program)
    : ip(OwnIp(number)),
      settings(SettingsText(role, ip, store_port)),
      role(role),
      settings_file(FileName(role, ip) + ".ini"),
      log_file(settings_file + ".log"),
      child(Arguments(commands, program, role, settings_file), log_file) {
  this->WriteSettings(this->settings);
}

bool TestProcess::HasExitedWith(int status) {
  return !this->child.IsRunning() && WIFEXITED(this->child.status()) &&
         WEXITSTATUS(this->child.status()) == status;
}

void TestProcess::WriteSettings(const std::string& text) const {
  std::ofstream(this->settings_file) << text;
}

void TestProcess::RemoveSettings() const {
  std::filesystem::remove(this->settings_file);
}

std::string TestProcess::Log() const {
  std::ostringstream text;
  text << std::ifstream(this->log_file).rdbuf();
  return text.str();
}

int TestProcess::CountInLog(const std::string& text) const {
  const std::string log = this->Log();
  int count = 0;
  for (std::size_t at = log.find(text); at != std::string::npos;
       at = log.find(text, at + 1)) {
    ++count;
  }
  return count;
}

bool TestProcess::HasStarted() const {
  switch (this->role) {
    case ProcessRole::kRelay:
    case ProcessRole::kRankAgent:
      return this->CountInLog("\"event\":\"started\"") > 0;
    case ProcessRole::kEntryHost:
      return this->CountInLog("serving callers on") > 0;
    case ProcessRole::kEndpoint:
      break;
  }
  return this->CountInLog("serving links on") > 0;
}

bool TestProcess::WaitForStart() {
  WaitUntil([this] { return this->HasStarted() || !this->IsRunning(); });
  return this->HasStarted();
}

std::string TestProcess::StatusField(const std::string& name) const {
  std::ifstream file("/proc/" + std::to_string(this->child.pid()) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(name + ":")) {
      return line.substr(name.size() + 1);
    }
  }
  return "";
}

bool TestProcess::WaitForFirstInstructions() {
  constexpr int kHexadecimal = 16;
  while (this->IsRunning()) {
    const std::string ignored = this->StatusField("SigIgn");
    if (!ignored.empty() &&
        (std::stoull(ignored, nullptr, kHexadecimal) >> (SIGPIPE - 1) & 1) !=
            0) {
      return true;
    }
    std::this_thread::sleep_for(kShortPollPeriod);
  }
  return false;
}

int TestProcess::CountThreads() const {
  return std::atoi(this->StatusField("Threads").c_str());
}

std::string TestProcess::DescriptorTarget(int descriptor) const {
  std::error_code error;
  return std::filesystem::read_symlink("/proc/" +
                                           std::to_string(this->child.pid()) +
                                           "/fd/" + std::to_string(descriptor),
                                       error);
}

std::vector<std::string> TestProcess::MappedFiles() const {
  std::vector<std::string> files;
  std::ifstream maps("/proc/" + std::to_string(this->child.pid()) + "/maps");
  for (std::string line; std::getline(maps, line);) {
    const std::size_t path = line.find('/');
    if (path != std::string::npos) {
      files.push_back(line.substr(path));
    }
  }
  std::ranges::sort(files);
  files.erase(std::unique(files.begin(), files.end()), files.end());
  return files;
}

std::string AskAsSoonAsItListens(const std::string& ip,
                                 std::uint16_t port,
                                 const std::string& bytes,
                                 const std::function<void()>& sent) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  constexpr Duration kLimit = Seconds(20);
  const TimePoint end = EventLoop::Now() + kLimit;
  int connection = -1;
  while (EventLoop::Now() < end) {
    connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(connection, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0) {
      break;
    }
    close(std::exchange(connection, -1));
  }
  if (connection < 0) {
    return "";
  }
  const timeval timeout{.tv_sec = 20, .tv_usec = 0};
  setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  sent();
  std::string received;
  std::array<char, 4096> buffer{};
  for (ssize_t count = 1; count > 0;) {
    count = recv(connection, buffer.data(), buffer.size(), 0);
    received.append(buffer.data(),
                    static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
  }
  close(connection);
  return received;
}

bool WaitUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = EventLoop::Now() + limit;
  while (!condition()) {
    if (EventLoop::Now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return true;
}

}  // namespace toucanhollow
